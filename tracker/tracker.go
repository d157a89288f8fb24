package tracker

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
)

// Snapshot is an immutable set of endpoints and named versions.
type Snapshot struct {
	byID     map[string]*Endpoint
	usable   map[string][]*Endpoint // by service
	versions map[connector.Model]int64
}

// Usable returns the endpoints of a service that may receive new calls.
func (s *Snapshot) Usable(service string) []*Endpoint { return s.usable[service] }

// Endpoint returns an endpoint that may receive new calls, or nil.
func (s *Snapshot) Endpoint(id string) *Endpoint { return s.byID[id] }

// All returns the endpoints that may receive new calls, by id.
func (s *Snapshot) All() map[string]*Endpoint { return s.byID }

// NamedVersion returns the newest named version of a model, or 0.
func (s *Snapshot) NamedVersion(m connector.Model) int64 { return s.versions[m] }

// record is an endpoint with the state of its entry in the store.
type record struct {
	endpoint  *Endpoint
	draining  bool
	expiresAt time.Time // end of the grace time of a lapsed entry; zero while it exists
}

// Tracker maintains the registry and publishes snapshots of it.
type Tracker struct {
	regions        map[string]string // by data centre
	reportInterval time.Duration
	mu             sync.Mutex
	records        map[string]*record
	removed        map[string]removedProcess  // processes that were removed lately, by endpoint
	unverified     map[string]unverifiedEntry // entries of such processes in a restored copy, by endpoint
	restored       time.Time                  // when the store was last restored from an older copy
	versions       map[connector.Model]int64
	paces          *paces // nil without adaptive limits
	current        atomic.Pointer[Snapshot]
}

// New returns a tracker without endpoints. Regions maps data centres to regions.
func New(regions map[string]string, opts ...Option) *Tracker {
	t := &Tracker{
		regions: regions, records: make(map[string]*record), versions: make(map[connector.Model]int64),
		removed: make(map[string]removedProcess), unverified: make(map[string]unverifiedEntry),
		reportInterval: defaultReportInterval,
	}
	for _, opt := range opts {
		opt(t)
	}
	t.current.Store(&Snapshot{})
	return t
}

// Current returns the latest snapshot.
func (t *Tracker) Current() *Snapshot { return t.current.Load() }

// Event is a change of an endpoint's state: Arrived, Draining, Lapsed or Gone.
type Event interface {
	// Endpoint returns the endpoint's id.
	Endpoint() string
	event()
}

type endpointEvent struct{ id string }

func (e endpointEvent) Endpoint() string { return e.id }
func (endpointEvent) event()             {}

// Kinds of events.
type (
	// Arrived reports an endpoint that may receive calls from now on.
	Arrived struct{ endpointEvent }
	// Draining reports an endpoint that is about to leave.
	Draining struct{ endpointEvent }
	// Lapsed reports an endpoint whose entry disappeared while the store was
	// unavailable.
	Lapsed struct{ endpointEvent }
	// Gone reports an endpoint that was removed.
	Gone struct{ endpointEvent }
)

// Update is a change of an endpoint's entry in the store: an Entry that was written, one
// that is Listed, or a Removal.
type Update interface{ update() }

// Listed is an entry that was read with the whole table, at whatever time it was written.
type Listed struct{ Entry }

// NewListed returns an entry that was read with the whole table.
func NewListed(e Entry) Listed { return Listed{Entry: e} }

// Removal is the removal of an endpoint's entry.
type Removal struct{ id string }

// NewRemoval returns the removal of the entry of the endpoint id.
func NewRemoval(id string) Removal { return Removal{id: id} }

func (Entry) update()   {}
func (Removal) update() {}

// Apply applies changes of entries in order and returns the resulting events. If
// grace is positive, the removed entries may only have lapsed while the store was
// unavailable: endpoints that are not draining then stay in use until the grace time
// is over. Each call takes time linear in the number of all endpoints, so changes
// should be passed in batches, with each state that an entry passed through: an
// endpoint that was draining does not lapse.
func (t *Tracker) Apply(grace time.Duration, updates ...Update) []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	var events []Event
	for _, u := range updates {
		var event Event
		switch u := u.(type) {
		case Entry:
			event = t.upsert(u)
		case Listed:
			event = t.list(u.Entry)
		case Removal:
			event = t.remove(grace, u.id)
		}
		if event != nil {
			events = append(events, event)
		}
	}
	t.publishAfter(events)
	return events
}

