package awaiter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/router"
)

const (
	// maxWait is how long a call is held. A host reads its tables within 0.2 s of its
	// start unless the store is away.
	maxWait = 500 * time.Millisecond
	// maxHeld bounds the calls that are held, because each keeps its body in memory.
	maxHeld = 256
)

// Awaiter holds calls until all needs are met, for a bounded time. A call that has
// waited in vain goes on, and a later stage refuses it.
type Awaiter struct {
	open atomic.Int32  // needs that are not met
	met  chan struct{} // closed when all are
	held atomic.Int32
	log  *logger.Logger
}

// New returns an awaiter with a number of needs, and for each a function that says
// that it is met.
func New(needs int, log *logger.Logger) (*Awaiter, []func()) {
	a := &Awaiter{met: make(chan struct{}), log: log.Component("awaiter")}
	a.open.Store(int32(needs))
	meet := make([]func(), needs)
	for i := range meet {
		meet[i] = sync.OnceFunc(func() {
			if a.open.Add(-1) == 0 {
				close(a.met)
			}
		})
	}
	return a, meet
}

// Ready reports whether all needs are met.
func (a *Awaiter) Ready() bool { return a.open.Load() == 0 }

// Apply holds a call while needs are not met, at most for half of its patience.
func (a *Awaiter) Apply(ctx context.Context, c *router.Call) (*router.Call, error) {
	if a.Ready() {
		return c, nil
	}
	defer a.held.Add(-1)
	if a.held.Add(1) > maxHeld {
		a.note(c, "too many held", 0)
		return c, nil
	}
	began := time.Now()
	wait := maxWait
	if c.MaxWait() > 0 {
		wait = min(wait, c.MaxWait()/2)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-a.met:
		a.note(c, "known", time.Since(began))
	case <-timer.C:
		a.note(c, "not known in time", time.Since(began))
	case <-ctx.Done():
		a.note(c, "caller left", time.Since(began))
	}
	return c, nil
}

func (a *Awaiter) note(c *router.Call, outcome string, waited time.Duration) {
	a.log.Info("call-held", logger.Request(c.ID()), logger.With(logger.KeyOutcome, outcome), logger.With(logger.KeyWait, waited.Milliseconds()))
}
