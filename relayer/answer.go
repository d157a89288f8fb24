package relayer

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// Answer is an endpoint's response to a call. Its body must be closed.
type Answer struct {
	status    int
	header    http.Header
	length    int64
	body      io.ReadCloser
	endpoint  string
	sends     int
	streaming bool
	buffered  bool
	deadline  time.Time
}

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.status }

// Header returns the endpoint's header fields.
func (a *Answer) Header() http.Header { return a.header }

// Length returns the length of the body in bytes, or -1 if it is not known.
func (a *Answer) Length() int64 { return a.length }

// Body returns the body. Reading it ends with io.EOF only if the response is
// complete.
func (a *Answer) Body() io.ReadCloser { return a.body }

// Endpoint returns the id of the endpoint that answered first.
func (a *Answer) Endpoint() string { return a.endpoint }

// Sends returns how many times the call was sent.
func (a *Answer) Sends() int { return a.sends }

// Buffered reports whether the whole body is in memory, so that no endpoint has to wait for
// the caller to read it.
func (a *Answer) Buffered() bool { return a.buffered }

// Deadline returns when the call ends. A body that is not buffered must be closed by then,
// also if the caller does not read it.
func (a *Answer) Deadline() time.Time { return a.deadline }

// Streaming reports whether the body is a stream, whose data must be flushed to the
// caller as it arrives.
func (a *Answer) Streaming() bool { return a.streaming }

func newAnswer(a *exchanger.Answer, body io.ReadCloser, endpoint string, sends int, streaming bool) *Answer {
	return &Answer{
		status: a.Status(), header: a.Header(), length: a.Length(), body: body,
		endpoint: endpoint, sends: sends, streaming: streaming, buffered: a.Buffered(),
	}
}

// releasingBody is a response body that releases the resources of its call when it
// is closed.
type releasingBody struct {
	io.ReadCloser
	release func()
}

func (b releasingBody) Close() error {
	err := b.ReadCloser.Close()
	b.release()
	return err
}

// stallThreshold is the time without data after which a stream that the caller
// cancels counts as a failure of the endpoint. Callers cancel a stalled stream after
// two seconds or more.
const stallThreshold = 1500 * time.Millisecond

// passedBody is a body that is passed on while it arrives and is no stream. It records the
// loss if the body is truncated.
type passedBody struct {
	io.ReadCloser
	call     *callState
	endpoint *tracker.Endpoint
	lost     bool
}

func (b *passedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || errors.Is(err, io.EOF) || b.lost || b.call.ctx.Err() != nil {
		return n, err
	}
	b.lost = true
	b.call.logEvent("answer-lost", b.endpoint, logger.Err(err), lossReason(err))
	b.call.recordLoss(b.endpoint, err, false)
	return n, err
}

// monitoredBody is the body of a stream that cannot be resumed. It fails if the stream ends
// inside an event or an event exceeds the maximum size. It records the loss if the stream
// is truncated, and a failure of the endpoint if it is closed while the stream is stalled.
type monitoredBody struct {
	io.ReadCloser
	*pace
	scanner    eventScanner
	mayBeEmpty bool
	ended      bool // completely
	lost       bool
}

func (b *monitoredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.addPiece()
		b.scan(p[:n])
	}
	switch {
	case err == nil && !b.lost && b.scanner.size > maxEvent:
		err = errEventTooLong
	case err == nil || b.ended || b.lost:
		return n, err
	case errors.Is(err, io.EOF) && b.scanner.complete(b.mayBeEmpty):
		b.ended = true
		b.end()
		return n, err
	case errors.Is(err, io.EOF):
		err = errPartialEvent
	}
	b.lost = true
	b.broken(err)
	return n, err
}

func (b *monitoredBody) scan(data []byte) {
	before := b.scanner.events
	b.scanner.scan(data)
	if before == 0 && b.scanner.events > 0 {
		b.call.recordOutput()
	}
}

// broken records that the endpoint ended the stream early.
func (b *monitoredBody) broken(cause error) {
	if b.call.ctx.Err() != nil {
		return
	}
	b.call.logEvent("stream-lost", b.endpoint, logger.With(logger.KeyCount, b.scanner.events), logger.Err(cause), lossReason(cause), b.call.promptParts())
	b.call.recordLoss(b.endpoint, cause, b.scanner.events == 0)
}

func (b *monitoredBody) Close() error {
	if !b.ended && time.Since(b.last) > stallThreshold {
		b.endpoint.Failed()
	}
	return b.ReadCloser.Close()
}
