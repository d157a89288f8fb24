package scheduler

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/viewer"
)

// Lease proves that the node owns the engine.
type Lease interface {
	// Fence returns the proof that allows orders to the engine, or an error if the
	// node does not own it at present.
	Fence() (connector.Fence, error)
}

// Budget limits the loads of all nodes from the weight store.
type Budget interface {
	// Acquire waits for permission to start one load. Demand returns the number of
	// requests that wait for the load; it may be called at any time and takes no
	// lock. The returned function releases the permission.
	Acquire(ctx context.Context, demand func() int) (release func(), err error)
}

// Scheduler runs one engine: it loads and evicts adapters and starts jobs. All
// decisions are made under one mutex that is never held during a wait.
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

	crashes        CrashSink
	loadWaits      func(adapter string, d time.Duration)
	seed           uint64
	reportInterval time.Duration
	guard          time.Duration
	queueLimit     int
	overcommit     int

	ctx     context.Context // ends with Close
	cancel  context.CancelFunc
	work    sync.WaitGroup
	changed chan struct{} // wakes the publishing goroutine

	mu                sync.Mutex
	entries           map[connector.Model]*entry
	queue             []*waiter
	running           map[*waiter]struct{}
	suspects          int // running jobs that are suspect
	sequence          uint64
	rand              *rand.Rand
	instance          string
	broken            []brokenJob              // streams that broke, possibly by a crash that no report shows yet
	reportReceived    bool                     // at least one report was received
	failedReports     int                      // consecutive requests for a report that failed
	previousPinsKnown bool                     // previousPins is set
	previousPins      map[connector.Model]bool // models that the previous owner pins
	prefixes          *viewer.Prefixes
	draining          bool
	drainingSince     time.Time
	closed            bool
	idleWaiters       []chan struct{} // closed when no job runs
	models            map[connector.Model]viewer.Residency
	modelsStale       bool // models must be rebuilt
}

// New returns the scheduler of an engine and starts its report loop. Publish
// receives views from one goroutine at a time, never under a lock. The caller
// must call Close.
func New(name, owner string, slots, batch int, engine connector.Engine, lease Lease, budget Budget, asserts *asserter.Asserter, publish func(*viewer.View), opts ...Option) *Scheduler {
	s := &Scheduler{
		name:           name,
		owner:          owner,
		slots:          slots,
		batch:          batch,
		engine:         engine,
		lease:          lease,
		budget:         budget,
		asserts:        asserts,
		publish:        publish,
		reportInterval: defaultReportInterval,
		guard:          defaultGuard,
		queueLimit:     defaultQueueBatches * batch,
		overcommit:     max(1, batch/overcommitShare),
		changed:        make(chan struct{}, 1),
		entries:        make(map[connector.Model]*entry),
		running:        make(map[*waiter]struct{}),
		modelsStale:    true,
		loadWaits:      func(string, time.Duration) {},
	}
	for _, opt := range opts {
		opt(s)
	}
	s.rand = rand.New(rand.NewPCG(s.seed, 0))
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.publish(s.view())
	s.work.Add(2)
	go s.reportLoop()
	go s.publishLoop()
	return s
}

// Close refuses all waiting requests, cancels orders and waits for the scheduler's
// goroutines. It does not close running streams, which belong to their callers.
func (s *Scheduler) Close() {
	s.mu.Lock()
	s.closed = true
	s.refuseQueue(classifier.NewUnavailable("the node no longer runs the engine", classifier.RetryAfter(retryElsewhere)))
	s.mu.Unlock()
	s.cancel()
	s.work.Wait()
}

// retryElsewhere is how long a caller should wait when the engine accepts no work.
// By then the views of all nodes show it.
const retryElsewhere = time.Second

// Run starts a job when its adapter is resident and the batch has room. The
// adapter is not evicted before the returned stream is closed.
func (s *Scheduler) Run(ctx context.Context, job connector.Job) (connector.Stream, error) {
	w, err := s.enqueue(ctx, job)
	if err != nil {
		return nil, err
	}
	select {
	case err = <-w.granted:
	case <-ctx.Done():
		err = s.cancelWaiter(ctx, w)
	}
	if err != nil {
		return nil, err
	}
	s.loadWaits(job.Model().Adapter(), w.loadWait)
	return s.dispatch(ctx, w)
}

// dispatch sends a granted job to the engine.
func (s *Scheduler) dispatch(ctx context.Context, w *waiter) (connector.Stream, error) {
	s.checkNotDraining()
	if _, err := s.lease.Fence(); err != nil {
		s.release(w)
		return nil, classifier.NewUnavailable("the node does not own the engine", classifier.Cause(err))
	}
	stream, err := s.engine.Generate(ctx, w.job)
	if err != nil {
		s.startFailed(w, err)
		return nil, fmt.Errorf("start job on engine %q: %w", s.name, startError(err))
	}
	return &pinnedStream{
		Stream:   stream,
		release:  sync.OnceFunc(func() { s.release(w) }),
		onBroken: sync.OnceFunc(func() { s.recordBroken(w.job) }),
	}, nil
}

// pinnedStream is a stream that prevents the eviction of its adapter.
type pinnedStream struct {
	connector.Stream
	release  func()
	onBroken func()
}

// Next returns the next chunk. It records a stream that breaks, because the engine's
// report shows a crash only later.
func (p *pinnedStream) Next(ctx context.Context) (connector.Chunk, error) {
	chunk, err := p.Stream.Next(ctx)
	if errors.Is(err, connector.ErrBroken) {
		p.onBroken()
	}
	return chunk, err
}

// Close closes the stream and then unpins the adapter.
func (p *pinnedStream) Close() error {
	err := p.Stream.Close()
	p.release()
	return err
}

// InUse returns the adapter versions that jobs may use. A new owner requests them
// from the previous one.
func (s *Scheduler) InUse() []connector.Model {
	s.mu.Lock()
	defer s.mu.Unlock()
	var models []connector.Model
	for m, e := range s.entries {
		if e.running > 0 || e.possiblyInUse {
			models = append(models, m)
		}
	}
	return models
}

// SetDraining makes the engine refuse new work, or accept it again. Queued requests
// are refused, so that they go to another engine.
func (s *Scheduler) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if draining == s.draining {
		return
	}
	s.draining = draining
	s.drainingSince = time.Now()
	if draining {
		s.refuseQueue(engineDrainingError())
	}
	s.requestPublish()
}

// Drain refuses new work and waits until no job runs.
func (s *Scheduler) Drain(ctx context.Context) error {
	s.SetDraining(true)
	s.mu.Lock()
	if len(s.running) == 0 {
		s.mu.Unlock()
		return nil
	}
	idle := make(chan struct{})
	s.idleWaiters = append(s.idleWaiters, idle)
	s.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("drain engine %q: %w", s.name, ctx.Err())
	}
}

// drainGrace is the time after SetDraining within which requests that were admitted
// before may still start: the few seconds that promise P6 allows.
const drainGrace = 2 * time.Second

func (s *Scheduler) checkNotDraining() {
	s.mu.Lock()
	late := s.draining && time.Since(s.drainingSince) > drainGrace
	s.mu.Unlock()
	s.asserts.Check(asserter.NoWorkWhenLeaving, !late, "engine %s got a job while draining", s.name)
}
