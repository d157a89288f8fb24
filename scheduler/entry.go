package scheduler

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
)

// state is the load state of an adapter version on the engine.
type state int

const (
	absent    state = iota
	pending         // waits for the weight store; occupies no slot
	loading         // occupies a slot
	resident        // occupies a slot
	unloading       // its slot is assigned to the adapter that replaces it
)

// entry is the owner's record of one adapter version.
type entry struct {
	model         connector.Model
	state         state
	since         time.Time    // when state was entered
	running       int          // jobs that use the version
	waiting       atomic.Int64 // queued requests for the version
	possiblyInUse bool         // by a job of a previous owner
	draining      bool         // accepts no new job, so that its slot becomes free
	firstReported time.Time    // when a version that may be in use was first reported
	requestRate   requestRate
	failures      int // consecutive failed loads
	lastError     error
	retryAt       time.Time
}

// evictable reports whether the version is resident and no job uses it or waits for
// it.
func (e *entry) evictable() bool {
	return e.state == resident && e.running == 0 && e.waiting.Load() == 0 && !e.possiblyInUse
}

// demand returns the number of requests that wait for the version.
func (e *entry) demand() int { return int(e.waiting.Load()) }

// Time constants of the request rates. The fast one follows bursts of requests for
// an adapter, the slow one its popularity over an hour.
const (
	fastDecay = 5 * time.Second
	slowDecay = 5 * time.Minute
)

// requestRate estimates the rate of requests for a version from two exponentially
// decaying counts.
type requestRate struct {
	fast float64
	slow float64
	at   time.Time
}

func (r *requestRate) decay(now time.Time) {
	if !r.at.IsZero() {
		dt := now.Sub(r.at).Seconds()
		r.fast *= math.Exp(-dt / fastDecay.Seconds())
		r.slow *= math.Exp(-dt / slowDecay.Seconds())
	}
	r.at = now
}

// add counts a request.
func (r *requestRate) add(now time.Time) {
	r.decay(now)
	r.fast++
	r.slow++
}

// perSecond returns the expected number of requests per second.
func (r *requestRate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.fast/fastDecay.Seconds() + r.slow/slowDecay.Seconds()
}

// entry returns the entry of m, which it creates if there is none.
func (s *Scheduler) entry(m connector.Model) *entry {
	e, ok := s.entries[m]
	if !ok {
		e = &entry{model: m}
		s.entries[m] = e
	}
	return e
}

func (s *Scheduler) setState(e *entry, to state) {
	e.state = to
	e.since = time.Now()
	e.draining = false
	s.modelsStale = true
}

// minRetainedRate is the request rate below which the entry of an absent adapter is
// deleted: one request in two hours.
const minRetainedRate = 1.0 / 7200

// pruneEntries deletes entries that no longer influence a decision.
func (s *Scheduler) pruneEntries(now time.Time) {
	for m, e := range s.entries {
		if e.state == absent && e.running == 0 && e.waiting.Load() == 0 && now.After(e.retryAt) && e.requestRate.perSecond(now) < minRetainedRate {
			delete(s.entries, m)
		}
	}
}
