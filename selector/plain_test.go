package selector_test

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/pacer"
	"github.com/dragonflyford/dragonflyford/selector"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// newPaced returns a tracker with adaptive limits for a number of hosts.
func newPaced(hosts int) *tracker.Tracker {
	return tracker.New(regions, tracker.WithAdaptiveLimits(func() int { return hosts }, false))
}

// answer records that an endpoint answered a call with a load.
func answer(e *tracker.Endpoint, took time.Duration, l pacer.Load) {
	e.RecordAnswer(time.Now().Add(-took), false, l)
	e.Completed(took)
}

// choosePlain returns the endpoint that a call is sent to, or "" if there is no room. The
// call has begun and ended before it returns.
func choosePlain(t testing.TB, s *selector.Selector, avoid func(*tracker.Endpoint) bool) string {
	t.Helper()
	got, err := s.Choose(routeCall(t, false, connector.Model{}), avoid, false)
	if errors.Is(err, selector.ErrNoRoom) {
		return ""
	}
	is.New(t).NoErr(err)
	got.Endpoint().Unclaim()
	return got.Endpoint().ID()
}

// Guards against hosts with the same old loads that all choose the endpoint with the lowest
// one.
func TestStaleViewsOfManyHosts(t *testing.T) {
	is := is.New(t)
	const hosts, endpoints = 62, 10
	count := make(map[string]int)
	for range hosts {
		f := newPaced(1)
		for i := range endpoints {
			e := addEndpoint(f, fmt.Sprint("e", i), "z1")
			answer(e, 100*time.Millisecond, pacer.NewLoad(8, i))
		}
		count[choosePlain(t, selector.New(f, "z1", "r1"), avoidNone)]++
	}
	for _, n := range count {
		is.True(n <= hosts/2)
	}
	is.True(len(count) >= 4)
}

// Guards against calls that go to a slow endpoint as often as to fast ones, and against a
// slow one that gets none, so that nobody learns when it is fast again.
func TestUnevenSpeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newPaced(1)
		for i := range 4 {
			e := addEndpoint(f, fmt.Sprint("e", i), "z1")
			pace := 1.0
			if i < 2 {
				pace = 6
			}
			for range 20 {
				time.Sleep(100 * time.Millisecond)
				answer(e, time.Duration(pace*float64(100*time.Millisecond)), pacer.NewLoad(1, 0).WithPace(pace))
			}
		}
		for i := range 4 {
			pace := 1.0
			if i < 2 {
				pace = 6
			}
			answer(f.Current().Endpoint(fmt.Sprint("e", i)), time.Duration(pace*float64(100*time.Millisecond)), pacer.NewLoad(1, 0).WithPace(pace))
		}
		s, slow := selector.New(f, "z1", "r1"), 0
		for range 400 {
			if id := choosePlain(t, s, avoidNone); id == "e0" || id == "e1" {
				slow++
			}
		}
		is.True(slow > 20 && slow < 200) // two slow ones are compared now and then
	})
}

// Guards against a new endpoint that looks idle beside busy ones and that all hosts send
// their calls to at once.
func TestNewEndpointBesideBusyOnes(t *testing.T) {
	is := is.New(t)
	const hosts = 62
	count := 0
	for range hosts {
		f := newPaced(hosts)
		for i := range 5 {
			answer(addEndpoint(f, fmt.Sprint("e", i), "z1"), 100*time.Millisecond, pacer.NewLoad(8, 6))
		}
		f.Upsert(tracker.NewEntry("new", "svc", "1.1.1.2:1", "z1", 6, false, time.Now().UnixMilli(), nil))
		if choosePlain(t, selector.New(f, "z1", "r1"), avoidNone) == "new" {
			count++
		}
	}
	is.True(count <= 15) // its slots and a queue; some four are expected
}

// Guards against a storm of refusals that goes on because hosts keep sending what an endpoint
// refuses, and against a refusal without a useful retry delay.
func TestRefusalStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newPaced(62)
		e := addEndpoint(f, "e", "z1")
		s := selector.New(f, "z1", "r1")
		sent := 0
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			got, err := s.Choose(routeCall(t, false, connector.Model{}), avoidNone, false)
			if err != nil {
				is.True(errors.Is(err, selector.ErrNoRoom))
				is.True(classifier.Of(err).RetryAfter() > 0)
				continue
			}
			got.Endpoint().Unclaim()
			e.RecordAnswer(time.Now(), true, pacer.NewLoad(8, 24))
			sent++
		}
		is.True(sent > 0 && sent < 20)
	})
}