// Upsert adds or updates endpoints from their entries and returns the resulting
// events.
func (t *Tracker) Upsert(entries ...Entry) []Event {
	updates := make([]Update, len(entries))
	for i, e := range entries {
		updates[i] = e
	}
	return t.Apply(0, updates...)
}

// Remove applies the removal of entries and returns the resulting events; see Apply.
func (t *Tracker) Remove(grace time.Duration, ids ...string) []Event {
	updates := make([]Update, len(ids))
	for i, id := range ids {
		updates[i] = NewRemoval(id)
	}
	return t.Apply(grace, updates...)
}

// upsert requires mu.
func (t *Tracker) upsert(e Entry) Event {
	r := t.records[e.id]
	fresh := r == nil || r.endpoint.entry.born != e.born || r.endpoint.entry.address != e.address || r.endpoint.entry.service != e.service
	switch known := t.returned(e); {
	case !fresh:
		r.endpoint.merge(e.models, time.Now())
	case known != nil:
		r = &record{endpoint: known}
		known.merge(e.models, time.Now())
	default:
		r = &record{endpoint: newEndpoint(e, t.regions[e.dataCentre])}
		r.endpoint.pacing = t.paces.endpoint(e)
	}
	t.records[e.id] = r
	delete(t.unverified, e.id)
	r.expiresAt = time.Time{}
	changed := fresh || r.draining != e.draining
	r.draining = e.draining
	switch {
	case !changed:
		return nil
	case e.draining:
		return Draining{endpointEvent{e.id}}
	default:
		return Arrived{endpointEvent{e.id}}
	}
}

// remove requires mu.
func (t *Tracker) remove(grace time.Duration, id string) Event {
	delete(t.unverified, id)
	r := t.records[id]
	switch {
	case r == nil:
		return nil
	case grace > 0 && !r.draining:
		if r.expiresAt.IsZero() {
			r.expiresAt = time.Now().Add(grace)
		}
		return Lapsed{endpointEvent{id}}
	default:
		t.forget(id, r)
		return Gone{endpointEvent{id}}
	}
}

// Expire removes the lapsed endpoints whose grace time is over and returns the
// resulting events.
func (t *Tracker) Expire() []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	var events []Event
	now := time.Now()
	for id, r := range t.records {
		if !r.expiresAt.IsZero() && now.After(r.expiresAt) {
			t.forget(id, r)
			events = append(events, Gone{endpointEvent{id}})
		}
	}
	events = append(events, t.expireRemoved(now)...)
	t.publishAfter(events)
	return events
}

// SetNamedVersion records a named version of a model and reports whether it is newer
// than the one recorded before.
func (t *Tracker) SetNamedVersion(m connector.Model, version int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version <= t.versions[m] {
		return false
	}
	t.versions[m] = version
	old := t.current.Load()
	t.current.Store(&Snapshot{byID: old.byID, usable: old.usable, versions: maps.Clone(t.versions)})
	return true
}

// IDs returns the ids of all registered endpoints, including those that drain.
func (t *Tracker) IDs() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.records))
}

// publishAfter publishes a new snapshot if any of the events changes it. A lapsed
// endpoint stays in the snapshot.
func (t *Tracker) publishAfter(events []Event) {
	for _, event := range events {
		if _, ok := event.(Lapsed); !ok {
			t.publish()
			return
		}
	}
}

func (t *Tracker) publish() {
	s := &Snapshot{
		byID:     make(map[string]*Endpoint, len(t.records)),
		usable:   make(map[string][]*Endpoint),
		versions: t.current.Load().versions,
	}
	for id, r := range t.records {
		if r.draining {
			continue
		}
		s.byID[id] = r.endpoint
		s.usable[r.endpoint.entry.service] = append(s.usable[r.endpoint.entry.service], r.endpoint)
	}
	t.current.Store(s)
}
