package retrier

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/dispatcher"
	"github.com/dragonflyford/dragonflyford/receiver"
)

// resuming continues a broken answer on another engine.
type resuming struct {
	run     *run
	current connector.Stream
	next    int
	limit   int
	ended   bool // the last token was passed on
}

func newResuming(r *run, s *dispatcher.Streaming, next int) *resuming {
	resumed := &resuming{run: r, current: s.Stream(), next: next}
	if t, ok := r.claimed.Target().(*receiver.GenerationTarget); ok {
		resumed.limit = t.MaxTokens()
	}
	return resumed
}

// Next returns the next chunk, from a new attempt if the current one broke off.
func (s *resuming) Next(ctx context.Context) (connector.Chunk, error) {
	for {
		chunk, err := s.current.Next(ctx)
		if err == nil {
			s.next = chunk.Index() + 1
			s.ended = chunk.Last()
			return chunk, nil
		}
		if s.complete() {
			return connector.Chunk{}, io.EOF
		}
		if errors.Is(err, io.EOF) {
			err = fmt.Errorf("the answer ends before token %d: %w", s.next, connector.ErrBroken)
		}
		if !s.run.again(ctx, err, true) {
			return connector.Chunk{}, err
		}
		if err := s.restart(ctx); err != nil {
			return connector.Chunk{}, err
		}
	}
}

// complete reports whether the caller has every token. A failure after that
// takes nothing from the answer.
func (s *resuming) complete() bool { return s.ended || s.next >= s.limit }

func (s *resuming) restart(ctx context.Context) error {
	_ = s.current.Close()
	result, err := s.run.start(ctx, s.next)
	if err != nil {
		return fmt.Errorf("resume the answer at token %d: %w", s.next, err)
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
