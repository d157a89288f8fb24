package emulator

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/storer"
)

var errCut = eris.New("the client is cut off")

// NetworkFault separates one client from the fakes that it wraps. Other clients of the
// same fakes are not affected.
type NetworkFault struct {
	mu      sync.Mutex
	mode    cutMode
	changed chan struct{}      // closed when the mode changes
	up      context.Context    // ends when the client is cut off
	sever   context.CancelFunc // ends up
}

type cutMode int

const (
	connected cutMode = iota
	refusing
	hanging
)

// NewNetworkFault returns a cut through which requests pass at first.
func NewNetworkFault() *NetworkFault {
	c := &NetworkFault{changed: make(chan struct{})}
	c.up, c.sever = context.WithCancel(context.Background())
	return c
}

// Refuse makes requests fail at once and breaks running streams.
func (c *NetworkFault) Refuse() { c.set(refusing) }

// Hang makes requests wait for the end of their context, or for the next change
// of the cut, and then fail. What was not delivered by then is never delivered.
// An engine does not hear that the client closes a stream.
func (c *NetworkFault) Hang() { c.set(hanging) }

// Restore lets requests pass again. Streams from before stay broken.
func (c *NetworkFault) Restore() { c.set(connected) }

func (c *NetworkFault) set(m cutMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m == c.mode {
		return
	}
	if c.mode == connected {
		c.sever()
	}
	if m == connected {
		c.up, c.sever = context.WithCancel(context.Background())
	}
	c.mode = m
	close(c.changed)
	c.changed = make(chan struct{})
}

// pass returns nil when the client is connected. The error is errCut, or the
// reason why ctx has ended; in hung tells whether the request seemed to be sent.
func (c *NetworkFault) pass(ctx context.Context) (hung bool, err error) {
	c.mu.Lock()
	mode, changed := c.mode, c.changed
	c.mu.Unlock()
	switch mode {
	case connected:
		return false, nil
	case refusing:
		return false, errCut
	case hanging:
	}
	select {
	case <-ctx.Done():
		return true, fmt.Errorf("%w: %w", errCut, ctx.Err())
	case <-changed:
		return true, errCut
	}
}

// connection returns a context that ends when the client is cut off.
func (c *NetworkFault) connection() context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.up
}

// exchange sends a request through the cut and returns its answer. Refused is
// the error for a request that was not sent, and lost for one whose fate the
// client does not know.
func exchange[T any](ctx context.Context, c *NetworkFault, refused, lost error, do func() (T, error)) (T, error) {
	var none T
	if hung, err := c.pass(ctx); err != nil {
		if hung {
			return none, fmt.Errorf("%w: %w", lost, err)
		}
		return none, fmt.Errorf("%w: %w", refused, err)
	}
	up := c.connection()
	answer, err := do()
	if up.Err() == nil {
		return answer, err
	}
	// The answer is lost; while the cut hangs, the client waits for it in vain.
	if _, err := c.pass(ctx); err != nil {
		return none, fmt.Errorf("%w: %w", lost, err)
	}
	return none, fmt.Errorf("%w: %w", lost, errCut)
}

// none is the answer of a request that returns only an error.
type none struct{}

// Table returns t as the client sees it.
func (c *NetworkFault) Table(t storer.Table) storer.Table { return &cutTable{cut: c, table: t} }

type cutTable struct {
	cut   *NetworkFault
	table storer.Table
}

func (t *cutTable) Get(ctx context.Context, key string) (storer.Row, error) {
	return exchange(ctx, t.cut, storer.ErrUnavailable, storer.ErrUnavailable, func() (storer.Row, error) {
		return t.table.Get(ctx, key)
	})
}

func (t *cutTable) Scan(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	return exchange(ctx, t.cut, storer.ErrUnavailable, storer.ErrUnavailable, func() ([]storer.Row, error) {
		return t.table.Scan(ctx, prefix, after, limit)
	})
}

func (t *cutTable) Commit(ctx context.Context, writes ...storer.Write) error {
	_, err := exchange(ctx, t.cut, storer.ErrUnavailable, storer.ErrUncertain, func() (none, error) {
		return none{}, t.table.Commit(ctx, writes...)
	})
	return err
}

// Objects returns o as the client sees it.
func (c *NetworkFault) Objects(o storer.Objects) storer.Objects {
	return &cutObjects{cut: c, objects: o}
}

type cutObjects struct {
	cut     *NetworkFault
	objects storer.Objects
}

func (o *cutObjects) Put(ctx context.Context, key string, body []byte) error {
	_, err := exchange(ctx, o.cut, storer.ErrUnavailable, storer.ErrUncertain, func() (none, error) {
		return none{}, o.objects.Put(ctx, key, body)
	})
	return err
}

func (o *cutObjects) Get(ctx context.Context, key string) ([]byte, error) {
	return exchange(ctx, o.cut, storer.ErrUnavailable, storer.ErrUnavailable, func() ([]byte, error) {
		return o.objects.Get(ctx, key)
	})
}

func (o *cutObjects) List(ctx context.Context, prefix string) ([]string, error) {
	return exchange(ctx, o.cut, storer.ErrUnavailable, storer.ErrUnavailable, func() ([]string, error) {
		return o.objects.List(ctx, prefix)
	})
}

// Hosts returns h as the client sees it.
func (c *NetworkFault) Hosts(h storer.Hosts) storer.Hosts { return &cutHosts{cut: c, hosts: h} }

type cutHosts struct {
	cut   *NetworkFault
	hosts storer.Hosts
}

func (h *cutHosts) List(ctx context.Context) ([]storer.Host, error) {
	return exchange(ctx, h.cut, storer.ErrUnavailable, storer.ErrUnavailable, func() ([]storer.Host, error) {
		return h.hosts.List(ctx)
	})
}

