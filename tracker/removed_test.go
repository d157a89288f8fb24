package tracker_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/tracker"
)

// Guards against calls to a process that has left, or that leaves, because a store that
// was restored from an older copy lists it as before, and against a live process that is
// left out for good.
func TestRestoredStore(t *testing.T) {
	ready, draining := entry("e1", "1.1.1.1:1", false, 1, nil), entry("e1", "1.1.1.1:1", true, 1, nil)
	again := entry("e1", "1.1.1.1:1", false, 2, nil)
	tests := []struct {
		name   string
		before []tracker.Update
		list   tracker.Update // in the copy
		at     int            // usable endpoints at once
		later  int            // after the time in which the store removes entries of silent processes
	}{
		{"it was removed", []tracker.Update{ready, tracker.NewRemoval("e1")}, tracker.NewListed(ready), 0, 1},
		{"it was draining", []tracker.Update{ready, draining}, tracker.NewListed(ready), 0, 0},
		{"it was draining and removed", []tracker.Update{ready, draining, tracker.NewRemoval("e1")}, tracker.NewListed(ready), 0, 0},
		{"another process took its place", []tracker.Update{ready, tracker.NewRemoval("e1")}, tracker.NewListed(again), 1, 1},
		{"it was never seen", nil, tracker.NewListed(ready), 1, 1},
		{"it is written anew", []tracker.Update{ready, draining, tracker.NewRemoval("e1")}, ready, 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tr := tracker.New(nil)
				tr.Apply(0, tt.before...)
				tr.Restored()
				tr.Apply(2*time.Second, tt.list)
				tr.Apply(2*time.Second, tt.list) // the table is read twice
				is.Equal(len(tr.Current().Usable("svc")), tt.at)
				time.Sleep(6 * time.Second)
				tr.Expire()
				is.Equal(len(tr.Current().Usable("svc")), tt.later)
			})
		})
	}
}

// Guards against calls to a process that asked for none, said that it leaves, or named a
// rate, after its entry was missing for a moment; and against another process that is taken
// for it.
func TestEntryReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr := tracker.New(nil)
		first, next := entry("e1", "1.1.1.1:1", false, 1, nil), entry("e1", "1.1.1.1:1", false, 2, nil)
		tr.Upsert(first)
		e := tr.Current().Endpoint("e1")
		e.RecordLeaving()
		e.Pause(20 * time.Second)
		e.Pause(time.Second) // an answer that was late
		e.RecordLimit(tracker.NewLimit(3, time.Now()))
		tr.Remove(0, "e1")
		is.True(tr.Current().Endpoint("e1") == nil)
		time.Sleep(5 * time.Second)
		tr.Expire()
		tr.Upsert(first)
		e = tr.Current().Endpoint("e1")
		is.True(e.Leaving())
		is.Equal(e.Paused(time.Now()), 15*time.Second)
		_, limited := e.Limit(time.Now())
		is.True(limited)

		tr.Upsert(next)
		e = tr.Current().Endpoint("e1")
		is.True(!e.Leaving())
		is.True(e.Paused(time.Now()) <= 0)
	})
}
