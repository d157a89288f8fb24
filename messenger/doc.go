// Package messenger implements the messages between hosts over drpc: requests
// for capacity to the owner of an engine, marks of calls that crash
// endpoints, and reads of other hosts' copies of tables.
package messenger
