package supplier

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/estimator"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/sleeper"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// EngineSpecs returns the specification of a service's engines, or nil.
type EngineSpecs func(service string) *router.EngineSpec

// Supplier manages the engines that this host owns: it loads models and reserves
// capacity for calls.
type Supplier struct {
	engines    Engines
	leases     Leases
	engineSpec EngineSpecs
	fleet      *tracker.Tracker
	log        *logger.Logger
	speeds     *estimator.Estimator
	loads      *estimator.Loads

	mu      sync.Mutex
	workers map[*tracker.Endpoint]*engineWorker
	running sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
}

// New returns a supplier. The caller must call Close.
func New(engines Engines, leases Leases, engineSpec EngineSpecs, fleet *tracker.Tracker, speeds *estimator.Estimator, loads *estimator.Loads, log *logger.Logger) *Supplier {
	ctx, cancel := context.WithCancel(context.Background())
	return &Supplier{
		engines: engines, leases: leases, engineSpec: engineSpec, fleet: fleet, speeds: speeds, loads: loads, log: log.Component("supplier"),
		workers: make(map[*tracker.Endpoint]*engineWorker), ctx: ctx, cancel: cancel,
	}
}

// Close cancels all orders and waits for the workers to stop.
func (s *Supplier) Close() {
	s.cancel()
	s.running.Wait()
}

// retryNotOwner is how long a caller waits before a retry when the owner of the
// engine is not available.
const retryNotOwner = 300 * time.Millisecond

const (
	// maxStartTime is how long a request waits for a lease that this process expects. It is
	// shorter than the timeout of the requesting host.
	maxStartTime  = 500 * time.Millisecond
	startInterval = 25 * time.Millisecond
)

// Reserve reserves capacity on an engine that this host owns. When many hosts start at once, they
// send requests to owners whose lease is not confirmed yet. Reserve waits for it; if it
// declined, calls for adapters that are not loaded would be refused.
func (s *Supplier) Reserve(ctx context.Context, req ReserveRequest) ReserveResponse {
	s.awaitLease(ctx, req.engine)
	e := s.fleet.Current().Endpoint(req.engine)
	if e == nil {
		return NewDeclined("engine is not known", retryNotOwner)
	}
	s.speeds.Learn(e.ID(), e.Service(), req.samples, time.Now())
	_, _, owns := s.leases.Lease(req.engine)
	// Scheduling a call needs no order: a host that is about to stop, or whose lease
	// has expired, still schedules calls for the models that the engine holds.
	if w := s.existingWorker(e); w != nil {
		if resp, ok := w.tryReserve(req); ok {
			return resp
		}
	}
	// A host that starts while the store is away has no lease. Without a calendar, all calls
	// for the models that the engine holds would be sent at once.
	if !owns && !s.leases.Named(req.engine) {
		return NotOwner{}
	}
	w := s.worker(e)
	pending := pendingRequest{req: req, reply: make(chan ReserveResponse, 1)}
	select {
	case w.requests <- pending:
	case <-ctx.Done():
		return NewDeclined("owner is busy", retryNotOwner)
	case <-s.ctx.Done():
		return NewDeclined("owner is stopping", retryNotOwner)
	}
	select {
	case resp := <-pending.reply:
		return resp
	case <-ctx.Done():
		return NewDeclined("owner did not answer in time", retryNotOwner)
	case <-s.ctx.Done():
		return NewDeclined("owner is stopping", retryNotOwner)
	}
}

// awaitLease waits for the lease on an engine if this process expects it.
func (s *Supplier) awaitLease(ctx context.Context, engine string) {
	ctx, cancel := context.WithTimeout(ctx, maxStartTime)
	defer cancel()
	for s.leases.Expects(engine) && sleeper.Sleep(ctx, startInterval) == nil {
	}
}

// Reconcile starts a worker for each new engine that this host owns, and stops the
// workers of engines that have left or were registered anew.
func (s *Supplier) Reconcile() {
	live := s.fleet.Current().All()
	s.mu.Lock()
	for e, w := range s.workers {
		if live[e.ID()] != e {
			w.cancel()
			delete(s.workers, e)
		}
	}
	s.mu.Unlock()
	for id, e := range live {
		if s.engineSpec(e.Service()) == nil {
			continue
		}
		if _, _, ok := s.leases.Lease(id); ok {
			s.worker(e)
		}
	}
}

// existingWorker returns the worker of an engine, or nil.
func (s *Supplier) existingWorker(e *tracker.Endpoint) *engineWorker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[e]
}

// worker returns the worker of an engine, which it starts if there is none.
func (s *Supplier) worker(e *tracker.Endpoint) *engineWorker {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.workers[e]
	if !ok {
		ctx, cancel := context.WithCancel(s.ctx)
		w = &engineWorker{supplier: s, endpoint: e, state: newEngineState(), recentUse: make(map[connector.Model]time.Time), requests: make(chan pendingRequest), cancel: cancel}
		s.workers[e] = w
		s.running.Go(func() { w.run(ctx) })
	}
	return w
}
