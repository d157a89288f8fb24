package scheduler

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
)

// state is where an adapter version is on its way into the engine.
type state int

const (
	absent    state = iota
	pending         // waits for the weight store; holds no slot
	loading         // holds a slot
	resident        // holds a slot
	unloading       // its slot belongs to the adapter that replaces it
)

// entry is what the owner knows of one adapter version.
type entry struct {
	model     connector.Model
	state     state
	since     time.Time // when state was entered
	running   int       // jobs that use the version
	waiting   atomic.Int64
	unsettled bool      // a previous owner's job may use the version
	retiring  bool      // takes no new job, so that its slot becomes free
	seen      time.Time // when an unsettled version was first reported
	heat      heat
	failures  int // loads in a row
	failure   error
	retryAt   time.Time
}

// evictable reports whether nobody uses or waits for the version.
func (e *entry) evictable() bool {
	return e.state == resident && e.running == 0 && e.waiting.Load() == 0 && !e.unsettled
}

// demand returns how many requests wait for the version.
func (e *entry) demand() int { return int(e.waiting.Load()) }

// Time constants of the request rates. The fast one follows a burst of requests
// for one adapter, the slow one its popularity over the hour.
const (
	fastDecay = 5 * time.Second
	slowDecay = 5 * time.Minute
)

// heat estimates the rate of requests for a version from two exponentially
// decaying counts.
type heat struct {
	fast float64
	slow float64
	at   time.Time
}

func (h *heat) decay(now time.Time) {
	if !h.at.IsZero() {
		dt := now.Sub(h.at).Seconds()
		h.fast *= math.Exp(-dt / fastDecay.Seconds())
		h.slow *= math.Exp(-dt / slowDecay.Seconds())
	}
	h.at = now
}

func (h *heat) add(now time.Time) {
	h.decay(now)
	h.fast++
	h.slow++
}

// rate returns the expected requests per second.
func (h *heat) rate(now time.Time) float64 {
	h.decay(now)
	return h.fast/fastDecay.Seconds() + h.slow/slowDecay.Seconds()
}

// entry returns the entry of m, which it makes if there is none.
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
	e.retiring = false
	s.stale = true
}

// forgetBelow is the request rate below which an absent adapter is forgotten:
// one request in two hours.
const forgetBelow = 1.0 / 7200

// forget removes entries that no longer influence a decision.
func (s *Scheduler) forget(now time.Time) {
	for m, e := range s.entries {
		if e.state == absent && e.running == 0 && e.waiting.Load() == 0 && now.After(e.retryAt) && e.heat.rate(now) < forgetBelow {
			delete(s.entries, m)
		}
	}
}
