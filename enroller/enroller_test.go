package enroller_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

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
		id := engines[0].ID()
		is.True(again.Expects(id)) // has read no rows yet
		defer start(t, again)()
		time.Sleep(time.Second)
		is.Equal(owned(again), len(engines))
		is.True(!again.Expects(id))
	})
}

// Guards against requests that wait at a host which has just started and will not own the engine,
// or not soon.
func TestExpects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tab := newTable()
		stop := start(t, join(tab, "h1", "z1"))
		time.Sleep(8 * time.Second)
		id := engines[0].ID()
		other := join(tab, "h2", "z1")
		defer start(t, other)()
		time.Sleep(500 * time.Millisecond)
		is.True(!other.Expects(id)) // has another owner
		is.True(!other.Expects("unknown"))
		stop()
		again := join(tab, "h1", "z1")
		again.hung.Store(true)
		defer start(t, again)()
		is.True(again.Expects(id)) // has read no rows yet
		again.syncTable()
		is.True(again.Expects(id)) // its lease is not confirmed
		time.Sleep(3 * time.Second)
		is.True(!again.Expects(id)) // the store has not answered for too long
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
