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

// priority is the number of requests that wait for the load. Each second of
// waiting counts as one more request, so that an adapter with a single request
// does not starve.
func (w *waiter) priority(now time.Time) float64 {
	return float64(w.demand()) + now.Sub(w.since).Seconds()
}

// queue holds the loads of this node that wait for a permit. Each of the two
// loops that serve it is woken through its own channel of capacity 1.
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

// remove removes w and reports whether it was still waiting.
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

// oldest returns the longest wait so far, and false if no load waits.
func (q *queue) oldest(now time.Time) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	longest := time.Duration(-1)
	for w := range q.waiters {
		longest = max(longest, now.Sub(w.since))
	}
	return longest, longest >= 0
}

// grant gives a permit to the load with the highest priority. It returns false
// if no load waits.
func (q *queue) grant(release func()) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	var best *waiter
	for w := range q.waiters {
		if best == nil || w.priority(now) > best.priority(now) ||
			w.priority(now) == best.priority(now) && w.since.Before(best.since) {
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

// sleep waits until d has passed, wake receives a signal or ctx is done. A
// negative d means no time limit. It returns false if ctx is done.
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
