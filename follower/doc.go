// Package follower keeps a reader up to date with a table of the store. It reads
// the table once and then waits for changes; when the history is lost it reads the
// table again, and an answer that is older than an earlier one is not used.
package follower
