package accountant

import (
	"maps"
	"math"
	"sync"
	"time"
)

const (
	// idleTime is the time without a draw after which a bucket is removed if the whole rate
	// fills it by then.
	idleTime = time.Minute
	// chargeShare is the share of a burst by which a bucket is overdrawn for what others granted.
	// Some hosts draw from it before others report.
	chargeShare = 0.25
	// lossShare is the share of a window in which a bucket loses a whole burst that is above its
	// share. Most falls of a share are shorter.
	lossShare = 0.25
	// maxBuckets limits the memory. It is far above the number of workspaces of a
	// configuration.
	maxBuckets = 1 << 16
)

// Verdict is the answer to a draw: Granted or Exceeded.
type Verdict interface {
	// Balance returns what the bucket has left.
	Balance() Balance
	verdict()
}

type (
	// Granted means that the call may be sent.
	Granted struct{ balance Balance }
	// Exceeded means that the quota is used up.
	Exceeded struct {
		wait    time.Duration
		balance Balance
	}
)

// NewGranted returns a grant by a bucket with a balance.
func NewGranted(b Balance) Granted { return Granted{balance: b} }

// NewExceeded returns a refusal by a bucket with a balance. Wait is the time after which the
// caller may try again.
func NewExceeded(wait time.Duration, b Balance) Exceeded {
	return Exceeded{wait: wait, balance: b}
}

// Wait returns the time after which the caller may try again.
func (e Exceeded) Wait() time.Duration { return e.wait }

// Balance implements Verdict.
func (g Granted) Balance() Balance { return g.balance }

// Balance implements Verdict.
func (e Exceeded) Balance() Balance { return e.balance }

func (Granted) verdict()  {}
func (Exceeded) verdict() {}

// Terms are the rate and the burst of a quota as of a version of the configuration.
type Terms struct {
	version int64
	rate    float64 // units a second
	burst   float64 // units
}

// NewTerms returns the terms of a quota.
func NewTerms(version int64, rate, burst float64) Terms {
	return Terms{version: version, rate: rate, burst: burst}
}

// Version returns the version of the configuration that set the terms.
func (t Terms) Version() int64 { return t.version }

// Rate returns the units a second.
func (t Terms) Rate() float64 { return t.rate }

// Burst returns the units that may be drawn at once.
func (t Terms) Burst() float64 { return t.burst }

// Part is the part of a quota that a bucket grants.
type Part struct {
	rate    float64 // share of the rate
	start   float64 // level of a new bucket in units
	ceiling float64 // highest level in units
}

// NewPart returns a part with a share of the rate. A new bucket starts with a number of units,
// which is negative if its first call has to wait.
func NewPart(rate, start float64) Part {
	return Part{rate: rate, start: start, ceiling: math.Inf(1)}
}

// AtMost returns the part with a limit on the bucket's level: what the bucket that granted the quota
// before has left.
func (p Part) AtMost(units float64) Part {
	p.ceiling = units
	return p
}

// Whole returns the whole of a quota.
func (t Terms) Whole() Part { return NewPart(1, t.burst) }

// bucket is the state of a quota.
type bucket struct {
	terms     Terms
	share     float64 // of the rate, as of the latest draw
	level     float64 // units that may be drawn at updated
	updated   time.Time
	refused   float64 // units needed by the largest recently refused call
	refusedAt time.Time
	retries   Retries
	late      float64 // units that were returned late, of those that still count in the window
	lateAt    time.Time
}

// Accountant holds the buckets of workspaces. It is safe for concurrent use.
type Accountant struct {
	bounds    Bounds
	overdraft bool
	mu        sync.Mutex
	buckets   map[string]*bucket
	swept     time.Time
}

// Option sets an optional property of an Accountant.
type Option func(*Accountant)

// WithOverdraft lets each bucket that is not empty be overdrawn by one call, so that a part
// of a quota which is smaller than a call still serves some.
func WithOverdraft() Option { return func(a *Accountant) { a.overdraft = true } }

// New returns an accountant without buckets.
func New(b Bounds, opts ...Option) *Accountant {
	a := &Accountant{bounds: b, buckets: make(map[string]*bucket)}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Draw charges the cost of a call to a workspace.
func (a *Accountant) Draw(workspace string, t Terms, p Part, cost float64, now time.Time) Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.bucket(workspace, t, p, now)
	a.refill(b, t, p, now)
	if cost > a.bounds.Largest(b.terms) {
		return NewExceeded(MaxWait, b.balance()) // no bucket is ever full enough, and one that granted it would be empty for long
	}
	// A call that is larger than the burst needs a full bucket and leaves it overdrawn.
	needed := min(cost, b.terms.burst)
	if a.overdraft {
		needed = 0
	}
	if b.level >= needed {
		b.level -= cost
		if needed >= b.refused {
			b.refused = 0
		}
		return NewGranted(b.balance())
	}
	b.refused, b.refusedAt = max(b.refused, needed), now
	rate := b.terms.rate * p.rate
	return NewExceeded(b.retries.Next(now, perSecond(needed-b.level, rate), perSecond(cost, rate)), b.balance())
}

