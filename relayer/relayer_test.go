package relayer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/relayer"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/screener"
	"github.com/dragonflyford/dragonflyford/selector"
	"github.com/dragonflyford/dragonflyford/supplier"
	"github.com/dragonflyford/dragonflyford/tracker"
)

var errCut = errors.New("connection reset")

// reaction is what an endpoint does with a call.
type reaction func(ctx context.Context, out *exchanger.Outbound) (*exchanger.Answer, error)

func answers(status int, body string) reaction {
	return func(_ context.Context, out *exchanger.Outbound) (*exchanger.Answer, error) {
		return answer(status, out, false, strings.NewReader(body), int64(len(body))), nil
	}
}

func answer(status int, out *exchanger.Outbound, refused bool, body io.Reader, n int64) *exchanger.Answer {
	return exchanger.NewAnswer(status, http.Header{}, exchanger.NewMeta(out.Call().ID(), refused, true), io.NopCloser(body), n)
}

func refuses(status int) reaction {
	return func(_ context.Context, out *exchanger.Outbound) (*exchanger.Answer, error) {
		return answer(status, out, true, strings.NewReader(""), 0), nil
	}
}

func loses(context.Context, *exchanger.Outbound) (*exchanger.Answer, error) {
	return nil, exchanger.NewFailure(true, errCut)
}

func unreachable(context.Context, *exchanger.Outbound) (*exchanger.Answer, error) {
	return nil, exchanger.NewFailure(false, errCut)
}

func hangs(ctx context.Context, _ *exchanger.Outbound) (*exchanger.Answer, error) {
	<-ctx.Done()
	return nil, exchanger.NewFailure(true, context.Cause(ctx))
}

// breaks answers with events and then breaks off.
func breaks(first, last int, end error) reaction {
	return func(_ context.Context, out *exchanger.Outbound) (*exchanger.Answer, error) {
		var text strings.Builder
		for i := first; i <= last; i++ {
			_, _ = fmt.Fprintf(&text, "id: %d\ndata: %d\n\n", i, i)
		}
		if end != nil {
			text.WriteString("id: 99\nda") // cut in the middle of an event
		}
		return answer(200, out, false, io.MultiReader(strings.NewReader(text.String()), failing{end}), -1), nil
	}
}

type failing struct{ err error }

func (f failing) Read([]byte) (int, error) {
	if f.err == nil {
		return 0, io.EOF
	}
	return 0, f.err
}

// rig is a relayer with two endpoints.
type rig struct {
	*relayer.Relayer
	fleet    *tracker.Tracker
	mu       sync.Mutex
	script   map[string][]reaction // by endpoint; the last one stays
	sent     []string
	resumed  []string
	accused  int
	repeats  int
	budget   int
	supplies []supplier.ReserveResponse
	asked    int
}

func newRig(script map[string][]reaction) *rig {
	r := &rig{script: script, fleet: tracker.New(nil), budget: 100}
	for id := range script {
		r.fleet.Upsert(tracker.NewEntry(id, "svc", "1.1.1.1:1", "z", 8, false, 1,
			map[connector.Model]int64{connector.NewModel("base", "", ""): 1}))
	}
	r.Relayer = relayer.New(selector.New(r.fleet, "z", ""), r, r, r, r, func() int { return 1 }, logger.Nop())
	return r
}

func (r *rig) Do(ctx context.Context, e *tracker.Endpoint, out *exchanger.Outbound, _ time.Duration, _ int) (*exchanger.Answer, error) {
	r.mu.Lock()
	list := r.script[e.ID()]
	if len(list) > 1 {
		r.script[e.ID()] = list[1:]
	}
	r.sent = append(r.sent, e.ID())
	r.resumed = append(r.resumed, out.LastEvent())
	r.mu.Unlock()
	return list[0](ctx, out)
}

func (r *rig) Reserve(context.Context, *tracker.Endpoint, connector.Model, ...supplier.ReserveOption) (supplier.ReserveResponse, error) {
	r.asked++
	if len(r.supplies) == 0 {
		return supplier.NewGranted(1, 0), nil
	}
	s := r.supplies[0]
	r.supplies = r.supplies[1:]
	if s == nil {
		return nil, errors.New("owner does not answer")
	}
	return s, nil
}

