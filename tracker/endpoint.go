package tracker

import (
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyford/dragonflyford/connector"
)

// Entry is what an endpoint says of itself in the store.
type Entry struct {
	id       string
	service  string
	address  string
	zone     string
	slots    int
	draining bool
	born     int64
	holdings map[connector.Model]int64
}

// NewEntry returns an entry. Born is the start of the endpoint's process in Unix
// milliseconds and tells two processes of one id apart. Holdings maps each model
// that is loaded to its version; the model's own version field is empty.
func NewEntry(id, service, address, zone string, slots int, draining bool, born int64, holdings map[connector.Model]int64) Entry {
	return Entry{
		id: id, service: service, address: address, zone: zone, slots: slots,
		draining: draining, born: born, holdings: holdings,
	}
}

// ID returns the endpoint's id.
func (e Entry) ID() string { return e.id }

// Models returns what the endpoint had loaded, by version.
func (e Entry) Models() map[connector.Model]int64 { return e.holdings }

// belief is what is known of one model at an endpoint.
type belief struct {
	version int64
	present bool
	seen    time.Time // when a call or an order saw it; zero if only the store says so
}

// localLife is how long an observation of a call outweighs the store's entry,
// which is up to two heartbeats and the poll old.
const localLife = 3 * time.Second

// Endpoint is one process of a service. Its identity never changes; its counters
// are atomic.
type Endpoint struct {
	entry       Entry
	region      string
	hash        uint64
	outstanding atomic.Int64
	load        atomic.Pointer[Load]
	failing     atomic.Uint64 // bits of a float64: share of recent calls that failed
	ejected     atomic.Int64  // Unix nanoseconds of the runtime clock until which calls go elsewhere
	full        atomic.Int64  // Unix nanoseconds until which the endpoint has no place
	strikes     atomic.Int32  // consecutive connection failures
	mu          sync.Mutex    // serialises writers of holdings
	holdings    atomic.Pointer[map[connector.Model]belief]
	past        atomic.Pointer[map[connector.Model]time.Time] // models that were held, by when that was seen last
}

func newEndpoint(e Entry, region string) *Endpoint {
	p := &Endpoint{entry: e, region: region, hash: xxhash.Sum64String(e.id)}
	empty := make(map[connector.Model]belief)
	p.holdings.Store(&empty)
	p.past.Store(&map[connector.Model]time.Time{})
	p.merge(e.holdings, time.Now())
	return p
}

// ID returns the endpoint's id.
func (p *Endpoint) ID() string { return p.entry.id }

// Service returns the name of the endpoint's service.
func (p *Endpoint) Service() string { return p.entry.service }

// Address returns the endpoint's IP address and port.
func (p *Endpoint) Address() string { return p.entry.address }

// Zone returns the data centre that the endpoint is in.
func (p *Endpoint) Zone() string { return p.entry.zone }

// Region returns the region that the endpoint is in.
func (p *Endpoint) Region() string { return p.region }

// Hash returns a hash of the id.
func (p *Endpoint) Hash() uint64 { return p.hash }

// Slots returns how many jobs the endpoint runs at a time.
func (p *Endpoint) Slots() int { return max(p.entry.slots, 1) }

// Born returns the start of the endpoint's process in Unix milliseconds.
func (p *Endpoint) Born() int64 { return p.entry.born }

// Begin counts a call that is sent to the endpoint.
func (p *Endpoint) Begin() { p.outstanding.Add(1) }

// End counts the end of a call.
func (p *Endpoint) End() { p.outstanding.Add(-1) }

// Outstanding returns how many calls of this host are at the endpoint.
func (p *Endpoint) Outstanding() int { return int(p.outstanding.Load()) }

// Load is what an endpoint reported of its load.
type Load struct {
	running int
	waiting int
	own     int // calls of this host at the endpoint at the time
	seen    time.Time
}

// RecordLoad records a load that came with an answer.
func (p *Endpoint) RecordLoad(running, waiting int) {
	p.load.Store(&Load{running: running, waiting: waiting, own: p.Outstanding(), seen: time.Now()})
}

// loadLife is how long a reported load is used. Short jobs of a plain service
// come and go within it.
const loadLife = time.Second

// EstimatedCalls estimates how many calls are at the endpoint, those of other hosts
// included: the reported load, corrected by what this host has sent since.
func (p *Endpoint) EstimatedCalls(now time.Time) float64 {
	own := float64(p.Outstanding())
	l := p.load.Load()
	if l == nil || now.Sub(l.seen) > loadLife {
		return own
	}
	return max(float64(l.running+l.waiting-l.own)+own, own)
}

