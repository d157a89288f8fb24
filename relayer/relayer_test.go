package relayer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/estimator"
	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/supplier"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// Guards against running at-most-once work twice, against reporting NotRun for work
// that may have run, and against giving up while another endpoint could run the
// work.
func TestPlainCalls(t *testing.T) {
	both := func(list ...endpointFunc) map[string][]endpointFunc { // the same for both endpoints
		return map[string][]endpointFunc{"e1": list, "e2": list}
	}
	tests := []struct {
		name     string
		kind     router.RepeatPolicy
		attempts int
		script   map[string][]endpointFunc
		budget   int
		sent     int
		status   int // of the answer
		outcome  classifier.Outcome
	}{
		{"answered", router.AtMostOnce{}, 1, both(answers(200, "ok")), 9, 1, 200, nil},
		{"error status of the endpoint is passed on", router.AtMostOnce{}, 2, both(answers(500, "no")), 9, 1, 500, nil},
		{"at-most-once and lost", router.AtMostOnce{}, 3, both(dropsConnection), 9, 1, 0, classifier.Unknown{}},
		{"at-most-once and timed out", router.AtMostOnce{}, 3, both(hangs), 9, 1, 0, classifier.Unknown{}},
		{"at-most-once and refused, one endpoint allowed", router.AtMostOnce{}, 1, both(refuses(503)), 9, 1, 0, classifier.NotRun{}},
		{"at-most-once and refused, two allowed", router.AtMostOnce{}, 2, both(refuses(503)), 9, 2, 0, classifier.NotRun{}},
		{"at-most-once and unreachable", router.AtMostOnce{}, 1, both(unreachable), 9, 2, 0, classifier.NotRun{}},
		{"idempotent and lost", router.Idempotent{}, 2, both(dropsConnection), 9, 2, 0, classifier.Unknown{}},
		{"idempotent, lost, no budget", router.Idempotent{}, 2, both(dropsConnection), 0, 1, 0, classifier.Unknown{}},
		{"idempotent, one endpoint allowed", router.Idempotent{}, 1, both(dropsConnection), 9, 1, 0, classifier.Unknown{}},
		{"idempotent and errors", router.Idempotent{}, 2, both(answers(500, "no")), 9, 2, 500, nil},
		{"idempotent and errors, no budget", router.Idempotent{}, 2, both(answers(500, "no")), 0, 1, 500, nil},
		{"stream and lost", router.NewStream(false), 2, both(dropsConnection), 9, 1, 0, classifier.Unknown{}},
		{"resumable stream and lost", router.NewStream(true), 2, both(dropsConnection), 9, 2, 0, classifier.Unknown{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newHarness(tt.script)
				r.budget = tt.budget
				a, err := r.Apply(t.Context(), screenedCall(t, tt.kind, tt.attempts, connector.Model{}))
				is.Equal(len(r.sent), tt.sent)
				if tt.status != 0 {
					is.NoErr(err)
					is.Equal(a.Status(), tt.status)
					is.NoErr(a.Body().Close())
					return
				}
				is.Equal(classifier.Of(err).Outcome(), tt.outcome)
				if tt.outcome == (classifier.NotRun{}) {
					is.True(classifier.Of(err).RetryAfter() > 0)
				}
			})
		})
	}
}

// Guards against idempotent work that waits for a hanging endpoint until its
// deadline instead of being sent to another one.
func TestSlowEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newHarness(map[string][]endpointFunc{"e1": {hangs}, "e2": {hangs}})
		good := answers(200, "ok")
		first := true
		for id := range r.script {
			r.script[id] = []endpointFunc{func(ctx context.Context, out *exchanger.Outbound) (*exchanger.Answer, error) {
				if first {
					first = false
					return hangs(ctx, out)
				}
				return good(ctx, out)
			}}
		}
		began := time.Now()
		a, err := r.Apply(t.Context(), screenedCall(t, router.Idempotent{}, 2, connector.Model{}))
		is.NoErr(err)
		is.NoErr(a.Body().Close())
		is.True(time.Since(began) < time.Second)
	})
}

// Guards against sending a call to an engine that left, or was replaced by another
// process, while the call waited for its turn.
func TestEngineLeavesDuringWait(t *testing.T) {
	model := connector.NewModel("base", "a1", "")
	ready := func(id string, born int64, draining bool) tracker.Entry {
		return tracker.NewEntry(id, "svc", "1.1.1.1:1", "z", 8, draining, born, map[connector.Model]int64{connector.NewModel("base", "", ""): 1, model: 1})
	}
	tests := []struct {
		name  string
		leave func(f *tracker.Tracker, id string)
		sends int
	}{
		{"removed", func(f *tracker.Tracker, id string) { f.Remove(0, id) }, 1},
		{"draining", func(f *tracker.Tracker, id string) { f.Upsert(ready(id, 1, true)) }, 1},
		{"replaced", func(f *tracker.Tracker, id string) { f.Upsert(ready(id, 2, false)) }, 1},
		{"stays", func(*tracker.Tracker, string) {}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newHarness(map[string][]endpointFunc{"e1": {answers(200, "ok")}, "e2": {answers(200, "ok")}})
				r.fleet.Upsert(ready("e1", 1, false), ready("e2", 1, false))
				r.responses = []supplier.ReserveResponse{supplier.NewGranted(1, 400*time.Millisecond)}
				time.AfterFunc(200*time.Millisecond, func() {
					r.mu.Lock()
					defer r.mu.Unlock()
					tt.leave(r.fleet, r.reserved[0].ID())
				})
				a, err := r.Apply(t.Context(), screenedCall(t, router.NewStream(false), 2, model))
				is.NoErr(err)
				is.NoErr(a.Body().Close())
				is.Equal(len(r.sent), tt.sends)
				last := r.reserved[len(r.reserved)-1]
				is.Equal(r.fleet.Current().Endpoint(last.ID()), last)
			})
		})
	}
}

