package supplier

import (
	"maps"
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// pendingLoad is a model that an engine is loading.
type pendingLoad struct {
	version int64
	due     time.Time // expected end of the load
	cold    bool      // the weights come from the weight store
}

// engineState is the owner's record of the models on an engine.
type engineState struct {
	reported       bool // a report was read
	sequence       int64
	lastOrder      time.Time                 // time of the last order that may have been accepted
	resident       map[connector.Model]int64 // loaded versions
	loading        map[connector.Model]pendingLoad
	unloading      map[connector.Model]bool      // unloaded once their jobs end; they occupy slots until then
	uncertain      map[connector.Model]bool      // loads without an answer, which may still take effect
	lastUsed       map[connector.Model]time.Time // time of the last use by a call
	lastResident   map[connector.Model]time.Time // time at which a model was last seen on the engine
	loadAcceptedAt map[connector.Model]time.Time
	unloadedAt     map[connector.Model]time.Time // time at which an unload took effect
	divertedAt     map[connector.Model]time.Time // time at which a load was declined in favour of another engine
}

func newEngineState() *engineState {
	return &engineState{
		resident:       make(map[connector.Model]int64),
		loading:        make(map[connector.Model]pendingLoad),
		unloading:      make(map[connector.Model]bool),
		uncertain:      make(map[connector.Model]bool),
		lastUsed:       make(map[connector.Model]time.Time),
		lastResident:   make(map[connector.Model]time.Time),
		loadAcceptedAt: make(map[connector.Model]time.Time),
		unloadedAt:     make(map[connector.Model]time.Time),
		divertedAt:     make(map[connector.Model]time.Time),
	}
}

// loadGrace is how long an accepted load counts as resident although no report
// lists it. Loads are slow while many run at the same time.
const loadGrace = 2 * time.Second

// applyReport replaces the state with that of a report. The effects of recent
// orders are kept, because the report may be older than they are.
func (s *engineState) applyReport(r Report, now time.Time) {
	if !s.reported || now.Sub(s.lastOrder) > reportLag {
		s.sequence = r.sequence
	}
	s.reported = true
	s.sequence = max(s.sequence, r.sequence)
	resident := make(map[connector.Model]int64, len(r.resident))
	for m, v := range r.resident {
		if now.Sub(s.unloadedAt[m]) > reportLag {
			resident[m] = max(v, s.resident[m])
			s.lastResident[m] = now
		}
	}
	for m, v := range s.resident {
		if _, listed := resident[m]; !listed && m.Adapter() != "" && now.Sub(s.loadAcceptedAt[m]) < loadGrace {
			resident[m] = v
		}
	}
	s.resident = resident
	for m := range s.unloading {
		if _, ok := resident[m]; !ok {
			delete(s.unloading, m)
		}
	}
	for m, v := range r.loading {
		if _, ok := s.loading[m]; !ok {
			s.loading[m] = pendingLoad{version: v, due: now.Add(inheritedLoadTime), cold: true}
		}
	}
	s.prune(now)
}

// retention is how long the times of orders and uses are kept. It exceeds every
// period for which they affect a decision.
const retention = time.Minute

// prune deletes outdated times, so that the memory per engine stays bounded
// while adapters are loaded and unloaded.
func (s *engineState) prune(now time.Time) {
	old := func(_ connector.Model, at time.Time) bool { return now.Sub(at) > retention }
	maps.DeleteFunc(s.loadAcceptedAt, old)
	maps.DeleteFunc(s.unloadedAt, old)
	maps.DeleteFunc(s.divertedAt, old)
	maps.DeleteFunc(s.lastUsed, func(m connector.Model, at time.Time) bool {
		_, resident := s.resident[m]
		return !resident && old(m, at)
	})
	if len(s.lastResident) > 2*tracker.MaxRecent {
		maps.DeleteFunc(s.lastResident, func(m connector.Model, _ time.Time) bool { return !s.warm(m) })
	}
}

// completeLoads marks the models whose loads are due as resident.
func (s *engineState) completeLoads(now time.Time) {
	for m, load := range s.loading {
		if !now.Before(load.due) {
			delete(s.loading, m)
			s.resident[m] = load.version
			s.lastResident[m] = now
		}
	}
}

// occupiedSlots returns the number of occupied adapter slots, including those of
// adapters that are being loaded and of loads without an answer. An adapter that is
// replaced occupies two until its new version is loaded.
func (s *engineState) occupiedSlots() int {
	n := len(s.uncertain)
	for m := range s.resident {
		if m.Adapter() != "" {
			n++
		}
	}
	for m := range s.loading {
		if m.Adapter() != "" && !s.uncertain[m] {
			n++
		}
	}
	return n
}

// loadsInFlight returns the number of running loads, and of those among them that
// read from the weight store.
func (s *engineState) loadsInFlight() (all, cold int) {
	for _, load := range s.loading {
		all++
		if load.cold {
			cold++
		}
	}
	return all, cold
}

// nextDue returns the earliest time at which a running load is due.
func (s *engineState) nextDue() (time.Time, bool) {
	var next time.Time
	for _, load := range s.loading {
		if next.IsZero() || load.due.Before(next) {
			next = load.due
		}
	}
	return next, !next.IsZero()
}

// leastRecentlyUsed returns the adapter that has been unused for longest among
// those that are neither being loaded nor unloaded.
func (s *engineState) leastRecentlyUsed() (m connector.Model, last time.Time, ok bool) {
	for candidate := range s.resident {
		if _, loading := s.loading[candidate]; candidate.Adapter() == "" || loading || s.unloading[candidate] {
			continue
		}
		if at := s.lastUsed[candidate]; !ok || at.Before(last) {
			m, last, ok = candidate, at, true
		}
	}
	return m, last, ok
}

// warm reports whether the engine's host still caches the weights of an adapter.
// It caches the tracker.MaxRecent adapters that were resident last.
func (s *engineState) warm(m connector.Model) bool {
	at, ok := s.lastResident[m]
	if !ok {
		return false
	}
	newer := 0
	for _, t := range s.lastResident {
		if t.After(at) {
			newer++
		}
	}
	return newer < tracker.MaxRecent
}