func (r *rig) Use(string, connector.Model) func() { return func() {} }
func (r *rig) RecordRequest(string)               {}
func (r *rig) Broke(screener.Mark)                { r.accused++ }

func (r *rig) AllowRepeat(string) bool {
	if r.repeats >= r.budget {
		return false
	}
	r.repeats++
	return true
}

func screened(t *testing.T, kind router.RepeatPolicy, attempts int, m connector.Model) *screener.Screened {
	t.Helper()
	var engines *router.EngineSpec
	if m.Base() != "" {
		engines = router.NewEngineSpec(8, 4, 100, nil)
	}
	routes := router.New()
	routes.Adopt(router.NewTable(1, []*router.Route{
		router.NewRoute("r", "h", "/", kind, 5*time.Second, time.Second, 1, attempts, []router.Target{router.NewTarget("svc", 1)}),
	}, []*router.Service{router.NewService("svc", 100, engines)}))
	call := router.NewCall("id", "POST", "h", "/x", "/x", http.Header{}, nil, router.WithModel(m), router.WithMaxWait(4*time.Second))
	routed, err := routes.Apply(t.Context(), call)
	if err != nil {
		t.Fatal(err)
	}
	s, err := screener.New(logger.Nop()).Apply(t.Context(), routed)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against work that runs twice, against a refusal of work that may have run,
// and against work that is given up although another endpoint could do it.
func TestPlainCalls(t *testing.T) {
	both := func(list ...reaction) map[string][]reaction { // the same for either endpoint
		return map[string][]reaction{"e1": list, "e2": list}
	}
	tests := []struct {
		name     string
		kind     router.RepeatPolicy
		attempts int
		script   map[string][]reaction
		budget   int
		sent     int
		status   int // of the answer
		outcome  classifier.Outcome
	}{
		{"answered", router.AtMostOnce{}, 1, both(answers(200, "ok")), 9, 1, 200, nil},
		{"own error of the endpoint is passed on", router.AtMostOnce{}, 2, both(answers(500, "no")), 9, 1, 500, nil},
		{"once and lost", router.AtMostOnce{}, 3, both(loses), 9, 1, 0, classifier.Unknown{}},
		{"once and no answer in time", router.AtMostOnce{}, 3, both(hangs), 9, 1, 0, classifier.Unknown{}},
		{"once and refused, one endpoint allowed", router.AtMostOnce{}, 1, both(refuses(503)), 9, 1, 0, classifier.NotRun{}},
		{"once and refused, two allowed", router.AtMostOnce{}, 2, both(refuses(503)), 9, 2, 0, classifier.NotRun{}},
		{"once and unreachable", router.AtMostOnce{}, 1, both(unreachable), 9, 2, 0, classifier.NotRun{}},
		{"idempotent and lost", router.Idempotent{}, 2, both(loses), 9, 2, 0, classifier.Unknown{}},
		{"idempotent, lost, no budget", router.Idempotent{}, 2, both(loses), 0, 1, 0, classifier.Unknown{}},
		{"idempotent, one endpoint allowed", router.Idempotent{}, 1, both(loses), 9, 1, 0, classifier.Unknown{}},
		{"idempotent and errors", router.Idempotent{}, 2, both(answers(500, "no")), 9, 2, 500, nil},
		{"idempotent and errors, no budget", router.Idempotent{}, 2, both(answers(500, "no")), 0, 1, 500, nil},
		{"stream and lost", router.NewStream(false), 2, both(loses), 9, 1, 0, classifier.Unknown{}},
		{"resumable stream and lost", router.NewStream(true), 2, both(loses), 9, 2, 0, classifier.Unknown{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newRig(tt.script)
				r.budget = tt.budget
				a, err := r.Apply(t.Context(), screened(t, tt.kind, tt.attempts, connector.Model{}))
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

// Guards against idempotent work that waits for a hanging endpoint to its deadline.
func TestSlowEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(map[string][]reaction{"e1": {hangs}, "e2": {hangs}})
		good := answers(200, "ok")
		first := true
		for id := range r.script {
			r.script[id] = []reaction{func(ctx context.Context, out *exchanger.Outbound) (*exchanger.Answer, error) {
				if first {
					first = false
					return hangs(ctx, out)
				}
				return good(ctx, out)
			}}
		}
		began := time.Now()
		a, err := r.Apply(t.Context(), screened(t, router.Idempotent{}, 2, connector.Model{}))
		is.NoErr(err)
		is.NoErr(a.Body().Close())
		is.True(time.Since(began) < time.Second)
	})
}

// Guards against a caller that left whose call is sent once more.
func TestCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(map[string][]reaction{"e1": {hangs}, "e2": {hangs}})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		_, err := r.Apply(ctx, screened(t, router.Idempotent{}, 2, connector.Model{}))
		var gone *classifier.Canceled
		is.True(errors.As(err, &gone))
		is.Equal(len(r.sent), 1)
		is.Equal(r.accused, 0)
	})
}

