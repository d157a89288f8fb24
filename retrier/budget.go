package retrier

import (
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Bounds of the retry budget, in retries.
const (
	// budgetBurst lets all jobs of a few failed engines move at once.
	budgetBurst = 50
	// budgetFloor is the rate of retries per second that a node with little
	// traffic may make, where a share of its traffic is next to nothing.
	budgetFloor = 1
	// resumeReserve is what answers that broke off may take beyond the budget:
	// their callers hold a part of the answer, and the engine has spent the time.
	resumeReserve = 50
)

// retryUnit is one retry in the unit of the bucket.
const retryUnit = 1 << 20

// budget bounds retries to a share of the requests, so that retries do not
// multiply the load when many attempts fail.
type budget struct {
	tokens atomic.Int64 // in units; below zero while answers use the reserve
	floor  *rate.Limiter
}

func newBudget() *budget {
	b := &budget{floor: rate.NewLimiter(budgetFloor, 1)}
	b.tokens.Store(budgetBurst * retryUnit)
	return b
}

// deposit counts one request, of which share may be retried.
func (b *budget) deposit(share float64) {
	for {
		old := b.tokens.Load()
		next := min(old+int64(share*retryUnit), budgetBurst*retryUnit)
		if next <= old || b.tokens.CompareAndSwap(old, next) {
			return
		}
	}
}

// withdraw reports whether a retry may be made.
func (b *budget) withdraw(resumes bool) bool {
	low := int64(0)
	if resumes {
		low = -resumeReserve * retryUnit
	}
	for {
		old := b.tokens.Load()
		if old-retryUnit < low {
			return b.floor.Allow()
		}
		if b.tokens.CompareAndSwap(old, old-retryUnit) {
			return true
		}
	}
}
