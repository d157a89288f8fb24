package selector_test

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/selector"
	"github.com/dragonflyford/dragonflyford/tracker"
)

var (
	regions = map[string]string{"z1": "r1", "z2": "r1", "z3": "r2"}
	base    = connector.NewModel("base", "", "")
	adapter = connector.NewModel("base", "a1", "")
	none    = func(*tracker.Endpoint) bool { return false }
)

func listed(f *tracker.Tracker, id, zone string, held ...connector.Model) *tracker.Endpoint {
	models := map[connector.Model]int64{base: 1}
	for _, m := range held {
		models[m] = 1
	}
	f.Upsert(tracker.NewEntry(id, "svc", "1.1.1.1:1", zone, 8, false, 1, models))
	return f.Current().Endpoint(id)
}

func routed(t *testing.T, engines bool, m connector.Model) *router.Routed {
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

// Guards against a call that loads an adapter although another engine holds it, and
// against one that crosses regions without need.
func TestEngine(t *testing.T) {
	tests := []struct {
		name    string
		set     func(f *tracker.Tracker)
		want    string
		present bool
	}{
		{"holder in the own region", func(f *tracker.Tracker) {
			listed(f, "near", "z2")
			listed(f, "holder", "z1", adapter)
			listed(f, "far", "z3", adapter)
		}, "holder", true},
		{"holder in another region", func(f *tracker.Tracker) {
			listed(f, "near", "z1")
			listed(f, "far", "z3", adapter)
		}, "far", true},
		{"held before in the own region", func(f *tracker.Tracker) {
			listed(f, "near", "z1", adapter).Observe(adapter, 0, false)
			listed(f, "far", "z3", adapter)
		}, "near", false},
		{"holder of an older version", func(f *tracker.Tracker) {
			listed(f, "near", "z1", adapter)
			f.SetNamedVersion(adapter, 2)
		}, "near", false},
		{"busy holder", func(f *tracker.Tracker) {
			e := listed(f, "holder", "z1", adapter)
			for range 8 {
				e.Begin()
			}
			listed(f, "idle", "z1")
		}, "idle", false},
		{"holder without a place", func(f *tracker.Tracker) {
			listed(f, "holder", "z1", adapter).Declined(time.Second)
			listed(f, "idle", "z1")
		}, "idle", false},
		{"ejected holder", func(f *tracker.Tracker) {
			listed(f, "holder", "z1", adapter).ConnectionFailed()
			listed(f, "idle", "z1")
		}, "idle", false},
		{"all ejected", func(f *tracker.Tracker) { listed(f, "only", "z1", adapter).ConnectionFailed() }, "only", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := tracker.New(regions)
			tt.set(f)
			got, err := selector.New(f, "z1", "r1").Choose(routed(t, true, adapter), none)
			is.NoErr(err)
			is.Equal(got.Endpoint().ID(), tt.want)
			is.Equal(got.ModelLoaded(), tt.present)
		})
	}
}

// Guards against a popular adapter that is asked for in another region for ever.
func TestLoadedNearAfterAWhile(t *testing.T) {
	is := is.New(t)
	f := tracker.New(regions)
	listed(f, "near", "z1")
	listed(f, "far", "z3", adapter)
	s := selector.New(f, "z1", "r1")
	last := ""
	for range 10 {
		got, err := s.Choose(routed(t, true, adapter), none)
		is.NoErr(err)
		last = got.Endpoint().ID()
	}
	is.Equal(last, "near")
}

// Guards against adapters that all have the same home.
func TestHomes(t *testing.T) {
	is := is.New(t)
	f := tracker.New(regions)
	for i := range 4 {
		listed(f, fmt.Sprint("e", i), "z1")
	}
	s := selector.New(f, "z1", "r1")
	count := make(map[string]int)
	for i := range 400 {
		got, err := s.Choose(routed(t, true, connector.NewModel("base", fmt.Sprint("a", i), "")), none)
		is.NoErr(err)
		count[got.Endpoint().ID()]++
	}
	for _, n := range count {
		is.True(n > 60 && n < 140)
	}
}

// Guards against calls for a full or an empty service that wait instead of being
// told when to come back.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	f := tracker.New(regions)
	s := selector.New(f, "z1", "r1")
	_, err := s.Choose(routed(t, true, adapter), none)
	var unavailable *classifier.Unavailable
	is.True(errors.As(err, &unavailable))
	e := listed(f, "e", "z1", adapter)
	for range 40 {
		e.Begin()
	}
	for _, engines := range []bool{true, false} {
		_, err = s.Choose(routed(t, engines, adapter), none)
		var full *classifier.Overloaded
		is.True(errors.As(err, &full))
		is.True(full.RetryAfter() > 0)
	}
}

// Guards against calls that cross data centres while the own endpoint is idle, and
// against a failing endpoint that keeps its share.
func TestPlain(t *testing.T) {
	is := is.New(t)
	f := tracker.New(regions)
	near, far := listed(f, "near", "z1"), listed(f, "far", "z3")
	s := selector.New(f, "z1", "r1")
	choose := func() string {
		got, err := s.Choose(routed(t, false, connector.Model{}), none)
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