// Guards against an endpoint that hangs, so that its callers leave, and goes on
// getting calls.
func TestHangingEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(map[string][]reaction{"e1": {hangs}})
		e := r.fleet.Current().Endpoint("e1")
		leave := func(kind router.RepeatPolicy) {
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(3*time.Second, cancel)
			a, err := r.Apply(ctx, screened(t, kind, 1, connector.Model{}))
			if err == nil {
				_, err = io.ReadAll(a.Body())
				is.NoErr(a.Body().Close())
			}
			is.True(err != nil)
		}
		leave(router.NewStream(false))
		is.True(e.FailureRate() > 0)
		before := e.FailureRate()
		r.script["e1"] = []reaction{func(ctx context.Context, _ *exchanger.Outbound) (*exchanger.Answer, error) {
			pipe, w := io.Pipe()
			context.AfterFunc(ctx, func() { _ = w.CloseWithError(ctx.Err()) })
			go func() { _, _ = io.WriteString(w, "id: 0\ndata: 0\n\n") }()
			return exchanger.NewAnswer(200, http.Header{}, exchanger.NewMeta("id", false, true), pipe, -1), nil
		}}
		leave(router.NewStream(false))
		is.True(e.FailureRate() > before)
	})
}

// Guards against a stream with a missing, doubled or torn event after its endpoint
// broke off, and against one that looks complete although it is not.
func TestResume(t *testing.T) {
	tests := []struct {
		name   string
		kind   router.Stream
		first  reaction
		second reaction
		want   string
		fails  bool
		sent   int
	}{
		{"whole", router.NewStream(true), breaks(0, 3, nil), nil, "0123", false, 1},
		{"broken and resumed", router.NewStream(true), breaks(0, 1, errCut), breaks(2, 3, nil), "0123", false, 2},
		{"resumed too early", router.NewStream(true), breaks(0, 1, errCut), breaks(0, 3, nil), "0123", false, 2},
		{"broken before its first event", router.NewStream(true), breaks(0, -1, errCut), breaks(0, 3, nil), "0123", false, 2},
		{"broken twice", router.NewStream(true), breaks(0, 1, errCut), breaks(2, 2, errCut), "012", true, 2},
		{"error where it should go on", router.NewStream(true), breaks(0, 1, errCut), answers(500, "no"), "01", true, 2},
		{"not resumable", router.NewStream(false), breaks(0, 1, errCut), nil, "01", true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newRig(map[string][]reaction{"e1": nil, "e2": nil})
				n := 0
				step := func(ctx context.Context, out *exchanger.Outbound) (*exchanger.Answer, error) {
					if n++; n == 1 {
						return tt.first(ctx, out)
					}
					return tt.second(ctx, out)
				}
				r.script = map[string][]reaction{"e1": {step}, "e2": {step}}
				a, err := r.Apply(t.Context(), screened(t, tt.kind, 2, connector.Model{}))
				is.NoErr(err)
				is.True(a.Streaming())
				data, err := io.ReadAll(a.Body())
				is.NoErr(a.Body().Close())
				is.Equal(err != nil, tt.fails)
				got := ""
				for line := range strings.Lines(string(data)) {
					if value, ok := strings.CutPrefix(line, "data: "); ok {
						got += strings.TrimSpace(value)
					}
				}
				is.Equal(got, tt.want)
				is.Equal(len(r.sent), tt.sent)
			})
		})
	}
}

