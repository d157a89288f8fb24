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

// Pipeline is the request pipeline that is measured.
type Pipeline = chainer.Filter[*receiver.Call, *responder.Answer]

// Instrument returns a pipeline that measures the answers of next: the time to the
// first token, the times between tokens and whether answers are complete.
func (r *Reporter) Instrument(next Pipeline) Pipeline {
	return chainer.Func[*receiver.Call, *responder.Answer](func(ctx context.Context, c *receiver.Call) (*responder.Answer, error) {
		started := time.Now()
		a, err := next.Apply(ctx, c)
		if err != nil {
			m, _ := recorder.From(ctx).Model()
			r.failed(ctx, m.Adapter(), err, time.Since(started))
			return nil, err
		}
		return r.watchAnswer(a, started), nil
	})
}

func (r *Reporter) watchAnswer(a *responder.Answer, started time.Time) *responder.Answer {
	switch b := a.Body().(type) {
	case *responder.TokenBody:
		s := &watched{Stream: b.Stream(), reporter: r, adapter: a.Model().Adapter(), started: started}
		return responder.NewAnswer(a.RequestID(), a.Model(), a.Epoch(), responder.NewTokenBody(s))
	case *responder.ReplyBody:
		// A service that answers with a server error has not done the work.
		r.ended(a.Model().Adapter(), within(b.Reply().Status() < http.StatusInternalServerError))
	}
	return a
}

// failed counts a request that ended without a token. The request of a caller
// that waited longer than a first token may take is bad in that respect, also if
// the caller went away.
func (r *Reporter) failed(ctx context.Context, adapter string, err error, waited time.Duration) {
	if adapter != "" {
		r.exceeded(bundler.MeasureFirstToken, adapter, waited)
	}
	r.broken(ctx, adapter, err)
}

func (r *Reporter) broken(ctx context.Context, adapter string, err error) {
	if blames(ctx, err) {
		r.ended(adapter, bad)
	}
}

// blames reports whether a failure counts against the system. Faults that lie in
// the call, callers that go away and requests that crash endpoints do not.
func blames(ctx context.Context, err error) bool {
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

// watched measures a stream. Like every stream it has one reader.
type watched struct {
	connector.Stream
	reporter *Reporter
	adapter  string
	started  time.Time
	tokens   bool // the first token has arrived
	over     bool // the end is counted
}

// Next passes a token on. The time between two tokens is the time that Next
// waits, so that a caller who reads slowly is not taken for a slow engine.
func (w *watched) Next(ctx context.Context) (connector.Chunk, error) {
	asked := time.Now()
	c, err := w.Stream.Next(ctx)
	switch {
	case errors.Is(err, io.EOF):
		w.end(func() { w.reporter.ended(w.adapter, good) })
	case err != nil:
		w.end(func() { w.fail(ctx, err) })
	case w.tokens:
		w.reporter.measure(bundler.MeasureTokenGap, w.adapter, time.Since(asked))
	default:
		w.tokens = true
		w.reporter.measure(bundler.MeasureFirstToken, w.adapter, time.Since(w.started))
	}
	if err == nil && c.Last() {
		w.end(func() { w.reporter.ended(w.adapter, good) })
	}
	return c, err
}

func (w *watched) fail(ctx context.Context, err error) {
	if w.tokens {
		w.reporter.broken(ctx, w.adapter, err)
		return
	}
	w.reporter.failed(ctx, w.adapter, err, time.Since(w.started))
}

// end counts the end of the stream once.
func (w *watched) end(count func()) {
	if !w.over {
		w.over = true
		count()
	}
}

// Close ends the stream. A caller that closes it before the end has gone away,
// which counts neither as good nor as bad.
func (w *watched) Close() error {
	w.end(func() {
		if !w.tokens {
			w.reporter.exceeded(bundler.MeasureFirstToken, w.adapter, time.Since(w.started))
		}
	})
	return w.Stream.Close()
}
