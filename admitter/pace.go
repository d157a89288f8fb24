package admitter

import (
	"sync/atomic"
	"time"
)

// paceWeight is the share of a new sample in the average, as a divisor. With
// eight, a change of load shows after about a dozen requests.
const paceWeight = 8

// pace measures how long requests hold a place. Concurrent samples may
// overwrite each other; the average needs no exact count.
type pace struct {
	average atomic.Int64 // nanoseconds; 0 before the first sample
}

func (p *pace) observe(held time.Duration) {
	old := p.average.Load()
	sample := max(int64(held), 1)
	if old == 0 {
		p.average.Store(sample)
		return
	}
	p.average.Store(max(old+(sample-old)/paceWeight, 1))
}

// until returns when the n-th place from now becomes free, with all places
// taken: a node with limit places frees one every average/limit.
func (p *pace) until(n int, limit uint32) time.Duration {
	return time.Duration(float64(p.average.Load()) * float64(n) / float64(limit))
}
