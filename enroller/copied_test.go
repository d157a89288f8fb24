package enroller_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a copy of the store that is taken to be newer than it is, so that lost
// records count as stored, and against one whose age is not known at all.
func TestCopiedAt(t *testing.T) {
	withPair(t, func(_ *testing.T, is *is.I, a, b *host) {
		time.Sleep(20 * time.Second)
		copied := time.Now()
		saved := a.table.save()
		time.Sleep(9 * time.Second)
		a.table.restore(saved)
		time.Sleep(3 * time.Second)
		for _, h := range []*host{a, b} {
			at, known := h.CopiedAt()[1]
			is.True(known)
			is.True(!at.After(copied))
			is.True(copied.Sub(at) <= renew+2*time.Second) // a renewal, and the error of the clock
		}
	})
}
