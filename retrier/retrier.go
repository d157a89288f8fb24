package retrier

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/dragonflyford/dragonflyford/chainer"
	"github.com/dragonflyford/dragonflyford/claimer"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/dispatcher"
	"github.com/dragonflyford/dragonflyford/placer"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/verifier"
)

// Inner is the part of the pipeline that runs once per attempt: place, dispatch
// and verify.
type Inner = chainer.Filter[*placer.Attempt, *verifier.Verified]

// Settled is a request with the result that the caller gets.
type Settled struct {
	*claimer.Claimed
	result dispatcher.Result
}

// Result returns the result.
func (s *Settled) Result() dispatcher.Result { return s.result }

// Retrier runs the inner pipeline again when an attempt of idempotent work
// fails, on another endpoint and from the first token that is missing.
type Retrier struct {
	inner    Inner
	attempts int
}

// New returns a retrier that makes up to attempts attempts per request.
func New(inner Inner, attempts int) *Retrier {
	return &Retrier{inner: inner, attempts: attempts}
}

// Apply runs attempts until one has a result.
func (r *Retrier) Apply(ctx context.Context, c *claimer.Claimed) (*Settled, error) {
	run := &run{retrier: r, claimed: c}
	first := firstToken(c)
	result, err := run.start(ctx, first)
	if err != nil {
		return nil, claimer.Settle(ctx, c.Claim(), err)
	}
	if s, ok := result.(*dispatcher.Streaming); ok {
		resumed := &resuming{run: run, current: s.Stream(), next: first}
		result = dispatcher.NewStreaming(resumed, s.Model())
	}
	return &Settled{Claimed: c, result: result}, nil
}

// firstToken returns where the answer starts: callers that lost a connection
// ask for the rest only.
func firstToken(c *claimer.Claimed) int {
	if t, ok := c.Target().(*receiver.GenerationTarget); ok {
		return t.Next()
	}
	return 0
}

// run is the series of attempts of one request.
type run struct {
	retrier  *Retrier
	claimed  *claimer.Claimed
	made     int
	excluded []string
}

// start makes attempts until one has a result. The answer begins at the token
// with index next.
func (r *run) start(ctx context.Context, next int) (dispatcher.Result, error) {
	for {
		r.made++
		id := fmt.Sprintf("%s.%d", r.claimed.ID(), r.made)
		a := placer.NewAttempt(r.claimed, id, next, r.excluded)
		v, err := r.retrier.inner.Apply(ctx, a)
		if err == nil {
			r.exclude(v.Placed)
			return v.Result(), nil
		}
		if !r.mayRetry(ctx) {
			return nil, err
		}
	}
}

func (r *run) exclude(p *placer.Placed) {
	if on, ok := p.Choice().(*placer.OnEngine); ok {
		r.excluded = append(r.excluded, on.Engine().Name())
	}
}

func (r *run) mayRetry(ctx context.Context) bool {
	if _, free := r.claimed.Claim().(claimer.Free); !free {
		return false
	}
	return ctx.Err() == nil && r.made < r.retrier.attempts
}

// resuming continues a broken answer on another engine.
type resuming struct {
	run     *run
	current connector.Stream
	next    int
}

// Next returns the next chunk, from a new attempt if the current one broke.
func (s *resuming) Next(ctx context.Context) (connector.Chunk, error) {
	for {
		chunk, err := s.current.Next(ctx)
		if err == nil {
			s.next = chunk.Index() + 1
			return chunk, nil
		}
		if errors.Is(err, io.EOF) || !s.run.mayRetry(ctx) {
			return connector.Chunk{}, err
		}
		if err := s.restart(ctx); err != nil {
			return connector.Chunk{}, err
		}
	}
}

func (s *resuming) restart(ctx context.Context) error {
	_ = s.current.Close()
	result, err := s.run.start(ctx, s.next)
	if err != nil {
		return err
	}
	streaming, ok := result.(*dispatcher.Streaming)
	if !ok {
		return classifier.NewUncertain("the resumed answer is not a stream")
	}
	s.current = streaming.Stream()
	return nil
}

// Close ends the current attempt.
func (s *resuming) Close() error { return s.current.Close() }
