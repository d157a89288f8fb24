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
	// Fence returns the right to order the engine, or an error when the node does
	// not own it at this moment.
	Fence() (connector.Fence, error)
}

// Budget shares the weight store among all nodes.
type Budget interface {
	// Acquire waits for permission to start one load. Demand returns how many
	// requests wait for the load; it may be called at any time and takes no lock.
	// The returned function gives the permission back.
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

	crashes     CrashSink
	stalls      func(adapter string, d time.Duration)
	seed        uint64
	reportEvery time.Duration
	guard       time.Duration
	queueLimit  int
	allowance   int

	ctx     context.Context // ends with Close
	cancel  context.CancelFunc
	work    sync.WaitGroup
	changed chan struct{} // wakes the publishing goroutine

	mu           sync.Mutex
	entries      map[connector.Model]*entry
	queue        []*waiter
	running      map[*waiter]struct{}
	suspects     int // running jobs that are suspect
	sequence     uint64
	rand         *rand.Rand
	instance     string
	broken       []brokenJob // may have ended with a crash that is not reported yet
	reported     bool        // a report has arrived
	failedInARow int         // reports
	vouched      bool        // the previous owner has said what it uses
	held         map[connector.Model]bool
	prefixes     *viewer.Prefixes
	leaving      bool
	leavingSince time.Time
	closed       bool
	idle         []chan struct{} // closed when nothing runs
	models       map[connector.Model]viewer.Residency
	stale        bool // models must be rebuilt
}

// New returns the scheduler of an engine and starts its report loop. Publish
// receives views from one goroutine at a time, never under a lock. The caller
// must call Close.
func New(name, owner string, slots, batch int, engine connector.Engine, lease Lease, budget Budget, asserts *asserter.Asserter, publish func(*viewer.View), opts ...Option) *Scheduler {
	s := &Scheduler{
		name:        name,
		owner:       owner,
		slots:       slots,
		batch:       batch,
		engine:      engine,
		lease:       lease,
		budget:      budget,
		asserts:     asserts,
		publish:     publish,
		reportEvery: defaultReportEvery,
		guard:       defaultGuard,
		queueLimit:  defaultQueueBatches * batch,
		allowance:   max(1, batch/allowanceShare),
		changed:     make(chan struct{}, 1),
		entries:     make(map[connector.Model]*entry),
		running:     make(map[*waiter]struct{}),
		stale:       true,
		stalls:      func(string, time.Duration) {},
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

// Close refuses all waiting requests, cancels orders and waits for the
// scheduler's goroutines. Streams that run belong to their callers.
func (s *Scheduler) Close() {
	s.mu.Lock()
	s.closed = true
	s.refuseQueue(classifier.NewUnavailable("the node no longer runs the engine", classifier.RetryAfter(retryElsewhere)))
	s.mu.Unlock()
	s.cancel()
	s.work.Wait()
}

// retryElsewhere is how long a caller should wait when the engine takes no work:
// by then the views of all nodes show it.
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
		err = s.abandon(ctx, w)
	}
	if err != nil {
		return nil, err
	}
	s.stalls(job.Model().Adapter(), w.stall)
	return s.dispatch(ctx, w)
}

// dispatch sends a granted job to the engine.
func (s *Scheduler) dispatch(ctx context.Context, w *waiter) (connector.Stream, error) {
	s.checkNotLeaving()
	if _, err := s.lease.Fence(); err != nil {
		s.release(w)
		return nil, classifier.NewUnavailable("the node does not own the engine", classifier.Cause(err))
	}
	stream, err := s.engine.Generate(ctx, w.job)
	if err != nil {
		s.notStarted(w, err)
		return nil, fmt.Errorf("start job on engine %q: %w", s.name, startFault(err))
	}
	return &pinned{
		Stream:  stream,
		release: sync.OnceFunc(func() { s.release(w) }),
		broke:   sync.OnceFunc(func() { s.noteBroken(w.job) }),
	}, nil
}

// pinned is a stream that holds its adapter in the engine.
type pinned struct {
	connector.Stream
	release func()
	broke   func()
}

// Next returns the next chunk and notes a stream that breaks, because a crash
// of the engine shows in its report only later.
func (p *pinned) Next(ctx context.Context) (connector.Chunk, error) {
	chunk, err := p.Stream.Next(ctx)
	if errors.Is(err, connector.ErrBroken) {
		p.broke()
	}
	return chunk, err
}

// Close ends the job before the adapter loses its pin.
func (p *pinned) Close() error {
	err := p.Stream.Close()
	p.release()
	return err
}

// InUse returns the adapter versions that jobs of this owner may use. A new
// owner asks for them.
func (s *Scheduler) InUse() []connector.Model {
	s.mu.Lock()
	defer s.mu.Unlock()
	var models []connector.Model
	for m, e := range s.entries {
		if e.running > 0 || e.unsettled {
			models = append(models, m)
		}
	}
	return models
}

// SetDraining makes the engine refuse new work, or accept it again. Requests that
// wait are refused and go elsewhere.
func (s *Scheduler) SetDraining(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if leaving == s.leaving {
		return
	}
	s.leaving = leaving
	s.leavingSince = time.Now()
	if leaving {
		s.refuseQueue(leavingFault())
	}
	s.touch()
}

// Drain refuses new work and waits until nothing runs.
func (s *Scheduler) Drain(ctx context.Context) error {
	s.SetDraining(true)
	s.mu.Lock()
	if len(s.running) == 0 {
		s.mu.Unlock()
		return nil
	}
	idle := make(chan struct{})
	s.idle = append(s.idle, idle)
	s.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("drain engine %q: %w", s.name, ctx.Err())
	}
}

// leavingGrace is the few seconds of promise P6.
const leavingGrace = 2 * time.Second

func (s *Scheduler) checkNotLeaving() {
	s.mu.Lock()
	late := s.leaving && time.Since(s.leavingSince) > leavingGrace
	s.mu.Unlock()
	s.asserts.Check(asserter.NoWorkWhenLeaving, !late, "engine %s gets a job while it leaves", s.name)
}
