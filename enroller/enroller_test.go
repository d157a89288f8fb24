package enroller_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/enroller"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/storer"
)

// table is a fake of the store's table.
type table struct {
	mu      sync.Mutex
	began   time.Time
	rows    map[string]storer.Row
	version storer.Version
	fail    map[string]error // error that commits return, by host
	lost    map[string]bool  // writes are applied but their answers are lost, by host

	deletionsFail bool // without an effect
}

func newTable() *table {
	return &table{began: time.Now().Add(-time.Hour), rows: make(map[string]storer.Row), fail: make(map[string]error), lost: make(map[string]bool)}
}

func (t *table) clock() time.Duration { return time.Since(t.began) }

func (t *table) latest() storer.Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

func (t *table) commit(by string, writes []storer.Write) (storer.Version, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.fail[by]; err != nil {
		return 0, err
	}
	var present []storer.Change
	conflict, pastEra := "", false
	for _, w := range writes {
		if _, deletes := w.(storer.Delete); deletes && t.deletionsFail {
			return 0, storer.ErrUncertain
		}
		row, ok := t.rows[w.Key()]
		if ok {
			present = append(present, storer.NewChange(row))
		}
		if row.Version().Number() != w.Expected().Number() { // the store knows of no eras
			conflict = w.Key()
		}
		pastEra = pastEra || w.Expected() != 0 && w.Expected().Era() != t.version.Era()
	}
	if conflict != "" {
		return 0, storer.NewRowConflict(conflict, present)
	}
	t.version++
	for _, w := range writes {
		switch w := w.(type) {
		case storer.Put:
			t.rows[w.Key()] = storer.NewRow(w.Key(), w.Value(), t.version)
		case storer.Delete:
			delete(t.rows, w.Key())
		}
	}
	if t.lost[by] || pastEra {
		return 0, storer.ErrUncertain
	}
	return t.version, nil
}

// host is an enroller with its connection to the table.
type host struct {
	*enroller.Enroller
	name   string
	table  *table
	era    uint64       // of the rows that were passed
	cut    atomic.Bool  // writes fail at once and the table is not read
	hung   atomic.Bool  // writes get no answer and the table is not read
	blind  atomic.Bool  // writes succeed but the table is not read
	frozen atomic.Int64 // nanoseconds for which the process was suspended
}

func (h *host) Commit(ctx context.Context, writes ...storer.Write) (storer.Version, error) {
	if h.hung.Load() {
		<-ctx.Done()
		return 0, storer.ErrUnavailable
	}
	if h.cut.Load() {
		return 0, storer.ErrUnavailable
	}
	return h.table.commit(h.name, writes)
}

const (
	renew         = time.Second
	lease         = 5 * time.Second
	guard         = time.Second
	takeoverDelay = 3500 * time.Millisecond
	lostAfter     = 4 * time.Second
)

func join(t *table, name, dataCentre string) *host {
	h := &host{name: name, table: t}
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) + time.Duration(h.frozen.Load()) }
	h.Enroller = enroller.New(enroller.NewLocalHost(name, name+":1", name+":2", dataCentre, "r-"+dataCentre, 0),
		enroller.NewTiming(renew, lease, guard, takeoverDelay, lostAfter), h, logger.Nop(), enroller.WithClock(clock))
	return h
}

// syncTable passes all rows of the table to the enroller.
func (h *host) syncTable() {
	h.table.mu.Lock()
	version := h.table.version
	var rows []storer.Change
	for _, r := range h.table.rows {
		rows = append(rows, storer.NewChange(r))
	}
	h.table.mu.Unlock()
	if version.Era() > h.era {
		h.era = version.Era()
		h.Restored()
	}
	h.Replace(rows)
	h.Contact(version, h.table.clock(), 0)
}

// run renews the lease and syncs the table until ctx is done.
func (h *host) run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { h.Run(ctx) })
	for ctx.Err() == nil {
		if !h.cut.Load() && !h.blind.Load() && !h.hung.Load() {
			h.syncTable()
		}
		time.Sleep(200 * time.Millisecond)
	}
	running.Wait()
}

type engine string

func (e engine) ID() string         { return string(e) }
func (e engine) DataCentre() string { return "z1" }
func (e engine) Region() string     { return "r-z1" }

var engines = []enroller.Engine{engine("e1"), engine("e2"), engine("e3"), engine("e4"), engine("e5"), engine("e6")}

func (h *host) claimLoop(ctx context.Context) {
	for ctx.Err() == nil {
		h.Claim(ctx, engines)
		time.Sleep(500 * time.Millisecond)
	}
}

