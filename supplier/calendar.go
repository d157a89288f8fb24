package supplier

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/sharer"
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
	// excess is how many more jobs the engine has than planned, as a moving average
	// over its reports: some outputs are longer than expected, and a new owner does not
	// know the jobs that an earlier one granted.
	excess     float64
	reportedAt time.Time
	shares     sharer.Sharer
}

// demand is what a call needs of an engine.
type demand struct {
	workspace sharer.Workspace
	earliest  time.Time
	maxWait   time.Duration // from earliest on
	prefill   time.Duration
	decode    time.Duration
	slots     int // job slots of the engine
}

// refusal is why a call was not scheduled: tooLate or overShare.
type refusal interface{ refusal() }

type (
	// tooLate means that the first possible time is later than the call's maximum wait.
	tooLate struct{}
	// overShare means that it is later than that wait reduced by the share of the call's
	// workspace.
	overShare struct{}
)

func (tooLate) refusal()   {}
func (overShare) refusal() {}

const (
	// excessWeight is the weight of one report in the moving average.
	excessWeight = 0.2
	// maxExcess is the maximum share of an engine's job slots that is left out. An engine
	// with fewer jobs than planned gets no more slots, because planned jobs may still be
	// on their way to it.
	maxExcess = 0.5
)

// report compares the number of jobs that the engine had at a time with the plan.
func (c *calendar) report(jobs int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !at.After(c.reportedAt) {
		return
	}
	c.reportedAt = at
	planned := 0
	for _, j := range c.jobs {
		if !j.start.After(at) && j.end.After(at) {
			planned++
		}
	}
	c.excess += excessWeight * (float64(jobs-planned) - c.excess)
}

// freeSlots returns how many of an engine's job slots the calendar may plan with.
func (c *calendar) freeSlots(slots int) int {
	limit := maxExcess * float64(slots)
	return max(slots-int(math.Round(min(max(c.excess, 0), limit))), 1)
}

// reserve schedules a call at the first time from the earliest one on at which the
// engine is free for its prefill and has a free job slot, unless that is later than the
// call may wait for. The share of its workspace concerns only a call that has to wait for
// other calls. It returns the first possible time, and a refusal unless the call may be
// sent then.
func (c *calendar) reserve(now time.Time, d demand) (time.Time, refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	past := func(s span) bool { return s.end.Before(now) }
	c.prefills = slices.DeleteFunc(c.prefills, past)
	c.jobs = slices.DeleteFunc(c.jobs, past)
	slots := c.freeSlots(d.slots)
	start, index := c.firstPrefill(d.earliest, d.prefill)
	for free := c.firstFreeSlot(start, slots); free.After(start); free = c.firstFreeSlot(start, slots) {
		start, index = c.firstPrefill(free, d.prefill)
	}
	wait, factor := start.Sub(d.earliest), c.shares.Request(now, d.workspace)
	switch {
	case wait > d.maxWait:
		return start, tooLate{}
	case wait > 0 && wait > time.Duration(factor*float64(d.maxWait)):
		return start, overShare{}
	}
	c.shares.Charge(now, d.workspace, d.prefill+d.decode)
	c.prefills = slices.Insert(c.prefills, index, span{start: start, end: start.Add(d.prefill)})
	c.jobs = append(c.jobs, span{start: start, end: start.Add(d.prefill + d.decode)})
	return start, nil
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
