package tracker

import (
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/pacer"
)

// Entry is an endpoint's entry in the store.
type Entry struct {
	id         string
	service    string
	address    string
	dataCentre string
	slots      int
	draining   bool
	born       int64
	models     map[connector.Model]int64
	software   string
}

// NewEntry returns an entry. Born is the start time of the endpoint's process in
// Unix milliseconds and distinguishes two processes with the same id. Models maps
// each loaded model to its version; the version field of the model itself is
// empty.
func NewEntry(id, service, address, dataCentre string, slots int, draining bool, born int64, models map[connector.Model]int64) Entry {
	return Entry{
		id: id, service: service, address: address, dataCentre: dataCentre, slots: slots,
		draining: draining, born: born, models: models,
	}
}

// WithSoftware returns the entry with the version of the endpoint's software.
func (e Entry) WithSoftware(version string) Entry {
	e.software = version
	return e
}

// ID returns the endpoint's id.
func (e Entry) ID() string { return e.id }

// Models returns the versions of the models that the endpoint had loaded.
func (e Entry) Models() map[connector.Model]int64 { return e.models }

// modelState is the last known state of one model at an endpoint.
type modelState struct {
	version int64
	present bool
	seen    time.Time // of the last observation by a call or an order; zero if none
}

// observationTTL is how long an observation by a call takes precedence over the
// store's entry, which can lag behind by two heartbeats and one poll.
const observationTTL = 3 * time.Second

// Endpoint is one process of a service. Its identity never changes; its counters
// are atomic.
type Endpoint struct {
	entry        Entry
	region       string
	hash         uint64
	outstanding  atomic.Int64
	load         atomic.Pointer[Load]
	limit        atomic.Pointer[Limit] // nil if none was ever named
	leaving      atomic.Bool
	pausedUntil  atomic.Int64  // Unix nanoseconds
	nextTurn     atomic.Int64  // Unix nanoseconds; when the endpoint accepts a request again
	failureRate  atomic.Uint64 // float64 bits of the share of recent calls that failed
	ejectedUntil atomic.Int64  // Unix nanoseconds of the runtime clock
	fullUntil    atomic.Int64  // Unix nanoseconds
	connFailures atomic.Int32  // consecutive connection failures
	mu           sync.Mutex    // serialises writers of models
	models       atomic.Pointer[map[connector.Model]modelState]
	recent       atomic.Pointer[map[connector.Model]time.Time] // unloaded models and when that was observed
	pacing       *pacing                                       // nil without adaptive limits
}

func newEndpoint(entry Entry, region string) *Endpoint {
	e := &Endpoint{entry: entry, region: region, hash: xxhash.Sum64String(entry.id)}
	empty := make(map[connector.Model]modelState)
	e.models.Store(&empty)
	e.recent.Store(&map[connector.Model]time.Time{})
	e.merge(entry.models, time.Now())
	return e
}

// ID returns the endpoint's id.
func (e *Endpoint) ID() string { return e.entry.id }

// Service returns the name of the endpoint's service.
func (e *Endpoint) Service() string { return e.entry.service }

// Address returns the endpoint's IP address and port.
func (e *Endpoint) Address() string { return e.entry.address }

// DataCentre returns the data centre that the endpoint is in.
func (e *Endpoint) DataCentre() string { return e.entry.dataCentre }

// Region returns the region that the endpoint is in.
func (e *Endpoint) Region() string { return e.region }

// Hash returns a hash of the id.
func (e *Endpoint) Hash() uint64 { return e.hash }

// Slots returns how many jobs the endpoint runs concurrently.
func (e *Endpoint) Slots() int { return max(e.entry.slots, 1) }

// Born returns the start time of the endpoint's process in Unix milliseconds.
func (e *Endpoint) Born() int64 { return e.entry.born }

// Software returns the version of the endpoint's software, or "" if it names none.
func (e *Endpoint) Software() string { return e.entry.software }

// Begin records the start of a call to the endpoint.
func (e *Endpoint) Begin() { e.outstanding.Add(1) }

// End records the end of a call.
func (e *Endpoint) End() { e.outstanding.Add(-1) }

// Outstanding returns the number of calls from this host that are in flight at the
// endpoint.
func (e *Endpoint) Outstanding() int { return int(e.outstanding.Load()) }

