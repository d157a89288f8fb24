package logger

import (
	"sync"
	"time"
)

// At most linesPerWindow lines of one event are written per window; the first
// line after the window is preceded by the number of lines dropped. At a few
// hundred bytes per line, one event then costs at most about 10 KB/s.
const (
	linesPerWindow = 20
	window         = time.Second
)

// maxEvents bounds the number of distinct events that are counted; lines of other
// events are then dropped. Events are constants of the program; the bound limits
// memory in case an event is built from input.
const maxEvents = 1024

// eventKey identifies an event of one component.
type eventKey struct {
	component string
	event     string
}

// eventCount is the number of lines of one event in its current window.
type eventCount struct {
	started time.Time
	lines   int
}

// sampler limits the rate at which lines of one event are written.
type sampler struct {
	mu     sync.Mutex
	events map[eventKey]*eventCount
}

func newSampler() *sampler { return &sampler{events: make(map[eventKey]*eventCount)} }

// allow reports whether a line may be written. If the line starts a new window,
// it also returns the number of lines of the event that the last window dropped.
func (s *sampler) allow(component, event string, now time.Time) (keep bool, dropped int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := eventKey{component: component, event: event}
	t, ok := s.events[key]
	if !ok {
		if len(s.events) >= maxEvents {
			return false, 0
		}
		t = &eventCount{started: now}
		s.events[key] = t
	}
	if now.Sub(t.started) >= window {
		dropped = max(t.lines-linesPerWindow, 0)
		*t = eventCount{started: now}
	}
	t.lines++
	return t.lines <= linesPerWindow, dropped
}
