package transporter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// ErrSilent reports a request that was given up because no byte of its response arrived in
// time. Errors that wrap it also wrap ErrNoAnswer or ErrNotSent.
var ErrSilent = eris.New("no byte of the response arrived in time")

// Silence bounds how long a request waits for bytes of its response. A bound on the whole
// request would end the transfer of a large response over a narrow link, too.
type Silence struct {
	first time.Duration
	next  time.Duration
}

// NewSilence returns bounds on the time until the first byte of the response and on the time
// between two reads of the rest.
func NewSilence(first, next time.Duration) Silence { return Silence{first: first, next: next} }

// silenceWatch gives a request up when its response is silent for too long.
type silenceWatch struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	next   time.Duration
}

// watchSilence returns a watch whose context ends when the response is silent for too long.
// OnSilence is called then, too.
func watchSilence(ctx context.Context, s Silence, onSilence func()) *silenceWatch {
	w := &silenceWatch{next: s.next}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	w.timer = time.AfterFunc(s.first, func() {
		w.cancel(ErrSilent)
		onSilence()
	})
	return w
}

// progress records that bytes have arrived.
func (w *silenceWatch) progress() {
	if w.timer.Stop() {
		w.timer.Reset(w.next)
	}
}

func (w *silenceWatch) stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// explain adds ErrSilent to an error that the end of the watch has caused.
func (w *silenceWatch) explain(err error) error {
	if errors.Is(context.Cause(w.ctx), ErrSilent) {
		return fmt.Errorf("%w: %w", ErrSilent, err)
	}
	return err
}

// watchedBody is the body of a response that is watched.
type watchedBody struct {
	io.ReadCloser
	watch *silenceWatch
}

func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.watch.progress()
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return n, b.watch.explain(err)
	}
	return n, err
}

func (b *watchedBody) Close() error {
	err := b.ReadCloser.Close()
	b.watch.stop()
	return err
}
