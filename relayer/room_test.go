package relayer_test

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// paced gives the endpoints of a harness adaptive limits as for a number of hosts.
func paced(hosts int) tracker.Option {
	return tracker.WithAdaptiveLimits(func() int { return hosts }, false)
}

// occupy makes calls of this host run at an endpoint for a time.
func occupy(e *tracker.Endpoint, calls int, d time.Duration) {
	for range calls {
		e.Begin()
	}
	time.AfterFunc(d, func() {
		for range calls {
			e.End()
		}
	})
}

// Guards against a call that is refused although an endpoint has room soon.
func TestWaitForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newHarness(map[string][]endpointFunc{"e1": {answers(200, "x")}}, paced(1))
		e := r.fleet.Current().Endpoint("e1")
		e.Completed(40 * time.Millisecond)
		occupy(e, 9, 60*time.Millisecond)
		began := time.Now()
		a, err := r.Apply(t.Context(), screenedCall(t, router.AtMostOnce{}, 1, connector.Model{}))
		is.NoErr(err)
		is.NoErr(a.Body().Close())
		is.True(time.Since(began) >= 60*time.Millisecond)
		is.True(time.Since(began) < 300*time.Millisecond)
	})
}

// Guards against a call that waits until it is too late although no room is expected in its
// time, and against a retry delay that does not say when there is.
func TestRefusedOnArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newHarness(map[string][]endpointFunc{"e1": {answers(200, "x")}}, paced(1))
		e := r.fleet.Current().Endpoint("e1")
		e.Completed(30 * time.Second)
		occupy(e, 9, time.Minute)
		began := time.Now()
		_, err := r.Apply(t.Context(), screenedCall(t, router.AtMostOnce{}, 1, connector.Model{}))
		is.True(time.Since(began) < 10*time.Millisecond)
		is.Equal(classifier.Of(err).Outcome(), classifier.NotRun{})
		is.True(classifier.Of(err).RetryAfter() >= 250*time.Millisecond)
		is.Equal(len(r.sent), 0)
		time.Sleep(time.Minute)
	})
}

// Guards against more calls that wait for room than get any in their time, each of which is
// refused late.
func TestQueueForRoomIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newHarness(map[string][]endpointFunc{"e1": {answers(200, "x")}}, paced(1))
		e := r.fleet.Current().Endpoint("e1")
		e.Completed(900 * time.Millisecond) // 9 calls of that time: room each 100 ms
		occupy(e, 9, time.Minute)
		var calls sync.WaitGroup
		var early, late atomic.Int64
		for range 100 {
			calls.Go(func() {
				began := time.Now()
				_, err := r.Apply(t.Context(), screenedCall(t, router.AtMostOnce{}, 1, connector.Model{}))
				if err == nil {
					t.Error("a call was answered without room")
				}
				if time.Since(began) < 10*time.Millisecond {
					early.Add(1)
				} else {
					late.Add(1)
				}
			})
		}
		calls.Wait()
		is.True(early.Load() >= 90)
		is.True(late.Load() >= 1)
		time.Sleep(time.Minute)
	})
}

// Guards against claims that are not released, with which an endpoint stays full for ever.
func TestClaimsAreReleased(t *testing.T) {
	tests := []struct {
		name   string
		answer endpointFunc
	}{
		{"answered", answers(200, "x")},
		{"failed", answers(500, "x")},
		{"refused", refuses(503)},
		{"lost", dropsConnection},
		{"unreachable", unreachable},
		{"slow", hangs},
	}
	for _, tt := range tests {
		for _, kind := range []router.RepeatPolicy{router.AtMostOnce{}, router.Idempotent{}, router.NewStream(true)} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newHarness(map[string][]endpointFunc{"e1": {tt.answer}, "e2": {tt.answer}}, paced(1))
				for range 30 {
					if a, err := r.Apply(t.Context(), screenedCall(t, kind, 2, connector.Model{})); err == nil {
						_, _ = io.Copy(io.Discard, a.Body())
						_ = a.Body().Close()
					}
				}
				time.Sleep(time.Minute) // the limits are back at the slots
				for _, id := range []string{"e1", "e2"} {
					_, ok := r.fleet.Current().Endpoint(id).Room(time.Now(), 0)
					is.True(ok)
					limit, _ := r.fleet.Current().Endpoint(id).AdaptiveLimit(time.Now())
					is.True(limit > 7.5)
				}
				occupy(r.fleet.Current().Endpoint("e1"), 7, time.Second)
				_, ok := r.fleet.Current().Endpoint("e1").Room(time.Now(), 0)
				is.True(ok) // 7 of 8: no claim is left
				time.Sleep(time.Second)
			})
		}
	}
}

// Guards against a claim that outlives a call which chose an endpoint and was not sent there,
// because the budget for repeats is spent.
func TestClaimOfACallThatIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newHarness(map[string][]endpointFunc{"e1": {refuses(503)}, "e2": {refuses(503)}}, paced(1))
		r.budget = 0
		for range 40 {
			_, err := r.Apply(t.Context(), screenedCall(t, router.Idempotent{}, 2, connector.Model{}))
			is.True(err != nil)
			time.Sleep(2 * time.Minute)
		}
		is.Equal(len(r.sent), 40)
		for _, id := range []string{"e1", "e2"} {
			e := r.fleet.Current().Endpoint(id)
			occupy(e, 7, time.Second)
			_, ok := e.Room(time.Now(), 0)
			is.True(ok) // 7 of 8: no claim is left
		}
		time.Sleep(time.Second)
	})
}

// Guards against a call whose caller leaves while it waits for room, and that is sent.
func TestCallerLeavesWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newHarness(map[string][]endpointFunc{"e1": {answers(200, "x")}}, paced(1))
		e := r.fleet.Current().Endpoint("e1")
		e.Completed(40 * time.Millisecond)
		occupy(e, 9, time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, err := r.Apply(ctx, screenedCall(t, router.AtMostOnce{}, 1, connector.Model{}))
		is.True(err != nil)
		is.Equal(len(r.sent), 0)
		time.Sleep(time.Second)
	})
}

// Guards against time-outs that leave the limit of a hanging endpoint as it was.
func TestTimeoutLowersLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newHarness(map[string][]endpointFunc{"e1": {hangs}, "e2": {hangs}}, paced(1))
		_, err := r.Apply(t.Context(), screenedCall(t, router.Idempotent{}, 2, connector.Model{}))
		is.True(err != nil)
		for _, id := range []string{"e1", "e2"} {
			limit, ok := r.fleet.Current().Endpoint(id).AdaptiveLimit(time.Now())
			is.True(ok)
			is.True(limit < 7.5) // the first one has begun to return to the slots
		}
	})
}

// Guards against a plain call that is sent to the endpoint again that refused or lost it.
func TestRetryAvoidsFirstEndpoint(t *testing.T) {
	for _, first := range []endpointFunc{refuses(503), dropsConnection, unreachable, answers(500, "x")} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(map[string][]endpointFunc{"e1": {first, answers(200, "x")}, "e2": {first, answers(200, "x")}, "e3": {first, answers(200, "x")}}, paced(1))
			a, err := r.Apply(t.Context(), screenedCall(t, router.Idempotent{}, 2, connector.Model{}))
			if err == nil {
				is.NoErr(a.Body().Close())
			}
			seen := make(map[string]bool)
			for _, id := range r.sent {
				is.True(!seen[id])
				seen[id] = true
			}
			is.True(len(r.sent) >= 2)
		})
	}
}