// Guards against an answer that is ended because its endpoint pauses.
func TestPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(map[string][]reaction{"e1": nil, "e2": nil})
		step := func(_ context.Context, _ *exchanger.Outbound) (*exchanger.Answer, error) {
			pipe, w := io.Pipe()
			go func() {
				_, _ = io.WriteString(w, "id: 0\ndata: 0\n\n")
				time.Sleep(3 * time.Second)
				_, _ = io.WriteString(w, "id: 1\ndata: 1\n\n")
				_ = w.Close()
			}()
			return exchanger.NewAnswer(200, http.Header{}, exchanger.NewMeta("id", false, true), pipe, -1), nil
		}
		r.script = map[string][]reaction{"e1": {step}, "e2": {step}}
		a, err := r.Apply(t.Context(), screened(t, router.NewStream(true), 2, connector.Model{}))
		is.NoErr(err)
		data, err := io.ReadAll(a.Body())
		is.NoErr(err)
		is.NoErr(a.Body().Close())
		is.Equal(strings.Count(string(data), "data:"), 2)
		is.Equal(len(r.sent), 1)
	})
}

// Guards against a slow endpoint that is given up although no other one may be
// tried.
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
		r := newRig(map[string][]reaction{"e1": {slow}, "e2": {slow}})
		r.budget = 0
		a, err := r.Apply(t.Context(), screened(t, router.Idempotent{}, 2, connector.Model{}))
		is.NoErr(err)
		is.NoErr(a.Body().Close())
		is.Equal(len(r.sent), 1)
	})
}

// Guards against a call for a model that is sent before the model is there, sent to
// an engine that declined, or given up while another engine would do.
func TestModel(t *testing.T) {
	m := connector.NewModel("base", "a1", "")
	tests := []struct {
		name     string
		supplies []supplier.ReserveResponse
		first    reaction
		sent     int
		asked    int
		wait     time.Duration
		fails    bool
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
				r := newRig(map[string][]reaction{"e1": nil, "e2": nil})
				r.supplies = tt.supplies
				for id := range r.script {
					r.script[id] = []reaction{tt.first, answers(200, "ok")}
				}
				began := time.Now()
				a, err := r.Apply(t.Context(), screened(t, router.NewStream(false), 1, m))
				is.Equal(time.Since(began), tt.wait)
				is.Equal(len(r.sent), tt.sent)
				is.Equal(r.asked, tt.asked)
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

// Guards against a call that is refused because the first engines have no turn left
// while others of its service have, and against one that makes many engines load
// its adapter.
func TestFullEngines(t *testing.T) {
	m := connector.NewModel("base", "", "a")
	const engines = 6
	tests := []struct {
		name    string
		decline supplier.ReserveResponse
		asked   int
		fails   bool
	}{
		{"no turn left", supplier.NewFull(300 * time.Millisecond), engines, false},
		{"no place for the adapter", supplier.NewDeclined("places", 300*time.Millisecond), 3, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				script := make(map[string][]reaction)
				for i := range engines {
					script[fmt.Sprint("e", i)] = []reaction{answers(200, "ok")}
				}
				r := newRig(script)
				for range engines - 1 {
					r.supplies = append(r.supplies, tt.decline)
				}
				a, err := r.Apply(t.Context(), screened(t, router.NewStream(false), 1, m))
				is.Equal(r.asked, tt.asked)
				is.Equal(err != nil, tt.fails)
				if err == nil {
					is.NoErr(a.Body().Close())
				}
			})
		})
	}
}