// Load is a load report from an endpoint.
type Load struct {
	running int
	waiting int
	slots   int     // calls that the endpoint runs at once; 0 if not reported
	pace    float64 // duration of work as a multiple of the usual one; 0 if not reported
	own     int     // calls from this host in flight at the time of the report
	seen    time.Time
}

// RecordLoad records the load that the endpoint reported in a response.
func (e *Endpoint) RecordLoad(running, waiting int) {
	e.RecordAnswer(time.Now(), false, pacer.NewLoad(running, waiting))
}

// RecordAnswer records the load that the endpoint reported in its response to a call that
// was sent at a time. Refused is whether it had no capacity for the call.
func (e *Endpoint) RecordAnswer(sent time.Time, refused bool, l pacer.Load) {
	if running, waiting, ok := l.Calls(); ok {
		e.load.Store(&Load{
			running: running, waiting: waiting, slots: l.Slots(), pace: l.Pace(),
			own: e.Outstanding(), seen: time.Now(),
		})
	}
	if e.pacing != nil {
		e.pacing.answered(sent, refused, l)
	}
}

// loadTTL is how long a load report is used. Short jobs of a plain service start
// and end within it.
const loadTTL = time.Second

// EstimatedCalls estimates the number of calls in flight at the endpoint, including
// those from other hosts: the reported load plus the change in this host's own
// calls since the report.
func (e *Endpoint) EstimatedCalls(now time.Time) float64 {
	own := float64(e.Outstanding())
	l := e.load.Load()
	if l == nil || now.Sub(l.seen) > loadTTL {
		return own
	}
	return max(float64(l.running+l.waiting-l.own)+own, own)
}

// Waiting returns the number of waiting jobs in the latest load report, or 0 if the
// report is older than loadTTL.
func (e *Endpoint) Waiting(now time.Time) int {
	if l := e.load.Load(); l != nil && now.Sub(l.seen) <= loadTTL {
		return l.waiting
	}
	return 0
}

// failureWeight is the weight of one call in the exponential moving average of
// failures, which covers about the last ten calls.
const failureWeight = 0.1

// FailureRate returns the share of recent calls that failed.
func (e *Endpoint) FailureRate() float64 { return math.Float64frombits(e.failureRate.Load()) }

