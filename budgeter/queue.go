package budgeter

import (
	"context"
	"sync"
	"time"
)

// waiter is a load that waits for a permit.
type waiter struct {
	demand  func() int
	since   time.Time
	granted chan func() // receives the release function once
}

// urgency orders loads by the requests that wait for them. Each second of wait
// counts as one more request, so that an adapter with a single request is not
// overtaken for ever.
func (w *waiter) urgency(now time.Time) float64 {
	return float64(w.demand()) + now.Sub(w.since).Seconds()
}

// queue holds the loads of this node that wait. A channel of capacity 1 wakes
// each of the two loops that serve it.
type queue struct {
	mu      sync.Mutex
	waiters map[*waiter]struct{}
	wake    []chan struct{}
}

func newQueue(wake ...chan struct{}) *queue {
	return &queue{waiters: make(map[*waiter]struct{}), wake: wake}
}

func (q *queue) add(w *waiter) {
	q.mu.Lock()
	q.waiters[w] = struct{}{}
	q.mu.Unlock()
	q.signal()
}

func (q *queue) signal() {
	for _, c := range q.wake {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// remove reports whether w still waited.
func (q *queue) remove(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, ok := q.waiters[w]
	delete(q.waiters, w)
	return ok
}

func (q *queue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters) == 0
}

// oldest returns the longest wait, and false if no load waits.
func (q *queue) oldest(now time.Time) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	longest := time.Duration(-1)
	for w := range q.waiters {
		longest = max(longest, now.Sub(w.since))
	}
	return longest, longest >= 0
}

// grant gives a permit to the most urgent load, and reports false if none waits.
func (q *queue) grant(release func()) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	var best *waiter
	for w := range q.waiters {
		if best == nil || w.urgency(now) > best.urgency(now) ||
			w.urgency(now) == best.urgency(now) && w.since.Before(best.since) {
			best = w
		}
	}
	if best == nil {
		return false
	}
	delete(q.waiters, best)
	best.granted <- release
	return true
}

// sleep waits for d, for a signal or for the end of ctx. It reports whether ctx
// goes on. A negative d waits without limit.
func sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	var after <-chan time.Time
	if d >= 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		after = timer.C
	}
	select {
	case <-after:
	case <-wake:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