// start runs hosts until stop is called.
func start(t *testing.T, hosts ...*host) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, h := range hosts {
		running.Go(func() { h.run(ctx) })
		running.Go(func() { h.claimLoop(ctx) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

func owned(h *host) int {
	n := 0
	for _, e := range engines {
		if _, ok := h.Owns(e.ID()); ok {
			n++
		}
	}
	return n
}

// watch fails the test if two hosts may send orders to an engine within minGap
// of each other, in which an endpoint must not receive orders of two hosts, or
// if a fencing token does not increase.
func watch(t *testing.T, minGap time.Duration, hosts ...*host) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var watching sync.WaitGroup
	watching.Go(func() { watchOrders(ctx, t, minGap, hosts) })
	return func() {
		cancel()
		watching.Wait()
	}
}

func watchOrders(ctx context.Context, t *testing.T, minGap time.Duration, hosts []*host) {
	t.Helper()
	last := make(map[string]string)
	until := make(map[string]time.Time)
	tokens := make(map[string]uint64)
	for ctx.Err() == nil {
		for _, h := range hosts {
			for _, e := range engines {
				o, ok := h.Owns(e.ID())
				if !ok {
					continue
				}
				now := time.Now()
				if last[e.ID()] != "" && last[e.ID()] != h.name {
					if now.Sub(until[e.ID()]) < minGap {
						t.Errorf("%s may order %s %v after %s", h.name, e.ID(), now.Sub(until[e.ID()]), last[e.ID()])
					}
					if o.Token() <= tokens[e.ID()] {
						t.Errorf("token of %s falls from %d to %d", e.ID(), tokens[e.ID()], o.Token())
					}
				}
				last[e.ID()], until[e.ID()], tokens[e.ID()] = h.name, now, o.Token()
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// withPair runs a test in virtual time with two hosts of one data centre that
// share the engines, while watch checks the orders of both.
func withPair(t *testing.T, test func(t *testing.T, is *is.I, a, b *host)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		tab := newTable()
		a, b := join(tab, "h1", "z1"), join(tab, "h2", "z1")
		defer start(t, a, b)()
		defer watch(t, 3*time.Second, a, b)()
		time.Sleep(8 * time.Second)
		test(t, is.New(t), a, b)
	})
}

// Guards against two hosts that send orders to an engine within three seconds
// of each other after the owner is cut off, frozen, leaves or cannot write.
func TestOneOwner(t *testing.T) {
	tests := []struct {
		name  string
		fault func(ctx context.Context, h *host)
	}{
		{"cut off", func(_ context.Context, h *host) { h.cut.Store(true) }},
		{"frozen past its lease", func(_ context.Context, h *host) { h.cut.Store(true); h.frozen.Store(int64(10 * time.Second)) }},
		{"leaves", func(ctx context.Context, h *host) { h.Leave(ctx) }},
		{"writes fail", func(_ context.Context, h *host) {
			h.table.mu.Lock()
			h.table.fail[h.name] = errors.New("refused")
			h.table.mu.Unlock()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withPair(t, func(t *testing.T, is *is.I, a, b *host) {
				is.True(owned(a) > 0 && owned(b) > 0)
				is.Equal(owned(a)+owned(b), len(engines))
				tt.fault(t.Context(), a)
				time.Sleep(15 * time.Second)
				is.Equal(owned(a), 0)
				is.Equal(owned(b), len(engines))
			})
		})
	}
}

// Guards against a host that takes engines over from live owners because it
// missed their renewals while it was cut off.
func TestReturn(t *testing.T) {
	withPair(t, func(t *testing.T, is *is.I, a, b *host) {
		before := owned(a)
		b.cut.Store(true)
		time.Sleep(20 * time.Second)
		b.cut.Store(false)
		time.Sleep(4 * time.Second)
		is.True(owned(a) >= before)
	})
}

// Guards against a host that renews its lease after it expired and sends orders
// before it has read that other hosts took its engines over.
func TestRenewedAfterLapse(t *testing.T) {
	withPair(t, func(t *testing.T, is *is.I, a, b *host) {
		a.cut.Store(true)
		a.blind.Store(true)
		time.Sleep(15 * time.Second)
		is.Equal(owned(b), len(engines))
		a.cut.Store(false) // the next renewal succeeds
		time.Sleep(3 * time.Second)
		is.Equal(owned(a), 0)
		a.blind.Store(false)
		time.Sleep(3 * time.Second)
		is.Equal(owned(b), len(engines))
	})
}

// Guards against a host that treats its own write as that of another host after
// the answer to the write was lost.
func TestLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tab := newTable()
		a := join(tab, "h1", "z1")
		defer start(t, a)()
		time.Sleep(8 * time.Second)
		tab.mu.Lock()
		tab.lost["h1"] = true
		tab.mu.Unlock()
		time.Sleep(3 * time.Second)
		tab.mu.Lock()
		tab.lost["h1"] = false
		tab.mu.Unlock()
		time.Sleep(3 * time.Second)
		is.Equal(owned(a), len(engines))
	})
}

// Guards against a restarted process that sends orders before the takeover
// delay of the previous process has ended, and against one that waits for its
// own lease to expire.
func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tab := newTable()
		stop := start(t, join(tab, "h1", "z1"))
		time.Sleep(8 * time.Second)
		stop()
		again := join(tab, "h1", "z1")
		defer start(t, again)()
		time.Sleep(time.Second)
		is.Equal(owned(again), len(engines))
	})
}

