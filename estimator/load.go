package estimator

import (
	"sync"
	"time"
)

const (
	minLoadTime = 5 * time.Millisecond
	maxLoadTime = 20 * time.Second
	// While loads are late, the estimate of the crowding grows by 25 % with each late
	// load and falls by 2 % with each accepted one.
	crowdingGrowth = 1.25
	crowdingDecay  = 0.98
	// The estimate for an idle store grows by 5 % with each load that is late although
	// no crowding is known, and falls by 0.1 % with each load that is accepted then, so
	// that about one load in fifty is late.
	idleGrowth = 1.05
	// A store that is slow for good shows as crowding first; the estimate for an idle
	// store follows by 1 % with each load that is late.
	crowdedGrowth = 1.01
	idleDecay     = 0.999
	// warmShare is the time of a load from the cache of the engine's host, as a share
	// of a load from an idle weight store, and warmMargin is added to it.
	warmShare  = 0.1
	warmMargin = 10 * time.Millisecond
)

// Loads estimates how long a load of an adapter from the weight store takes. The store
// slows down with the loads of all hosts, whose number is not available to any of
// them; a host only observes that its own loads are late.
type Loads struct {
	mu       sync.Mutex
	idle     time.Duration // of a load from an idle store
	crowding float64       // factor for the loads of other hosts, at least 1
}

// NewLoads returns an estimate that starts at initial for an idle store.
func NewLoads(initial time.Duration) *Loads { return &Loads{idle: initial, crowding: 1} }

// Cold returns the estimate for the next load from the weight store.
func (l *Loads) Cold() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(time.Duration(float64(l.idle)*l.crowding), maxLoadTime)
}

// Warm returns the estimate for a load from the cache of the engine's host.
func (l *Loads) Warm() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(warmShare*float64(l.idle)) + warmMargin
}

// Late records a load that took longer than estimated.
func (l *Loads) Late() {
	l.mu.Lock()
	defer l.mu.Unlock()
	growth := idleGrowth
	if l.crowding > 1 {
		growth = crowdedGrowth
	}
	l.scaleIdle(growth)
	l.crowding = min(l.crowding*crowdingGrowth, float64(maxLoadTime)/float64(l.idle))
}

// Accepted records that an engine accepted a load.
func (l *Loads) Accepted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.crowding == 1 {
		l.scaleIdle(idleDecay)
	}
	l.crowding = max(l.crowding*crowdingDecay, 1)
}

func (l *Loads) scaleIdle(factor float64) {
	l.idle = min(max(time.Duration(float64(l.idle)*factor), minLoadTime), maxLoadTime)
}