// Waiting returns the number of waiting jobs in the latest report, or 0 if it is
// old.
func (p *Endpoint) Waiting(now time.Time) int {
	if l := p.load.Load(); l != nil && now.Sub(l.seen) <= loadLife {
		return l.waiting
	}
	return 0
}

// failureWeight is the weight of one call in the moving share of failures: the
// last ten calls or so count.
const failureWeight = 0.1

// FailureRate returns the share of recent calls that failed.
func (p *Endpoint) FailureRate() float64 { return math.Float64frombits(p.failing.Load()) }

func (p *Endpoint) average(sample float64) {
	for {
		old := p.failing.Load()
		next := math.Float64frombits(old)*(1-failureWeight) + sample*failureWeight
		if p.failing.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// Ejection times double with each failure in a row, so that an endpoint that goes
// up and down comes back slowly.
const (
	firstEjection = 500 * time.Millisecond
	maxEjection   = 8 * time.Second
	maxStrikes    = 16
)

// Succeeded records a call that the endpoint answered.
func (p *Endpoint) Succeeded() {
	p.strikes.Store(0)
	p.average(0)
}

// Failed records a call that the endpoint answered with an error of its own.
func (p *Endpoint) Failed() {
	p.strikes.Store(0)
	p.average(1)
}

// ConnectionFailed records a connection that failed, and ejects the endpoint for a time
// that it returns.
func (p *Endpoint) ConnectionFailed() time.Duration {
	p.average(1)
	n := min(p.strikes.Add(1), maxStrikes)
	d := min(firstEjection<<(n-1), maxEjection)
	p.ejected.Store(time.Now().Add(d).UnixNano())
	return d
}

// Declined records that the endpoint has no place for a time.
func (p *Endpoint) Declined(d time.Duration) { p.full.Store(time.Now().Add(d).UnixNano()) }

// Full reports whether the endpoint is known to have no place.
func (p *Endpoint) Full(now time.Time) bool { return now.UnixNano() < p.full.Load() }

// Ejected reports whether calls should go elsewhere.
func (p *Endpoint) Ejected(now time.Time) bool { return now.UnixNano() < p.ejected.Load() }

// Holds reports whether the endpoint is believed to hold at least a version of a
// model.
func (p *Endpoint) Holds(m connector.Model, version int64) bool {
	b, ok := (*p.holdings.Load())[m]
	return ok && b.present && b.version >= version
}

// HeldVersion returns the version of a model that the endpoint is believed to hold.
func (p *Endpoint) HeldVersion(m connector.Model) (version int64, ok bool) {
	b, ok := (*p.holdings.Load())[m]
	return b.version, ok && b.present
}

// HoldsBase reports whether the weights of a base model are loaded.
func (p *Endpoint) HoldsBase(base string) bool {
	return p.Holds(connector.NewModel(base, "", ""), 0)
}

// Observe records that a call or an order saw a model loaded or missing.
func (p *Endpoint) Observe(m connector.Model, version int64, present bool) {
	if b, ok := (*p.holdings.Load())[m]; ok && b.present == present && b.version == version && time.Since(b.seen) < localLife/2 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	next := maps.Clone(*p.holdings.Load())
	if old, ok := next[m]; ok && old.present && !present {
		p.remember([]connector.Model{m}, time.Now())
	}
	next[m] = belief{version: version, present: present, seen: time.Now()}
	p.holdings.Store(&next)
}

// MaxRecent is how many adapters an engine's host keeps beside the engine.
const MaxRecent = 120

// RecentlyHeld reports whether the engine held a model not long ago, so that its
// host still has a copy that loads fast.
func (p *Endpoint) RecentlyHeld(m connector.Model) bool {
	_, ok := (*p.past.Load())[m]
	return ok
}

// remember requires mu.
func (p *Endpoint) remember(models []connector.Model, now time.Time) {
	if len(models) == 0 {
		return
	}
	next := maps.Clone(*p.past.Load())
	for _, m := range models {
		next[m] = now
	}
	for len(next) > MaxRecent {
		var oldest connector.Model
		first := now
		for m, at := range next {
			if !at.After(first) {
				oldest, first = m, at
			}
		}
		delete(next, oldest)
	}
	p.past.Store(&next)
}

// merge takes over what the store says, except where a call saw something else a
// short time ago.
func (p *Endpoint) merge(listed map[connector.Model]int64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[connector.Model]belief, len(listed))
	for m, v := range listed {
		next[m] = belief{version: v, present: true}
	}
	var gone []connector.Model
	for m, b := range *p.holdings.Load() {
		if _, still := listed[m]; b.present && !still {
			gone = append(gone, m)
		}
		if !b.seen.IsZero() && now.Sub(b.seen) < localLife {
			next[m] = b
		}
	}
	p.holdings.Store(&next)
	p.remember(gone, now)
}
