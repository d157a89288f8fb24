package scheduler_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
)

// engine is a fake with configurable faults. It records its loads, its jobs and
// every violation of the rules for orders and jobs.
type engine struct {
	slots    int
	loadTime time.Duration

	mu           sync.Mutex
	instance     int
	resident     map[connector.Model]bool
	running      map[connector.Model]int
	previousJobs map[connector.Model]int // running jobs of a previous owner
	failLoads    map[connector.Model]bool
	reportsFail  bool
	loads        []string
	started      []string
	suspects     int
	violations   []string
}

func newEngine(slots int) *engine {
	return &engine{
		slots:        slots,
		loadTime:     250 * time.Millisecond,
		resident:     make(map[connector.Model]bool),
		running:      make(map[connector.Model]int),
		previousJobs: make(map[connector.Model]int),
		failLoads:    make(map[connector.Model]bool),
	}
}

func (e *engine) Generate(_ context.Context, job connector.Job) (connector.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.resident[job.Model()] {
		return nil, connector.ErrNotResident
	}
	e.running[job.Model()]++
	e.started = append(e.started, job.Request())
	if job.Suspect() {
		if e.suspects++; e.suspects > 1 {
			e.violations = append(e.violations, "two suspect jobs run together")
		}
	}
	return &stream{engine: e, job: job, instance: e.instance}, nil
}

func (e *engine) Order(ctx context.Context, order connector.Order) error {
	switch o := order.(type) {
	case connector.LoadAdapter:
		return e.load(ctx, o.Model())
	case connector.UnloadAdapter:
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.running[o.Model()]+e.previousJobs[o.Model()] > 0 {
			e.violations = append(e.violations, fmt.Sprintf("%s was evicted while in use", o.Model()))
		}
		delete(e.resident, o.Model())
		return nil
	default:
		return connector.ErrRefused
	}
}

func (e *engine) load(ctx context.Context, m connector.Model) error {
	e.mu.Lock()
	e.loads = append(e.loads, m.Adapter())
	e.mu.Unlock()
	select {
	case <-time.After(e.loadTime):
	case <-ctx.Done():
		return ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failLoads[m] {
		return errors.New("weight store refused the load")
	}
	if len(e.resident) >= e.slots {
		e.violations = append(e.violations, "no slot was free for a load")
		return connector.ErrRefused
	}
	e.resident[m] = true
	return nil
}

func (e *engine) Report(context.Context) (connector.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reportsFail {
		return connector.Report{}, connector.ErrBroken
	}
	var residents []connector.Model
	for m := range e.resident {
		residents = append(residents, m)
	}
	running := make(map[connector.Model]int)
	for m := range e.resident {
		running[m] = e.running[m] + e.previousJobs[m]
	}
	return connector.NewReport(strconv.Itoa(e.instance), 0, residents, running, 0, 8, nil), nil
}

func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.instance++
	clear(e.resident)
	clear(e.running)
	e.suspects = 0
}

// set calls change with the lock of the fake held.
func (e *engine) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

func (e *engine) loadOrders() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.loads)
}

func (e *engine) startedJobs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.started)
}

type stream struct {
	engine   *engine
	job      connector.Job
	instance int
	once     sync.Once
}

func (s *stream) Next(context.Context) (connector.Chunk, error) { return connector.Chunk{}, io.EOF }

func (s *stream) Close() error {
	s.once.Do(func() {
		e := s.engine
		e.mu.Lock()
		defer e.mu.Unlock()
		if s.instance != e.instance {
			return
		}
		e.running[s.job.Model()]--
		if s.job.Suspect() {
			e.suspects--
		}
	})
	return nil
}

// lease is a fake that can be lost and regained.
type lease struct {
	mu   sync.Mutex
	lost bool
}

func (l *lease) Fence() (connector.Fence, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost {
		return connector.Fence{}, errors.New("lease expired")
	}
	return connector.NewFence(1, time.Now().Add(time.Minute)), nil
}

func (l *lease) set(lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = lost
}

type unlimitedBudget struct{}

func (unlimitedBudget) Acquire(context.Context, func() int) (func(), error) { return func() {}, nil }

// crashes records the request ids of crashed jobs.
type crashes struct {
	mu   sync.Mutex
	jobs []string
}

func (c *crashes) Crashed(_ string, jobs []connector.Job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range jobs {
		c.jobs = append(c.jobs, j.Request())
	}
}

func (c *crashes) requests() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.jobs...)
}