func (e *Endpoint) updateFailureRate(sample float64) {
	for {
		old := e.failureRate.Load()
		next := math.Float64frombits(old)*(1-failureWeight) + sample*failureWeight
		if e.failureRate.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// The ejection time doubles with each consecutive connection failure, so that a
// flapping endpoint is readmitted slowly.
const (
	firstEjection   = 500 * time.Millisecond
	maxEjection     = 8 * time.Second
	maxConnFailures = 16
)

// Succeeded records a call that the endpoint answered without an error of its own.
func (e *Endpoint) Succeeded() {
	e.connFailures.Store(0)
	e.updateFailureRate(0)
}

// Failed records a call that failed for a reason other than the connection, such as an
// error of the endpoint or a timeout.
func (e *Endpoint) Failed() {
	e.connFailures.Store(0)
	e.updateFailureRate(1)
}

// ConnectionFailed records a failed connection, ejects the endpoint, and returns for
// how long.
func (e *Endpoint) ConnectionFailed() time.Duration {
	e.updateFailureRate(1)
	if e.pacing != nil {
		e.pacing.broken()
	}
	n := min(e.connFailures.Add(1), maxConnFailures)
	d := min(firstEjection<<(n-1), maxEjection)
	e.ejectedUntil.Store(time.Now().Add(d).UnixNano())
	return d
}

// ConnectionBroken records a connection that broke after a call was sent on it. The
// endpoint is ejected from the second one in a row on: a single one may be the network
// or a lost answer, and the calls of an ejected engine load their models elsewhere.
func (e *Endpoint) ConnectionBroken() {
	if e.connFailures.Load() > 0 {
		e.ConnectionFailed()
		return
	}
	if e.pacing != nil {
		e.pacing.broken()
	}
	e.updateFailureRate(1)
	e.connFailures.Add(1)
}

// RecordLeaving records that the endpoint said in an answer that it is about to leave.
func (e *Endpoint) RecordLeaving() { e.leaving.Store(true) }

// Leaving reports whether the endpoint said in an answer that it is about to leave. Its
// entry in the store may say so later.
func (e *Endpoint) Leaving() bool { return e.leaving.Load() }

// Pause records that the endpoint wants no calls from this host for the duration d.
// A longer one that it asked for before stays in force.
func (e *Endpoint) Pause(d time.Duration) {
	until := time.Now().Add(d).UnixNano()
	for {
		old := e.pausedUntil.Load()
		if old >= until || e.pausedUntil.CompareAndSwap(old, until) {
			return
		}
	}
}

// Paused returns how much longer the endpoint wants no calls from this host; it is zero
// or negative if it takes calls.
func (e *Endpoint) Paused(now time.Time) time.Duration {
	return time.Duration(e.pausedUntil.Load() - now.UnixNano())
}

// Declined records that the endpoint has no capacity for the duration d.
func (e *Endpoint) Declined(d time.Duration) { e.fullUntil.Store(time.Now().Add(d).UnixNano()) }

// Full reports whether the endpoint has declined calls for lack of capacity, and
// the time for which it did so is not over.
func (e *Endpoint) Full(now time.Time) bool { return now.UnixNano() < e.fullUntil.Load() }

// Ejected reports whether calls should avoid the endpoint after a failed connection.
func (e *Endpoint) Ejected(now time.Time) bool { return now.UnixNano() < e.ejectedUntil.Load() }

// Holds reports whether the endpoint has the given or a newer version of a model
// loaded, according to the latest entry or observation.
func (e *Endpoint) Holds(m connector.Model, version int64) bool {
	state, ok := (*e.models.Load())[m]
	return ok && state.present && state.version >= version
}

// HeldVersion returns the version of a model that the endpoint has loaded, according
// to the latest entry or observation.
func (e *Endpoint) HeldVersion(m connector.Model) (version int64, ok bool) {
	state, ok := (*e.models.Load())[m]
	return state.version, ok && state.present
}

// HoldsBase reports whether the weights of a base model are loaded.
func (e *Endpoint) HoldsBase(base string) bool {
	return e.Holds(connector.NewModel(base, "", ""), 0)
}

// Observe records that a call or an order found a model loaded or missing.
func (e *Endpoint) Observe(m connector.Model, version int64, present bool) {
	if state, ok := (*e.models.Load())[m]; ok && state.present == present && state.version == version && time.Since(state.seen) < observationTTL/2 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	next := maps.Clone(*e.models.Load())
	if old, ok := next[m]; ok && old.present && !present {
		e.addRecent([]connector.Model{m}, time.Now())
	}
	next[m] = modelState{version: version, present: present, seen: time.Now()}
	e.models.Store(&next)
}

// MaxRecent is the number of recently unloaded adapters that are tracked for an
// endpoint: as many as the engine's host keeps copies of outside the engine.
const MaxRecent = 120

// RecentlyHeld reports whether the engine unloaded a model recently, so that its
// host probably still has a copy that loads fast.
func (e *Endpoint) RecentlyHeld(m connector.Model) bool {
	_, ok := (*e.recent.Load())[m]
	return ok
}

// addRecent adds unloaded models to recent and evicts the oldest beyond MaxRecent.
// The caller must hold mu.
func (e *Endpoint) addRecent(models []connector.Model, now time.Time) {
	if len(models) == 0 {
		return
	}
	next := maps.Clone(*e.recent.Load())
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
	e.recent.Store(&next)
}

// merge applies the models listed in the store's entry, except for those that a call
// observed within observationTTL.
func (e *Endpoint) merge(listed map[connector.Model]int64, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := make(map[connector.Model]modelState, len(listed))
	for m, v := range listed {
		next[m] = modelState{version: v, present: true}
	}
	var unloaded []connector.Model
	for m, state := range *e.models.Load() {
		if _, still := listed[m]; state.present && !still {
			unloaded = append(unloaded, m)
		}
		if !state.seen.IsZero() && now.Sub(state.seen) < observationTTL {
			next[m] = state
		}
	}
	e.models.Store(&next)
	e.addRecent(unloaded, now)
}
