package relayer

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/estimator"
	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/limiter"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/pinner"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/screener"
	"github.com/dragonflyford/dragonflyford/selector"
	"github.com/dragonflyford/dragonflyford/supplier"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// Exchanger sends calls to endpoints.
type Exchanger interface {
	Do(ctx context.Context, e *tracker.Endpoint, out *exchanger.Outbound, maxIdle time.Duration, limit int) (*exchanger.Answer, error)
}

// Procurer reserves capacity on engines.
type Procurer interface {
	Reserve(ctx context.Context, e *tracker.Endpoint, m connector.Model, opts ...supplier.ReserveOption) (supplier.ReserveResponse, error)
	// Report reports to the engine's owner at once what a call showed of its speed.
	Report(e *tracker.Endpoint, s estimator.Slowdown)
	// Use marks a model as in use by a call until release is called.
	Use(engine string, m connector.Model) (release func())
}

// Chooser chooses the endpoint for a call. It skips endpoints for which avoid
// returns true. If loadsQueued is true, an engine that holds the call's model is
// preferred, because loads of it would have to wait.
type Chooser interface {
	Choose(r *router.Routed, avoid func(*tracker.Endpoint) bool, loadsQueued bool) (selector.Choice, error)
	// AnyLeft reports whether an endpoint for which avoid returns false could be sent
	// the call now.
	AnyLeft(r *router.Routed, avoid func(*tracker.Endpoint) bool) bool
	// Usable reports whether an endpoint that was chosen earlier may still receive
	// new calls.
	Usable(e *tracker.Endpoint) bool
	// AnyLimited reports whether any endpoint of the call's service names a limit on the
	// rate of requests.
	AnyLimited(r *router.Routed) bool
}

// RetryBudget limits how many calls of a service are sent again.
type RetryBudget interface {
	RecordRequest(service string)
	AllowRepeat(service string) bool
}

// CrashObserver is told which calls crash endpoints and which do not.
type CrashObserver interface {
	// RecordCrash records that an endpoint broke off before the output of a call began.
	RecordCrash(e *tracker.Endpoint, m screener.Mark)
	// RecordOutput records that the output of a call began.
	RecordOutput(c *router.Call)
}

// Permitter obtains turns at endpoints that accept a limited rate of requests.
type Permitter interface {
	// Admit requests a turn for a call that can wait for at most maxWait.
	Admit(ctx context.Context, e *tracker.Endpoint, maxWait time.Duration) limiter.Verdict
	// ObserveLimit records the limit that an endpoint named in an answer, or that it named
	// none, and reports whether that is news.
	ObserveLimit(e *tracker.Endpoint, l tracker.Limit) (changed bool)
}

// StreamArchive knows at which software versions streams began.
type StreamArchive interface {
	// Beginning returns whether a stream of a service may begin at a version.
	Beginning(service, version string) pinner.Beginning
	// Record records that a stream of a service began at a version, and returns nil when
	// the record outlives this host.
	Record(ctx context.Context, service, stream, version string) error
	// Resolve returns where a stream may go on.
	Resolve(ctx context.Context, service, stream string) pinner.Verdict
}

// SpeedObserver receives what calls show of the speed of engines.
type SpeedObserver interface {
	Observe(engine, service string, s estimator.Sample, now time.Time)
}

// Relayer is the last stage of the request pipeline. It is safe for concurrent use.
type Relayer struct {
	chooser   Chooser
	permitter Permitter
	procurer  Procurer
	exchanger Exchanger
	budget    RetryBudget
	crashes   CrashObserver
	streams   StreamArchive
	speeds    SpeedObserver
	hostCount func() int
	queues    roomQueues
	log       *logger.Logger
}

// New returns a relayer. hostCount returns the number of hosts that share the
// connections that an endpoint accepts.
func New(c Chooser, permits Permitter, p Procurer, x Exchanger, budget RetryBudget, crashes CrashObserver, streams StreamArchive, speeds SpeedObserver, hostCount func() int, log *logger.Logger) *Relayer {
	return &Relayer{chooser: c, permitter: permits, procurer: p, exchanger: x, budget: budget, crashes: crashes, streams: streams, speeds: speeds, hostCount: hostCount, log: log.Component("relayer")}
}

var errSlowEndpoint = eris.New("endpoint did not respond within the send timeout")

// Apply forwards a call to endpoints and returns the response. The body of the
// response can be read after Apply has returned, until ctx ends or the call's
// deadline passes.
func (r *Relayer) Apply(ctx context.Context, s *screener.Screened) (*Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, s.Deadline())
	r.budget.RecordRequest(s.Service().Name())
	c := &callState{relayer: r, call: s, ctx: ctx, sent: make(map[*tracker.Endpoint]bool), excluded: make(map[*tracker.Endpoint]bool)}
	err := c.pinResumed()
	var answer *Answer
	if err == nil {
		answer, err = c.run()
	}
	if err != nil {
		cancel()
		c.release()
		return nil, err
	}
	answer.deadline = s.Deadline()
	answer.body = releasingBody{ReadCloser: answer.body, release: func() { cancel(); c.release() }}
	return answer, nil
}
