package reporter

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/chainer"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/recorder"
	"github.com/dragonflyford/dragonflyford/responder"
)

// Pipeline is the request pipeline that Instrument measures.
type Pipeline = chainer.Filter[*receiver.Call, *responder.Answer]

// Instrument returns a pipeline that measures the answers of next: the time to
// the first token, the time between tokens, and success.
func (r *Reporter) Instrument(next Pipeline) Pipeline {
	return chainer.Func[*receiver.Call, *responder.Answer](func(ctx context.Context, c *receiver.Call) (*responder.Answer, error) {
		started := time.Now()
		a, err := next.Apply(ctx, c)
		if err != nil {
			m, _ := recorder.From(ctx).Model()
			r.recordFailure(ctx, m.Adapter(), err, time.Since(started))
			return nil, err
		}
		return r.instrumentAnswer(a, started), nil
	})
}

func (r *Reporter) instrumentAnswer(a *responder.Answer, started time.Time) *responder.Answer {
	switch b := a.Body().(type) {
	case *responder.TokenBody:
		s := &measuredStream{Stream: b.Stream(), reporter: r, adapter: a.Model().Adapter(), started: started}
		return responder.NewAnswer(a.RequestID(), a.Model(), a.Epoch(), responder.NewTokenBody(s))
	case *responder.ReplyBody:
		// A server error means that the service did not process the call.
		r.recordEnd(a.Model().Adapter(), outcomeOf(b.Reply().Status() < http.StatusInternalServerError))
	}
	return a
}

// recordFailure counts a request that ended without a token. If it lasted longer
// than the threshold of the first token, it is bad for that level even if the
// caller disconnected.
func (r *Reporter) recordFailure(ctx context.Context, adapter string, err error, waited time.Duration) {
	if adapter != "" {
		r.recordUnfinishedWait(bundler.MeasureFirstToken, adapter, waited)
	}
	r.recordError(ctx, adapter, err)
}

// recordError counts a failed request as bad unless the failure is the caller's.
func (r *Reporter) recordError(ctx context.Context, adapter string, err error) {
	if countsAsBad(ctx, err) {
		r.recordEnd(adapter, bad)
	}
}

// countsAsBad reports whether a failure counts as a failure of the system.
// Invalid calls, callers that disconnect and requests that crash endpoints do
// not.
func countsAsBad(ctx context.Context, err error) bool {
	if errors.Is(ctx.Err(), context.Canceled) {
		return false
	}
	switch classifier.Of(err).(type) {
	case *classifier.Invalid, *classifier.TooLarge, *classifier.Unauthorized, *classifier.NotOffered,
		*classifier.KeyMissing, *classifier.KeyReused, *classifier.InProgress,
		*classifier.Canceled, *classifier.Stopped:
		return false
	default:
		return true
	}
}

// measuredStream measures a stream. Like all streams it is not safe for
// concurrent use.
type measuredStream struct {
	connector.Stream
	reporter       *Reporter
	adapter        string
	started        time.Time
	firstTokenSeen bool
	ended          bool // the end has been counted
}

// Next returns the next token of the stream. The time between two tokens is
// measured as the time that Next blocks, so that a slow reader does not look like
// a slow engine.
func (s *measuredStream) Next(ctx context.Context) (connector.Chunk, error) {
	waitStart := time.Now()
	c, err := s.Stream.Next(ctx)
	switch {
	case errors.Is(err, io.EOF):
		s.endOnce(func() { s.reporter.recordEnd(s.adapter, good) })
	case err != nil:
		s.endOnce(func() { s.recordFailure(ctx, err) })
	case s.firstTokenSeen:
		s.reporter.recordDuration(bundler.MeasureTokenGap, s.adapter, time.Since(waitStart))
	default:
		s.firstTokenSeen = true
		s.reporter.recordDuration(bundler.MeasureFirstToken, s.adapter, time.Since(s.started))
	}
	if err == nil && c.Last() {
		s.endOnce(func() { s.reporter.recordEnd(s.adapter, good) })
	}
	return c, err
}

func (s *measuredStream) recordFailure(ctx context.Context, err error) {
	if s.firstTokenSeen {
		s.reporter.recordError(ctx, s.adapter, err)
		return
	}
	s.reporter.recordFailure(ctx, s.adapter, err, time.Since(s.started))
}

// endOnce calls count when the stream ends for the first time.
func (s *measuredStream) endOnce(count func()) {
	if !s.ended {
		s.ended = true
		count()
	}
}

// Close closes the stream. If the caller closes it before its end, the request
// counts neither as a success nor as a failure.
func (s *measuredStream) Close() error {
	s.endOnce(func() {
		if !s.firstTokenSeen {
			s.reporter.recordUnfinishedWait(bundler.MeasureFirstToken, s.adapter, time.Since(s.started))
		}
	})
	return s.Stream.Close()
}
