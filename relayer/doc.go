// Package relayer is the stage that carries a call to endpoints: it chooses one,
// has the model loaded that the call needs, sends the call, and decides what
// follows when that fails. Work that may run only once is sent again only after
// an answer that says it did not run.
package relayer
