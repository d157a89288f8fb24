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

var errDisconnected = eris.New("client is disconnected by a simulated network fault")

// NetworkFault simulates a network fault between one client and the fakes that
// it wraps. Other clients of the same fakes are not affected.
type NetworkFault struct {
	mu         sync.Mutex
	mode       networkFaultMode
	changed    chan struct{}      // closed when the mode changes
	connCtx    context.Context    // done when the client is disconnected
	disconnect context.CancelFunc // cancels connCtx
}

type networkFaultMode int

const (
	connected networkFaultMode = iota
	refusing
	hanging
)

// NewNetworkFault returns a NetworkFault that lets requests pass.
func NewNetworkFault() *NetworkFault {
	f := &NetworkFault{changed: make(chan struct{})}
	f.connCtx, f.disconnect = context.WithCancel(context.Background())
	return f
}

// Refuse makes requests fail at once and breaks running streams.
func (f *NetworkFault) Refuse() { f.set(refusing) }

// Hang makes requests block until their context ends or the mode changes, and
// then fail. Data that was not delivered by then is lost. An engine is not
// notified when the client closes a stream.
func (f *NetworkFault) Hang() { f.set(hanging) }

// Restore lets requests pass again. Streams that were broken stay broken.
func (f *NetworkFault) Restore() { f.set(connected) }

func (f *NetworkFault) set(m networkFaultMode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m == f.mode {
		return
	}
	if f.mode == connected {
		f.disconnect()
	}
	if m == connected {
		f.connCtx, f.disconnect = context.WithCancel(context.Background())
	}
	f.mode = m
	close(f.changed)
	f.changed = make(chan struct{})
}

// pass returns nil if the client is connected, else an error that wraps
// errDisconnected. hung reports whether the request hung first, so that the
// client must assume that it was sent.
func (f *NetworkFault) pass(ctx context.Context) (hung bool, err error) {
	f.mu.Lock()
	mode, changed := f.mode, f.changed
	f.mu.Unlock()
	switch mode {
	case connected:
		return false, nil
	case refusing:
		return false, errDisconnected
	case hanging:
	}
	select {
	case <-ctx.Done():
		return true, fmt.Errorf("%w: %w", errDisconnected, ctx.Err())
	case <-changed:
		return true, errDisconnected
	}
}

// connection returns a context that ends when the client is disconnected.
func (f *NetworkFault) connection() context.Context {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.connCtx
}

// roundTrip sends a request and returns its response. The error wraps refused
// if the request was not sent, and lost if the client cannot know whether it
// was carried out.
func roundTrip[T any](ctx context.Context, f *NetworkFault, refused, lost error, do func() (T, error)) (T, error) {
	var none T
	if hung, err := f.pass(ctx); err != nil {
		if hung {
			return none, fmt.Errorf("%w: %w", lost, err)
		}
		return none, fmt.Errorf("%w: %w", refused, err)
	}
	connCtx := f.connection()
	answer, err := do()
	if connCtx.Err() == nil {
		return answer, err
	}
	// The response is lost. In hanging mode the client waits for it until its
	// context ends.
	if _, err := f.pass(ctx); err != nil {
		return none, fmt.Errorf("%w: %w", lost, err)
	}
	return none, fmt.Errorf("%w: %w", lost, errDisconnected)
}

// none is the response type of requests that return only an error.
type none struct{}

// Table wraps t for the client.
func (f *NetworkFault) Table(t storer.Table) storer.Table {
	return &disconnectableTable{fault: f, table: t}
}

type disconnectableTable struct {
	fault *NetworkFault
	table storer.Table
}

func (t *disconnectableTable) Get(ctx context.Context, key string) (storer.Row, error) {
	return roundTrip(ctx, t.fault, storer.ErrUnavailable, storer.ErrUnavailable, func() (storer.Row, error) {
		return t.table.Get(ctx, key)
	})
}

