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
	// maxWait is the maximum time that a call is held. A host reads its tables within
	// 0.2 s of its start unless the store is unreachable.
	maxWait = 500 * time.Millisecond
	// maxHeld is the maximum number of calls held at a time. Each keeps its body in
	// memory.
	maxHeld = 256
)

// Awaiter holds calls until all dependencies are ready, for a bounded time. After
// that time a call is passed on all the same, and a later stage refuses it.
type Awaiter struct {
	pending atomic.Int32  // dependencies that are not ready
	ready   chan struct{} // closed when pending reaches zero
	held    atomic.Int32
	log     *logger.Logger
}

// New returns an awaiter with the given number of dependencies, and for each a
// function that marks it as ready.
func New(dependencies int, log *logger.Logger) (*Awaiter, []func()) {
	a := &Awaiter{ready: make(chan struct{}), log: log.Component("awaiter")}
	a.pending.Store(int32(dependencies))
	markReady := make([]func(), dependencies)
	for i := range markReady {
		markReady[i] = sync.OnceFunc(func() {
			if a.pending.Add(-1) == 0 {
				close(a.ready)
			}
		})
	}
	return a, markReady
}

// Ready reports whether all dependencies are ready.
func (a *Awaiter) Ready() bool { return a.pending.Load() == 0 }

// Apply holds a call until all dependencies are ready, but for at most maxWait and
// half of the time that the caller waits. It never returns an error.
func (a *Awaiter) Apply(ctx context.Context, c *router.Call) (*router.Call, error) {
	if a.Ready() {
		return c, nil
	}
	defer a.held.Add(-1)
	if a.held.Add(1) > maxHeld {
		a.logHeld(c, "too many held", 0)
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
	case <-a.ready:
		a.logHeld(c, "known", time.Since(began))
	case <-timer.C:
		a.logHeld(c, "not known in time", time.Since(began))
	case <-ctx.Done():
		a.logHeld(c, "caller left", time.Since(began))
	}
	return c, nil
}

func (a *Awaiter) logHeld(c *router.Call, outcome string, waited time.Duration) {
	a.log.Info("call-held", logger.Request(c.ID()), logger.With(logger.KeyOutcome, outcome), logger.With(logger.KeyWait, waited.Milliseconds()))
}
