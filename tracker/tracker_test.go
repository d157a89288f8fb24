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

func eventKinds(events []tracker.Event) string {
	var names []string
	for _, e := range events {
		names = append(names, strings.TrimPrefix(fmt.Sprintf("%T", e), "tracker."))
	}
	return strings.Join(names, " ")
}

// Guards against calls to an endpoint that is draining or gone, and against the
// removal of one whose entry only lapsed while the store was unavailable.
func TestEndpointLifecycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr := tracker.New(map[string]string{"z1": "r1"})
		is.Equal(eventKinds(tr.Upsert(entry("e1", "1.1.1.1:1", false, 1, nil))), "Arrived")
		is.Equal(len(tr.Current().Usable("svc")), 1)
		is.Equal(tr.Current().Endpoint("e1").Region(), "r1")
		is.Equal(eventKinds(tr.Remove(2*time.Second, "e1")), "Lapsed")
		is.Equal(len(tr.Current().Usable("svc")), 1)
		is.Equal(len(tr.Upsert(entry("e1", "1.1.1.1:1", false, 1, nil))), 0)
		time.Sleep(3 * time.Second)
		is.Equal(len(tr.Expire()), 0) // its entry was restored
		is.Equal(eventKinds(tr.Remove(2*time.Second, "e1")), "Lapsed")
		time.Sleep(3 * time.Second)
		is.Equal(len(tr.Expire()), 1)
		is.Equal(len(tr.Current().Usable("svc")), 0)

		tr.Upsert(entry("e2", "1.1.1.2:1", false, 1, nil))
		is.Equal(eventKinds(tr.Upsert(entry("e2", "1.1.1.2:1", true, 1, nil))), "Draining")
		is.Equal(len(tr.Current().Usable("svc")), 0)
		is.Equal(eventKinds(tr.Remove(2*time.Second, "e2")), "Gone") // a draining endpoint does not lapse
	})
}

// Guards against calls to an endpoint that reported that it leaves and was removed in
// the same batch of changes, shortly after the store was unavailable.
func TestDrainingAndRemovedInOneBatch(t *testing.T) {
	is := is.New(t)
	tr := tracker.New(nil)
	ready, draining := entry("e1", "1.1.1.1:1", false, 1, nil), entry("e1", "1.1.1.1:1", true, 1, nil)
	tr.Upsert(ready)
	is.Equal(eventKinds(tr.Apply(2*time.Second, draining, tracker.NewRemoval("e1"))), "Draining Gone")
	is.Equal(len(tr.Current().Usable("svc")), 0)
	is.Equal(eventKinds(tr.Apply(2*time.Second, tracker.NewRemoval("e1"), ready)), "Arrived")
	is.Equal(eventKinds(tr.Apply(2*time.Second, tracker.NewRemoval("e1"), ready)), "Lapsed") // and written again
	is.Equal(len(tr.Current().Usable("svc")), 1)
}

// Guards against counters and models of an earlier process that are kept for a new
// process with the same id.
func TestRestart(t *testing.T) {
	is := is.New(t)
	tr := tracker.New(nil)
	tr.Upsert(entry("e1", "1.1.1.1:1", false, 1, map[connector.Model]int64{adapter: 1}))
	old := tr.Current().Endpoint("e1")
	is.True(old.Holds(adapter, 1))
	tr.Upsert(entry("e1", "1.1.1.1:1", false, 2, nil))
	is.True(tr.Current().Endpoint("e1") != old)
	is.True(!tr.Current().Endpoint("e1").Holds(adapter, 1))
}

// Guards against an entry, which can be seconds old, that overwrites what a call has
// just observed.
func TestObservationOverridesEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr := tracker.New(nil)
		held := map[connector.Model]int64{adapter: 1}
		tr.Upsert(entry("e1", "1.1.1.1:1", false, 1, held))
		e := tr.Current().Endpoint("e1")
		e.Observe(adapter, 0, false)
		tr.Upsert(entry("e1", "1.1.1.1:1", false, 1, held))
		is.True(!e.Holds(adapter, 1))
		is.True(e.RecentlyHeld(adapter))
		time.Sleep(5 * time.Second)
		tr.Upsert(entry("e1", "1.1.1.1:1", false, 1, held))
		is.True(e.Holds(adapter, 1))
		is.True(!e.Holds(adapter, 2)) // version 1 does not satisfy a request for version 2
	})
}

// Guards against a flapping endpoint that receives calls at once after each failure.
func TestEjection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr := tracker.New(nil)
		tr.Upsert(entry("e1", "1.1.1.1:1", false, 1, nil))
		e := tr.Current().Endpoint("e1")
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

// Guards against an engine that loses its calls for half a second after one answer was
// lost, and against a crashed one that keeps getting calls.
func TestBrokenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr := tracker.New(nil)
		tr.Upsert(entry("e1", "1.1.1.1:1", false, 1, nil))
		e := tr.Current().Endpoint("e1")
		for range 3 { // one answer in two is lost
			e.ConnectionBroken()
			is.True(!e.Ejected(time.Now()))
			e.Succeeded()
		}
		e.ConnectionBroken()
		e.ConnectionBroken()
		is.True(e.Ejected(time.Now()))
		is.True(e.FailureRate() > 0)
	})
}

// Guards against a named version that decreases.
func TestNamedVersion(t *testing.T) {
	is := is.New(t)
	tr := tracker.New(nil)
	is.True(tr.SetNamedVersion(adapter, 3))
	is.True(!tr.SetNamedVersion(adapter, 2))
	is.Equal(tr.Current().NamedVersion(adapter), int64(3))
}

// Guards against a load estimate that ignores the calls of other hosts or those of
// this host.
func TestEstimatedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr := tracker.New(nil)
		tr.Upsert(entry("e1", "1.1.1.1:1", false, 1, nil))
		e := tr.Current().Endpoint("e1")
		e.Begin()
		e.RecordLoad(5, 2) // six of the seven jobs are from other hosts
		e.Begin()
		is.Equal(e.EstimatedCalls(time.Now()), 8.0)
		time.Sleep(2 * time.Second)
		is.Equal(e.EstimatedCalls(time.Now()), 2.0) // the report has expired
	})
}
