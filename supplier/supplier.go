package supplier

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// Settings returns the description of a service's engines, or nil.
type Settings func(service string) *router.EngineSpec

// Supplier gives orders to the engines that this host owns.
type Supplier struct {
	engines  Engines
	rights   Leases
	settings Settings
	fleet    *tracker.Tracker
	log      *logger.Logger
	pace     pace

	mu      sync.Mutex
	keepers map[*tracker.Endpoint]*keeper
	running sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
}

// New returns a supplier. Close ends it.
func New(engines Engines, rights Leases, settings Settings, fleet *tracker.Tracker, log *logger.Logger) *Supplier {
	ctx, cancel := context.WithCancel(context.Background())
	return &Supplier{
		engines: engines, rights: rights, settings: settings, fleet: fleet, log: log.Component("supplier"),
		keepers: make(map[*tracker.Endpoint]*keeper), ctx: ctx, cancel: cancel,
	}
}

// Close ends all orders.
func (s *Supplier) Close() {
	s.cancel()
	s.running.Wait()
}

// retryUnowned is when a host may ask for the owner again.
const retryUnowned = 300 * time.Millisecond

// Reserve answers a request for a place on an engine that this host owns.
func (s *Supplier) Reserve(ctx context.Context, w ReserveRequest) ReserveResponse {
	e := s.fleet.Current().Endpoint(w.engine)
	if e == nil {
		return NewDeclined("engine is not known", retryUnowned)
	}
	_, _, owns := s.rights.Lease(w.engine)
	// A turn is no order: an owner that is about to stop, or whose lease ran out,
	// still plans the calls for what the engine holds.
	if k := s.known(e); k != nil {
		if supply, ok := k.grant(w); ok {
			return supply
		}
	}
	if !owns {
		return NotOwner{}
	}
	k := s.keeper(e)
	ask := asked{want: w, reply: make(chan ReserveResponse, 1)}
	select {
	case k.asks <- ask:
	case <-ctx.Done():
		return NewDeclined("owner is busy", retryUnowned)
	case <-s.ctx.Done():
		return NewDeclined("owner is stopping", retryUnowned)
	}
	select {
	case answer := <-ask.reply:
		return answer
	case <-ctx.Done():
		return NewDeclined("owner did not answer in time", retryUnowned)
	case <-s.ctx.Done():
		return NewDeclined("owner is stopping", retryUnowned)
	}
}

// Reconcile looks after the engines that this host owns: it starts to look after new
// ones and stops for those that left or changed hands.
func (s *Supplier) Reconcile() {
	live := s.fleet.Current().All()
	s.mu.Lock()
	for e, k := range s.keepers {
		if live[e.ID()] != e {
			k.cancel()
			delete(s.keepers, e)
		}
	}
	s.mu.Unlock()
	for id, e := range live {
		if s.settings(e.Service()) == nil {
			continue
		}
		if _, _, ok := s.rights.Lease(id); ok {
			s.keeper(e)
		}
	}
}

func (s *Supplier) known(e *tracker.Endpoint) *keeper {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keepers[e]
}

func (s *Supplier) keeper(e *tracker.Endpoint) *keeper {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.keepers[e]
	if !ok {
		ctx, cancel := context.WithCancel(s.ctx)
		k = &keeper{supplier: s, endpoint: e, stock: newStock(), used: make(map[connector.Model]time.Time), asks: make(chan asked), cancel: cancel}
		s.keepers[e] = k
		s.running.Go(func() { k.run(ctx) })
	}
	return k
}
