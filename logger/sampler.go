package logger

import (
	"sync"
	"time"
)

// A flood of one event writes this many lines per window and then a count. At a
// few hundred bytes a line, one event then costs at most some 10 KB/s.
const (
	linesPerWindow = 20
	window         = time.Second
)

// maxEvents bounds the number of events that are counted. Events are constants of
// the program; the bound guards against one that is made from input.
const maxEvents = 1024

// eventKey identifies what is counted.
type eventKey struct {
	component string
	event     string
}

// tally counts the lines of one event in the current window.
type tally struct {
	started time.Time
	lines   int
}

// sampler bounds how many lines of one event are written.
type sampler struct {
	mu     sync.Mutex
	events map[eventKey]*tally
}

func newSampler() *sampler { return &sampler{events: make(map[eventKey]*tally)} }

// admit reports whether a line is written, and how many lines were dropped in
// the event's last window.
func (s *sampler) admit(component, event string, now time.Time) (keep bool, dropped int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := eventKey{component: component, event: event}
	t, ok := s.events[key]
	if !ok {
		if len(s.events) >= maxEvents {
			return false, 0
		}
		t = &tally{started: now}
		s.events[key] = t
	}
	if now.Sub(t.started) >= window {
		dropped = max(t.lines-linesPerWindow, 0)
		*t = tally{started: now}
	}
	t.lines++
	return t.lines <= linesPerWindow, dropped
}
