package sharer

import (
	"math"
	"time"
)

// halfLife is the time in which recorded use loses half of its weight.
const halfLife = 2 * time.Second

// use is what workspaces requested and got, with exponential decay.
type use struct {
	at       time.Time // to which the values have decayed
	requests float64
	grants   float64
	slotTime float64 // seconds
}

// decay lets the values decay until now.
func (u *use) decay(now time.Time) {
	elapsed := now.Sub(u.at)
	if elapsed <= 0 {
		return
	}
	weight := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	u.at = now
	u.requests *= weight
	u.grants *= weight
	u.slotTime *= weight
}

// add adds values that have decayed to the same time.
func (u *use) add(o use) {
	u.requests += o.requests
	u.grants += o.grants
	u.slotTime += o.slotTime
}

// subtract removes values that have decayed to the same time. Rounding errors do not make
// the result negative.
func (u *use) subtract(o use) {
	u.requests = max(u.requests-o.requests, 0)
	u.grants = max(u.grants-o.grants, 0)
	u.slotTime = max(u.slotTime-o.slotTime, 0)
}
