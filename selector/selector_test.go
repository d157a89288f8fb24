package selector_test

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/selector"
	"github.com/dragonflyford/dragonflyford/tracker"
)

var (
	regions   = map[string]string{"z1": "r1", "z2": "r1", "z3": "r2"}
	base      = connector.NewModel("base", "", "")
	adapter   = connector.NewModel("base", "a1", "")
	avoidNone = func(*tracker.Endpoint) bool { return false }
)

func addEndpoint(fleet *tracker.Tracker, id, dataCentre string, loaded ...connector.Model) *tracker.Endpoint {
	models := map[connector.Model]int64{base: 1}
	for _, m := range loaded {
		models[m] = 1
	}
	fleet.Upsert(tracker.NewEntry(id, "svc", "1.1.1.1:1", dataCentre, 8, false, 1, models))
	return fleet.Current().Endpoint(id)
}

func routeCall(t testing.TB, engines bool, m connector.Model) *router.Routed {
	t.Helper()
	var e *router.EngineSpec
	if engines {
		e = router.NewEngineSpec(8, 4, 100, nil)
	}
	r := router.New()
	r.Adopt(router.NewTable(1, []*router.Route{
		router.NewRoute("r", "h", "/", router.AtMostOnce{}, 0, 0, 0, 1, []router.Target{router.NewTarget("svc", 1)}),
	}, []*router.Service{router.NewService("svc", 10, e)}))
	got, err := r.Apply(t.Context(), router.NewCall("id", "GET", "h", "/x", "/x", http.Header{}, nil, router.WithModel(m)))
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// Guards against loading an adapter that another engine has loaded already, and
// against sending calls to another region without need.
func TestEngine(t *testing.T) {
	tests := []struct {
		name   string
		setup  func(f *tracker.Tracker)
		want   string
		loaded bool
	}{
		{"loaded in the own region", func(f *tracker.Tracker) {
			addEndpoint(f, "near", "z2")
			addEndpoint(f, "holder", "z1", adapter)
			addEndpoint(f, "far", "z3", adapter)
		}, "holder", true},
		{"loaded in another region", func(f *tracker.Tracker) {
			addEndpoint(f, "near", "z1")
			addEndpoint(f, "far", "z3", adapter)
		}, "far", true},
		{"cached in the own region", func(f *tracker.Tracker) {
			addEndpoint(f, "near", "z1", adapter).Observe(adapter, 0, false)
			addEndpoint(f, "far", "z3", adapter)
		}, "near", false},
		{"older version loaded", func(f *tracker.Tracker) {
			addEndpoint(f, "near", "z1", adapter)
			f.SetNamedVersion(adapter, 2)
		}, "near", false},
		{"loaded on a busy engine", func(f *tracker.Tracker) {
			e := addEndpoint(f, "holder", "z1", adapter)
			for range 8 {
				e.Begin()
			}
			addEndpoint(f, "idle", "z1")
		}, "idle", false},
		{"loaded on an engine that declined", func(f *tracker.Tracker) {
			addEndpoint(f, "holder", "z1", adapter).Declined(time.Second)
			addEndpoint(f, "idle", "z1")
		}, "idle", false},
		{"loaded on an ejected engine", func(f *tracker.Tracker) {
			addEndpoint(f, "holder", "z1", adapter).ConnectionFailed()
			addEndpoint(f, "idle", "z1")
		}, "idle", false},
		{"all ejected", func(f *tracker.Tracker) { addEndpoint(f, "only", "z1", adapter).ConnectionFailed() }, "only", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := tracker.New(regions)
			tt.setup(f)
			got, err := selector.New(f, "z1", "r1").Choose(routeCall(t, true, adapter), avoidNone, false)
			is.NoErr(err)
			is.Equal(got.Endpoint().ID(), tt.want)
			is.Equal(got.ModelLoaded(), tt.loaded)
		})
	}
}

// Guards against sending every call for a popular adapter to another region
// instead of loading it in the own one after maxRemoteCalls calls.
func TestRemoteCallsAreBounded(t *testing.T) {
	is := is.New(t)
	f := tracker.New(regions)
	addEndpoint(f, "near", "z1")
	addEndpoint(f, "far", "z3", adapter)
	s := selector.New(f, "z1", "r1")
	last := ""
	for range 10 {
		got, err := s.Choose(routeCall(t, true, adapter), avoidNone, false)
		is.NoErr(err)
		last = got.Endpoint().ID()
	}
	is.Equal(last, "near")
}

