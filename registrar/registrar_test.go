package registrar_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/registrar"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/screener"
	"github.com/dragonflyford/dragonflyford/storer"
)

// table is a table of the store that hosts follow.
type table struct {
	rows      map[string]storer.Row
	version   storer.Version
	commits   int
	down      bool
	followers []*registrar.Registrar
}

func (tb *table) Commit(_ context.Context, writes ...storer.Write) (storer.Version, error) {
	if tb.down {
		return 0, storer.ErrUnavailable
	}
	tb.commits++
	tb.version++
	var changes []storer.Change
	for _, w := range writes {
		old := tb.rows[w.Key()]
		if w.Expected() != old.Version() {
			current := storer.NewRemoval(w.Key(), tb.version)
			if old.Version() > 0 {
				current = storer.NewChange(old)
			}
			return 0, storer.NewRowConflict(w.Key(), []storer.Change{current})
		}
		switch w := w.(type) {
		case storer.Put:
			tb.rows[w.Key()] = storer.NewRow(w.Key(), w.Value(), tb.version)
			changes = append(changes, storer.NewChange(tb.rows[w.Key()]))
		case storer.Delete:
			delete(tb.rows, w.Key())
			changes = append(changes, storer.NewRemoval(w.Key(), tb.version))
		}
	}
	for _, f := range tb.followers {
		f.Apply(changes)
	}
	return tb.version, nil
}

// host is a screener with its registrar.
type host struct {
	*screener.Screener
	*registrar.Registrar
}

func (tb *table) newHost() host {
	s := screener.New(logger.Nop())
	h := host{s, registrar.New(s, tb, logger.Nop())}
	var rows []storer.Change
	for _, r := range tb.rows {
		rows = append(rows, storer.NewChange(r))
	}
	h.Replace(rows)
	tb.followers = append(tb.followers, h.Registrar)
	return h
}

// crash makes a host lose calls with a part in three processes, and judge.
func (h host) crash(part router.PromptPart) {
	for i, process := range []string{"p", "q", "r"} {
		h.RecordCrash(screener.NewMark(screener.Fingerprint(i), process+string(part), part))
		time.Sleep(1200 * time.Millisecond)
	}
	h.Judge()
}

func (h host) held() []string {
	var list []string
	for _, one := range h.Holds() {
		list = append(list, string(one.Part()))
	}
	return list
}

// Guards against a fatal part that hosts which join, or which all start again, do not
// know, also if the store was away when it was found.
func TestQuarantineIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tb := &table{rows: make(map[string]storer.Row), down: true}
		finder, other := tb.newHost(), tb.newHost()
		finder.crash("dead")
		other.Learn(finder.TakeUnsent())
		time.Sleep(time.Second)
		finder.Synchronise(t.Context())
		is.Equal(finder.held(), []string{"dead"})
		tb.down = false
		other.Synchronise(t.Context())
		finder.Synchronise(t.Context())
		is.Equal(tb.commits, 1) // by the host that lost the calls
		is.Equal(other.held(), []string{"dead"})
		is.Equal(tb.newHost().held(), []string{"dead"})
		finder.Synchronise(t.Context())
		is.Equal(tb.commits, 1)
	})
}

// Guards against a part that stays in quarantine although no call with it comes any
// more, or for ever, and against one that is tried again while calls with it come.
func TestLifetime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tb := &table{rows: make(map[string]storer.Row)}
		a, b := tb.newHost(), tb.newHost()
		a.crash("dead")
		a.Synchronise(t.Context())
		is.Equal(b.held(), []string{"dead"})
		age := func(d time.Duration, call bool) {
			for range d / time.Minute {
				if call {
					_, err := b.Screener.Apply(t.Context(), routed(t, "dead"))
					is.True(err != nil || len(b.held()) == 0)
				}
				time.Sleep(time.Minute)
				a.Judge()
				a.Synchronise(t.Context())
				b.Synchronise(t.Context())
			}
		}
		age(30*time.Minute, true)
		is.Equal(b.held(), []string{"dead"})
		age(90*time.Minute, true)
		is.Equal(len(b.held()), 0) // tried again
		is.Equal(len(a.held()), 0)
		is.Equal(len(tb.rows), 0)

		a.crash("dead")
		a.Synchronise(t.Context())
		is.Equal(b.held(), []string{"dead"})
		age(12*time.Minute, false)
		is.Equal(len(a.held()), 0)
		is.Equal(len(b.held()), 0)
	})
}