// Service returns s as the client sees it.
func (c *NetworkFault) Service(s connector.Service) connector.Service {
	return &cutService{cut: c, service: s}
}

type cutService struct {
	cut     *NetworkFault
	service connector.Service
}

func (s *cutService) Call(ctx context.Context, op connector.Operation) (connector.Reply, error) {
	return exchange(ctx, s.cut, connector.ErrRefused, connector.ErrBroken, func() (connector.Reply, error) {
		return s.service.Call(ctx, op)
	})
}

// Revoke reaches a fenced service; any other refuses.
func (s *cutService) Revoke(ctx context.Context, operation string) (bool, error) {
	return exchange(ctx, s.cut, connector.ErrRefused, connector.ErrBroken, func() (bool, error) {
		return revoke(ctx, s.service, operation)
	})
}

func revoke(ctx context.Context, s connector.Service, operation string) (bool, error) {
	fenced, ok := s.(connector.FencedService)
	if !ok {
		return false, fmt.Errorf("the service does not revoke operations: %w", connector.ErrRefused)
	}
	return fenced.Revoke(ctx, operation)
}

// Engine returns e as the client sees it.
func (c *NetworkFault) Engine(e connector.Engine) connector.Engine {
	return &cutEngine{cut: c, engine: e}
}

type cutEngine struct {
	cut    *NetworkFault
	engine connector.Engine
}

func (e *cutEngine) Report(ctx context.Context) (connector.Report, error) {
	return exchange(ctx, e.cut, connector.ErrRefused, connector.ErrBroken, func() (connector.Report, error) {
		return e.engine.Report(ctx)
	})
}

// ExportCache reaches an engine that exports its cache; any other refuses.
func (e *cutEngine) ExportCache(ctx context.Context, m connector.Model, prompt string) ([]byte, error) {
	return exchange(ctx, e.cut, connector.ErrRefused, connector.ErrBroken, func() ([]byte, error) {
		cache, err := promptCache(e.engine)
		if err != nil {
			return nil, err
		}
		return cache.ExportCache(ctx, m, prompt)
	})
}

// ImportCache reaches an engine that imports caches; any other refuses.
func (e *cutEngine) ImportCache(ctx context.Context, state []byte) error {
	_, err := exchange(ctx, e.cut, connector.ErrRefused, connector.ErrBroken, func() (none, error) {
		cache, err := promptCache(e.engine)
		if err != nil {
			return none{}, err
		}
		return none{}, cache.ImportCache(ctx, state)
	})
	return err
}

func promptCache(e connector.Engine) (connector.PromptCache, error) {
	cache, ok := e.(connector.PromptCache)
	if !ok {
		return nil, fmt.Errorf("the engine does not hand over its cache: %w", connector.ErrRefused)
	}
	return cache, nil
}

func (e *cutEngine) Order(ctx context.Context, order connector.Order) error {
	if pastDeadline(order) {
		return fmt.Errorf("deadline of the order has passed: %w", connector.ErrRefused)
	}
	return e.arrive(ctx, order)
}

func (e *cutEngine) arrive(ctx context.Context, order connector.Order) error {
	_, err := exchange(ctx, e.cut, connector.ErrRefused, connector.ErrBroken, func() (none, error) {
		return none{}, deliver(ctx, e.engine, order)
	})
	return err
}

// deliver hands an order over without checking its deadline again, because only
// its sender is bound by it.
func deliver(ctx context.Context, e connector.Engine, order connector.Order) error {
	if a, ok := e.(arriver); ok {
		return a.arrive(ctx, order)
	}
	return e.Order(ctx, order)
}

func (e *cutEngine) Generate(ctx context.Context, j connector.Job) (connector.Stream, error) {
	return exchange(ctx, e.cut, connector.ErrRefused, connector.ErrBroken, func() (connector.Stream, error) {
		s := &cutStream{cut: e.cut, up: e.cut.connection()}
		job, cancel := s.separate(ctx)
		inner, err := e.engine.Generate(job, j)
		if err != nil {
			cancel()
			return nil, err
		}
		s.stream = inner
		s.started.Store(true)
		return s, nil
	})
}

type cutStream struct {
	cut     *NetworkFault
	up      context.Context
	stream  connector.Stream
	started atomic.Bool
	stop    func() bool
	cancel  context.CancelFunc
}

// separate returns the context of the job at the engine. It ends with ctx unless
// the cut keeps the engine from hearing of that.
func (s *cutStream) separate(ctx context.Context) (context.Context, context.CancelFunc) {
	job, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s.cancel = cancel
	s.stop = context.AfterFunc(ctx, func() {
		if !s.started.Load() || s.cut.heard() {
			cancel()
		}
	})
	return job, cancel
}

func (s *cutStream) Next(ctx context.Context) (connector.Chunk, error) {
	both, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.up, cancel)()
	c, err := s.stream.Next(both)
	if s.up.Err() == nil {
		return c, err
	}
	if _, err := s.cut.pass(ctx); err != nil {
		return connector.Chunk{}, fmt.Errorf("%w: %w", connector.ErrBroken, err)
	}
	return connector.Chunk{}, fmt.Errorf("%w: %w", connector.ErrBroken, errCut)
}

func (s *cutStream) Close() error {
	s.stop()
	if !s.cut.heard() {
		return nil
	}
	defer s.cancel()
	if err := s.stream.Close(); err != nil {
		return fmt.Errorf("close stream: %w", err)
	}
	return nil
}

// heard reports whether an engine learns that the client has gone.
func (c *NetworkFault) heard() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mode != hanging
}
