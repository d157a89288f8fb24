// Package leaser keeps the node's lease in the table, shows which nodes exist,
// and assigns the engines of a data centre to its nodes with fencing tokens.
//
// Every write of a node also renews its lease, because it contains the node's own
// row with a new sequence number. A lost answer is therefore resolved by reading
// one row. An engine is taken from a node only in a transaction that also ends
// that node's lease row, unless the node itself gives the engine up. A renewal
// that succeeds thus proves that no engine was taken before it.
package leaser