// Guards against the quarantine of a part that turns out to be sound.
func TestOutputReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tb := &table{rows: make(map[string]storer.Row)}
		a, b := tb.newHost(), tb.newHost()
		a.crash("dead")
		a.Synchronise(t.Context())
		is.Equal(b.held(), []string{"dead"})
		b.RecordOutput(routed(t, "dead").Call) // of a call that was sent before
		b.Synchronise(t.Context())
		a.Learn(b.TakeUnsent())
		a.Synchronise(t.Context())
		is.Equal(len(a.held()), 0)
		is.Equal(len(b.held()), 0)
		is.Equal(len(tb.rows), 0)
	})
}

// Guards against a part that is released because the store has lost its row, and against
// one that is held again because the store lists a row that had been deleted.
func TestRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tb := &table{rows: make(map[string]storer.Row)}
		h := tb.newHost()
		h.crash("sound")
		h.Synchronise(t.Context())
		saved := tb.rows["quarantine/sound"]
		h.RecordOutput(routed(t, "sound").Call)
		h.Synchronise(t.Context())
		h.crash("dead")
		h.Synchronise(t.Context())
		is.Equal(h.held(), []string{"dead"})

		restored := storer.NewRow(saved.Key(), saved.Value(), storer.NewVersion(1, saved.Version().Number()))
		tb.version = storer.NewVersion(1, uint64(tb.version))
		tb.rows = map[string]storer.Row{restored.Key(): restored}
		h.Restored()
		h.Replace([]storer.Change{storer.NewChange(restored)})
		is.Equal(h.held(), []string{"dead"})
		time.Sleep(3 * time.Second)
		h.Synchronise(t.Context())
		is.Equal(len(tb.rows), 1)
		_, stored := tb.rows["quarantine/dead"]
		is.True(stored)
	})
}

// Guards against rows of others that are taken for parts, and against a row that
// cannot be read.
func TestOtherRows(t *testing.T) {
	is := is.New(t)
	s := screener.New(logger.Nop())
	r := registrar.New(s, nil, logger.Nop())
	r.Apply([]storer.Change{
		storer.NewChange(storer.NewRow("host/quarantine", nil, 1)),
		storer.NewChange(storer.NewRow("quarantine/bad", []byte(strings.Repeat("x", 5)), 2)),
		storer.NewRemoval("quarantine/unknown", 3),
	})
	is.Equal(len(s.Holds()), 0)
	is.Equal(len(r.Parts()), 0)
}

// Guards against the row of a sound part, which one host wrote that saw no output of calls
// with it, and which stays in force at hosts that saw them.
func TestRefutedRowIsDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tb := &table{rows: make(map[string]storer.Row)}
		finder, other := tb.newHost(), tb.newHost()
		finder.crash("sound")
		other.Learn(finder.TakeUnsent())
		call := router.NewCall("id", "POST", "h", "/x", "/x", nil, nil, router.WithSharedPromptParts([]router.PromptPart{"sound"}))
		other.RecordOutput(call)
		finder.Synchronise(t.Context())
		is.Equal(len(tb.rows), 1)
		is.Equal(other.held(), nil)
		other.Synchronise(t.Context())
		is.Equal(len(tb.rows), 0)
		is.Equal(finder.held(), nil)
		finder.Judge()
		finder.Synchronise(t.Context())
		is.Equal(len(tb.rows), 0)
	})
}
