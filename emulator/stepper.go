package emulator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/connector"
)

var errStreamClosed = eris.New("stream is closed")

// Generate starts a job. The end of ctx cancels it.
func (e *Engine) Generate(ctx context.Context, job connector.Job) (connector.Stream, error) {
	if err := e.link.deliver(ctx); err != nil {
		return nil, fmt.Errorf("send job: %w: %w", endpointSendError(err), err)
	}
	s, err := e.enqueue(job)
	if err != nil {
		return nil, err
	}
	if err := e.link.respondToWrite(ctx); err != nil {
		_ = s.Close()
		return nil, fmt.Errorf("wait for the response to the job: %w: %w", connector.ErrBroken, err)
	}
	stop := context.AfterFunc(ctx, func() { e.cancel(s, ctx.Err()) })
	s.onClose(stop)
	return s, nil
}

func (e *Engine) enqueue(job connector.Job) (*stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.check(); err != nil {
		return nil, err
	}
	if !e.resident[job.Model()] {
		return nil, fmt.Errorf("job for %s: %w", job.Model(), connector.ErrNotResident)
	}
	if err := e.checkRole(job); err != nil {
		return nil, err
	}
	s := &stream{engine: e, job: job, index: job.NextToken(), produced: job.NextToken(), wake: make(chan struct{}, 1)}
	if job.NextToken() >= job.MaxTokens() {
		s.finish(io.EOF)
		return s, nil
	}
	i, _ := slices.BinarySearchFunc(e.queued, s, func(queued, added *stream) int {
		if queued.job.Priority() >= added.job.Priority() {
			return -1
		}
		return 1
	})
	e.queued = slices.Insert(e.queued, i, s)
	e.admit()
	e.startSteps()
	return s, nil
}

// checkRole checks a job against the engine's role: a prefill engine produces
// only the first token, and a decode engine accepts only prompts whose whole
// state is in its cache.
func (e *Engine) checkRole(job connector.Job) error {
	switch e.role {
	case connector.RolePrefill:
		if job.MaxTokens()-job.NextToken() > 1 {
			return fmt.Errorf("prefill engine produces only one token per job: %w", connector.ErrRefused)
		}
	case connector.RoleDecode:
		hashes := connector.PrefixHashes(job.Model(), job.Prompt())
		if e.cache.match(hashes) < len(hashes) {
			return fmt.Errorf("decode engine does not have the state of the prompt: %w", connector.ErrRefused)
		}
	case connector.RoleBoth:
	}
	return nil
}

// startSteps starts the step loop if it does not run. The caller holds the
// mutex.
func (e *Engine) startSteps() {
	if e.stepping {
		return
	}
	e.stepping = true
	e.stepLoop.Go(e.loop)
}

// loop runs steps while there are jobs.
func (e *Engine) loop() {
	timer := time.NewTimer(e.settings.stepTime)
	defer timer.Stop()
	for {
		timer.Reset(e.settings.stepTime + e.link.slowBy())
		select {
		case <-timer.C:
		case <-e.stop:
		}
		if !e.step() {
			return
		}
	}
}

// step produces one token for each running job whose prefill is complete. It
// reports whether any job is still running.
func (e *Engine) step() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if delay, crash := e.findCrash(now); crash {
		e.counters.crashes++
		e.restart(delay)
	}
	tokens := 0
	for _, s := range e.running {
		if s.ready.After(now) {
			continue
		}
		if s.produced == s.job.NextToken() {
			e.cache.add(connector.PrefixHashes(s.job.Model(), s.job.Prompt()), now)
		}
		s.produce()
		tokens++
	}
	if tokens > 0 {
		e.counters.steps++
		e.counters.tokens += tokens
	}
	before := len(e.running)
	e.running = slices.DeleteFunc(e.running, (*stream).ended)
	e.cache.publishDue(now.Add(-e.lag))
	if len(e.running) != before || len(e.queued) > 0 {
		e.admit()
	}
	e.stepping = len(e.running) > 0
	return e.stepping
}