// Return gives the cost of calls that did not run back to a workspace.
func (a *Accountant) Return(workspace string, cost float64, now time.Time) {
	a.adjust(workspace, now, func(b *bucket) float64 { return min(b.level+cost, b.terms.burst) })
}

// ReturnLate gives the cost of calls that did not run and took long to end back to a workspace.
// The bucket has filled up since they were charged, so that it may grant the same tokens
// twice; what is given back in a window is limited to half of what the bounds allow.
func (a *Accountant) ReturnLate(workspace string, cost float64, now time.Time) {
	a.adjust(workspace, now, func(b *bucket) float64 {
		credit := b.takeCredit(cost, lateShare*a.bounds.Allowance(b.terms), a.bounds.window, now)
		return min(b.level+credit, b.terms.burst)
	})
}

// Charge takes what another bucket granted in place of this one. It overdraws the bucket by
// chargeShare of its burst at most, so that calls do not wait long for what was granted before.
func (a *Accountant) Charge(workspace string, cost float64, now time.Time) {
	a.adjust(workspace, now, func(b *bucket) float64 {
		return max(b.level-cost, min(b.level, -chargeShare*b.terms.burst))
	})
}

// Limit lowers the level of a workspace's bucket to a share of its burst. It is for a host
// that becomes the owner of a quota again, while others may have granted it.
func (a *Accountant) Limit(workspace string, share float64, now time.Time) {
	a.adjust(workspace, now, func(b *bucket) float64 { return min(b.level, share*b.terms.burst) })
}

// adjust sets the level of a workspace's bucket, if there is one, to what level returns for
// the bucket as it is at now.
func (a *Accountant) adjust(workspace string, now time.Time, level func(*bucket) float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b := a.buckets[workspace]; b != nil {
		a.refill(b, b.terms, NewPart(b.share, 0), now)
		b.level = level(b)
	}
}

// Buckets returns the number of buckets that are kept.
func (a *Accountant) Buckets() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.buckets)
}

// bucket returns the bucket of a workspace. It requires mu.
func (a *Accountant) bucket(workspace string, t Terms, p Part, now time.Time) *bucket {
	if now.Sub(a.swept) >= idleTime {
		a.swept = now
		maps.DeleteFunc(a.buckets, func(_ string, b *bucket) bool { return b.idle(now) })
	}
	b := a.buckets[workspace]
	if b != nil && !b.idle(now) {
		return b
	}
	if b == nil && len(a.buckets) >= maxBuckets {
		for name := range a.buckets {
			delete(a.buckets, name)
			break
		}
	}
	b = &bucket{terms: t, share: p.rate, level: p.start, updated: now}
	a.buckets[workspace] = b
	return b
}

// idle reports whether a bucket has had no draw for so long that the quota is unused, whoever
// granted it.
func (b *bucket) idle(now time.Time) bool {
	age := now.Sub(b.updated)
	return age >= idleTime && b.level+age.Seconds()*b.terms.rate >= b.terms.burst
}

// refill adds what has become available since the last draw. Terms of an older version of
// the configuration are not used. The share of the rate may have changed at any moment
// since then, so that the smaller one counts.
//
// A bucket holds the same share of the burst as of the rate, because others grant the rest.
// When that share falls, the bucket loses what is above it over time. A bucket that is smaller
// than a call grows to its size.
func (a *Accountant) refill(b *bucket, t Terms, p Part, now time.Time) {
	rate := b.terms.rate
	if t.version > b.terms.version {
		b.terms, rate = t, min(rate, t.rate)
	}
	if now.Sub(b.refusedAt) > MaxWait {
		b.refused = 0 // its caller does not retry any more
	}
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		share := min(b.share, p.rate)
		size := max(b.terms.burst*share, min(b.refused, b.terms.burst))
		if b.level <= size {
			b.level = min(b.level+elapsed.Seconds()*rate*share, size)
		} else {
			b.level = max(b.level-b.terms.burst*elapsed.Seconds()/(lossShare*a.bounds.window.Seconds()), size)
		}
		b.updated = now
	}
	b.share = p.rate
	b.level = min(b.level, b.terms.burst, p.ceiling)
}
