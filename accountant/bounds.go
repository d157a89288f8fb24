package accountant

import "time"

// lateShare is the share of what the bounds allow that late returns may use. The rest covers
// calls that wait after they were charged, and hosts that disagree on the quota owner.
const lateShare = 0.5

// Bounds state by how much the calls of a workspace may exceed its quota. In any window they
// cost at most (rate * window + burst) * (1 + over) + slack.
type Bounds struct {
	window time.Duration
	over   float64
	slack  float64 // units
}

// NewBounds returns bounds.
func NewBounds(window time.Duration, over, slack float64) Bounds {
	return Bounds{window: window, over: over, slack: slack}
}

// Allowance returns the units by which a quota may be exceeded in a window.
func (b Bounds) Allowance(t Terms) float64 {
	return (t.rate*b.window.Seconds()+t.burst)*b.over + b.slack
}

// Largest returns the cost of the largest call that a quota can grant.
func (b Bounds) Largest(t Terms) float64 { return t.burst + b.Allowance(t) }

// LostShare returns the share of their parts of a quota that hosts grant while others may count
// them as lost, and share the whole rate. The sum is within the bounds if these hosts are two
// thirds of all at most.
func (b Bounds) LostShare() float64 { return min(1.5*b.over, 1) }

// takeCredit returns how many of the units that are returned late may be granted again, of at
// most limit in a window.
func (b *bucket) takeCredit(units, limit float64, window time.Duration, now time.Time) float64 {
	if elapsed := now.Sub(b.lateAt); elapsed > 0 {
		b.late = max(b.late-limit/2*elapsed.Seconds()/window.Seconds(), 0)
		b.lateAt = now
	}
	// The credit fills up over a window, so that up to twice as much can be taken within one.
	taken := min(units, max(limit/2-b.late, 0))
	b.late += taken
	return taken
}
