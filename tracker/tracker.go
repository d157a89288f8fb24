package tracker

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
)

// Snapshot is the set of endpoints at one moment. It never changes.
type Snapshot struct {
	byID     map[string]*Endpoint
	usable   map[string][]*Endpoint // by service
	versions map[connector.Model]int64
}

// Usable returns the endpoints of a service that may be given work.
func (s *Snapshot) Usable(service string) []*Endpoint { return s.usable[service] }

// Endpoint returns an endpoint that may be given work, or nil.
func (s *Snapshot) Endpoint(id string) *Endpoint { return s.byID[id] }

// All returns the endpoints that may be given work, by id.
func (s *Snapshot) All() map[string]*Endpoint { return s.byID }

// NamedVersion returns the newest named version of a model, or 0.
func (s *Snapshot) NamedVersion(m connector.Model) int64 { return s.versions[m] }

// known is an endpoint with its standing in the store.
type known struct {
	endpoint *Endpoint
	draining bool
	gone     time.Time // when a removed entry counts as gone; zero while it is listed
}

// Tracker keeps the snapshot.
type Tracker struct {
	regions  map[string]string // by data centre
	mu       sync.Mutex
	known    map[string]*known
	versions map[connector.Model]int64
	current  atomic.Pointer[Snapshot]
}

// New returns a tracker without endpoints. Regions maps data centres to regions.
func New(regions map[string]string) *Tracker {
	t := &Tracker{regions: regions, known: make(map[string]*known), versions: make(map[connector.Model]int64)}
	t.current.Store(&Snapshot{})
	return t
}

// Current returns the snapshot in force.
func (t *Tracker) Current() *Snapshot { return t.current.Load() }

// Event is a change of what the tracker believes: Arrived, Draining, Lapsed or
// Gone.
type Event interface {
	// Endpoint returns the endpoint's id.
	Endpoint() string
	event()
}

type about struct{ id string }

func (a about) Endpoint() string { return a.id }
func (about) event()             {}

// The events.
type (
	// Arrived is an endpoint that may be used from now on.
	Arrived struct{ about }
	// Draining is an endpoint that is about to leave.
	Draining struct{ about }
	// Lapsed is an endpoint whose entry disappeared while the store was away.
	Lapsed struct{ about }
	// Gone is an endpoint that left.
	Gone struct{ about }
)

// Upsert takes over entries of endpoints and returns what changed. Each call costs
// as much as there are endpoints, so entries that come together are given together.
func (t *Tracker) Upsert(entries ...Entry) []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	var events []Event
	for _, e := range entries {
		if event := t.listed(e); event != nil {
			events = append(events, event)
		}
	}
	t.publishAfter(events)
	return events
}

func (t *Tracker) listed(e Entry) Event {
	k := t.known[e.id]
	fresh := k == nil || k.endpoint.entry.born != e.born || k.endpoint.entry.address != e.address || k.endpoint.entry.service != e.service
	if fresh {
		k = &known{endpoint: newEndpoint(e, t.regions[e.zone])}
		t.known[e.id] = k
	} else {
		k.endpoint.merge(e.holdings, time.Now())
	}
	k.gone = time.Time{}
	changed := fresh || k.draining != e.draining
	k.draining = e.draining
	switch {
	case !changed:
		return nil
	case e.draining:
		return Draining{about{e.id}}
	default:
		return Arrived{about{e.id}}
	}
}

// Remove takes over the removal of entries and returns what changed. An endpoint
// that may only have lapsed while the store was away is used until the grace time
// is over.
func (t *Tracker) Remove(grace time.Duration, ids ...string) []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	var events []Event
	for _, id := range ids {
		k := t.known[id]
		switch {
		case k == nil:
		case grace > 0 && !k.draining:
			if k.gone.IsZero() {
				k.gone = time.Now().Add(grace)
			}
			events = append(events, Lapsed{about{id}})
		default:
			delete(t.known, id)
			events = append(events, Gone{about{id}})
		}
	}
	t.publishAfter(events)
	return events
}

// Expire drops the lapsed endpoints whose grace time is over.
func (t *Tracker) Expire() []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	var events []Event
	now := time.Now()
	for id, k := range t.known {
		if !k.gone.IsZero() && now.After(k.gone) {
			delete(t.known, id)
			events = append(events, Gone{about{id}})
		}
	}
	t.publishAfter(events)
	return events
}

// SetNamedVersion records a named version of a model, and reports whether it is newer than
// the known one.
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

// IDs returns the ids of all known endpoints, the leaving ones included.
func (t *Tracker) IDs() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := make([]string, 0, len(t.known))
	for id := range t.known {
		ids = append(ids, id)
	}
	return ids
}

// publishAfter publishes a snapshot if an event changed it.
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
		byID:     make(map[string]*Endpoint, len(t.known)),
		usable:   make(map[string][]*Endpoint),
		versions: t.current.Load().versions,
	}
	for id, k := range t.known {
		if k.draining {
			continue
		}
		s.byID[id] = k.endpoint
		s.usable[k.endpoint.entry.service] = append(s.usable[k.endpoint.entry.service], k.endpoint)
	}
	t.current.Store(s)
}
