package retrier

import (
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Limits of the retry budget, in retries.
const (
	// budgetBurst allows all jobs of a few failed engines to be retried at once.
	budgetBurst = 50
	// budgetFloor is the number of retries per second that are allowed in any
	// case. On a node with little traffic the share alone allows almost none.
	budgetFloor = 1
	// resumeReserve is how far retries that resume a streamed answer may overdraw
	// the budget: the caller already has a part of the answer, and giving up
	// would waste the engine time spent on it.
	resumeReserve = 50
)

// retryUnit is the cost of one retry in tokens of the bucket. It allows deposits
// of a fraction of a retry.
const retryUnit = 1 << 20

// budget is a token bucket that limits retries to a share of the requests, so that
// retries do not multiply the load when many attempts fail.
type budget struct {
	tokens atomic.Int64 // negative while the resume reserve is in use
	floor  *rate.Limiter
}

func newBudget() *budget {
	b := &budget{floor: rate.NewLimiter(budgetFloor, 1)}
	b.tokens.Store(budgetBurst * retryUnit)
	return b
}

// deposit adds the budget of one request: share is the fraction of a retry that it
// allows.
func (b *budget) deposit(share float64) {
	for {
		old := b.tokens.Load()
		next := min(old+int64(share*retryUnit), budgetBurst*retryUnit)
		if next <= old || b.tokens.CompareAndSwap(old, next) {
			return
		}
	}
}

// withdraw takes the cost of one retry and reports whether the retry may be made.
func (b *budget) withdraw(resuming bool) bool {
	minTokens := int64(0)
	if resuming {
		minTokens = -resumeReserve * retryUnit
	}
	for {
		old := b.tokens.Load()
		if old-retryUnit < minTokens {
			return b.floor.Allow()
		}
		if b.tokens.CompareAndSwap(old, old-retryUnit) {
			return true
		}
	}
}
