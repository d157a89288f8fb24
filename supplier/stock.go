package supplier

import (
	"maps"
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// arrival is a model on its way to an engine.
type arrival struct {
	version int64
	due     time.Time
	cold    bool // from the weight store
}

// stock is what an engine holds, as its owner knows it.
type stock struct {
	known    bool // whether a report was read
	sequence int64
	ordered  time.Time // last order that may have been accepted
	held     map[connector.Model]int64
	coming   map[connector.Model]arrival
	leaving  map[connector.Model]bool      // unloaded once their jobs end; they take room until then
	doubtful map[connector.Model]bool      // loads without an answer, which may still take effect
	used     map[connector.Model]time.Time // last use by a call
	recent   map[connector.Model]time.Time // when a model was at the engine last
	loaded   map[connector.Model]time.Time // when a load was accepted
	unloaded map[connector.Model]time.Time // when an unload took effect
}

func newStock() *stock {
	return &stock{
		held:     make(map[connector.Model]int64),
		coming:   make(map[connector.Model]arrival),
		leaving:  make(map[connector.Model]bool),
		doubtful: make(map[connector.Model]bool),
		used:     make(map[connector.Model]time.Time),
		recent:   make(map[connector.Model]time.Time),
		loaded:   make(map[connector.Model]time.Time),
		unloaded: make(map[connector.Model]time.Time),
	}
}

// loadLimit is how long a load may take before a report that does not list it is
// believed. Loads are slow while many run at the same time.
const loadLimit = 2 * time.Second

// take replaces what is known by a report. The report may be older than the latest
// orders, so that their effects are kept.
func (s *stock) take(r Report, now time.Time) {
	if !s.known || now.Sub(s.ordered) > reportLag {
		s.sequence = r.sequence
	}
	s.known = true
	s.sequence = max(s.sequence, r.sequence)
	held := make(map[connector.Model]int64, len(r.held))
	for m, v := range r.held {
		if now.Sub(s.unloaded[m]) > reportLag {
			held[m] = max(v, s.held[m])
			s.recent[m] = now
		}
	}
	for m, v := range s.held {
		if _, listed := held[m]; !listed && m.Adapter() != "" && now.Sub(s.loaded[m]) < loadLimit {
			held[m] = v
		}
	}
	s.held = held
	for m := range s.leaving {
		if _, ok := held[m]; !ok {
			delete(s.leaving, m)
		}
	}
	for m, v := range r.coming {
		if _, ok := s.coming[m]; !ok {
			s.coming[m] = arrival{version: v, due: now.Add(unknownLoad), cold: true}
		}
	}
	s.forget(now)
}

// forgetAfter is longer than any time for which an order or a use matters.
const forgetAfter = time.Minute

// forget drops what no longer matters, so that the memory of an engine stays
// bounded while adapters come and go.
func (s *stock) forget(now time.Time) {
	old := func(_ connector.Model, at time.Time) bool { return now.Sub(at) > forgetAfter }
	maps.DeleteFunc(s.loaded, old)
	maps.DeleteFunc(s.unloaded, old)
	maps.DeleteFunc(s.used, func(m connector.Model, at time.Time) bool {
		_, held := s.held[m]
		return !held && old(m, at)
	})
	if len(s.recent) > 2*tracker.MaxRecent {
		maps.DeleteFunc(s.recent, func(m connector.Model, _ time.Time) bool { return !s.warm(m) })
	}
}

// settle moves arrivals that are due to what is held.
func (s *stock) settle(now time.Time) {
	for m, a := range s.coming {
		if !now.Before(a.due) {
			delete(s.coming, m)
			s.held[m] = a.version
			s.recent[m] = now
		}
	}
}

// places returns how many adapters take a place, those on their way or without
// an answer included.
func (s *stock) places() int {
	n := 0
	for m := range s.doubtful {
		if _, again := s.held[m]; !again {
			n++
		}
	}
	for m := range s.held {
		if m.Adapter() != "" {
			n++
		}
	}
	for m := range s.coming {
		if _, again := s.held[m]; m.Adapter() != "" && !again {
			n++
		}
	}
	return n
}

// arriving returns how many adapters are on their way, and how many of them come
// from the weight store.
func (s *stock) arriving() (all, cold int) {
	for _, a := range s.coming {
		all++
		if a.cold {
			cold++
		}
	}
	return all, cold
}

// nextDue returns when the next arrival is due.
func (s *stock) nextDue() (time.Time, bool) {
	var next time.Time
	for _, a := range s.coming {
		if next.IsZero() || a.due.Before(next) {
			next = a.due
		}
	}
	return next, !next.IsZero()
}

// idlest returns the adapter that has been unused for longest and is not on its
// way or leaving.
func (s *stock) idlest() (m connector.Model, last time.Time, ok bool) {
	for held := range s.held {
		if _, moving := s.coming[held]; held.Adapter() == "" || moving || s.leaving[held] {
			continue
		}
		if at := s.used[held]; !ok || at.Before(last) {
			m, last, ok = held, at, true
		}
	}
	return m, last, ok
}

// warm reports whether the engine's host still has a copy of an adapter.
func (s *stock) warm(m connector.Model) bool {
	at, ok := s.recent[m]
	if !ok {
		return false
	}
	newer := 0
	for _, t := range s.recent {
		if t.After(at) {
			newer++
		}
	}
	return newer < tracker.MaxRecent
}
