package quarantiner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/quarantiner"
	"github.com/dragonflyford/dragonflyford/router"
)

// step is one observation at a time in milliseconds: a loss if process is set, else the
// begin of an output.
type step struct {
	at      int
	process string
	parts   []router.PromptPart
}

func prompt(parts ...router.PromptPart) []router.PromptPart { return parts }

// begins returns the begin of outputs with the given parts every gap milliseconds.
func begins(from, to, gap int, parts ...router.PromptPart) []step {
	var list []step
	for at := from; at <= to; at += gap {
		list = append(list, step{at, "", parts})
	}
	return list
}

// crashes returns crashes of different processes every gap milliseconds, in which
// calls with the given prompts are lost.
func crashes(from, n, gap int, prompts ...[]router.PromptPart) []step {
	var list []step
	for i := range n {
		for _, p := range prompts {
			list = append(list, step{from + i*gap, fmt.Sprint("p", from+i*gap), p})
		}
	}
	return list
}

// Guards against a fatal part that is found late or not at all, and against the
// quarantine of a sound part that calls were lost with.
func TestJudge(t *testing.T) {
	fatal := prompt("first", "second", "fatal")
	tests := []struct {
		name  string
		steps []step
		want  []router.PromptPart
	}{
		{"fatal calls beside sound ones of the same beginning", slices.Concat(
			begins(0, 5000, 30, "first", "second"), crashes(1000, 3, 600, fatal, prompt("first", "other"))), prompt("fatal")},
		{"fatal calls at a start, before any call was answered", slices.Concat(
			crashes(0, 3, 600, fatal), begins(1800, 2000, 50, "other")), prompt("fatal")},
		{"engines fail at a start, before any call was answered", crashes(0, 9, 100, prompt("first", "second")), nil},
		{"no other calls come", crashes(0, 3, 1200, fatal), prompt("fatal")},
		{"all engines crash on fatal calls within a moment", slices.Concat(
			begins(0, 900, 30, "first", "second", "session"), crashes(1000, 9, 40, fatal, prompt("first", "second", "session")), begins(2000, 2100, 30, "other")), prompt("fatal")},
		{"all engines stay down while fatal calls come", slices.Concat(
			begins(0, 900, 30, "first", "second"), crashes(1000, 6, 1200, fatal, prompt("first", "x")), begins(8000, 8100, 30, "other")), prompt("fatal")},
		{"fatal part at the beginning of the prompt", slices.Concat(
			crashes(0, 1, 1, prompt("fatal", "a")), crashes(500, 1, 1, prompt("fatal", "b")), crashes(900, 1, 1, prompt("fatal", "c")), begins(200, 900, 100, "other")), prompt("fatal")},
		{"two fatal parts by turns", slices.Concat(
			begins(0, 9000, 30, "first"), crashes(1000, 3, 900, prompt("first", "fatal1")), crashes(1400, 3, 900, prompt("first", "fatal2"))), prompt("fatal1", "fatal2")},
		{"a part becomes fatal that calls were answered with", slices.Concat(
			begins(0, 900, 30, "first", "fatal"), begins(1000, 9000, 30, "first"), crashes(1000, 3, 1500, prompt("first", "fatal"))), prompt("fatal")},
		{"many engines fail together for another reason", slices.Concat(
			begins(0, 900, 30, "first", "second"), crashes(1000, 9, 100, prompt("first", "second")), crashes(1000, 2, 100, prompt("first", "second", "new")),
			begins(4000, 4200, 30, "other"), begins(4300, 4400, 30, "first", "second")), nil},
		{"engines fail one after the other for another reason", slices.Concat(
			begins(0, 9000, 30, "first", "second"), crashes(1000, 8, 1000, prompt("first", "second"))), nil},
		{"two crashes", crashes(0, 2, 500, fatal), nil},
		{"one process breaks off under three calls", []step{{0, "p", fatal}, {500, "p", prompt("first", "fatal")}, {900, "p", fatal}}, nil},
		{"a call with the part is answered in between", slices.Concat(
			crashes(0, 2, 500, fatal), begins(700, 700, 1, "first", "second", "fatal"), crashes(900, 1, 500, fatal)), nil},
		{"crashes hours apart", slices.Concat(begins(0, 1000, 30, "other"), crashes(0, 3, 3600_000, fatal)), nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(0, 0)
			h := quarantiner.NewHistory(start)
			q := quarantiner.New(h)
			slices.SortStableFunc(tt.steps, func(a, b step) int { return a.at - b.at })
			var found []router.PromptPart
			now := start
			for _, s := range tt.steps {
				now = start.Add(time.Duration(s.at) * time.Millisecond)
				found = append(found, q.Judge(now)...)
				if s.process != "" {
					q.RecordLoss(s.process, s.parts, now)
					continue
				}
				h.RecordOutput(s.parts, now)
			}
			found = append(found, q.Judge(now.Add(time.Second))...)
			slices.Sort(found)
			is.Equal(found, tt.want)
			is.Equal(len(q.Held()), len(tt.want))
		})
	}
}

