package tracker

import (
	"math"
	"time"
)

const (
	// limitTTL is how long a limit counts after it was last named.
	limitTTL = 30 * time.Second
	// liftDelay is the time after which an answer without a limit ends one. Answers on
	// different connections may overtake each other.
	liftDelay = time.Second
	// limitTolerance is the relative change of a rate that counts as a change.
	limitTolerance = 0.1
)

// Limit is the rate of requests that an endpoint accepts from all hosts together, as it
// was last named in an answer to any host.
type Limit struct {
	rate float64 // a second
	none bool    // the endpoint accepts any rate
	at   time.Time
}

// NewLimit returns a limit of rate requests a second that was named at a time.
func NewLimit(rate float64, at time.Time) Limit { return Limit{rate: rate, at: at} }

// NewNoLimit returns the absence of a limit as of a time.
func NewNoLimit(at time.Time) Limit { return Limit{none: true, at: at} }

// Rate returns the number of requests a second, or false if there is no limit.
func (l Limit) Rate() (perSecond float64, limited bool) { return l.rate, !l.none }

// At returns when the limit was last named.
func (l Limit) At() time.Time { return l.at }

// replaces reports whether l, learned after old, takes its place.
func (l Limit) replaces(old *Limit) bool {
	switch {
	case old == nil || old.none:
		return !l.none && (old == nil || l.at.After(old.at))
	case l.none:
		return l.at.Sub(old.at) > liftDelay
	default:
		return l.at.After(old.at)
	}
}

// differs reports whether a host that knows old must hear of l.
func (l Limit) differs(old *Limit) bool {
	if old == nil || l.none || old.none || l.at.Sub(old.at) > limitTTL {
		return true
	}
	return math.Abs(l.rate-old.rate) > limitTolerance*old.rate
}

// RecordLimit records a limit, or the absence of one, and reports whether that changes
// what was known.
func (e *Endpoint) RecordLimit(l Limit) (changed bool) {
	for {
		old := e.limit.Load()
		if !l.replaces(old) {
			return false
		}
		next := l
		if e.limit.CompareAndSwap(old, &next) {
			if e.pacing != nil {
				e.pacing.setRate(l.rate)
			}
			return l.differs(old)
		}
	}
}

// Limit returns the limit in force, or false if none is known.
func (e *Endpoint) Limit(now time.Time) (Limit, bool) {
	l := e.limit.Load()
	if l == nil || l.none || now.Sub(l.at) > limitTTL {
		return Limit{}, false
	}
	return *l, true
}

// maxTurnAge is how long a late turn counts, as another host may grant an earlier one.
const maxTurnAge = time.Second

// RecordTurn records that the endpoint accepts the next request of this host after a wait.
func (e *Endpoint) RecordTurn(wait time.Duration) {
	e.nextTurn.Store(time.Now().Add(min(wait, maxTurnAge)).UnixNano())
}

// UntilTurn returns the time until the endpoint accepts a request of this host, as far as
// is known; it is zero or negative if that is now.
func (e *Endpoint) UntilTurn(now time.Time) time.Duration {
	if _, limited := e.Limit(now); !limited {
		return 0
	}
	return time.Duration(e.nextTurn.Load() - now.UnixNano())
}
