package relayer

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/screener"
	"github.com/dragonflyford/dragonflyford/selector"
	"github.com/dragonflyford/dragonflyford/supplier"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// Exchanger sends a call to an endpoint.
type Exchanger interface {
	Do(ctx context.Context, e *tracker.Endpoint, out *exchanger.Outbound, maxIdle time.Duration, limit int) (*exchanger.Answer, error)
}

// Procurer asks for places on engines.
type Procurer interface {
	Reserve(ctx context.Context, e *tracker.Endpoint, m connector.Model, opts ...supplier.ReserveOption) (supplier.ReserveResponse, error)
	// Use notes that a call uses a model until release is called.
	Use(engine string, m connector.Model) (release func())
}

// Chooser chooses endpoints.
type Chooser interface {
	Choose(r *router.Routed, avoid func(*tracker.Endpoint) bool) (selector.Choice, error)
}

// RetryBudget limits repeats.
type RetryBudget interface {
	RecordRequest(service string)
	AllowRepeat(service string) bool
}

// BreakObserver hears of endpoints that broke off.
type BreakObserver interface {
	Broke(m screener.Mark)
}

// Relayer is the last stage of the path of a call.
type Relayer struct {
	chooser   Chooser
	procurer  Procurer
	exchanger Exchanger
	ration    RetryBudget
	witness   BreakObserver
	hosts     func() int
	log       *logger.Logger
}

// New returns a relayer. Hosts tells how many hosts share the connections that an
// endpoint accepts.
func New(c Chooser, p Procurer, x Exchanger, r RetryBudget, w BreakObserver, hosts func() int, log *logger.Logger) *Relayer {
	return &Relayer{chooser: c, procurer: p, exchanger: x, ration: r, witness: w, hosts: hosts, log: log.Component("relayer")}
}

var errSlow = eris.New("the endpoint did not answer within its share of the time")

// Apply carries a call to endpoints and returns the answer. The body of the answer
// goes on after Apply; the end of ctx breaks it.
func (r *Relayer) Apply(ctx context.Context, s *screener.Screened) (*Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, s.Deadline())
	r.ration.RecordRequest(s.Service().Name())
	c := &carriage{relayer: r, call: s, ctx: ctx, sent: make(map[*tracker.Endpoint]bool), avoided: make(map[*tracker.Endpoint]bool)}
	answer, err := c.run()
	if err != nil {
		cancel()
		c.release()
		return nil, err
	}
	answer.body = guarded{ReadCloser: answer.body, end: func() { cancel(); c.release() }}
	return answer, nil
}