func (t *disconnectableTable) Scan(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	return roundTrip(ctx, t.fault, storer.ErrUnavailable, storer.ErrUnavailable, func() ([]storer.Row, error) {
		return t.table.Scan(ctx, prefix, after, limit)
	})
}

func (t *disconnectableTable) Commit(ctx context.Context, writes ...storer.Write) error {
	_, err := roundTrip(ctx, t.fault, storer.ErrUnavailable, storer.ErrUncertain, func() (none, error) {
		return none{}, t.table.Commit(ctx, writes...)
	})
	return err
}

// Objects wraps o for the client.
func (f *NetworkFault) Objects(o storer.Objects) storer.Objects {
	return &disconnectableObjects{fault: f, objects: o}
}

type disconnectableObjects struct {
	fault   *NetworkFault
	objects storer.Objects
}

func (o *disconnectableObjects) Put(ctx context.Context, key string, body []byte) error {
	_, err := roundTrip(ctx, o.fault, storer.ErrUnavailable, storer.ErrUncertain, func() (none, error) {
		return none{}, o.objects.Put(ctx, key, body)
	})
	return err
}

func (o *disconnectableObjects) Get(ctx context.Context, key string) ([]byte, error) {
	return roundTrip(ctx, o.fault, storer.ErrUnavailable, storer.ErrUnavailable, func() ([]byte, error) {
		return o.objects.Get(ctx, key)
	})
}

func (o *disconnectableObjects) List(ctx context.Context, prefix string) ([]string, error) {
	return roundTrip(ctx, o.fault, storer.ErrUnavailable, storer.ErrUnavailable, func() ([]string, error) {
		return o.objects.List(ctx, prefix)
	})
}

// Hosts wraps h for the client.
func (f *NetworkFault) Hosts(h storer.Hosts) storer.Hosts {
	return &disconnectableHosts{fault: f, hosts: h}
}

type disconnectableHosts struct {
	fault *NetworkFault
	hosts storer.Hosts
}

func (h *disconnectableHosts) List(ctx context.Context) ([]storer.Host, error) {
	return roundTrip(ctx, h.fault, storer.ErrUnavailable, storer.ErrUnavailable, func() ([]storer.Host, error) {
		return h.hosts.List(ctx)
	})
}

// Service wraps s for the client.
func (f *NetworkFault) Service(s connector.Service) connector.Service {
	return &disconnectableService{fault: f, service: s}
}

type disconnectableService struct {
	fault   *NetworkFault
	service connector.Service
}

func (s *disconnectableService) Call(ctx context.Context, op connector.Operation) (connector.Reply, error) {
	return roundTrip(ctx, s.fault, connector.ErrRefused, connector.ErrBroken, func() (connector.Reply, error) {
		return s.service.Call(ctx, op)
	})
}

// Revoke forwards to a fenced service. For any other service it returns
// connector.ErrRefused.
func (s *disconnectableService) Revoke(ctx context.Context, operation string) (bool, error) {
	return roundTrip(ctx, s.fault, connector.ErrRefused, connector.ErrBroken, func() (bool, error) {
		return revoke(ctx, s.service, operation)
	})
}

func revoke(ctx context.Context, s connector.Service, operation string) (bool, error) {
	fenced, ok := s.(connector.FencedService)
	if !ok {
		return false, fmt.Errorf("service does not support revocation: %w", connector.ErrRefused)
	}
	return fenced.Revoke(ctx, operation)
}

// Engine wraps e for the client.
func (f *NetworkFault) Engine(e connector.Engine) connector.Engine {
	return &disconnectableEngine{fault: f, engine: e}
}

type disconnectableEngine struct {
	fault  *NetworkFault
	engine connector.Engine
}

func (e *disconnectableEngine) Report(ctx context.Context) (connector.Report, error) {
	return roundTrip(ctx, e.fault, connector.ErrRefused, connector.ErrBroken, func() (connector.Report, error) {
		return e.engine.Report(ctx)
	})
}

