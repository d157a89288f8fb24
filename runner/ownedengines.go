package runner

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/scheduler"
)

// Ownership is the right of the node to one engine.
type Ownership interface {
	scheduler.Lease
	// Engine returns the engine's name.
	Engine() string
	// Token returns the fencing token.
	Token() uint64
	// Previous returns the node that owned the engine before, or "".
	Previous() string
}

// ownedEngine is an engine that the node owns, or owned until its last request
// ends.
type ownedEngine struct {
	ownership Ownership
	endpoint  *bundler.EngineEndpoint
	scheduler *scheduler.Scheduler
	retired   atomic.Bool // its views are of no use any more
}

// owners runs one scheduler for each engine that the node owns. Requests find it
// by one atomic load; an engine that the node gives up leaves the map at once
// and its scheduler ends when its last request has.
type owners struct {
	start   newScheduler
	inUse   func(ctx context.Context, node, engine string, token uint64) ([]connector.Model, error)
	current atomic.Pointer[map[string]*ownedEngine]

	mu      sync.Mutex // serialises writers
	retired map[*ownedEngine]struct{}
	yielded map[string]uint64 // engines that a new owner has asked for, with its token
	closed  bool

	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
}

// newScheduler starts the scheduler of an engine. It publishes no view once
// retired is true.
type newScheduler func(own Ownership, e *bundler.EngineEndpoint, retired *atomic.Bool) *scheduler.Scheduler

func newOwners(
	start newScheduler,
	inUse func(ctx context.Context, node, engine string, token uint64) ([]connector.Model, error),
) *owners {
	ctx, cancel := context.WithCancel(context.Background())
	o := &owners{
		start:   start,
		inUse:   inUse,
		retired: map[*ownedEngine]struct{}{},
		yielded: map[string]uint64{},
		ctx:     ctx,
		cancel:  cancel,
	}
	o.current.Store(&map[string]*ownedEngine{})
	return o
}

// find returns the scheduler of an engine that the node owns.
func (o *owners) find(engine string) (*scheduler.Scheduler, error) {
	e, ok := (*o.current.Load())[engine]
	if !ok {
		return nil, classifier.NewUnavailable(fmt.Sprintf("the node does not own engine %q", engine), classifier.RetryAfter(retryWhenMoved))
	}
	return e.scheduler, nil
}

// retryWhenMoved is how long a caller should wait while an engine changes its
// owner and nodes learn of it.
const retryWhenMoved = time.Second

// reconcile makes the schedulers match what the node owns. An engine whose
// entry in the bundle changed gets a new scheduler.
func (o *owners) reconcile(owned []Ownership, bundle *bundler.Snapshot, leaving func(endpoint string) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	next := make(map[string]*ownedEngine, len(owned))
	old := *o.current.Load()
	for _, own := range owned {
		endpoint, ok := engineEndpoint(bundle, own.Engine())
		if !ok || o.yielded[own.Engine()] > own.Token() {
			continue
		}
		e := old[own.Engine()]
		if e == nil || e.ownership.Token() != own.Token() || e.endpoint.Address() != endpoint.Address() {
			e = &ownedEngine{ownership: own, endpoint: endpoint}
			e.scheduler = o.start(own, endpoint, &e.retired)
			o.settle(e)
		}
		e.scheduler.SetDraining(leaving(own.Engine()))
		next[own.Engine()] = e
	}
	o.current.Store(&next)
	for name, e := range old {
		if next[name] != e {
			o.retire(e)
		}
	}
}

func engineEndpoint(bundle *bundler.Snapshot, name string) (*bundler.EngineEndpoint, bool) {
	if bundle == nil {
		return nil, false
	}
	e, ok := bundle.Endpoint(name)
	if !ok {
		return nil, false
	}
	engine, ok := e.(*bundler.EngineEndpoint)
	return engine, ok
}

// retire ends a scheduler after its last request. The caller holds mu.
func (o *owners) retire(e *ownedEngine) {
	o.retired[e] = struct{}{}
	e.retired.Store(true)
	e.scheduler.SetDraining(true)
	o.work.Go(func() {
		// An error means that the node is closing; Close then ends the scheduler.
		_ = e.scheduler.Drain(o.ctx)
		e.scheduler.Close()
		o.mu.Lock()
		delete(o.retired, e)
		o.mu.Unlock()
	})
}

// settlePoll is the time between questions to the previous owner.
const settlePoll = 500 * time.Millisecond

// settle asks the previous owner what it still uses until the engine is
// settled. The scheduler also settles by the engine's reports, which covers a
// previous owner that is gone.
func (o *owners) settle(e *ownedEngine) {
	previous := e.ownership.Previous()
	if previous == "" {
		return
	}
	o.work.Go(func() {
		ticker := time.NewTicker(settlePoll)
		defer ticker.Stop()
		for {
			if inUse, err := o.inUse(o.ctx, previous, e.endpoint.Name(), e.ownership.Token()); err == nil {
				e.scheduler.SetPreviousOwnerPins(inUse...)
				if len(inUse) == 0 {
					return
				}
			}
			select {
			case <-ticker.C:
			case <-o.ctx.Done():
				return
			}
			if (*o.current.Load())[e.endpoint.Name()] != e {
				return
			}
		}
	})
}

// yield answers a new owner: the node takes no new work for the engine from now
// on, and the result lists what its requests still use. It refuses a token that
// is not above its own.
func (o *owners) yield(engine string, token uint64) ([]connector.Model, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if e, ok := (*o.current.Load())[engine]; ok {
		if e.ownership.Token() >= token {
			return nil, fmt.Errorf("engine %q is owned with token %d: %w", engine, e.ownership.Token(), connector.ErrFenced)
		}
		next := maps.Clone(*o.current.Load())
		delete(next, engine)
		o.current.Store(&next)
		o.retire(e)
	}
	o.yielded[engine] = max(o.yielded[engine], token)
	return o.retiredInUse(engine), nil
}

// yieldedInUse returns what requests of earlier ownerships of this node still
// use on an engine.
func (o *owners) yieldedInUse(engine string) []connector.Model {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.retiredInUse(engine)
}

// retiredInUse is called with mu held.
func (o *owners) retiredInUse(engine string) []connector.Model {
	var inUse []connector.Model
	for e := range o.retired {
		if e.endpoint.Name() == engine {
			inUse = append(inUse, e.scheduler.InUse()...)
		}
	}
	return inUse
}

// names returns the engines that the node owns.
func (o *owners) names() []string {
	var names []string
	for name := range *o.current.Load() {
		names = append(names, name)
	}
	return names
}

// drain gives every engine up and waits until no request of the node runs on
// one.
func (o *owners) drain(ctx context.Context) error {
	o.reconcile(nil, nil, nil)
	done := make(chan struct{})
	go func() {
		o.work.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for requests on engines: %w", ctx.Err())
	}
}

// close ends all schedulers and waits for them.
func (o *owners) close() {
	o.reconcile(nil, nil, nil)
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.cancel()
	o.work.Wait()
}