// Guards against a quarantine without end, and against one that begins again from
// crashes that were judged before.
func TestRelease(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	find := func() *quarantiner.Quarantiner {
		h := quarantiner.NewHistory(now)
		q := quarantiner.New(h)
		for i := range 3 {
			q.RecordLoss(fmt.Sprint("p", i), prompt("fatal"), now.Add(time.Duration(i)))
			h.RecordOutput(prompt("other"), now)
		}
		is.Equal(q.Judge(now.Add(time.Second)), prompt("fatal"))
		is.Equal(q.Watched(now), prompt("fatal"))
		return q
	}
	q := find()
	q.Release("fatal")
	is.Equal(q.Judge(now.Add(2*time.Second)), nil)
	is.Equal(len(q.Held()), 0)

	q = find()
	is.True(q.RecordBegun("fatal", now.Add(2*time.Second)))
	is.Equal(q.Judge(now.Add(3*time.Second)), nil)
	is.Equal(len(q.Held()), 0)

	q = find() // not stored
	q.Judge(now.Add(time.Hour))
	is.Equal(len(q.Held()), 0)

	q = find()
	q.Hold("fatal", nil, now)
	q.Hold("other", nil, now)
	q.Judge(now.Add(time.Hour))
	is.Equal(len(q.Held()), 2) // the store ends them
}

// Guards against state that grows with the number of crashes and parts.
func TestBoundedState(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	q := quarantiner.New(quarantiner.NewHistory(now))
	for i := range 5000 {
		now = now.Add(time.Millisecond)
		part := router.PromptPart(fmt.Sprint("part-", i))
		q.Hold(part, nil, now)
		for j := range 3 {
			q.RecordLoss(fmt.Sprint("p", i, j), prompt(part+"x"), now)
		}
	}
	is.True(len(q.Held()) <= 256)
	is.True(len(q.Watched(now.Add(time.Second))) <= 512)
}

// Guards against a history that forgets parts in use, or keeps those that are not.
func TestHistory(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	h := quarantiner.NewHistory(now)
	for i := range 100_000 {
		now = now.Add(time.Millisecond)
		h.RecordBegun("popular", now)
		h.RecordBegun(router.PromptPart(fmt.Sprint("rare-", i)), now)
	}
	at, ok := h.LastBegun("popular")
	is.True(ok)
	is.Equal(at, now)
	_, ok = h.LastBegun("rare-99999")
	is.True(ok)
	_, ok = h.LastBegun("rare-1")
	is.True(!ok)
	h.RecordBegun("other", now.Add(time.Hour))
	h.RecordBegun("other", now.Add(2*time.Hour))
	_, ok = h.LastBegun("popular")
	is.True(!ok)
}

// observe applies crashes and outputs in order, and returns the time after the last one.
func observe(q *quarantiner.Quarantiner, h *quarantiner.History, steps []step) time.Time {
	slices.SortStableFunc(steps, func(a, b step) int { return a.at - b.at })
	now := time.Unix(0, 0)
	for _, s := range steps {
		now = time.Unix(0, 0).Add(time.Duration(s.at) * time.Millisecond)
		if s.process != "" {
			q.RecordLoss(s.process, s.parts, now)
			continue
		}
		h.RecordOutput(s.parts, now)
	}
	return now.Add(time.Second)
}

