package trial_test

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyford/dragonflyford/connector"
)

// Simulated times of an engine.
const (
	prefillTime = 80 * time.Millisecond
	stepTime    = 20 * time.Millisecond
)

// engine is a simulated model engine whose jobs run concurrently. It integrates the
// number of running jobs over time, from which the batch efficiency follows.
type engine struct {
	mu         sync.Mutex
	resident   map[connector.Model]time.Time // time of the load
	running    int
	lastChange time.Time
	busyTime   time.Duration // time with at least one job
	jobTime    time.Duration // running time summed over all jobs
	loads      int
	evictions  int
}

func newEngine() *engine {
	return &engine{resident: make(map[connector.Model]time.Time), lastChange: time.Now()}
}

func (e *engine) integrate(delta int) {
	now := time.Now()
	d := now.Sub(e.lastChange)
	if e.running > 0 {
		e.busyTime += d
	}
	e.jobTime += time.Duration(e.running) * d
	e.lastChange = now
	e.running += delta
}

func (e *engine) Generate(_ context.Context, job connector.Job) (connector.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.resident[job.Model()]; !ok {
		return nil, connector.ErrNotResident
	}
	e.integrate(1)
	return &stream{engine: e, job: job}, nil
}

// loadJitter returns a small addition to the load time that differs between
// adapters. Loads that start together then end at different instants, so the order
// in which the runtime wakes their goroutines does not affect the result.
func loadJitter(m connector.Model) time.Duration {
	return time.Duration(xxhash.Sum64String(m.Adapter()) % uint64(100*time.Microsecond))
}

// loadedAt returns when a resident adapter was loaded.
func (e *engine) loadedAt(m connector.Model) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resident[m]
}

func (e *engine) Order(_ context.Context, order connector.Order) error {
	switch o := order.(type) {
	case connector.LoadAdapter:
		time.Sleep(loadTime + loadJitter(o.Model()))
		e.mu.Lock()
		defer e.mu.Unlock()
		if len(e.resident) >= slots {
			return connector.ErrRefused
		}
		e.resident[o.Model()] = time.Now()
		e.loads++
		return nil
	case connector.UnloadAdapter:
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.resident, o.Model())
		e.evictions++
		return nil
	default:
		return connector.ErrRefused
	}
}

func (e *engine) Report(context.Context) (connector.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var residents []connector.Model
	for m := range e.resident {
		residents = append(residents, m)
	}
	return connector.NewReport("1", 0, residents, nil, 0, batch, nil), nil
}

// stream is the token stream of one job. Its first chunk represents the first token
// and its second chunk all others.
type stream struct {
	engine *engine
	job    connector.Job
	sent   int
	once   sync.Once
}

func (s *stream) Next(context.Context) (connector.Chunk, error) {
	switch s.sent++; s.sent {
	case 1:
		time.Sleep(prefillTime + stepTime)
	case 2:
		time.Sleep(time.Duration(s.job.MaxTokens()-1) * stepTime)
	default:
		return connector.Chunk{}, io.EOF
	}
	return connector.NewChunk(s.job.Attempt(), s.job.Model(), s.sent-1, "", s.sent == 2), nil
}

func (s *stream) Close() error {
	s.once.Do(func() {
		s.engine.mu.Lock()
		defer s.engine.mu.Unlock()
		s.engine.integrate(-1)
	})
	return nil
}
