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
	"testing/iotest"
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/estimator"
	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/limiter"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/pinner"
	"github.com/dragonflyford/dragonflyford/relayer"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/screener"
	"github.com/dragonflyford/dragonflyford/selector"
	"github.com/dragonflyford/dragonflyford/sharer"
	"github.com/dragonflyford/dragonflyford/supplier"
	"github.com/dragonflyford/dragonflyford/tracker"
)

var errReset = errors.New("connection reset")

// endpointFunc handles a call in place of an endpoint.
type endpointFunc func(ctx context.Context, out *exchanger.Outbound) (*exchanger.Answer, error)

// answers returns a function that responds with the given status and body.
func answers(status int, body string) endpointFunc {
	return func(_ context.Context, out *exchanger.Outbound) (*exchanger.Answer, error) {
		return answer(status, out, false, strings.NewReader(body), int64(len(body))), nil
	}
}

func answer(status int, out *exchanger.Outbound, refused bool, body io.Reader, n int64) *exchanger.Answer {
	return exchanger.NewAnswer(status, http.Header{}, exchanger.NewMeta(out.Call().ID(), refused, true), io.NopCloser(body), n)
}

// refuses returns a function that responds that the call did not run.
func refuses(status int) endpointFunc {
	return func(_ context.Context, out *exchanger.Outbound) (*exchanger.Answer, error) {
		return answer(status, out, true, strings.NewReader(""), 0), nil
	}
}

// dropsConnection fails after the call was sent.
func dropsConnection(context.Context, *exchanger.Outbound) (*exchanger.Answer, error) {
	return nil, exchanger.NewCallError(true, errReset)
}

// unreachable fails before the call is sent.
func unreachable(context.Context, *exchanger.Outbound) (*exchanger.Answer, error) {
	return nil, exchanger.NewCallError(false, errReset)
}

func hangs(ctx context.Context, _ *exchanger.Outbound) (*exchanger.Answer, error) {
	<-ctx.Done()
	return nil, exchanger.NewCallError(true, context.Cause(ctx))
}

// streams responds with the events first to last. If end is not nil, a truncated
// event follows and reading the body fails with end.
func streams(first, last int, end error) endpointFunc {
	return func(_ context.Context, out *exchanger.Outbound) (*exchanger.Answer, error) {
		var text strings.Builder
		for i := first; i <= last; i++ {
			_, _ = fmt.Fprintf(&text, "id: %d\ndata: %d\n\n", i, i)
		}
		if end != nil {
			text.WriteString("id: 99\nda") // truncated event
		}
		return answer(200, out, false, io.MultiReader(strings.NewReader(text.String()), failing{end}), -1), nil
	}
}

// inPieces makes the body of an answer arrive in many pieces.
func inPieces(f endpointFunc) endpointFunc {
	return func(ctx context.Context, out *exchanger.Outbound) (*exchanger.Answer, error) {
		a, err := f(ctx, out)
		if err != nil {
			return nil, err
		}
		return answer(a.Status(), out, false, iotest.OneByteReader(a.Body()), -1), nil
	}
}

type failing struct{ err error }

func (f failing) Read([]byte) (int, error) {
	if f.err == nil {
		return 0, io.EOF
	}
	return 0, f.err
}

// harness is a relayer with the endpoints in script.
type harness struct {
	*relayer.Relayer
	fleet        *tracker.Tracker
	mu           sync.Mutex
	script       map[string][]endpointFunc // by endpoint; the last one handles all further calls
	sent         []string
	resumed      []string
	outbounds    []*exchanger.Outbound
	maxWaits     []time.Duration    // sent to owners
	workspaces   []sharer.Workspace // sent to owners
	breaks       int
	outputs      int
	turns        map[string]limiter.Verdict // by endpoint; granted at once if there is none
	repeats      int
	budget       int
	responses    []supplier.ReserveResponse
	reservations int
	reserved     []*tracker.Endpoint
	samples      []estimator.Sample
	verdict      pinner.Verdict              // on streams that callers resume
	recorded     []string                    // versions at which streams began
	beginnings   map[string]pinner.Beginning // by version; allowed if there is none
	recordFault  error                       // of the records of streams
}