// Guards against a sound part that stays in quarantine at a host which knows better than
// the one that found it, and against the release of one by what says nothing.
func TestReleaseRefuted(t *testing.T) {
	lost := prompt("first", "fatal", "last")
	tests := []struct {
		name     string
		steps    []step
		released bool
	}{
		{"outputs began after all crashes", slices.Concat(crashes(0, 3, 1000, lost), begins(500, 2500, 500, "first", "last")), true},
		{"outputs began before the last crash only", slices.Concat(crashes(0, 3, 1000, lost), begins(500, 1500, 500, "first", "last")), false},
		{"no output with the part began", slices.Concat(crashes(0, 3, 1000, lost), begins(500, 2500, 500, "first")), false},
		{"fewer crashes are known than the quarantine took", slices.Concat(crashes(0, 2, 1000, lost), begins(500, 2500, 500, "last")), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := quarantiner.NewHistory(time.Unix(0, 0))
			q := quarantiner.New(h)
			now := observe(q, h, tt.steps)
			q.Hold("last", nil, now)
			released := q.ReleaseRefuted()
			is.Equal(slices.Contains(released, "last"), tt.released)
			is.Equal(slices.Contains(q.Held(), "last"), !tt.released)
		})
	}
}

// Guards against calls that are refused for good although they could show which of several
// parts crashes the endpoints, and against the sending of those that look like the calls
// under which endpoints crashed.
func TestSignatures(t *testing.T) {
	lost := prompt("first", "fatal", "last")
	tests := []struct {
		name  string
		steps []step
		row   []quarantiner.Signature
		want  []quarantiner.Signature
	}{
		{"all parts explain the crashes alike", crashes(0, 3, 1000, lost), nil, []quarantiner.Signature{lost}},
		{"outputs refuted one of them", slices.Concat(crashes(0, 3, 1000, lost), begins(2500, 2500, 1, "first")), nil, []quarantiner.Signature{{"fatal", "last"}}},
		{"no other part is in all crashes", slices.Concat(crashes(0, 1, 1, prompt("a", "last")), crashes(1000, 1, 1, prompt("b", "last")), crashes(2000, 1, 1, prompt("c", "last"))), nil, []quarantiner.Signature{{"last"}}},
		{"two other parts crash endpoints by turns", slices.Concat(crashes(0, 3, 1000, prompt("x", "last")), crashes(100, 3, 1000, prompt("y", "last"))), nil, []quarantiner.Signature{{"x", "last"}, {"y", "last"}}},
		{"another call, which may be the cause, was lost in each crash", crashes(0, 3, 1000, lost, prompt("first", "other")), nil, []quarantiner.Signature{{"first", "fatal", "other", "last"}}},
		{"another host knows that no other part is the cause", crashes(0, 3, 1000, lost), []quarantiner.Signature{{"last"}}, []quarantiner.Signature{{"last"}}},
		{"only the row is known", nil, []quarantiner.Signature{{"fatal", "last"}}, []quarantiner.Signature{{"fatal", "last"}}},
		{"nothing is known", nil, nil, []quarantiner.Signature{{"last"}}},
		{"the row has too many", nil, manySignatures(9, 2), []quarantiner.Signature{{"last"}}},
		{"the row has too long ones", nil, manySignatures(1, 17), []quarantiner.Signature{{"last"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := quarantiner.NewHistory(time.Unix(0, 0))
			q := quarantiner.New(h)
			q.Hold("last", tt.row, observe(q, h, tt.steps))
			got := q.Signatures("last")
			slices.SortFunc(got, slices.Compare)
			is.Equal(got, tt.want)
		})
	}
}

// manySignatures returns n different signatures of the part "last" with length parts each.
func manySignatures(n, length int) []quarantiner.Signature {
	var list []quarantiner.Signature
	for i := range n {
		s := quarantiner.Signature{"last"}
		for j := range length - 1 {
			s = append(s, router.PromptPart(fmt.Sprint(i, "-", j)))
		}
		list = append(list, s)
	}
	return list
}

// Guards against a host that knows only the row of a sound part, and forgets with its
// release which calls crashed the endpoints.
func TestRowNamesAlternatives(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	h := quarantiner.NewHistory(now)
	q := quarantiner.New(h)
	q.Hold("last", []quarantiner.Signature{{"first", "fatal", "last"}}, now)
	now = now.Add(time.Second)
	h.RecordOutput(prompt("first", "other", "last"), now)
	is.True(q.RecordBegun("last", now))
	q.Release("last")
	is.Equal(q.Judge(now.Add(time.Second)), prompt("fatal"))
}
