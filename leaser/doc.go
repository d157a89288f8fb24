// Package leaser maintains the node's lease in the table, tracks the live
// nodes, and assigns the engines of a data centre to its nodes with fencing
// tokens.
//
// Every write of a node also renews its lease, because it includes the node's
// own lease row with a new sequence number. If the answer to a write is lost,
// reading that one row therefore shows whether the write was applied. An engine
// is taken from another node only in a transaction that also ends that node's
// lease row; otherwise a node hands over its engines itself. A successful
// renewal thus proves that no engine was taken from the node before it.
package leaser
