// Package assembler builds an entry host for the users' platform from its
// parts: the pipeline of a call, the followers of the store's tables, the
// membership and the management of owned engines. It runs the host from its
// start to a planned stop.
package assembler
