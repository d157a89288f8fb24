package trial_test

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyford/dragonflyford/connector"
)

// Times of an engine.
const (
	prefillTime = 80 * time.Millisecond
	stepTime    = 20 * time.Millisecond
)

// engine is a model engine whose jobs run side by side. It integrates how full
// its batch is.
type engine struct {
	mu        sync.Mutex
	resident  map[connector.Model]time.Time // since when
	running   int
	changed   time.Time
	busy      time.Duration // with at least one job
	jobTime   time.Duration // summed over jobs
	loads     int
	evictions int
}

func newEngine() *engine {
	return &engine{resident: make(map[connector.Model]time.Time), changed: time.Now()}
}

func (e *engine) integrate(change int) {
	now := time.Now()
	d := now.Sub(e.changed)
	if e.running > 0 {
		e.busy += d
	}
	e.jobTime += time.Duration(e.running) * d
	e.changed = now
	e.running += change
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

// spread is a small part of a load's time that differs between adapters. Two
// loads that start together then do not end together, and the order in which
// the runtime wakes them does not matter.
func spread(m connector.Model) time.Duration {
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
		time.Sleep(loadTime + spread(o.Model()))
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

// stream is one job. Its first chunk stands for the first token and its second
// for all others.
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
