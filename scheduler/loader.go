package scheduler

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
)

// startLoads starts loads for adapters that queued requests need, as far as there
// are slots for them. The other adapters wait until a slot is no longer pinned.
func (s *Scheduler) startLoads() {
	if !s.reportReceived || s.closed {
		return
	}
	capacity := s.loadCapacity()
	for capacity > 0 {
		e := s.nextToLoad()
		if e == nil {
			return
		}
		s.setState(e, pending)
		s.work.Add(1)
		go s.load(e)
		capacity--
	}
}

// loadCapacity returns how many more loads may start.
func (s *Scheduler) loadCapacity() int {
	capacity := s.slots
	for _, e := range s.entries {
		switch e.state {
		case pending, loading:
			capacity--
		case resident:
			if !e.evictable() {
				capacity--
			}
		}
	}
	return capacity
}

// nextToLoad returns the absent adapter of the queued request that is served
// first, or nil.
func (s *Scheduler) nextToLoad() *entry {
	var best *waiter
	for _, w := range s.queue {
		if w.entry.state == absent && (best == nil || w.before(best)) {
			best = w
		}
	}
	if best == nil {
		return nil
	}
	return best.entry
}

// starvationTimeout is how long a request waits for a slot before an adapter in
// use is drained to free one. Most jobs end within it, so that this is rarely
// necessary.
const starvationTimeout = 3 * time.Second

// relieveStarvation frees a slot for a request that has waited too long while
// steady requests pin every resident adapter: the least requested adapter accepts
// no new jobs, and its queued requests are refused so that they go to another
// engine.
func (s *Scheduler) relieveStarvation(now time.Time) {
	starved := slices.ContainsFunc(s.queue, func(w *waiter) bool {
		return w.entry.state == absent && now.Sub(w.arrived) > starvationTimeout
	})
	draining := s.leastRequested(now, func(e *entry) bool { return e.draining })
	if !starved || s.loadCapacity() > 0 {
		if draining != nil {
			draining.draining = false
			s.modelsStale = true
		}
		return
	}
	if draining != nil {
		return
	}
	e := s.leastRequested(now, func(e *entry) bool { return !e.possiblyInUse })
	if e == nil {
		return
	}
	e.draining = true
	s.modelsStale = true
	s.refuse(adapterDrainingError(e.model), func(w *waiter) bool { return w.entry == e })
}

// leastRequested returns the resident adapter with the lowest request rate among
// those that match, or nil.
func (s *Scheduler) leastRequested(now time.Time, match func(*entry) bool) *entry {
	var (
		best *entry
		low  = math.Inf(1)
	)
	for _, e := range s.entries {
		if e.state != resident || !match(e) {
			continue
		}
		if rate := e.requestRate.perSecond(now); best == nil || rate < low || rate == low && e.since.Before(best.since) {
			best, low = e, rate
		}
	}
	return best
}

// load loads an adapter into the engine. The adapter that it replaces stays usable
// until the weight store budget permits the load.
func (s *Scheduler) load(e *entry) {
	defer s.work.Done()
	release, err := s.budget.Acquire(s.ctx, e.demand)
	if err != nil {
		s.loadFailed(e, fmt.Errorf("wait for permission to use the weight store: %w", err))
		return
	}
	defer release()
	victim, ok := s.allocateSlot(e)
	if !ok {
		return
	}
	if victim != nil {
		if err := s.unload(victim); err != nil {
			s.loadFailed(e, err)
			return
		}
	}
	if err := s.sendOrder(func(f connector.Fence) connector.Order { return connector.NewLoadAdapter(f, e.model) }); err != nil {
		s.loadFailed(e, fmt.Errorf("load %s: %w", e.model, err))
		return
	}
	s.loadSucceeded(e)
}