// Guards against a call that is refused, or waits for long, at the first engine whose
// loads are queued, against one that waits for longer than it can be worth, and
// against one that cannot ask again where its load turned out to be late.
func TestQueuedLoads(t *testing.T) {
	queued := func(wait time.Duration) supplier.ReserveResponse { return supplier.NewLoadsQueued(wait) }
	long, short, granted := queued(900*time.Millisecond), queued(300*time.Millisecond), supplier.NewGranted(1, 0)
	tests := []struct {
		name      string
		responses []supplier.ReserveResponse
		asked     int
		again     int // index of the first request for the engine that the last one names
		fails     bool
	}{
		{"second engine is free", []supplier.ReserveResponse{long, granted}, 2, 1, false},
		{"shortest queue of five", []supplier.ReserveResponse{long, long, short, long, long, granted}, 6, 2, false},
		{"all queues too long", []supplier.ReserveResponse{queued(3 * time.Second), queued(2 * time.Second), queued(2 * time.Second), queued(2 * time.Second), queued(2 * time.Second)}, 5, 4, true},
		{"queue grew meanwhile", []supplier.ReserveResponse{short, long, long, long, long, long}, 6, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				script := make(map[string][]endpointFunc)
				for i := range 7 {
					script[fmt.Sprint("e", i)] = []endpointFunc{answers(200, "ok")}
				}
				r := newHarness(script)
				r.responses = tt.responses
				a, err := r.Apply(t.Context(), screenedCall(t, router.NewStream(false), 2, connector.NewModel("base", "a1", "")))
				is.Equal(len(r.reserved), tt.asked)
				is.Equal(slices.Index(r.reserved, r.reserved[len(r.reserved)-1]), tt.again)
				is.Equal(err != nil, tt.fails)
				if err != nil {
					is.Equal(classifier.Of(err).Outcome(), classifier.NotRun{})
					is.True(classifier.Of(err).RetryAfter() >= 250*time.Millisecond)
					return
				}
				is.NoErr(a.Body().Close())
			})
		})
	}
	t.Run("load is late", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(map[string][]endpointFunc{"e1": {refuses(421), refuses(421), answers(200, "ok")}})
			r.responses = []supplier.ReserveResponse{short, granted, granted, granted}
			a, err := r.Apply(t.Context(), screenedCall(t, router.NewStream(false), 2, connector.NewModel("base", "a1", "")))
			is.NoErr(err)
			is.NoErr(a.Body().Close())
			is.Equal(len(r.sent), 3)
		})
	})
}

// Guards against speeds that are learned from calls which do not show them: resumed
// streams, refusals, and outputs of which only a part arrived.
func TestSpeedSamples(t *testing.T) {
	m := connector.NewModel("base", "a1", "")
	tests := []struct {
		name                  string
		script                []endpointFunc
		prefills, generations int
	}{
		{"complete", []endpointFunc{inPieces(streams(0, 5, nil))}, 1, 1},
		{"refused first", []endpointFunc{refuses(421), inPieces(streams(0, 5, nil))}, 1, 1},
		{"failed", []endpointFunc{answers(500, "no")}, 0, 0},
		{"broken", []endpointFunc{inPieces(streams(0, 5, errReset))}, 1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newHarness(map[string][]endpointFunc{"e1": tt.script})
				a, err := r.Apply(t.Context(), screenedCall(t, router.NewStream(true), 1, m))
				is.NoErr(err)
				buf := make([]byte, 24) // an event or two
				for err == nil {
					time.Sleep(10 * time.Millisecond)
					_, err = a.Body().Read(buf)
				}
				is.NoErr(a.Body().Close())
				prefills, generations := 0, 0
				for _, s := range r.samples {
					switch s.(type) {
					case estimator.Prefill:
						prefills++
					case estimator.Generation:
						generations++
					}
				}
				is.Equal(prefills, tt.prefills)
				is.Equal(generations, tt.generations)
			})
		})
	}
}

// Guards against resending a call whose caller has canceled it.
func TestCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newHarness(map[string][]endpointFunc{"e1": {hangs}, "e2": {hangs}})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		_, err := r.Apply(ctx, screenedCall(t, router.Idempotent{}, 2, connector.Model{}))
		var gone *classifier.Canceled
		is.True(errors.As(err, &gone))
		is.Equal(len(r.sent), 1)
		is.Equal(r.breaks, 0)
	})
}