// Guards against a count of calls to another region that is kept for ever, so that an
// adapter that is asked for now and then is loaded in each region in the end.
func TestRemoteCallsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := tracker.New(regions)
		addEndpoint(f, "near", "z1")
		addEndpoint(f, "far", "z3", adapter)
		s := selector.New(f, "z1", "r1")
		for range 10 {
			got, err := s.Choose(routeCall(t, true, adapter), avoidNone, false)
			is.NoErr(err)
			is.Equal(got.Endpoint().ID(), "far")
			time.Sleep(20 * time.Second)
		}
	})
}

// Guards against a call that waits behind the loads of other models, or is refused,
// although an engine of another region holds its model.
func TestHolderElsewhereWhileLoadsAreQueued(t *testing.T) {
	is := is.New(t)
	f := tracker.New(regions)
	addEndpoint(f, "near", "z1")
	addEndpoint(f, "far", "z3", adapter)
	s := selector.New(f, "z1", "r1")
	for range 10 {
		got, err := s.Choose(routeCall(t, true, adapter), avoidNone, true)
		is.NoErr(err)
		is.Equal(got.Endpoint().ID(), "far")
		is.True(s.Usable(got.Endpoint()))
	}
	f.Remove(0, "far")
	got, err := s.Choose(routeCall(t, true, adapter), avoidNone, true)
	is.NoErr(err)
	is.Equal(got.Endpoint().ID(), "near")
}

// Guards against a choice that allocates memory for each engine of a large service.
func TestChoiceAllocatesNothing(t *testing.T) {
	is := is.New(t)
	f := tracker.New(regions)
	for i := range 300 {
		addEndpoint(f, fmt.Sprint("e", i), "z1", adapter)
	}
	s, call := selector.New(f, "z1", "r1"), routeCall(t, true, adapter)
	is.Equal(testing.AllocsPerRun(100, func() { _, _ = s.Choose(call, avoidNone, false) }), 0.0)
}

// Guards against a rendezvous hash that places most adapters on one engine.
func TestAdaptersSpreadOverEngines(t *testing.T) {
	is := is.New(t)
	f := tracker.New(regions)
	for i := range 4 {
		addEndpoint(f, fmt.Sprint("e", i), "z1")
	}
	s := selector.New(f, "z1", "r1")
	count := make(map[string]int)
	for i := range 400 {
		got, err := s.Choose(routeCall(t, true, connector.NewModel("base", fmt.Sprint("a", i), "")), avoidNone, false)
		is.NoErr(err)
		count[got.Endpoint().ID()]++
	}
	for _, n := range count {
		is.True(n > 60 && n < 140)
	}
}

// Guards against calls that wait for a service without endpoints or free slots
// instead of being refused, and against a refusal of a full service without a
// retry delay.
func TestNoCapacity(t *testing.T) {
	is := is.New(t)
	f := tracker.New(regions)
	s := selector.New(f, "z1", "r1")
	_, err := s.Choose(routeCall(t, true, adapter), avoidNone, false)
	var unavailable *classifier.Unavailable
	is.True(errors.As(err, &unavailable))
	e := addEndpoint(f, "e", "z1", adapter)
	for range 40 {
		e.Begin()
	}
	for _, engines := range []bool{true, false} {
		_, err = s.Choose(routeCall(t, engines, adapter), avoidNone, false)
		var full *classifier.Overloaded
		is.True(errors.As(err, &full))
		is.True(full.RetryAfter() > 0)
	}
}

// Guards against calls that leave the data centre while its own endpoint is idle,
// and against a failing endpoint that keeps getting calls.
func TestPlainService(t *testing.T) {
	is := is.New(t)
	f := tracker.New(regions)
	near, far := addEndpoint(f, "near", "z1"), addEndpoint(f, "far", "z3")
	s := selector.New(f, "z1", "r1")
	choose := func() string {
		got, err := s.Choose(routeCall(t, false, connector.Model{}), avoidNone, false)
		is.NoErr(err)
		return got.Endpoint().ID()
	}
	is.Equal(choose(), "near")
	for range 8 {
		near.Begin()
	}
	is.Equal(choose(), "far")
	for range 8 {
		near.End()
	}
	for range 10 {
		near.Failed()
	}
	is.Equal(choose(), "far")
	is.True(far.EstimatedCalls(time.Now()) == 0)
}