// findCrash looks for a job in its first step whose prompt triggers a crash,
// and returns the restart delay.
func (e *Engine) findCrash(now time.Time) (time.Duration, bool) {
	for _, s := range e.running {
		if s.ready.After(now) || s.produced > s.job.NextToken() {
			continue
		}
		for marker, delay := range e.crashDelays {
			if strings.Contains(s.job.Prompt(), marker) {
				return delay, true
			}
		}
	}
	return 0, false
}

// admit moves jobs from the queue into free batch slots. The caller holds the
// mutex.
func (e *Engine) admit() {
	for len(e.queued) > 0 && len(e.running) < e.settings.batch {
		s := e.queued[0]
		e.queued = slices.Delete(e.queued, 0, 1)
		hashes := connector.PrefixHashes(s.job.Model(), s.job.Prompt())
		missing := len(hashes) - e.cache.match(hashes)
		prefill := e.settings.prefill + time.Duration(missing)*e.settings.prefillBlock
		s.ready = time.Now().Add(prefill)
		e.running = append(e.running, s)
	}
	e.recordState()
}

// cancel ends a job and frees its batch slot.
func (e *Engine) cancel(s *stream, reason error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.err != nil {
		return
	}
	s.finish(reason)
	is := func(other *stream) bool { return other == s }
	e.running = slices.DeleteFunc(e.running, is)
	e.queued = slices.DeleteFunc(e.queued, is)
	e.admit()
}

// stream is the token stream of one job. It keeps the number of tokens produced
// instead of the tokens, so that a slow reader uses no memory. The fields after
// wake are guarded by the engine's mutex.
type stream struct {
	engine *Engine
	job    connector.Job
	index  int // next token for the reader
	wake   chan struct{}

	ready    time.Time // end of the prefill
	produced int       // index after the last available token
	err      error     // reason for the end; nil while tokens follow
	stop     func() bool
	once     sync.Once
}

func (s *stream) ended() bool { return s.err != nil }

// produce makes the next token available. The caller holds the engine's mutex.
func (s *stream) produce() {
	s.produced++
	if s.produced >= s.job.MaxTokens() {
		s.finish(io.EOF)
		return
	}
	s.signal()
}

// finish ends the stream with err. The caller holds the engine's mutex.
func (s *stream) finish(err error) {
	if s.err == nil {
		s.err = err
	}
	s.signal()
}

func (s *stream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *stream) onClose(stop func() bool) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.stop = stop
}

// Next waits for the next token.
func (s *stream) Next(ctx context.Context) (connector.Chunk, error) {
	for {
		c, ok, err := s.tryNext()
		if ok || err != nil {
			return c, err
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
			return connector.Chunk{}, fmt.Errorf("wait for token %d: %w", s.index, ctx.Err())
		}
	}
}

// tryNext returns the next token if it is available.
func (s *stream) tryNext() (connector.Chunk, bool, error) {
	available, err := s.state()
	if err != nil && !errors.Is(err, io.EOF) {
		return connector.Chunk{}, false, fmt.Errorf("token %d: %w", s.index, err)
	}
	if s.index >= available {
		return connector.Chunk{}, false, err
	}
	if other, ok := s.engine.crossed(s); ok {
		return chunk(other, other.NextToken()), true, nil
	}
	c := chunk(s.job, s.index)
	s.index++
	return c, true, nil
}

// chunk returns one token of a job.
func chunk(job connector.Job, index int) connector.Chunk {
	text := Token(job.Model(), job.Prompt(), job.Seed(), index)
	return connector.NewChunk(job.Attempt(), job.Model(), index, text, index == job.MaxTokens()-1)
}

// crossed returns another running job if Crossed affects the next token of s.
func (e *Engine) crossed(s *stream) (connector.Job, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, other := range e.running {
		if other != s {
			return other.job, e.link.crosses()
		}
	}
	return connector.Job{}, false
}

func (s *stream) state() (available int, err error) {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	return s.produced, s.err
}

// Close ends the job and frees its batch slot.
func (s *stream) Close() error {
	s.once.Do(func() {
		s.engine.cancel(s, errStreamClosed)
		s.engine.mu.Lock()
		stop := s.stop
		s.engine.mu.Unlock()
		if stop != nil {
			stop()
		}
	})
	return nil
}
