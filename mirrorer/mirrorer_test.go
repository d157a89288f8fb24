package mirrorer_test

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/mirrorer"
	"github.com/dragonflyford/dragonflyford/storer"
)

type sink struct{ received int }

func (s *sink) Restored()                                            {}
func (s *sink) Replace(rows []storer.Change)                         { s.received += len(rows) }
func (s *sink) Apply(rows []storer.Change)                           { s.received += len(rows) }
func (s *sink) Contact(storer.Version, time.Duration, time.Duration) {}

func row(key string, v storer.Version) storer.Change {
	return storer.NewChange(storer.NewRow(key, nil, v))
}

// Guards against a change that a following host misses, and against a copy that does
// not report its age.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		next := &sink{}
		m := mirrorer.New(next)
		_, err := m.Snapshot()
		is.True(errors.Is(err, storer.ErrUnavailable)) // no contact yet
		m.Replace([]storer.Change{row("a", 1), row("b", 2)})
		m.Contact(5, 100*time.Second, 0)
		whole, err := m.Snapshot()
		is.NoErr(err)
		is.Equal(len(whole.Changes().List()), 2)
		is.Equal(whole.Changes().Version(), storer.Version(5))

		_, err = m.Follow(t.Context(), 3, time.Second)
		is.True(errors.Is(err, storer.ErrHistoryLost)) // versions 4 and 5 are not in the history

		go func() {
			time.Sleep(time.Second)
			m.Apply([]storer.Change{row("c", 7), storer.NewRemoval("a", 8)})
			m.Contact(8, 101*time.Second, 0)
		}()
		got, err := m.Follow(t.Context(), 5, 10*time.Second)
		is.NoErr(err)
		is.Equal(len(got.Changes().List()), 2)
		is.Equal(got.Changes().Version(), storer.Version(8))
		is.Equal(next.received, 4)

		time.Sleep(3 * time.Second)
		got, err = m.Follow(t.Context(), 8, 0)
		is.NoErr(err)
		is.Equal(got.Age(), 3*time.Second)
		is.Equal(got.Changes().Clock(), 104*time.Second)
		whole, err = m.Snapshot()
		is.NoErr(err)
		is.Equal(len(whole.Changes().List()), 2) // b and c
	})
}

// Guards against hosts that get rows of two eras as one table, or that are told that
// nothing has changed by a host that does not know of a restore yet.
func TestRestored(t *testing.T) {
	is := is.New(t)
	m := mirrorer.New(&sink{})
	old, restored := storer.NewVersion(1, 90), storer.NewVersion(2, 40)
	m.Replace([]storer.Change{row("a", old)})
	m.Contact(old, 0, 0)
	_, err := m.Follow(t.Context(), restored, 0)
	is.True(errors.Is(err, storer.ErrUnavailable)) // the mirror is behind

	m.Restored()
	m.Replace([]storer.Change{row("b", restored)})
	_, err = m.Snapshot()
	is.True(errors.Is(err, storer.ErrUnavailable)) // the version is not known yet
	m.Contact(restored, 0, 0)
	_, err = m.Follow(t.Context(), old, 0)
	is.True(errors.Is(err, storer.ErrHistoryLost))
	whole, err := m.Snapshot()
	is.NoErr(err)
	is.Equal(whole.Changes().Version(), restored)
	_, err = m.Follow(t.Context(), restored, 0)
	is.NoErr(err)
}

// Guards against a history that grows without bound, and against evicted changes that
// a follower misses without an error.
func TestHistory(t *testing.T) {
	is := is.New(t)
	m := mirrorer.New(&sink{})
	m.Replace(nil)
	m.Contact(1, 0, 0)
	for v := storer.Version(2); v < 5000; v++ {
		m.Apply([]storer.Change{row(fmt.Sprint(v%10), v)}) // the history grows with the rows
		m.Contact(v, 0, 0)
	}
	_, err := m.Follow(t.Context(), 100, 0)
	is.True(errors.Is(err, storer.ErrHistoryLost))
	got, err := m.Follow(t.Context(), 4900, 0)
	is.NoErr(err)
	is.Equal(len(got.Changes().List()), 99)
}

// Guards against a copy of a copy that counts as younger than the first one, so that two
// hosts that follow each other take old tables for new ones.
func TestAgeOfCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := mirrorer.New(&sink{})
		m.Replace(nil)
		m.Contact(5, 0, time.Second)
		time.Sleep(time.Second)
		whole, err := m.Snapshot()
		is.NoErr(err)
		is.Equal(whole.Age(), 2*time.Second)
		got, err := m.Follow(t.Context(), 5, 500*time.Millisecond)
		is.NoErr(err)
		is.Equal(got.Age(), 2500*time.Millisecond)
	})
}

// Guards against a copy of a copy whose clock of the store is ahead by the age of the first
// copy, so that the host that gets it takes hosts for lost which have renewed their rows.
func TestClockOfCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		first, second := mirrorer.New(&sink{}), mirrorer.New(&sink{})
		first.Replace(nil)
		first.Contact(5, 100*time.Second, 0)
		time.Sleep(2 * time.Second)
		whole, err := first.Snapshot()
		is.NoErr(err)
		is.Equal(whole.Changes().Clock(), 102*time.Second)
		second.Replace(whole.Changes().List())
		second.Contact(whole.Changes().Version(), whole.Changes().Clock(), whole.Age())
		time.Sleep(time.Second)
		whole, err = second.Snapshot()
		is.NoErr(err)
		is.Equal(whole.Age(), 3*time.Second)
		is.Equal(whole.Changes().Clock(), 103*time.Second)
	})
}
