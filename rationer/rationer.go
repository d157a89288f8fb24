package rationer

import (
	"sync"
	"sync/atomic"
	"time"
)

// Limits are the limits on the repeats of each service in any time window.
type Limits struct {
	ratio  float64
	slack  float64
	window time.Duration
}

// NewLimits returns limits of ratio repeats per request plus a fixed number of slack
// repeats, both in any window of the given length and over all hosts.
func NewLimits(ratio, slack float64, window time.Duration) Limits {
	return Limits{ratio: ratio, slack: slack, window: window}
}

const (
	// bucketCount is the number of buckets that a window is divided into.
	bucketCount = 10
	// usableShare is the share of the limit that is used. The rest covers windows
	// that begin between two buckets and hosts that are not known yet.
	usableShare = 0.75
)

// bucket holds the counts of one part of a window. Its index and its two counts are
// separate atomics, so a count may be added to the wrong bucket while it is reset.
// The unused share of the limit covers this.
type bucket struct {
	index    atomic.Int64
	requests atomic.Int64
	repeats  atomic.Int64
}

func (b *bucket) resetIfStale(index int64) {
	old := b.index.Load()
	if old != index && b.index.CompareAndSwap(old, index) {
		b.requests.Store(0)
		b.repeats.Store(0)
	}
}

type window struct{ buckets [bucketCount + 1]bucket }

func (w *window) at(index int64) *bucket {
	b := &w.buckets[index%int64(len(w.buckets))]
	b.resetIfStale(index)
	return b
}

// totals returns the counts of the window that ends with the bucket at index.
func (w *window) totals(index int64) (requests, repeats int64) {
	for i := range w.buckets {
		b := &w.buckets[i]
		if age := index - b.index.Load(); age >= 0 && age <= bucketCount {
			requests += b.requests.Load()
			repeats += b.repeats.Load()
		}
	}
	return requests, repeats
}

// Rationer counts requests and repeats by service. It is safe for concurrent use.
type Rationer struct {
	limits    Limits
	hostCount func() int
	windows   sync.Map // service → *window
}

// New returns a rationer. hostCount returns the number of hosts that share the
// slack.
func New(limits Limits, hostCount func() int) *Rationer {
	return &Rationer{limits: limits, hostCount: hostCount}
}

func (r *Rationer) window(service string) *window {
	if w, ok := r.windows.Load(service); ok {
		return w.(*window)
	}
	w, _ := r.windows.LoadOrStore(service, &window{})
	return w.(*window)
}

// currentIndex returns the number of the bucket for the current time, counted from
// the Unix epoch.
func (r *Rationer) currentIndex() int64 {
	return time.Now().UnixNano() / int64(r.limits.window/bucketCount)
}

// RecordRequest counts a request of a caller.
func (r *Rationer) RecordRequest(service string) {
	r.window(service).at(r.currentIndex()).requests.Add(1)
}

// AllowRepeat reports whether a call of a service may be sent again, and counts the
// repeat if so.
func (r *Rationer) AllowRepeat(service string) bool {
	w, index := r.window(service), r.currentIndex()
	b := w.at(index)
	requests, repeats := w.totals(index)
	// The totals cover eleven buckets, but the limit is on windows of ten.
	earned := r.limits.ratio * float64(requests) * bucketCount / (bucketCount + 1)
	allowed := usableShare * (earned + r.limits.slack/float64(max(r.hostCount(), 1)))
	if float64(repeats+1) > allowed {
		return false
	}
	b.repeats.Add(1)
	return true
}
