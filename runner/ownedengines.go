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

// Ownership is the node's lease of one engine.
type Ownership interface {
	scheduler.Lease
	// Engine returns the engine's name.
	Engine() string
	// Token returns the fencing token.
	Token() uint64
	// Previous returns the name of the node that owned the engine before, or "".
	Previous() string
}

// ownedEngine is an engine that the node owns, or one that it no longer owns but
// on which it still has running requests.
type ownedEngine struct {
	ownership Ownership
	endpoint  *bundler.EngineEndpoint
	scheduler *scheduler.Scheduler
	retired   atomic.Bool // the scheduler must not publish views any more
}

// ownedEngines runs one scheduler for each engine that the node owns. Requests
// look it up with one atomic load. An engine that the node releases is removed from
// the map immediately, and its scheduler closes after its last request.
type ownedEngines struct {
	start               newScheduler
	releaseFromPrevious func(ctx context.Context, node, engine string, token uint64) ([]connector.Model, error)
	current             atomic.Pointer[map[string]*ownedEngine] // by name

	mu             sync.Mutex                // serialises writers of current; guards the fields below
	retired        map[*ownedEngine]struct{} // engines whose last requests are still running
	releasedTokens map[string]uint64         // highest token of a new owner that requested a release, by engine
	closed         bool

	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
}

// newScheduler starts the scheduler of an engine. It publishes no view once
// retired is true.
type newScheduler func(own Ownership, e *bundler.EngineEndpoint, retired *atomic.Bool) *scheduler.Scheduler

func newOwnedEngines(
	start newScheduler,
	releaseFromPrevious func(ctx context.Context, node, engine string, token uint64) ([]connector.Model, error),
) *ownedEngines {
	ctx, cancel := context.WithCancel(context.Background())
	o := &ownedEngines{
		start:               start,
		releaseFromPrevious: releaseFromPrevious,
		retired:             map[*ownedEngine]struct{}{},
		releasedTokens:      map[string]uint64{},
		ctx:                 ctx,
		cancel:              cancel,
	}
	o.current.Store(&map[string]*ownedEngine{})
	return o
}

// find returns the scheduler of an engine that the node owns.
func (o *ownedEngines) find(engine string) (*scheduler.Scheduler, error) {
	e, ok := (*o.current.Load())[engine]
	if !ok {
		return nil, classifier.NewUnavailable(fmt.Sprintf("the node does not own engine %q", engine), classifier.RetryAfter(ownerChangeRetryAfter))
	}
	return e.scheduler, nil
}

// ownerChangeRetryAfter is the retry delay for callers while an engine changes its
// owner and the change reaches all nodes.
const ownerChangeRetryAfter = time.Second

// reconcile starts and retires schedulers to match the engines that the node owns.
// An engine with a new token or a new address gets a new scheduler.
func (o *ownedEngines) reconcile(owned []Ownership, bundle *bundler.Snapshot, draining func(endpoint string) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	next := make(map[string]*ownedEngine, len(owned))
	old := *o.current.Load()
	for _, own := range owned {
		endpoint, ok := engineEndpoint(bundle, own.Engine())
		if !ok || o.releasedTokens[own.Engine()] > own.Token() {
			continue
		}
		e := old[own.Engine()]
		if e == nil || e.ownership.Token() != own.Token() || e.endpoint.Address() != endpoint.Address() {
			e = &ownedEngine{ownership: own, endpoint: endpoint}
			e.scheduler = o.start(own, endpoint, &e.retired)
			o.pollPreviousOwner(e)
		}
		e.scheduler.SetDraining(draining(own.Engine()))
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

// retire closes a scheduler after its last request. The caller must hold mu.
func (o *ownedEngines) retire(e *ownedEngine) {
	o.retired[e] = struct{}{}
	e.retired.Store(true)
	e.scheduler.SetDraining(true)
	o.work.Go(func() {
		// Drain fails only if the node is closing; Close then stops the scheduler.
		_ = e.scheduler.Drain(o.ctx)
		e.scheduler.Close()
		o.mu.Lock()
		delete(o.retired, e)
		o.mu.Unlock()
	})
}

// previousOwnerPollInterval is the interval of the requests to the previous owner
// of an engine.
const previousOwnerPollInterval = 500 * time.Millisecond

// pollPreviousOwner requests the models that the previous owner of an engine still
// uses and pins them in the scheduler, until none is left. The scheduler also
// derives this from the engine's reports, in case the previous owner does not
// respond any more.
func (o *ownedEngines) pollPreviousOwner(e *ownedEngine) {
	previous := e.ownership.Previous()
	if previous == "" {
		return
	}
	o.work.Go(func() {
		ticker := time.NewTicker(previousOwnerPollInterval)
		defer ticker.Stop()
		for {
			if inUse, err := o.releaseFromPrevious(o.ctx, previous, e.endpoint.Name(), e.ownership.Token()); err == nil {
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

// release hands an engine over to a new owner. The node starts no new jobs on the
// engine, and the result lists the models that its running requests still use.
// release returns an error if the token is not higher than the node's own.
func (o *ownedEngines) release(engine string, token uint64) ([]connector.Model, error) {
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
	o.releasedTokens[engine] = max(o.releasedTokens[engine], token)
	return o.modelsInUseLocked(engine), nil
}

// modelsInUse returns the models that requests from earlier ownerships of this
// node still use on an engine.
func (o *ownedEngines) modelsInUse(engine string) []connector.Model {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.modelsInUseLocked(engine)
}

// modelsInUseLocked is modelsInUse for callers that hold mu.
func (o *ownedEngines) modelsInUseLocked(engine string) []connector.Model {
	var inUse []connector.Model
	for e := range o.retired {
		if e.endpoint.Name() == engine {
			inUse = append(inUse, e.scheduler.InUse()...)
		}
	}
	return inUse
}

// names returns the names of the engines that the node owns.
func (o *ownedEngines) names() []string {
	var names []string
	for name := range *o.current.Load() {
		names = append(names, name)
	}
	return names
}

// drain releases all engines and waits until no request runs on them.
func (o *ownedEngines) drain(ctx context.Context) error {
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

// close stops all schedulers and waits for them.
func (o *ownedEngines) close() {
	o.reconcile(nil, nil, nil)
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.cancel()
	o.work.Wait()
}
