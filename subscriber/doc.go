// Package subscriber follows a table through another host of the same data centre,
// which follows it at the store. The number of calls to the store then grows with
// the number of data centres, not with the number of hosts. A host whose copy is too
// old, or that does not respond, is skipped for a while, and the table is followed at
// the store instead.
package subscriber