// Guards against a new process that counts a host as alive because it has just
// read its old row.
func TestOldRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tab := newTable()
		stop := start(t, join(tab, "gone", "z1"))
		time.Sleep(8 * time.Second)
		stop()
		time.Sleep(10 * time.Second)
		a := join(tab, "h1", "z1")
		defer start(t, a)()
		time.Sleep(time.Second)
		is.True(!a.View().Alive(a.View().Host("gone")))
		is.True(a.View().Alive(a.View().Host("h1")))
		is.Equal(a.View().LiveCount(), 1)
	})
}

// joinThree returns three hosts of one data centre on a new table.
func joinThree() []*host {
	tab := newTable()
	var hosts []*host
	for i := range 3 {
		hosts = append(hosts, join(tab, fmt.Sprint("h", i), "z1"))
	}
	return hosts
}

func cutAll(hosts []*host, cut bool) {
	for _, h := range hosts {
		h.cut.Store(cut)
	}
}

// Guards against hosts that count each other as lost during an outage of the
// store.
func TestStoreAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hosts := joinThree()
		defer start(t, hosts...)()
		time.Sleep(8 * time.Second)
		cutAll(hosts, true)
		time.Sleep(time.Minute)
		is.Equal(hosts[0].View().LiveCount(), 3)
	})
}

// Guards against hosts that count each other as lost after an outage of the
// store, during which none could renew its row.
func TestStoreBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hosts := joinThree()
		defer start(t, hosts...)()
		time.Sleep(8*time.Second + 100*time.Millisecond)
		cutAll(hosts, true)
		time.Sleep(10 * time.Second)
		cutAll(hosts, false)
		for range 60 {
			time.Sleep(50 * time.Millisecond)
			for _, h := range hosts {
				is.Equal(h.View().LiveCount(), 3)
			}
		}
	})
}

// Guards against a host that died during an outage of the store and still
// counts as alive more than lostAfter after the store is back.
func TestLostWhileStoreAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tab := newTable()
		a, b := join(tab, "h1", "z1"), join(tab, "h2", "z1")
		defer start(t, a)()
		stop := start(t, b)
		time.Sleep(8 * time.Second)
		a.cut.Store(true)
		stop()
		time.Sleep(10 * time.Second)
		a.cut.Store(false)
		time.Sleep(lostAfter + 500*time.Millisecond)
		is.Equal(a.View().LiveCount(), 1)
	})
}

// Guards against a renewal that hangs on a dead connection, or waits for its
// next interval, after the store is back.
func TestRenewedAtReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tab := newTable()
		a := join(tab, "h1", "z1")
		defer start(t, a)()
		for away := 4 * time.Second; away < 7*time.Second; away += 300 * time.Millisecond {
			time.Sleep(8 * time.Second)
			a.hung.Store(true)
			time.Sleep(away)
			a.hung.Store(false)
			before := tab.latest()
			time.Sleep(800 * time.Millisecond)
			is.True(tab.latest() > before)
		}
	})
}

// Guards against engines that stay without an owner because their first choice
// has just joined and may not claim yet.
func TestLeaveAfterJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tab := newTable()
		a, b := join(tab, "h1", "z1"), join(tab, "h2", "z1")
		defer start(t, a, b)()
		time.Sleep(8 * time.Second)
		var joined []*host
		for i := range 6 {
			joined = append(joined, join(tab, fmt.Sprint("new", i), "z1"))
		}
		defer start(t, joined...)()
		time.Sleep(500 * time.Millisecond)
		a.Leave(t.Context())
		time.Sleep(1500 * time.Millisecond)
		for _, e := range engines {
			o, ok := b.View().Owner(e.ID())
			is.True(ok)
			is.Equal(o.Host(), "h2")
		}
	})
}

// Guards against hosts that all count as dead while the store is away for all, because an
// old copy of the table at another host counts as new.
func TestAliveByOldCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tab := newTable()
		a, b := join(tab, "h1", "z1"), join(tab, "h2", "z1")
		defer start(t, a, b)()
		time.Sleep(8 * time.Second)
		a.cut.Store(true)
		b.cut.Store(true)
		version, clock := tab.latest(), tab.clock()
		for age := time.Duration(0); age < 3*time.Second; age += time.Second { // copies of copies
			a.Contact(version, clock+age, age)
			time.Sleep(time.Second)
		}
		for range 40 {
			is.True(a.View().Alive(a.View().Host("h2")))
			time.Sleep(100 * time.Millisecond)
		}
	})
}