func newHarness(script map[string][]endpointFunc, opts ...tracker.Option) *harness {
	r := &harness{script: script, fleet: tracker.New(nil, opts...), budget: 100}
	for id := range script {
		r.fleet.Upsert(tracker.NewEntry(id, "svc", "1.1.1.1:1", "z", 8, false, 1,
			map[connector.Model]int64{connector.NewModel("base", "", ""): 1}))
	}
	r.Relayer = relayer.New(selector.New(r.fleet, "z", ""), r, r, r, r, r, r, r, func() int { return 1 }, logger.Nop())
	return r
}

func (r *harness) Do(ctx context.Context, e *tracker.Endpoint, out *exchanger.Outbound, _ time.Duration, _ int) (*exchanger.Answer, error) {
	r.mu.Lock()
	list := r.script[e.ID()]
	if len(list) > 1 {
		r.script[e.ID()] = list[1:]
	}
	r.sent = append(r.sent, e.ID())
	r.resumed = append(r.resumed, out.LastEvent())
	r.outbounds = append(r.outbounds, out)
	r.mu.Unlock()
	return list[0](ctx, out)
}

func (r *harness) Report(*tracker.Endpoint, estimator.Slowdown) {}

func (r *harness) Reserve(_ context.Context, e *tracker.Endpoint, m connector.Model, opts ...supplier.ReserveOption) (supplier.ReserveResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reservations++
	r.reserved = append(r.reserved, e)
	request := supplier.NewReserveRequest(e.ID(), m, opts...)
	r.maxWaits = append(r.maxWaits, request.MaxWait())
	r.workspaces = append(r.workspaces, request.Workspace())
	if len(r.responses) == 0 {
		return supplier.NewGranted(1, 0), nil
	}
	s := r.responses[0]
	r.responses = r.responses[1:]
	if s == nil {
		return nil, errors.New("owner does not answer")
	}
	return s, nil
}

func (r *harness) Use(string, connector.Model) func() { return func() {} }
func (r *harness) Admit(_ context.Context, e *tracker.Endpoint, _ time.Duration) limiter.Verdict {
	if v := r.turns[e.ID()]; v != nil {
		return v
	}
	return limiter.Granted{}
}

func (r *harness) ObserveLimit(e *tracker.Endpoint, l tracker.Limit) bool { return e.RecordLimit(l) }
func (r *harness) RecordRequest(string)                                   {}
func (r *harness) Observe(_, _ string, s estimator.Sample, _ time.Time) {
	r.samples = append(r.samples, s)
}
func (r *harness) RecordCrash(*tracker.Endpoint, screener.Mark) { r.breaks++ }
func (r *harness) RecordOutput(*router.Call)                    { r.outputs++ }

func (r *harness) Record(_ context.Context, _, stream, version string) error {
	r.recorded = append(r.recorded, stream+"="+version)
	return r.recordFault
}

func (r *harness) Beginning(_, version string) pinner.Beginning {
	if b := r.beginnings[version]; b != nil {
		return b
	}
	return pinner.Allowed{}
}

func (r *harness) Resolve(context.Context, string, string) pinner.Verdict { return r.verdict }

func (r *harness) AllowRepeat(string) bool {
	if r.repeats >= r.budget {
		return false
	}
	r.repeats++
	return true
}

func screenedCall(t *testing.T, kind router.RepeatPolicy, attempts int, m connector.Model, opts ...router.CallOption) *screener.Screened {
	t.Helper()
	var engines *router.EngineSpec
	if m.Base() != "" {
		engines = router.NewEngineSpec(8, 4, 100, nil)
	}
	routes := router.New()
	routes.Adopt(router.NewTable(1, []*router.Route{
		router.NewRoute("r", "h", "/", kind, 5*time.Second, time.Second, 1, attempts, []router.Target{router.NewTarget("svc", 1)}),
	}, []*router.Service{router.NewService("svc", 100, engines)}))
	opts = append([]router.CallOption{router.WithModel(m), router.WithMaxWait(4 * time.Second)}, opts...)
	call := router.NewCall("id", "POST", "h", "/x", "/x", http.Header{}, nil, opts...)
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

// letters is a body without end.
type letters struct{ read *int }

func (l letters) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	*l.read += len(p)
	return len(p), nil
}
