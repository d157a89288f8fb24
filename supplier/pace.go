package supplier

import (
	"sync/atomic"
	"time"
)

const (
	// minLoad is how long an adapter takes from an idle weight store.
	minLoad = 270 * time.Millisecond
	maxLoad = 1200 * time.Millisecond
	// The estimate grows by a quarter when a model was not there in time, and falls
	// by a fiftieth with each load.
	lateFactor  = 1.25
	decayFactor = 0.98
)

// pace estimates how long an adapter takes from the weight store. The store slows
// down with the loads of all hosts, which no host knows; what a host sees is that
// models are not there in time.
type pace struct{ estimate atomic.Int64 }

// load returns the estimate for the next load.
func (p *pace) load() time.Duration {
	return max(time.Duration(p.estimate.Load()), minLoad)
}

func (p *pace) late() {
	p.estimate.Store(int64(min(time.Duration(float64(p.load())*lateFactor), maxLoad)))
}

// ordered counts a load.
func (p *pace) ordered() {
	p.estimate.Store(int64(float64(p.load()) * decayFactor))
}
