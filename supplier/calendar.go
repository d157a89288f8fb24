package supplier

import (
	"slices"
	"sync"
	"time"
)

// span is the time that an engine spends on a call or on the prefill of its
// prompt.
type span struct{ start, end time.Time }

// calendar schedules the calls of an engine. Decoding pauses during a prefill, so
// that many prompts at once would stall the answers of all other calls. A call that
// finds all job slots taken would queue inside the engine, from where it cannot be
// moved to another one.
type calendar struct {
	mu       sync.Mutex
	prefills []span // sorted, without overlaps
	jobs     []span // from the prefill to the expected end of the output
}

// reserve schedules a call at the first time from earliest on at which the engine
// is free for its prefill and has a free job slot, unless that is after latest. It
// returns the time at which the call may be sent.
func (c *calendar) reserve(now, earliest, latest time.Time, prefill, decode time.Duration, slots int) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	past := func(s span) bool { return s.end.Before(now) }
	c.prefills = slices.DeleteFunc(c.prefills, past)
	c.jobs = slices.DeleteFunc(c.jobs, past)
	start, index := c.firstPrefill(earliest, prefill)
	for free := c.firstFreeSlot(start, slots); free.After(start); free = c.firstFreeSlot(start, slots) {
		start, index = c.firstPrefill(free, prefill)
	}
	if start.After(latest) {
		return start, false
	}
	c.prefills = slices.Insert(c.prefills, index, span{start: start, end: start.Add(prefill)})
	c.jobs = append(c.jobs, span{start: start, end: start.Add(prefill + decode)})
	return start, true
}

// firstPrefill returns the first time from earliest on at which a prefill fits
// between the scheduled ones, and its index among them.
func (c *calendar) firstPrefill(earliest time.Time, prefill time.Duration) (time.Time, int) {
	start := earliest
	for i, s := range c.prefills {
		if !start.Add(prefill).After(s.start) {
			return start, i
		}
		if s.end.After(start) {
			start = s.end
		}
	}
	return start, len(c.prefills)
}

// firstFreeSlot returns the first time from start on at which a job slot is free.
func (c *calendar) firstFreeSlot(start time.Time, slots int) time.Time {
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