// allocateSlot assigns a slot to an adapter. It returns the adapter to evict, if
// any, and false if no request waits for the load any more or no slot can be
// freed.
func (s *Scheduler) allocateSlot(e *entry) (*entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	victim, ok := s.victim()
	if e.waiting.Load() == 0 || !ok {
		s.setState(e, absent)
		s.schedule()
		return nil, false
	}
	if victim != nil {
		s.setState(victim, unloading)
	}
	s.setState(e, loading)
	s.requestPublish()
	return victim, true
}

// victim returns the adapter to evict, which is the one with the lowest expected
// cost of a reload. It returns nil if a slot is free, and false if no slot can be
// freed. All adapters of an engine take about the same time to load, so that the
// cost depends on the request rate only.
func (s *Scheduler) victim() (*entry, bool) {
	taken := 0
	for _, e := range s.entries {
		if e.state == loading || e.state == resident {
			taken++
		}
	}
	if taken < s.slots {
		return nil, true
	}
	best := s.leastRequested(time.Now(), (*entry).evictable)
	return best, best != nil
}

func (s *Scheduler) unload(victim *entry) error {
	s.mu.Lock()
	s.asserts.Check(asserter.NoEvictionInUse, victim.running == 0 && !victim.possiblyInUse,
		"adapter %s has %d jobs on engine %s", victim.model, victim.running, s.name)
	s.mu.Unlock()
	err := s.sendOrder(func(f connector.Fence) connector.Order { return connector.NewUnloadAdapter(f, victim.model) })
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		// The adapter may have been evicted; the next report shows whether it was.
		s.setState(victim, resident)
		return fmt.Errorf("evict %s: %w", victim.model, err)
	}
	s.setState(victim, absent)
	return nil
}

// sendOrder sends one order under the current lease.
func (s *Scheduler) sendOrder(newOrder func(connector.Fence) connector.Order) error {
	fence, err := s.lease.Fence()
	if err != nil {
		return &leaseError{cause: err}
	}
	ctx, cancel := context.WithTimeout(s.ctx, loadTimeout)
	defer cancel()
	return s.engine.Order(ctx, newOrder(fence))
}

// leaseError reports an order that was not sent because the node does not own
// the engine.
type leaseError struct{ cause error }

func (e *leaseError) Error() string { return "the node does not own the engine: " + e.cause.Error() }
func (e *leaseError) Unwrap() error { return e.cause }

// loadSucceeded marks an adapter as resident and starts its jobs.
func (s *Scheduler) loadSucceeded(e *entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.failures = 0
	e.lastError = nil
	s.setState(e, resident)
	s.schedule()
}

// Bounds of the delay after a failed load.
const (
	firstBackoff = 500 * time.Millisecond
	lastBackoff  = 30 * time.Second
)

// loadFailed refuses the requests that wait for the adapter, so that they go to
// another engine, and delays the next load of this adapter only.
func (s *Scheduler) loadFailed(e *entry, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setState(e, absent)
	wait := retryElsewhere
	var lost *leaseError
	if !errors.As(err, &lost) && s.ctx.Err() == nil {
		wait = s.backoff(e)
		e.lastError = err
		e.retryAt = time.Now().Add(wait)
	}
	fault := classifier.NewUnavailable(fmt.Sprintf("adapter %s could not be loaded", e.model),
		classifier.RetryAfter(wait), classifier.Cause(err))
	s.refuse(fault, func(w *waiter) bool { return w.entry == e })
	s.schedule()
}

// backoff returns the delay before the next load of an adapter, which doubles with
// each consecutive failure. The jitter keeps engines whose loads failed at the same
// time from retrying at the same time.
func (s *Scheduler) backoff(e *entry) time.Duration {
	d := firstBackoff << min(e.failures, 10)
	e.failures++
	d = min(d, lastBackoff)
	return d*3/4 + time.Duration(s.rand.Int64N(int64(d/2)))
}

// sortedModels returns models in a fixed order.
func sortedModels(models []connector.Model) []connector.Model {
	slices.SortFunc(models, func(a, b connector.Model) int { return cmp.Compare(a.String(), b.String()) })
	return models
}
