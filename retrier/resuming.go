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

// resumingStream is a stream that continues on another engine if it breaks off.
type resumingStream struct {
	series    *attemptSeries
	current   connector.Stream
	nextIndex int
	limit     int
	lastRead  bool // the last chunk was returned
}

func newResumingStream(series *attemptSeries, s *dispatcher.Streaming, next int) *resumingStream {
	resumed := &resumingStream{series: series, current: s.Stream(), nextIndex: next}
	if t, ok := series.claimed.Target().(*receiver.GenerationTarget); ok {
		resumed.limit = t.MaxTokens()
	}
	return resumed
}

// Next returns the next chunk. If the current attempt breaks off, Next starts
// another one at the first missing token.
func (s *resumingStream) Next(ctx context.Context) (connector.Chunk, error) {
	for {
		chunk, err := s.current.Next(ctx)
		if err == nil {
			s.nextIndex = chunk.Index() + 1
			s.lastRead = chunk.Last()
			return chunk, nil
		}
		if s.complete() {
			return connector.Chunk{}, io.EOF
		}
		if errors.Is(err, io.EOF) {
			err = fmt.Errorf("the answer ends before token %d: %w", s.nextIndex, connector.ErrBroken)
		}
		if !s.series.retry(ctx, err, true) {
			return connector.Chunk{}, err
		}
		if err := s.resume(ctx); err != nil {
			return connector.Chunk{}, err
		}
	}
}

// complete reports whether the caller has every token. A failure after that does
// not affect the answer.
func (s *resumingStream) complete() bool { return s.lastRead || s.nextIndex >= s.limit }

func (s *resumingStream) resume(ctx context.Context) error {
	_ = s.current.Close()
	result, err := s.series.start(ctx, s.nextIndex)
	if err != nil {
		return fmt.Errorf("resume the answer at token %d: %w", s.nextIndex, err)
	}
	streaming, ok := result.(*dispatcher.Streaming)
	if !ok {
		return classifier.NewUncertain("the resumed answer is not a stream")
	}
	s.current = streaming.Stream()
	return nil
}

// Close ends the current attempt.
func (s *resumingStream) Close() error { return s.current.Close() }
