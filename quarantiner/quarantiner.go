package quarantiner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/dragonflyford/dragonflyford/router"
)

const (
	// crashLimit is the number of endpoint processes that must have crashed under
	// calls with a part, with no output of such a call in between.
	crashLimit = 3
	// settleTime is the age at which a crash counts. The losses of one crash are seen
	// by several hosts, and those without the cause may be known first.
	settleTime = 500 * time.Millisecond
	// incidentGap is the time within which several crashes count as one against a part
	// that calls were answered with before, or while no other call is answered: many
	// endpoints may fail together for another reason.
	incidentGap = time.Second
	// minOutputs is the number of outputs since the first crash under a part that show
	// that other calls are answered.
	minOutputs = 3
	// memory is how long a crash counts, and how long a part stays in quarantine if
	// its quarantine could not be stored.
	memory = 10 * time.Minute
	// Limits on the state.
	maxCrashes        = 256
	maxLossesPerCrash = 32
	maxHeld           = 256
)

// crash is the end of one endpoint process, with the prompts of the calls that were
// lost before their output began.
type crash struct {
	at        time.Time
	outputs   int64 // that had begun at this host when it first learned of the crash
	prompts   [][]router.PromptPart
	positions map[router.PromptPart]int // last position of each part that the crash counts against
	released  []router.PromptPart       // parts that it no longer counts against
}

func newCrash(at time.Time, outputs int64) *crash {
	return &crash{at: at, outputs: outputs, positions: make(map[router.PromptPart]int)}
}

func (c *crash) add(prompt []router.PromptPart) {
	known := slices.ContainsFunc(c.prompts, func(p []router.PromptPart) bool { return slices.Equal(p, prompt) })
	if known || len(c.prompts) >= maxLossesPerCrash {
		return
	}
	c.prompts = append(c.prompts, prompt)
	for i, part := range prompt {
		if !slices.Contains(c.released, part) {
			c.positions[part] = max(c.positions[part], i)
		}
	}
}

// release makes the crash count against a part no longer.
func (c *crash) release(part router.PromptPart) {
	c.released = append(c.released, part)
	delete(c.positions, part)
}

// hold is the quarantine of one part.
type hold struct {
	since      time.Time
	stored     bool        // the store has a row of it, which ends it
	signatures []Signature // of the row
}

// Quarantiner holds the crashes that count and the parts in quarantine. It is not safe
// for concurrent use; its history is.
type Quarantiner struct {
	history *History
	crashes map[string]*crash // by endpoint process
	held    map[router.PromptPart]hold
}

// New returns a quarantiner that takes the last outputs of calls from history.
func New(history *History) *Quarantiner {
	return &Quarantiner{history: history, crashes: make(map[string]*crash), held: make(map[router.PromptPart]hold)}
}

// RecordLoss records that an endpoint process broke off under a call before the call's
// output began. Prompt holds the parts that the call shares with others. Losses at other
// hosts become known some time after at.
func (q *Quarantiner) RecordLoss(process string, prompt []router.PromptPart, at time.Time) {
	if len(prompt) == 0 {
		return
	}
	c := q.crashes[process]
	if c == nil {
		q.dropOldest()
		c = newCrash(at, q.history.Outputs())
		q.crashes[process] = c
	}
	if at.Before(c.at) {
		c.at = at
	}
	c.add(prompt)
}

// RecordBegun records that the output of a call with a part began, here or at another
// host, and reports whether that ends the quarantine of the part.
func (q *Quarantiner) RecordBegun(part router.PromptPart, now time.Time) (released bool) {
	q.history.RecordBegun(part, now)
	_, released = q.held[part]
	delete(q.held, part)
	return released
}

// Hold puts a part in quarantine because the store has a row of it, with the signatures
// of the row.
func (q *Quarantiner) Hold(part router.PromptPart, signatures []Signature, now time.Time) {
	if len(q.crashesUnder(part)) < crashLimit {
		q.recordRow(part, signatures, now)
	}
	h, held := q.held[part]
	switch {
	case held:
		h.stored, h.signatures = true, signatures
		q.held[part] = h
	case len(q.held) < maxHeld:
		q.held[part] = hold{since: now, stored: true, signatures: signatures}
	}
}

// recordRow records the crashes that a row stands for, as its signatures describe them. A
// host that started after them judges the other parts by them if the part proves sound.
func (q *Quarantiner) recordRow(part router.PromptPart, signatures []Signature, now time.Time) {
	for i, s := range signatures {
		for n := range crashLimit {
			process := fmt.Sprintf("row %s, signature %d, crash %d", part, i, n)
			q.RecordLoss(process, s, now.Add(-time.Duration(n)*incidentGap))
		}
	}
}

// Release ends the quarantine of a part. The crashes under it still count against the
// other parts of their calls, of which one may be the cause.
func (q *Quarantiner) Release(part router.PromptPart) {
	delete(q.held, part)
	for _, c := range q.crashesUnder(part) {
		c.release(part)
	}
}