// Guards against an endpoint that hangs and keeps getting calls because its callers
// cancel before a failure is recorded.
func TestHangingEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newHarness(map[string][]endpointFunc{"e1": {hangs}})
		e := r.fleet.Current().Endpoint("e1")
		callAndCancel := func(kind router.RepeatPolicy) {
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(3*time.Second, cancel)
			a, err := r.Apply(ctx, screenedCall(t, kind, 1, connector.Model{}))
			if err == nil {
				_, err = io.ReadAll(a.Body())
				is.NoErr(a.Body().Close())
			}
			is.True(err != nil)
		}
		callAndCancel(router.NewStream(false))
		is.True(e.FailureRate() > 0)
		before := e.FailureRate()
		r.script["e1"] = []endpointFunc{func(ctx context.Context, _ *exchanger.Outbound) (*exchanger.Answer, error) {
			pipe, w := io.Pipe()
			context.AfterFunc(ctx, func() { _ = w.CloseWithError(ctx.Err()) })
			go func() { _, _ = io.WriteString(w, "id: 0\ndata: 0\n\n") }()
			return exchanger.NewAnswer(200, http.Header{}, exchanger.NewMeta("id", false, true), pipe, -1), nil
		}}
		callAndCancel(router.NewStream(false))
		is.True(e.FailureRate() > before)
	})
}

// Guards against canceling a send to a slow endpoint although the retry budget
// allows no other one.
func TestSlowWithoutBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		slow := func(ctx context.Context, out *exchanger.Outbound) (*exchanger.Answer, error) {
			select {
			case <-time.After(2 * time.Second):
				return answers(200, "ok")(ctx, out)
			case <-ctx.Done():
				return hangs(ctx, out)
			}
		}
		r := newHarness(map[string][]endpointFunc{"e1": {slow}, "e2": {slow}})
		r.budget = 0
		a, err := r.Apply(t.Context(), screenedCall(t, router.Idempotent{}, 2, connector.Model{}))
		is.NoErr(err)
		is.NoErr(a.Body().Close())
		is.Equal(len(r.sent), 1)
	})
}

// Guards against sending a call before its model is loaded or to an engine that
// declined, and against giving up while another engine could take the call.
func TestModel(t *testing.T) {
	m := connector.NewModel("base", "a1", "")
	tests := []struct {
		name         string
		responses    []supplier.ReserveResponse
		first        endpointFunc
		sent         int
		reservations int
		wait         time.Duration
		fails        bool
	}{
		{"granted", []supplier.ReserveResponse{supplier.NewGranted(1, 300*time.Millisecond)}, answers(200, "ok"), 1, 1, 300 * time.Millisecond, false},
		{"declined once", []supplier.ReserveResponse{supplier.NewDeclined("full", time.Second)}, answers(200, "ok"), 1, 2, 0, false},
		{"declined twice", []supplier.ReserveResponse{supplier.NewDeclined("full", time.Second), supplier.NewDeclined("full", time.Second)}, nil, 0, 2, 0, true},
		{"no owner", []supplier.ReserveResponse{nil, nil}, nil, 0, 2, 0, true},
		{"still loading", nil, refuses(421), 2, 2, 100 * time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newHarness(map[string][]endpointFunc{"e1": nil, "e2": nil})
				r.responses = tt.responses
				for id := range r.script {
					r.script[id] = []endpointFunc{tt.first, answers(200, "ok")}
				}
				began := time.Now()
				a, err := r.Apply(t.Context(), screenedCall(t, router.NewStream(false), 1, m))
				is.Equal(time.Since(began), tt.wait)
				is.Equal(len(r.sent), tt.sent)
				is.Equal(r.reservations, tt.reservations)
				is.Equal(err != nil, tt.fails)
				if err == nil {
					is.NoErr(a.Body().Close())
					return
				}
				is.Equal(classifier.Of(err).Outcome(), classifier.NotRun{})
				is.True(classifier.Of(err).RetryAfter() > 0)
			})
		})
	}
}

// Guards against refusing a call because the first engines have no free turn while
// others of its service have one, and against loading its adapter on many engines.
func TestFullEngines(t *testing.T) {
	m := connector.NewModel("base", "", "a")
	const engines = 6
	tests := []struct {
		name         string
		decline      supplier.ReserveResponse
		reservations int
		fails        bool
	}{
		{"no turn left", supplier.NewFull(300 * time.Millisecond), engines, false},
		{"no capacity for the adapter", supplier.NewDeclined("places", 300*time.Millisecond), 3, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				script := make(map[string][]endpointFunc)
				for i := range engines {
					script[fmt.Sprint("e", i)] = []endpointFunc{answers(200, "ok")}
				}
				r := newHarness(script)
				for range engines - 1 {
					r.responses = append(r.responses, tt.decline)
				}
				a, err := r.Apply(t.Context(), screenedCall(t, router.NewStream(false), 1, m))
				is.Equal(r.reservations, tt.reservations)
				is.Equal(err != nil, tt.fails)
				if err == nil {
					is.NoErr(a.Body().Close())
				}
			})
		})
	}
}
