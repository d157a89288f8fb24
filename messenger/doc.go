// Package messenger carries the messages between hosts over drpc: requests for
// adapters to the owner of an engine, and evidence against calls that crash
// endpoints to all.
package messenger
