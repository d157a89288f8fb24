// Package assembler builds an entry host on the users' platform: the path of a
// call, the followers of the store's tables, the membership and the owner's side
// of engines, and runs it from its start to a planned stop.
package assembler
