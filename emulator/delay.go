package emulator

import (
	"context"
	"fmt"
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/sleeper"
	"github.com/dragonflyford/dragonflyford/storer"
)

// Delay adds a one-way latency to each request and to each answer of the fakes
// that it wraps, such as that of a link between regions. A request whose caller
// gives up on the way is lost, which the caller cannot know.
type Delay struct {
	oneWay time.Duration
}

// NewDelay returns a delay of oneWay in each direction.
func NewDelay(oneWay time.Duration) Delay { return Delay{oneWay: oneWay} }

// travel sends a request over the link and returns its answer. Lost is the error
// for a caller that gives up after the request was sent.
func travel[T any](ctx context.Context, d Delay, refused, lost error, do func() (T, error)) (T, error) {
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

// Table returns t behind the link.
func (d Delay) Table(t storer.Table) storer.Table { return &delayedTable{delay: d, table: t} }

type delayedTable struct {
	delay Delay
	table storer.Table
}

func (t *delayedTable) Get(ctx context.Context, key string) (storer.Row, error) {
	return travel(ctx, t.delay, storer.ErrUnavailable, storer.ErrUnavailable, func() (storer.Row, error) {
		return t.table.Get(ctx, key)
	})
}

func (t *delayedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	return travel(ctx, t.delay, storer.ErrUnavailable, storer.ErrUnavailable, func() ([]storer.Row, error) {
		return t.table.Scan(ctx, prefix, after, limit)
	})
}

func (t *delayedTable) Commit(ctx context.Context, writes ...storer.Write) error {
	_, err := travel(ctx, t.delay, storer.ErrUnavailable, storer.ErrUncertain, func() (none, error) {
		return none{}, t.table.Commit(ctx, writes...)
	})
	return err
}

// Objects returns o behind the link.
func (d Delay) Objects(o storer.Objects) storer.Objects {
	return &delayedObjects{delay: d, objects: o}
}

type delayedObjects struct {
	delay   Delay
	objects storer.Objects
}

func (o *delayedObjects) Put(ctx context.Context, key string, body []byte) error {
	_, err := travel(ctx, o.delay, storer.ErrUnavailable, storer.ErrUncertain, func() (none, error) {
		return none{}, o.objects.Put(ctx, key, body)
	})
	return err
}

func (o *delayedObjects) Get(ctx context.Context, key string) ([]byte, error) {
	return travel(ctx, o.delay, storer.ErrUnavailable, storer.ErrUnavailable, func() ([]byte, error) {
		return o.objects.Get(ctx, key)
	})
}

func (o *delayedObjects) List(ctx context.Context, prefix string) ([]string, error) {
	return travel(ctx, o.delay, storer.ErrUnavailable, storer.ErrUnavailable, func() ([]string, error) {
		return o.objects.List(ctx, prefix)
	})
}

// Service returns s behind the link.
func (d Delay) Service(s connector.Service) connector.Service {
	return &delayedService{delay: d, service: s}
}

type delayedService struct {
	delay   Delay
	service connector.Service
}

func (s *delayedService) Call(ctx context.Context, op connector.Operation) (connector.Reply, error) {
	return travel(ctx, s.delay, connector.ErrRefused, connector.ErrBroken, func() (connector.Reply, error) {
		return s.service.Call(ctx, op)
	})
}

// Revoke reaches a fenced service; any other refuses.
func (s *delayedService) Revoke(ctx context.Context, operation string) (bool, error) {
	return travel(ctx, s.delay, connector.ErrRefused, connector.ErrBroken, func() (bool, error) {
		return revoke(ctx, s.service, operation)
	})
}

// Engine returns e behind the link.
func (d Delay) Engine(e connector.Engine) connector.Engine {
	return &delayedEngine{delay: d, engine: e}
}

type delayedEngine struct {
	delay  Delay
	engine connector.Engine
}

func (e *delayedEngine) Report(ctx context.Context) (connector.Report, error) {
	return travel(ctx, e.delay, connector.ErrRefused, connector.ErrBroken, func() (connector.Report, error) {
		return e.engine.Report(ctx)
	})
}

// ExportCache reaches an engine that exports its cache; any other refuses.
func (e *delayedEngine) ExportCache(ctx context.Context, m connector.Model, prompt string) ([]byte, error) {
	return travel(ctx, e.delay, connector.ErrRefused, connector.ErrBroken, func() ([]byte, error) {
		cache, err := promptCache(e.engine)
		if err != nil {
			return nil, err
		}
		return cache.ExportCache(ctx, m, prompt)
	})
}

// ImportCache reaches an engine that imports caches; any other refuses.
func (e *delayedEngine) ImportCache(ctx context.Context, state []byte) error {
	_, err := travel(ctx, e.delay, connector.ErrRefused, connector.ErrBroken, func() (none, error) {
		cache, err := promptCache(e.engine)
		if err != nil {
			return none{}, err
		}
		return none{}, cache.ImportCache(ctx, state)
	})
	return err
}

func (e *delayedEngine) Order(ctx context.Context, order connector.Order) error {
	if pastDeadline(order) {
		return fmt.Errorf("deadline of the order has passed: %w", connector.ErrRefused)
	}
	return e.arrive(ctx, order)
}

func (e *delayedEngine) arrive(ctx context.Context, order connector.Order) error {
	_, err := travel(ctx, e.delay, connector.ErrRefused, connector.ErrBroken, func() (none, error) {
		return none{}, deliver(ctx, e.engine, order)
	})
	return err
}

func (e *delayedEngine) Generate(ctx context.Context, job connector.Job) (connector.Stream, error) {
	return travel(ctx, e.delay, connector.ErrRefused, connector.ErrBroken, func() (connector.Stream, error) {
		return e.engine.Generate(ctx, job)
	})
}