// ReleaseRefuted ends the quarantine of the parts that this host knows to be sound, and
// returns them: the output of a call with them began here after all crashes under them.
// The host that found them may not have seen that output.
func (q *Quarantiner) ReleaseRefuted() []router.PromptPart {
	var list []router.PromptPart
	for part := range q.held {
		if q.refuted(part) {
			list = append(list, part)
			delete(q.held, part)
		}
	}
	return list
}

// refuted requires as many crashes as a quarantine does: a host that knows of fewer
// lacks what the quarantine is based on.
func (q *Quarantiner) refuted(part router.PromptPart) bool {
	crashes := q.crashesUnder(part)
	for _, c := range crashes {
		if !q.begunSince(part, c.at) {
			return false
		}
	}
	return len(crashes) >= crashLimit
}

// begunSince reports whether the output of a call with a part began at a time or later.
func (q *Quarantiner) begunSince(part router.PromptPart, at time.Time) bool {
	begun, known := q.history.LastBegun(part)
	return known && !at.After(begun)
}

// crashesUnder returns the crashes that count against a part.
func (q *Quarantiner) crashesUnder(part router.PromptPart) []*crash {
	var list []*crash
	for _, c := range q.crashes {
		if _, has := c.positions[part]; has {
			list = append(list, c)
		}
	}
	return list
}

// Held returns the parts in quarantine.
func (q *Quarantiner) Held() []router.PromptPart { return slices.Collect(maps.Keys(q.held)) }

// Watched returns the parts of which other hosts must hear when the output of a call
// with them begins: those in quarantine and those that one more crash would put there.
func (q *Quarantiner) Watched(now time.Time) []router.PromptPart {
	list := q.Held()
	for part, s := range q.suspects(now) {
		if s.crashes >= crashLimit-1 {
			list = append(list, part)
		}
	}
	return list
}

// Judge puts the parts in quarantine that are found to be fatal, and returns them.
func (q *Quarantiner) Judge(now time.Time) []router.PromptPart {
	q.forget(now)
	var found []router.PromptPart
	for len(q.held) < maxHeld {
		part, ok := q.mostSuspect(now)
		if !ok {
			break
		}
		q.held[part] = hold{since: now}
		found = append(found, part)
	}
	return found
}

// suspect is what counts against one part.
type suspect struct {
	part     router.PromptPart
	crashes  int
	last     time.Time // last crash that was counted
	position int       // in the prompt
	sound    bool      // calls with it produced output before
	alone    bool      // no other calls have been answered since its first crash
}

// count counts a crash against the part.
func (s *suspect) count(at time.Time, position int) {
	if (s.sound || s.alone) && s.crashes > 0 && at.Sub(s.last) < incidentGap {
		return
	}
	s.crashes++
	s.last = at
	s.position = max(s.position, position)
}

// compare orders suspects: first one that never was in a call with output, then the
// one further behind in the prompt, which fewer calls have, then the one with more
// crashes.
func compare(a, b *suspect) int {
	if a.sound != b.sound {
		if b.sound {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.position, a.position), cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.part, b.part))
}

func (q *Quarantiner) mostSuspect(now time.Time) (router.PromptPart, bool) {
	var first *suspect
	for _, s := range q.suspects(now) {
		if s.crashes >= crashLimit && (first == nil || compare(s, first) < 0) {
			first = s
		}
	}
	if first == nil {
		return "", false
	}
	return first.part, true
}

// suspects returns the parts that settled crashes count against and that no call has
// produced output with since.
func (q *Quarantiner) suspects(now time.Time) map[router.PromptPart]*suspect {
	list := make(map[router.PromptPart]*suspect)
	for _, c := range q.unexplained(now) {
		for part, position := range c.positions {
			if q.begunSince(part, c.at) {
				continue
			}
			s := list[part]
			if s == nil {
				_, sound := q.history.LastBegun(part)
				s = &suspect{part: part, sound: sound, alone: q.history.Outputs()-c.outputs < minOutputs}
				list[part] = s
			}
			s.count(c.at, position)
		}
	}
	return list
}

// unexplained returns the settled crashes under no part that is in quarantine, in
// order.
func (q *Quarantiner) unexplained(now time.Time) []*crash {
	var list []*crash
	for _, c := range q.crashes {
		if now.Sub(c.at) >= settleTime && !q.explained(c) {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *crash) int { return a.at.Compare(b.at) })
	return list
}

func (q *Quarantiner) explained(c *crash) bool {
	for part := range c.positions {
		if _, held := q.held[part]; held {
			return true
		}
	}
	return false
}

// forget drops what is too old.
func (q *Quarantiner) forget(now time.Time) {
	maps.DeleteFunc(q.crashes, func(_ string, c *crash) bool { return now.Sub(c.at) > memory })
	maps.DeleteFunc(q.held, func(_ router.PromptPart, h hold) bool { return !h.stored && now.Sub(h.since) > memory })
}

// dropOldest makes room for a crash.
func (q *Quarantiner) dropOldest() {
	if len(q.crashes) < maxCrashes {
		return
	}
	oldest := ""
	for process, c := range q.crashes {
		if oldest == "" || c.at.Before(q.crashes[oldest].at) {
			oldest = process
		}
	}
	delete(q.crashes, oldest)
}
