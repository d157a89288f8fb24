package enroller_test

import (
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/storer"
)

// savedTable is a copy of a table.
type savedTable struct {
	rows    map[string]storer.Row
	version storer.Version
}

func (t *table) save() savedTable {
	t.mu.Lock()
	defer t.mu.Unlock()
	return savedTable{maps.Clone(t.rows), t.version}
}

// restore replaces the table by a copy, in the next era.
func (t *table) restore(s savedTable) {
	t.mu.Lock()
	defer t.mu.Unlock()
	era := t.version.Era() + 1
	t.version = storer.NewVersion(era, s.version.Number())
	t.rows = make(map[string]storer.Row)
	for key, r := range s.rows {
		t.rows[key] = storer.NewRow(key, r.Value(), storer.NewVersion(era, r.Version().Number()))
	}
}

// Guards against owners that lose their leases, or stop their orders for long, when the
// store comes back from an older copy, and against two owners of one engine: one by a row
// that is lost, one by the row of the copy.
func TestRestoredStore(t *testing.T) {
	const noticed = 1500 * time.Millisecond // hosts renew, and claim what is lost
	tests := []struct {
		name string
		test func(t *testing.T, is *is.I, a, b *host)
	}{
		{"owners of the copy keep their engines", func(_ *testing.T, is *is.I, a, b *host) {
			ownedByA, ownedByB := owned(a), owned(b)
			saved := a.table.save()
			time.Sleep(9 * time.Second)
			a.table.restore(saved)
			for range 20 { // longer than a lease
				time.Sleep(500 * time.Millisecond)
				is.Equal(owned(a), ownedByA)
				is.Equal(owned(b), ownedByB)
			}
		}},
		{"the ownerships are lost", func(_ *testing.T, is *is.I, a, b *host) {
			ownedByA, ownedByB := owned(a), owned(b)
			a.table.restore(savedTable{version: 3})
			time.Sleep(noticed)
			is.Equal(owned(a), ownedByA)
			is.Equal(owned(b), ownedByB)
			time.Sleep(10 * time.Second)
			is.Equal(owned(a)+owned(b), len(engines))
		}},
		{"a takeover is lost", func(_ *testing.T, is *is.I, a, b *host) {
			saved := a.table.save()
			a.cut.Store(true)
			time.Sleep(15 * time.Second)
			is.Equal(owned(b), len(engines))
			a.table.restore(saved)
			b.hung.Store(true) // goes on for the rest of its lease
			a.cut.Store(false)
			time.Sleep(8 * time.Second)
			b.hung.Store(false)
			time.Sleep(20 * time.Second)
			is.Equal(owned(a)+owned(b), len(engines))
		}},
		{"a takeover is lost and the host of the copy starts again", func(t *testing.T, is *is.I, a, b *host) {
			saved := a.table.save()
			a.cut.Store(true)
			time.Sleep(15 * time.Second)
			a.table.restore(saved)
			b.hung.Store(true)
			again := join(a.table, "h1", "z1")
			defer start(t, again)()
			defer watch(t, 3*time.Second, again, b)()
			time.Sleep(8 * time.Second)
			b.hung.Store(false)
			time.Sleep(20 * time.Second)
			is.Equal(owned(again)+owned(b), len(engines))
		}},
		{"a planned stop and a takeover are lost, and the host starts again", func(t *testing.T, is *is.I, a, b *host) {
			a.cut.Store(true) // no renewal for a lease and its guard before the copy ends
			b.cut.Store(true)
			time.Sleep(3 * time.Second)
			saved := a.table.save()
			a.cut.Store(false)
			b.cut.Store(false)
			time.Sleep(2 * time.Second)
			a.Leave(t.Context())
			a.cut.Store(true)
			time.Sleep(6 * time.Second)
			is.Equal(owned(b), len(engines))
			a.table.restore(saved)
			b.blind.Store(true) // does not know of the restore yet
			again := join(a.table, "h1", "z1")
			defer start(t, again)()
			defer watch(t, 3*time.Second, again, b)()
			time.Sleep(2 * time.Second)
			b.blind.Store(false)
			time.Sleep(30 * time.Second)
			is.Equal(owned(again)+owned(b), len(engines))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { withPair(t, tt.test) })
	}
}