// Guards against a retry at the endpoint that failed the first attempt, and against ejected
// endpoints that get calls while others have room.
func TestRetryElsewhere(t *testing.T) {
	is := is.New(t)
	f := newPaced(1)
	first, ejected := addEndpoint(f, "first", "z1"), addEndpoint(f, "ejected", "z1")
	addEndpoint(f, "other", "z1")
	ejected.ConnectionFailed()
	s := selector.New(f, "z1", "r1")
	for range 50 {
		is.Equal(choosePlain(t, s, func(e *tracker.Endpoint) bool { return e == first }), "other")
	}
}

// Guards against calls that leave the region while an endpoint there is free, and against
// calls that stay while all of them are busy.
func TestRegions(t *testing.T) {
	is := is.New(t)
	f := newPaced(1)
	near, far := addEndpoint(f, "near", "z2"), addEndpoint(f, "far", "z3")
	for _, e := range []*tracker.Endpoint{near, far} {
		answer(e, 100*time.Millisecond, pacer.NewLoad(1, 0))
	}
	s := selector.New(f, "z1", "r1")
	is.Equal(choosePlain(t, s, avoidNone), "near")
	answer(near, 400*time.Millisecond, pacer.NewLoad(8, 24))
	is.Equal(choosePlain(t, s, avoidNone), "far")
}

// Guards against calls that wait in an endpoint's queue for longer than their time.
func TestQueueLongerThanTheCallsTime(t *testing.T) {
	is := is.New(t)
	f := newPaced(1)
	e := addEndpoint(f, "e", "z1")
	answer(e, time.Second, pacer.NewLoad(1, 0))
	e.RecordLoad(8, 4000)
	is.Equal(choosePlain(t, selector.New(f, "z1", "r1"), avoidNone), "")
}

// Guards against concurrent calls that all see the same room, because none of them is in
// flight yet.
func TestClaimsCount(t *testing.T) {
	is := is.New(t)
	f := newPaced(1)
	addEndpoint(f, "e", "z1") // 8 slots
	s := selector.New(f, "z1", "r1")
	claimed := 0
	for range 50 {
		if _, err := s.Choose(routeCall(t, false, connector.Model{}), avoidNone, false); err == nil {
			claimed++
		}
	}
	is.Equal(claimed, 9) // 8 of the limit, and a credit
}

// Guards against a slow engine that counts as idle.
func TestSlowEngine(t *testing.T) {
	is := is.New(t)
	f := newPaced(1)
	slow, fast := addEndpoint(f, "slow", "z1", adapter), addEndpoint(f, "fast", "z1", adapter)
	for _, e := range []*tracker.Endpoint{slow, fast} {
		e.RecordAnswer(time.Now(), false, pacer.NewLoad(1, 0))
	}
	slow.RecordAnswer(time.Now(), false, pacer.NewLoad(1, 0).WithPace(6))
	got, err := selector.New(f, "z1", "r1").Choose(routeCall(t, true, adapter), avoidNone, false)
	is.NoErr(err)
	is.Equal(got.Endpoint().ID(), "fast")
}

// Guards against a choice that allocates memory.
func TestPlainChoiceAllocatesNothing(t *testing.T) {
	is := is.New(t)
	f := newPaced(1)
	for i := range 300 {
		answer(addEndpoint(f, fmt.Sprint("e", i), "z1"), 100*time.Millisecond, pacer.NewLoad(1, 0))
	}
	s, call := selector.New(f, "z1", "r1"), routeCall(t, false, connector.Model{})
	is.Equal(testing.AllocsPerRun(100, func() {
		if got, err := s.Choose(call, avoidNone, false); err == nil {
			got.Endpoint().Unclaim()
		}
	}), 0.0)
}

// Measures the choice of a plain endpoint among those of one service.
func BenchmarkChoosePlain(b *testing.B) {
	for _, n := range []int{3, 30, 300} {
		b.Run(fmt.Sprint("endpoints=", n), func(b *testing.B) {
			f := newPaced(1)
			for i := range n {
				answer(addEndpoint(f, fmt.Sprint("e", i), []string{"z1", "z2", "z3"}[i%3]), 100*time.Millisecond, pacer.NewLoad(1, 0))
			}
			s, call := selector.New(f, "z1", "r1"), routeCall(b, false, connector.Model{})
			b.ReportAllocs()
			for b.Loop() {
				if got, err := s.Choose(call, avoidNone, false); err == nil {
					got.Endpoint().Unclaim()
				}
			}
		})
	}
}
