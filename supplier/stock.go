package supplier

import (
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
)

// arrival is a model on its way to an engine.
type arrival struct {
	version int64
	due     time.Time
}

// stock is what an engine holds, as its owner knows it.
type stock struct {
	known    bool // whether a report was read
	sequence int64
	ordered  time.Time // last order that may have been accepted
	held     map[connector.Model]int64
	coming   map[connector.Model]arrival
	leaving  map[connector.Model]bool // unloaded once their jobs end; they take room until then
	doubtful map[connector.Model]bool // loads without an answer, which may still take effect
	used     map[connector.Model]time.Time
	recent   map[connector.Model]time.Time // when a model was at the engine last
}

func newStock() *stock {
	return &stock{
		held:     make(map[connector.Model]int64),
		coming:   make(map[connector.Model]arrival),
		leaving:  make(map[connector.Model]bool),
		doubtful: make(map[connector.Model]bool),
		used:     make(map[connector.Model]time.Time),
		recent:   make(map[connector.Model]time.Time),
	}
}

// take replaces what is known by a report. Arrivals that the report does not list
// yet stay until they are due. A report that may be older than the last order does
// not lower the sequence.
func (s *stock) take(r Report, now time.Time) {
	if !s.known || now.Sub(s.ordered) > reportLag {
		s.sequence = r.sequence
	}
	s.known = true
	s.sequence = max(s.sequence, r.sequence)
	held := make(map[connector.Model]int64, len(r.held))
	for m, v := range r.held {
		held[m] = v
		s.recent[m] = now
	}
	s.held = held
	for m := range s.leaving {
		if _, ok := held[m]; !ok {
			delete(s.leaving, m)
		}
	}
	for m, v := range r.coming {
		if _, ok := s.coming[m]; !ok {
			s.coming[m] = arrival{version: v, due: now.Add(unknownLoad)}
		}
	}
	clear(s.doubtful)
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
	n := len(s.doubtful)
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

// maxRecent is how many adapters an engine's host keeps beside the engine.
const maxRecent = 120

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
	return newer < maxRecent
}

// touch records models in use.
func (s *stock) touch(models []connector.Model, now time.Time) {
	for _, m := range models {
		s.used[m] = now
	}
}
