package supplier

import (
	"sync/atomic"
	"time"
)

const (
	// minLoadEstimate is the time of a load from an idle weight store.
	minLoadEstimate = 270 * time.Millisecond
	maxLoadEstimate = 1200 * time.Millisecond
	// The estimate grows by 25 % with each load that is late, and falls by 2 % with
	// each load that is accepted.
	growthFactor = 1.25
	decayFactor  = 0.98
)

// loadEstimator estimates how long a load from the weight store takes. The store
// slows down with the loads of all hosts, whose number is not available to any of
// them; a host only observes that its own loads are late.
type loadEstimator struct{ estimate atomic.Int64 }

// duration returns the estimate for the next load.
func (e *loadEstimator) duration() time.Duration {
	return max(time.Duration(e.estimate.Load()), minLoadEstimate)
}

// increase raises the estimate after a late load.
func (e *loadEstimator) increase() {
	e.estimate.Store(int64(min(time.Duration(float64(e.duration())*growthFactor), maxLoadEstimate)))
}

// decay lowers the estimate after an accepted load.
func (e *loadEstimator) decay() {
	e.estimate.Store(int64(float64(e.duration()) * decayFactor))
}
