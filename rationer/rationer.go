package rationer

import (
	"sync"
	"sync/atomic"
	"time"
)

// Limits bound the repeats of each service in any window.
type Limits struct {
	ratio  float64
	slack  float64
	window time.Duration
}

// NewLimits returns limits: repeats per request and a fixed number, both in any
// window of the given length, over all hosts.
func NewLimits(ratio, slack float64, window time.Duration) Limits {
	return Limits{ratio: ratio, slack: slack, window: window}
}

const (
	// parts is how many parts a window is counted in.
	parts = 10
	// usable is the part of the limit that is used. The rest covers windows that
	// begin between two parts and hosts that are not known yet.
	usable = 0.75
)

// count holds what happened in one part of a window. The part's number and the
// two counts are one word each; a count that lands in the wrong part for a moment
// is within the unused share of the limit.
type count struct {
	part     atomic.Int64
	requests atomic.Int64
	repeats  atomic.Int64
}

func (c *count) turn(part int64) {
	old := c.part.Load()
	if old != part && c.part.CompareAndSwap(old, part) {
		c.requests.Store(0)
		c.repeats.Store(0)
	}
}

type ledger struct{ counts [parts + 1]count }

func (l *ledger) at(part int64) *count {
	c := &l.counts[part%int64(len(l.counts))]
	c.turn(part)
	return c
}

// sums adds up the window that ends with a part.
func (l *ledger) sums(part int64) (requests, repeats int64) {
	for i := range l.counts {
		c := &l.counts[i]
		if age := part - c.part.Load(); age >= 0 && age <= parts {
			requests += c.requests.Load()
			repeats += c.repeats.Load()
		}
	}
	return requests, repeats
}

// Rationer counts requests and repeats by service.
type Rationer struct {
	limits  Limits
	hosts   func() int
	ledgers sync.Map // service → *ledger
}

// New returns a rationer. Hosts tells how many hosts share the slack.
func New(limits Limits, hosts func() int) *Rationer { return &Rationer{limits: limits, hosts: hosts} }

func (r *Rationer) ledger(service string) *ledger {
	if l, ok := r.ledgers.Load(service); ok {
		return l.(*ledger)
	}
	l, _ := r.ledgers.LoadOrStore(service, &ledger{})
	return l.(*ledger)
}

func (r *Rationer) part() int64 {
	return time.Now().UnixNano() / int64(r.limits.window/parts)
}

// RecordRequest counts a request of a caller.
func (r *Rationer) RecordRequest(service string) { r.ledger(service).at(r.part()).requests.Add(1) }

// AllowRepeat asks for leave to send a call once more, and counts it if it is given.
func (r *Rationer) AllowRepeat(service string) bool {
	l, part := r.ledger(service), r.part()
	c := l.at(part)
	requests, repeats := l.sums(part)
	// A window of eleven parts is counted against the requests of ten.
	earned := r.limits.ratio * float64(requests) * parts / (parts + 1)
	allowed := usable * (earned + r.limits.slack/float64(max(r.hosts(), 1)))
	if float64(repeats+1) > allowed {
		return false
	}
	c.repeats.Add(1)
	return true
}
