package mirrorer_test

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/mirrorer"
	"github.com/dragonflyford/dragonflyford/storer"
)

// follow counts the changes that another host gets of a mirror in ten seconds, in which each
// row is written anew every 1.2 s and one of ten rows changes each time.
func follow(t *testing.T, rows int) (all, changed int) {
	t.Helper()
	m := mirrorer.New(&sink{}, mirrorer.WithoutRenewals(func(a, b storer.Row) bool { return bytes.Equal(a.Value(), b.Value()) }))
	version := storer.Version(1)
	m.Replace(nil)
	m.Contact(version, 0, 0)
	write := func(round int) {
		var list []storer.Change
		for i := range rows {
			version++
			value := "same"
			if i%10 == 0 {
				value = fmt.Sprint(round)
			}
			list = append(list, storer.NewChange(storer.NewRow(fmt.Sprint(i), []byte(value), version)))
		}
		m.Apply(list)
		m.Contact(version, 0, 0)
	}
	write(0)
	read := version
	for round := range 8 {
		time.Sleep(1200 * time.Millisecond)
		write(round + 1)
		got, err := m.Follow(t.Context(), read, 0)
		if err != nil {
			t.Fatal(err)
		}
		read = got.Changes().Version()
		all += len(got.Changes().List())
		for _, c := range got.Changes().List() {
			if string(c.Value()) != "same" {
				changed++
			}
		}
	}
	return all, changed
}

// Guards against rows that are sent to other hosts each time they are written as they were,
// against changes that are left out with them, and against a small table that is passed on
// otherwise than before.
func TestRenewals(t *testing.T) {
	tests := []struct {
		rows int
		most float64 // share of the writes
	}{{300, 1}, {3000, 0.4}, {30_000, 0.4}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.rows), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				all, changed := follow(t, tt.rows)
				is.Equal(changed, 8*tt.rows/10)
				is.True(float64(all) <= tt.most*float64(8*tt.rows))
				if tt.most == 1 {
					is.Equal(all, 8*tt.rows)
				}
			})
		})
	}
}

// Guards against a history that is too short for the changes between two calls of another
// host, when each row of a large table changes, so that all hosts turn to the store.
func TestHistoryGrowsWithTable(t *testing.T) {
	is := is.New(t)
	for _, rows := range []int{300, 3000, 30_000} {
		m := mirrorer.New(&sink{})
		m.Replace(nil)
		m.Contact(1, 0, 0)
		for v := range storer.Version(2 * rows) {
			m.Apply([]storer.Change{row(fmt.Sprint(int(v)%rows), v+2)})
			m.Contact(v+2, 0, 0)
		}
		got, err := m.Follow(t.Context(), storer.Version(rows), 0)
		is.NoErr(err)
		is.Equal(len(got.Changes().List()), rows+1)
		for v := range storer.Version(3*rows + 4096) {
			m.Apply([]storer.Change{row("0", storer.Version(2*rows)+v+2)})
		}
		_, err = m.Follow(t.Context(), storer.Version(rows), 0)
		is.True(errors.Is(err, storer.ErrHistoryLost)) // it is bounded
	}
}
