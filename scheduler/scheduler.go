package scheduler

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/viewer"
)

// Lease proves that the node owns the engine.
type Lease interface {
	// Fence returns the right to order the engine, or an error when the node does
	// not own it at this moment.
	Fence() (connector.Fence, error)
}

// Budget shares the weight store among all nodes.
type Budget interface {
	// Acquire waits for permission to start one load. The returned function gives
	// it back.
	Acquire(ctx context.Context) (release func(), err error)
}

// Scheduler runs one engine: it loads and evicts adapters and starts jobs.
type Scheduler struct {
	name    string
	owner   string
	slots   int
	batch   int
	engine  connector.Engine
	lease   Lease
	budget  Budget
	asserts *asserter.Asserter
	publish func(*viewer.View)

	mu      sync.Mutex
	entries map[connector.Model]*entry
	running int
	queued  int
}

// entry is the state of one adapter version in the engine.
type entry struct {
	pins     int           // requests that use or wait for the version
	ready    chan struct{} // closed when the load has ended
	err      error         // result of the load
	resident bool
	lastUse  time.Time
}

// New returns the scheduler of an engine. Publish receives a view after each
// change.
func New(name, owner string, slots, batch int, engine connector.Engine, lease Lease, budget Budget, asserts *asserter.Asserter, publish func(*viewer.View)) *Scheduler {
	s := &Scheduler{
		name:    name,
		owner:   owner,
		slots:   slots,
		batch:   batch,
		engine:  engine,
		lease:   lease,
		budget:  budget,
		asserts: asserts,
		publish: publish,
		entries: make(map[connector.Model]*entry),
	}
	s.publishView()
	return s
}

// Run starts a job when its adapter is resident. The adapter is not evicted
// before the returned stream is closed.
func (s *Scheduler) Run(ctx context.Context, job connector.Job) (connector.Stream, error) {
	if err := s.pin(ctx, job.Model()); err != nil {
		return nil, err
	}
	if _, err := s.lease.Fence(); err != nil {
		s.unpin(job.Model())
		return nil, classifier.NewUnavailable("the node does not own the engine", classifier.Cause(err))
	}
	stream, err := s.engine.Generate(ctx, job)
	if err != nil {
		s.unpin(job.Model())
		return nil, fmt.Errorf("start job on engine %q: %w", s.name, err)
	}
	s.addRunning(1)
	return &pinned{Stream: stream, release: sync.OnceFunc(func() {
		s.addRunning(-1)
		s.unpin(job.Model())
	})}, nil
}

// pinned is a stream that holds its adapter in the engine.
type pinned struct {
	connector.Stream
	release func()
}

// Close ends the job before the adapter loses its pin.
func (p *pinned) Close() error {
	err := p.Stream.Close()
	p.release()
	return err
}

// pin makes m resident and keeps it so. Requests that wait for the same adapter
// share one load.
func (s *Scheduler) pin(ctx context.Context, m connector.Model) error {
	s.mu.Lock()
	e, ok := s.entries[m]
	if !ok {
		e = &entry{ready: make(chan struct{})}
		s.entries[m] = e
		go s.load(context.WithoutCancel(ctx), m, e)
	}
	e.pins++
	e.lastUse = time.Now()
	s.queued++
	s.mu.Unlock()
	s.publishView()

	defer func() {
		s.mu.Lock()
		s.queued--
		s.mu.Unlock()
	}()
	select {
	case <-e.ready:
	case <-ctx.Done():
		s.unpin(m)
		return fmt.Errorf("wait for adapter %s: %w", m, ctx.Err())
	}
	if e.err != nil {
		s.unpin(m)
		return classifier.NewUnavailable(fmt.Sprintf("adapter %s could not be loaded", m), classifier.Cause(e.err))
	}
	return nil
}

func (s *Scheduler) unpin(m connector.Model) {
	s.mu.Lock()
	if e := s.entries[m]; e != nil {
		e.pins--
		e.lastUse = time.Now()
	}
	s.mu.Unlock()
	s.publishView()
}

func (s *Scheduler) addRunning(n int) {
	s.mu.Lock()
	s.running += n
	s.mu.Unlock()
	s.publishView()
}

// load frees a slot if it must and loads m.
func (s *Scheduler) load(ctx context.Context, m connector.Model, e *entry) {
	err := s.loadOnce(ctx, m)
	s.mu.Lock()
	e.err = err
	e.resident = err == nil
	if err != nil {
		delete(s.entries, m)
	}
	close(e.ready)
	s.mu.Unlock()
	s.publishView()
}

func (s *Scheduler) loadOnce(ctx context.Context, m connector.Model) error {
	if err := s.makeRoom(ctx); err != nil {
		return err
	}
	release, err := s.budget.Acquire(ctx)
	if err != nil {
		return fmt.Errorf("wait for the weight store: %w", err)
	}
	defer release()
	fence, err := s.lease.Fence()
	if err != nil {
		return fmt.Errorf("order load: %w", err)
	}
	if err := s.engine.Order(ctx, connector.NewLoadAdapter(fence, m)); err != nil {
		return fmt.Errorf("order load of %s: %w", m, err)
	}
	return nil
}

var errNoSlot = errors.New("every slot holds an adapter in use")

// makeRoom evicts the adapter that was unused for longest if all slots are
// taken.
func (s *Scheduler) makeRoom(ctx context.Context) error {
	victim, found, err := s.victim()
	if err != nil || !found {
		return err
	}
	fence, err := s.lease.Fence()
	if err != nil {
		return fmt.Errorf("order eviction: %w", err)
	}
	if err := s.engine.Order(ctx, connector.NewUnloadAdapter(fence, victim)); err != nil {
		return fmt.Errorf("order eviction of %s: %w", victim, err)
	}
	return nil
}

func (s *Scheduler) victim() (connector.Model, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.entries) <= s.slots {
		return connector.Model{}, false, nil
	}
	var (
		victim connector.Model
		oldest *entry
	)
	for m, e := range s.entries {
		if e.pins > 0 || !e.resident {
			continue
		}
		if oldest == nil || e.lastUse.Before(oldest.lastUse) {
			victim, oldest = m, e
		}
	}
	if oldest == nil {
		return connector.Model{}, false, errNoSlot
	}
	s.asserts.Check(asserter.NoEvictionInUse, oldest.pins == 0, "adapter %s has %d pins", victim, oldest.pins)
	delete(s.entries, victim)
	return victim, true, nil
}

func (s *Scheduler) publishView() {
	s.mu.Lock()
	models := make(map[connector.Model]viewer.Residency, len(s.entries))
	for m, e := range s.entries {
		models[m] = viewer.Loading
		if e.resident {
			models[m] = viewer.Resident
		}
	}
	v := viewer.NewView(s.name, s.owner, models, s.slots, s.batch, s.running, s.queued, time.Now(), true)
	s.mu.Unlock()
	s.publish(v)
}
