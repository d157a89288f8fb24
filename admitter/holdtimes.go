package admitter

import (
	"sync/atomic"
	"time"
)

// sampleDivisor is the reciprocal of the weight of a new sample in the average. At
// 8, the average follows a change of load after about a dozen requests.
const sampleDivisor = 8

// holdTimes is a moving average of how long requests hold a slot. Concurrent samples
// may overwrite each other, because an approximate average is enough.
type holdTimes struct {
	average atomic.Int64 // nanoseconds; 0 before the first sample
}

func (h *holdTimes) observe(held time.Duration) {
	old := h.average.Load()
	sample := max(int64(held), 1)
	if old == 0 {
		h.average.Store(sample)
		return
	}
	h.average.Store(max(old+(sample-old)/sampleDivisor, 1))
}

// waitTime returns how long it takes until the n-th slot from now becomes free while
// all slots are in use: a node with limit slots frees one every average/limit.
func (h *holdTimes) waitTime(n int, limit uint32) time.Duration {
	return time.Duration(float64(h.average.Load()) * float64(n) / float64(limit))
}
