// Package poller is a feed of a table that every host reads at the store by itself, and whose
// changes have to be in force within a bound. The hosts of a data centre take care of the
// polls whose answers are lost: one of them polls often and announces the latest row, and the
// others end a long poll that lacks it. A host that the store does not answer copies the rows
// from the host that announces them.
package poller
