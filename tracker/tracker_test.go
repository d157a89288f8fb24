package tracker_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/tracker"
)

var adapter = connector.NewModel("base", "a1", "")

func entry(id, address string, draining bool, born int64, held map[connector.Model]int64) tracker.Entry {
	return tracker.NewEntry(id, "svc", address, "z1", 4, draining, born, held)
}

func kinds(events []tracker.Event) string {
	var names []string
	for _, e := range events {
		names = append(names, strings.TrimPrefix(fmt.Sprintf("%T", e), "tracker."))
	}
	return strings.Join(names, " ")
}

// Guards against work for an endpoint that is leaving or gone, and against the loss
// of one whose entry only lapsed while the store was away.
func TestLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := tracker.New(map[string]string{"z1": "r1"})
		is.Equal(kinds(f.Upsert(entry("e1", "1.1.1.1:1", false, 1, nil))), "Arrived")
		is.Equal(len(f.Current().Usable("svc")), 1)
		is.Equal(f.Current().Endpoint("e1").Region(), "r1")
		is.Equal(kinds(f.Remove(2*time.Second, "e1")), "Lapsed")
		is.Equal(len(f.Current().Usable("svc")), 1)
		is.Equal(len(f.Upsert(entry("e1", "1.1.1.1:1", false, 1, nil))), 0)
		time.Sleep(3 * time.Second)
		is.Equal(len(f.Expire()), 0) // it came back
		is.Equal(kinds(f.Remove(2*time.Second, "e1")), "Lapsed")
		time.Sleep(3 * time.Second)
		is.Equal(len(f.Expire()), 1)
		is.Equal(len(f.Current().Usable("svc")), 0)

		f.Upsert(entry("e2", "1.1.1.2:1", false, 1, nil))
		is.Equal(kinds(f.Upsert(entry("e2", "1.1.1.2:1", true, 1, nil))), "Draining")
		is.Equal(len(f.Current().Usable("svc")), 0)
		is.Equal(kinds(f.Remove(2*time.Second, "e2")), "Gone") // a leaving endpoint does not lapse
	})
}

// Guards against counters and models of an earlier process under the same id.
func TestRestart(t *testing.T) {
	is := is.New(t)
	f := tracker.New(nil)
	f.Upsert(entry("e1", "1.1.1.1:1", false, 1, map[connector.Model]int64{adapter: 1}))
	old := f.Current().Endpoint("e1")
	is.True(old.Holds(adapter, 1))
	f.Upsert(entry("e1", "1.1.1.1:1", false, 2, nil))
	is.True(f.Current().Endpoint("e1") != old)
	is.True(!f.Current().Endpoint("e1").Holds(adapter, 1))
}

// Guards against an entry, which is seconds old, that undoes what a call has just
// seen.
func TestBeliefs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := tracker.New(nil)
		held := map[connector.Model]int64{adapter: 1}
		f.Upsert(entry("e1", "1.1.1.1:1", false, 1, held))
		e := f.Current().Endpoint("e1")
		e.Observe(adapter, 0, false)
		f.Upsert(entry("e1", "1.1.1.1:1", false, 1, held))
		is.True(!e.Holds(adapter, 1))
		is.True(e.RecentlyHeld(adapter))
		time.Sleep(5 * time.Second)
		f.Upsert(entry("e1", "1.1.1.1:1", false, 1, held))
		is.True(e.Holds(adapter, 1))
		is.True(!e.Holds(adapter, 2)) // a newer version is asked for
	})
}

// Guards against an endpoint that goes up and down and gets work at once each time.
func TestEjection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := tracker.New(nil)
		f.Upsert(entry("e1", "1.1.1.1:1", false, 1, nil))
		e := f.Current().Endpoint("e1")
		first := e.ConnectionFailed()
		is.True(e.Ejected(time.Now()))
		is.Equal(e.ConnectionFailed(), 2*first)
		for range 20 {
			e.ConnectionFailed()
		}
		is.True(e.ConnectionFailed() <= 8*time.Second)
		time.Sleep(9 * time.Second)
		is.True(!e.Ejected(time.Now()))
		e.Succeeded()
		is.Equal(e.ConnectionFailed(), first)
	})
}

// Guards against a version that falls.
func TestNamed(t *testing.T) {
	is := is.New(t)
	f := tracker.New(nil)
	is.True(f.SetNamedVersion(adapter, 3))
	is.True(!f.SetNamedVersion(adapter, 2))
	is.Equal(f.Current().NamedVersion(adapter), int64(3))
}

// Guards against a load estimate that forgets the calls of other hosts or its own.
func TestBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := tracker.New(nil)
		f.Upsert(entry("e1", "1.1.1.1:1", false, 1, nil))
		e := f.Current().Endpoint("e1")
		e.Begin()
		e.RecordLoad(5, 2) // six of other hosts
		e.Begin()
		is.Equal(e.EstimatedCalls(time.Now()), 8.0)
		time.Sleep(2 * time.Second)
		is.Equal(e.EstimatedCalls(time.Now()), 2.0) // the report is too old
	})
}
