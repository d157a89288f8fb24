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

// startLoads starts a load for each adapter that requests wait for, as long as
// there are slots for them. The others wait until a slot loses its pin.
func (s *Scheduler) startLoads() {
	if !s.reported || s.closed {
		return
	}
	room := s.room()
	for room > 0 {
		e := s.nextWanted()
		if e == nil {
			return
		}
		s.setState(e, pending)
		s.work.Add(1)
		go s.load(e)
		room--
	}
}

// room returns how many more loads may start.
func (s *Scheduler) room() int {
	room := s.slots
	for _, e := range s.entries {
		switch e.state {
		case pending, loading:
			room--
		case resident:
			if !e.evictable() {
				room--
			}
		}
	}
	return room
}

// nextWanted returns the absent adapter of the first request in the queue's
// order.
func (s *Scheduler) nextWanted() *entry {
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

// starvedAfter is how long a request waits for a slot before an adapter in use
// must make room. Most jobs end within it, so that slots rarely need this.
const starvedAfter = 3 * time.Second

// relieve frees a slot for a request that has waited too long while steady
// requests pin every adapter in the engine: the least used adapter takes no new
// jobs, and the requests that wait for it go to another engine.
func (s *Scheduler) relieve(now time.Time) {
	starved := slices.ContainsFunc(s.queue, func(w *waiter) bool {
		return w.entry.state == absent && now.Sub(w.arrived) > starvedAfter
	})
	retiring := s.leastUsed(now, func(e *entry) bool { return e.retiring })
	if !starved || s.room() > 0 {
		if retiring != nil {
			retiring.retiring = false
			s.stale = true
		}
		return
	}
	if retiring != nil {
		return
	}
	e := s.leastUsed(now, func(e *entry) bool { return !e.unsettled })
	if e == nil {
		return
	}
	e.retiring = true
	s.stale = true
	s.refuse(retiringFault(e.model), func(w *waiter) bool { return w.entry == e })
}

// leastUsed returns the resident adapter with the lowest rate of requests among
// those that match, or nil.
func (s *Scheduler) leastUsed(now time.Time, match func(*entry) bool) *entry {
	var (
		best *entry
		low  = math.Inf(1)
	)
	for _, e := range s.entries {
		if e.state != resident || !match(e) {
			continue
		}
		if rate := e.heat.rate(now); best == nil || rate < low || rate == low && e.since.Before(best.since) {
			best, low = e, rate
		}
	}
	return best
}

// load brings an adapter into the engine. The adapter that makes room for it
// stays usable until the weight store has given permission.
func (s *Scheduler) load(e *entry) {
	defer s.work.Done()
	release, err := s.budget.Acquire(s.ctx, e.demand)
	if err != nil {
		s.loadFailed(e, fmt.Errorf("wait for the weight store: %w", err))
		return
	}
	defer release()
	victim, ok := s.takeSlot(e)
	if !ok {
		return
	}
	if victim != nil {
		if err := s.unload(victim); err != nil {
			s.loadFailed(e, err)
			return
		}
	}
	if err := s.order(func(f connector.Fence) connector.Order { return connector.NewLoadAdapter(f, e.model) }); err != nil {
		s.loadFailed(e, fmt.Errorf("load %s: %w", e.model, err))
		return
	}
	s.loaded(e)
}

// takeSlot gives an adapter a slot. It returns the adapter to evict, if any, and
// false when nobody waits for the load any more or every slot is in use again.
func (s *Scheduler) takeSlot(e *entry) (*entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	victim, ok := s.victim()
	if e.waiting.Load() == 0 || !ok {
		s.setState(e, absent)
		s.advance()
		return nil, false
	}
	if victim != nil {
		s.setState(victim, unloading)
	}
	s.setState(e, loading)
	s.touch()
	return victim, true
}

// victim returns the adapter to evict, nil if a slot is free, and false if no
// slot can be freed: the one with the lowest expected cost of a reload. All
// adapters of an engine take about the same time to load, so that the cost is
// the rate of requests alone.
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
	best := s.leastUsed(time.Now(), (*entry).evictable)
	return best, best != nil
}

func (s *Scheduler) unload(victim *entry) error {
	s.mu.Lock()
	s.asserts.Check(asserter.NoEvictionInUse, victim.running == 0 && !victim.unsettled,
		"adapter %s has %d jobs on engine %s", victim.model, victim.running, s.name)
	s.mu.Unlock()
	err := s.order(func(f connector.Fence) connector.Order { return connector.NewUnloadAdapter(f, victim.model) })
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		// The adapter may or may not be gone; the next report tells.
		s.setState(victim, resident)
		return fmt.Errorf("evict %s: %w", victim.model, err)
	}
	s.setState(victim, absent)
	return nil
}

// order sends one order under the lease that is valid at this moment.
func (s *Scheduler) order(with func(connector.Fence) connector.Order) error {
	fence, err := s.lease.Fence()
	if err != nil {
		return &leaseError{cause: err}
	}
	ctx, cancel := context.WithTimeout(s.ctx, loadTimeout)
	defer cancel()
	return s.engine.Order(ctx, with(fence))
}

// leaseError reports an order that was not sent because the node does not own
// the engine.
type leaseError struct{ cause error }

func (e *leaseError) Error() string { return "the node does not own the engine: " + e.cause.Error() }
func (e *leaseError) Unwrap() error { return e.cause }

func (s *Scheduler) loaded(e *entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.failures = 0
	e.failure = nil
	s.setState(e, resident)
	s.advance()
}

// Bounds of the wait after a failed load.
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
		e.failure = err
		e.retryAt = time.Now().Add(wait)
	}
	fault := classifier.NewUnavailable(fmt.Sprintf("adapter %s could not be loaded", e.model),
		classifier.RetryAfter(wait), classifier.Cause(err))
	s.refuse(fault, func(w *waiter) bool { return w.entry == e })
	s.advance()
}

// backoff doubles with each failure in a row. The jitter keeps engines that
// failed together from trying again together.
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
