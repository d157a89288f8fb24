package emulator

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyford/dragonflyford/connector"
)

// Engine is a fake of a model engine. Its tokens depend only on the adapter
// version, the prompt, the seed and the index, so that any engine continues an
// answer in the same way.
type Engine struct {
	slots     int
	batch     int
	tokenTime time.Duration
	loadTime  time.Duration

	mu       sync.Mutex
	resident map[connector.Model]bool
	running  map[connector.Model]int
}

// NewEngine returns an engine with empty slots.
func NewEngine(slots, batch int, tokenTime, loadTime time.Duration) *Engine {
	return &Engine{
		slots:     slots,
		batch:     batch,
		tokenTime: tokenTime,
		loadTime:  loadTime,
		resident:  make(map[connector.Model]bool),
		running:   make(map[connector.Model]int),
	}
}

// Token returns the text of one token.
func Token(m connector.Model, prompt string, seed uint64, index int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d\x00%d", m, prompt, seed, index))
	return fmt.Sprintf("%s-%04x ", m.Adapter(), h&0xffff)
}

// Generate starts a job.
func (e *Engine) Generate(_ context.Context, job connector.Job) (connector.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.resident[job.Model()] {
		return nil, connector.ErrNotResident
	}
	e.running[job.Model()]++
	return &tokens{engine: e, job: job, index: job.Next()}, nil
}

// Order carries out an order.
func (e *Engine) Order(ctx context.Context, order connector.Order) error {
	switch o := order.(type) {
	case connector.LoadAdapter:
		return e.load(ctx, o.Model())
	case connector.UnloadAdapter:
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.resident, o.Model())
		return nil
	default:
		return connector.ErrRefused
	}
}

func (e *Engine) load(ctx context.Context, m connector.Model) error {
	select {
	case <-time.After(e.loadTime):
	case <-ctx.Done():
		return fmt.Errorf("load %s: %w", m, ctx.Err())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.resident) >= e.slots {
		return fmt.Errorf("all %d slots are taken: %w", e.slots, connector.ErrRefused)
	}
	e.resident[m] = true
	return nil
}

// Report returns the engine's state.
func (e *Engine) Report(context.Context) (connector.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var resident []connector.Model
	for m := range e.resident {
		resident = append(resident, m)
	}
	running := make(map[connector.Model]int, len(e.running))
	for m, n := range e.running {
		if n > 0 {
			running[m] = n
		}
	}
	return connector.NewReport("1", 0, resident, running, 0, e.batch, nil), nil
}

// tokens is the stream of one job.
type tokens struct {
	engine *Engine
	job    connector.Job
	index  int
	once   sync.Once
}

// Next waits for the next token.
func (t *tokens) Next(ctx context.Context) (connector.Chunk, error) {
	if t.index >= t.job.MaxTokens() {
		return connector.Chunk{}, io.EOF
	}
	select {
	case <-time.After(t.engine.tokenTime):
	case <-ctx.Done():
		return connector.Chunk{}, fmt.Errorf("wait for token %d: %w", t.index, ctx.Err())
	}
	text := Token(t.job.Model(), t.job.Prompt(), t.job.Seed(), t.index)
	last := t.index == t.job.MaxTokens()-1
	c := connector.NewChunk(t.job.Attempt(), t.job.Model(), t.index, text, last)
	t.index++
	return c, nil
}

// Close ends the job.
func (t *tokens) Close() error {
	t.once.Do(func() {
		t.engine.mu.Lock()
		t.engine.running[t.job.Model()]--
		t.engine.mu.Unlock()
	})
	return nil
}
