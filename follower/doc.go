// Package follower keeps a handler up to date with a table of the store. It reads
// the whole table once and then long-polls for changes. When the store no longer has
// the history, it reads the whole table again. Responses older than an earlier one
// are discarded.
package follower
