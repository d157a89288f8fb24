package supplier

import (
	"slices"
	"sync"
	"time"
)

// span is a time that an engine spends on a call, or on its prompt.
type span struct{ start, end time.Time }

// calendar plans when an engine takes which call. While an engine reads prompts,
// the streams that it generates stand still, so that prompts that come all at once
// make the answers of all other calls pause; and a call that finds all slots taken
// waits inside the engine, where it cannot go elsewhere.
type calendar struct {
	mu      sync.Mutex
	prompts []span // in order, without overlaps
	jobs    []span // expected ends
}

// reserve plans a call at the first time from earliest on at which the engine can
// read its prompt and has one of its slots free, if that is not after latest. It
// returns when the call may be sent.
func (c *calendar) reserve(now, earliest, latest time.Time, reading, generating time.Duration, slots int) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	past := func(s span) bool { return s.end.Before(now) }
	c.prompts = slices.DeleteFunc(c.prompts, past)
	c.jobs = slices.DeleteFunc(c.jobs, past)
	start, at := c.reader(earliest, reading)
	for free := c.slot(start, slots); free.After(start); free = c.slot(start, slots) {
		start, at = c.reader(free, reading)
	}
	if start.After(latest) {
		return start, false
	}
	c.prompts = slices.Insert(c.prompts, at, span{start: start, end: start.Add(reading)})
	c.jobs = append(c.jobs, span{start: start, end: start.Add(reading + generating)})
	return start, true
}

// reader returns the first time from earliest on at which a prompt fits between
// the others, and its place among them.
func (c *calendar) reader(earliest time.Time, reading time.Duration) (time.Time, int) {
	start := earliest
	for i, s := range c.prompts {
		if !start.Add(reading).After(s.start) {
			return start, i
		}
		if s.end.After(start) {
			start = s.end
		}
	}
	return start, len(c.prompts)
}

// slot returns the first time from start on at which one of the slots is free.
func (c *calendar) slot(start time.Time, slots int) time.Time {
	var ends []time.Time
	for _, j := range c.jobs {
		if !j.start.After(start) && j.end.After(start) {
			ends = append(ends, j.end)
		}
	}
	if len(ends) < slots {
		return start
	}
	slices.SortFunc(ends, time.Time.Compare)
	return ends[len(ends)-slots]
}
