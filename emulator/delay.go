package emulator

import (
	"context"
	"fmt"
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/sleeper"
	"github.com/dragonflyford/dragonflyford/storer"
)

// Delay adds a one-way latency, such as that of a link between regions, to each
// request and each response of the fakes that it wraps. A request whose context
// ends in transit is lost; the client cannot know whether it was carried out.
type Delay struct {
	oneWay time.Duration
}

// NewDelay returns a delay of oneWay in each direction.
func NewDelay(oneWay time.Duration) Delay { return Delay{oneWay: oneWay} }

// delayedRoundTrip sends a request with the delay and returns its response. The
// error wraps refused if ctx had ended before the request was sent, and lost if
// it ended later.
func delayedRoundTrip[T any](ctx context.Context, d Delay, refused, lost error, do func() (T, error)) (T, error) {
	var none T
	if err := ctx.Err(); err != nil {
		return none, fmt.Errorf("%w: %w", refused, err)
	}
	if err := sleeper.Sleep(ctx, d.oneWay); err != nil {
		return none, fmt.Errorf("%w: %w", lost, err)
	}
	answer, err := do()
	if wait := sleeper.Sleep(ctx, d.oneWay); wait != nil {
		return none, fmt.Errorf("%w: %w", lost, wait)
	}
	return answer, err
}

// Table wraps t with the delay.
func (d Delay) Table(t storer.Table) storer.Table { return &delayedTable{delay: d, table: t} }

type delayedTable struct {
	delay Delay
	table storer.Table
}

func (t *delayedTable) Get(ctx context.Context, key string) (storer.Row, error) {
	return delayedRoundTrip(ctx, t.delay, storer.ErrUnavailable, storer.ErrUnavailable, func() (storer.Row, error) {
		return t.table.Get(ctx, key)
	})
}

func (t *delayedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	return delayedRoundTrip(ctx, t.delay, storer.ErrUnavailable, storer.ErrUnavailable, func() ([]storer.Row, error) {
		return t.table.Scan(ctx, prefix, after, limit)
	})
}

func (t *delayedTable) Commit(ctx context.Context, writes ...storer.Write) error {
	_, err := delayedRoundTrip(ctx, t.delay, storer.ErrUnavailable, storer.ErrUncertain, func() (none, error) {
		return none{}, t.table.Commit(ctx, writes...)
	})
	return err
}

// Objects wraps o with the delay.
func (d Delay) Objects(o storer.Objects) storer.Objects {
	return &delayedObjects{delay: d, objects: o}
}

type delayedObjects struct {
	delay   Delay
	objects storer.Objects
}

func (o *delayedObjects) Put(ctx context.Context, key string, body []byte) error {
	_, err := delayedRoundTrip(ctx, o.delay, storer.ErrUnavailable, storer.ErrUncertain, func() (none, error) {
		return none{}, o.objects.Put(ctx, key, body)
	})
	return err
}

func (o *delayedObjects) Get(ctx context.Context, key string) ([]byte, error) {
	return delayedRoundTrip(ctx, o.delay, storer.ErrUnavailable, storer.ErrUnavailable, func() ([]byte, error) {
		return o.objects.Get(ctx, key)
	})
}

func (o *delayedObjects) List(ctx context.Context, prefix string) ([]string, error) {
	return delayedRoundTrip(ctx, o.delay, storer.ErrUnavailable, storer.ErrUnavailable, func() ([]string, error) {
		return o.objects.List(ctx, prefix)
	})
}

// Service wraps s with the delay.
func (d Delay) Service(s connector.Service) connector.Service {
	return &delayedService{delay: d, service: s}
}

type delayedService struct {
	delay   Delay
	service connector.Service
}

func (s *delayedService) Call(ctx context.Context, op connector.Operation) (connector.Reply, error) {
	return delayedRoundTrip(ctx, s.delay, connector.ErrRefused, connector.ErrBroken, func() (connector.Reply, error) {
		return s.service.Call(ctx, op)
	})
}

// Revoke forwards to a fenced service. For any other service it returns
// connector.ErrRefused.
func (s *delayedService) Revoke(ctx context.Context, operation string) (bool, error) {
	return delayedRoundTrip(ctx, s.delay, connector.ErrRefused, connector.ErrBroken, func() (bool, error) {
		return revoke(ctx, s.service, operation)
	})
}

// Engine wraps e with the delay.
func (d Delay) Engine(e connector.Engine) connector.Engine {
	return &delayedEngine{delay: d, engine: e}
}

type delayedEngine struct {
	delay  Delay
	engine connector.Engine
}

func (e *delayedEngine) Report(ctx context.Context) (connector.Report, error) {
	return delayedRoundTrip(ctx, e.delay, connector.ErrRefused, connector.ErrBroken, func() (connector.Report, error) {
		return e.engine.Report(ctx)
	})
}

// ExportCache forwards to an engine that can export its cache. For any other
// engine it returns connector.ErrRefused.
func (e *delayedEngine) ExportCache(ctx context.Context, m connector.Model, prompt string) ([]byte, error) {
	return delayedRoundTrip(ctx, e.delay, connector.ErrRefused, connector.ErrBroken, func() ([]byte, error) {
		cache, err := promptCache(e.engine)
		if err != nil {
			return nil, err
		}
		return cache.ExportCache(ctx, m, prompt)
	})
}

// ImportCache forwards to an engine that can import a cache. For any other
// engine it returns connector.ErrRefused.
func (e *delayedEngine) ImportCache(ctx context.Context, state []byte) error {
	_, err := delayedRoundTrip(ctx, e.delay, connector.ErrRefused, connector.ErrBroken, func() (none, error) {
		cache, err := promptCache(e.engine)
		if err != nil {
			return none{}, err
		}
		return none{}, cache.ImportCache(ctx, state)
	})
	return err
}

func (e *delayedEngine) Order(ctx context.Context, order connector.Order) error {
	if deadlinePassed(order) {
		return fmt.Errorf("order deadline exceeded: %w", connector.ErrRefused)
	}
	return e.receiveOrder(ctx, order)
}

func (e *delayedEngine) receiveOrder(ctx context.Context, order connector.Order) error {
	_, err := delayedRoundTrip(ctx, e.delay, connector.ErrRefused, connector.ErrBroken, func() (none, error) {
		return none{}, forwardOrder(ctx, e.engine, order)
	})
	return err
}

func (e *delayedEngine) Generate(ctx context.Context, job connector.Job) (connector.Stream, error) {
	return delayedRoundTrip(ctx, e.delay, connector.ErrRefused, connector.ErrBroken, func() (connector.Stream, error) {
		return e.engine.Generate(ctx, job)
	})
}