// ExportCache forwards to an engine that can export its cache. For any other
// engine it returns connector.ErrRefused.
func (e *disconnectableEngine) ExportCache(ctx context.Context, m connector.Model, prompt string) ([]byte, error) {
	return roundTrip(ctx, e.fault, connector.ErrRefused, connector.ErrBroken, func() ([]byte, error) {
		cache, err := promptCache(e.engine)
		if err != nil {
			return nil, err
		}
		return cache.ExportCache(ctx, m, prompt)
	})
}

// ImportCache forwards to an engine that can import a cache. For any other
// engine it returns connector.ErrRefused.
func (e *disconnectableEngine) ImportCache(ctx context.Context, state []byte) error {
	_, err := roundTrip(ctx, e.fault, connector.ErrRefused, connector.ErrBroken, func() (none, error) {
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
		return nil, fmt.Errorf("engine does not support cache export and import: %w", connector.ErrRefused)
	}
	return cache, nil
}

func (e *disconnectableEngine) Order(ctx context.Context, order connector.Order) error {
	if deadlinePassed(order) {
		return fmt.Errorf("order deadline exceeded: %w", connector.ErrRefused)
	}
	return e.receiveOrder(ctx, order)
}

func (e *disconnectableEngine) receiveOrder(ctx context.Context, order connector.Order) error {
	_, err := roundTrip(ctx, e.fault, connector.ErrRefused, connector.ErrBroken, func() (none, error) {
		return none{}, forwardOrder(ctx, e.engine, order)
	})
	return err
}

// forwardOrder sends an order without checking its deadline again: the deadline
// limits when the order may be sent, not when it arrives.
func forwardOrder(ctx context.Context, e connector.Engine, order connector.Order) error {
	if a, ok := e.(orderReceiver); ok {
		return a.receiveOrder(ctx, order)
	}
	return e.Order(ctx, order)
}

func (e *disconnectableEngine) Generate(ctx context.Context, j connector.Job) (connector.Stream, error) {
	return roundTrip(ctx, e.fault, connector.ErrRefused, connector.ErrBroken, func() (connector.Stream, error) {
		s := &disconnectableStream{fault: e.fault, connCtx: e.fault.connection()}
		job, cancel := s.jobContext(ctx)
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

type disconnectableStream struct {
	fault   *NetworkFault
	connCtx context.Context
	stream  connector.Stream
	started atomic.Bool
	stop    func() bool
	cancel  context.CancelFunc
}

// jobContext returns the context of the job at the engine. It is canceled with
// ctx, except that in hanging mode the cancellation does not reach a stream
// that has started.
func (s *disconnectableStream) jobContext(ctx context.Context) (context.Context, context.CancelFunc) {
	job, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s.cancel = cancel
	s.stop = context.AfterFunc(ctx, func() {
		if !s.started.Load() || s.fault.deliversClose() {
			cancel()
		}
	})
	return job, cancel
}

func (s *disconnectableStream) Next(ctx context.Context) (connector.Chunk, error) {
	both, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.connCtx, cancel)()
	c, err := s.stream.Next(both)
	if s.connCtx.Err() == nil {
		return c, err
	}
	if _, err := s.fault.pass(ctx); err != nil {
		return connector.Chunk{}, fmt.Errorf("%w: %w", connector.ErrBroken, err)
	}
	return connector.Chunk{}, fmt.Errorf("%w: %w", connector.ErrBroken, errDisconnected)
}

func (s *disconnectableStream) Close() error {
	s.stop()
	if !s.fault.deliversClose() {
		return nil
	}
	defer s.cancel()
	if err := s.stream.Close(); err != nil {
		return fmt.Errorf("close stream: %w", err)
	}
	return nil
}

// deliversClose reports whether an engine is notified that the client has
// closed a stream or canceled a job.
func (f *NetworkFault) deliversClose() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mode != hanging
}
