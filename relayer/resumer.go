package relayer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"

	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/tracker"
)

const (
	eventBuffer = 4 << 10 // bytes
	// maxEvent bounds one event, in bytes.
	maxEvent = 256 << 10
)

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// resumer is the body of a resumable stream. It passes on whole events only. When
// an endpoint breaks off, the stream goes on at another one after the last event
// that was passed on. Silence is no reason to move: an endpoint that pauses may
// still finish, and another one may have no place.
type resumer struct {
	carriage *carriage
	endpoint *tracker.Endpoint
	current  *exchanger.Answer
	ready    []byte // whole events
	pending  []byte // beginning of an event
	last     int64  // id of the last event in or before ready
}

func newResumer(c *carriage, e *tracker.Endpoint, a *exchanger.Answer) *resumer {
	r := &resumer{carriage: c, endpoint: e, current: a, last: -1}
	if first, err := strconv.ParseInt(c.event, 10, 64); err == nil {
		r.last = first
	}
	return r
}

func (r *resumer) Read(p []byte) (int, error) {
	for len(r.ready) == 0 {
		if err := r.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.ready)
	r.ready = r.ready[n:]
	return n, nil
}

// Close ends the work at the endpoint.
func (r *resumer) Close() error { return r.current.Body().Close() }

func (r *resumer) fill() error {
	buf := make([]byte, eventBuffer)
	n, err := r.current.Body().Read(buf)
	r.take(buf[:n])
	switch {
	case err == nil, len(r.ready) > 0 && !errors.Is(err, io.EOF):
		if len(r.pending) > maxEvent {
			return errLongEvent
		}
		return nil
	case errors.Is(err, io.EOF):
		if len(r.pending) > 0 {
			r.ready, r.pending = append(r.ready, r.pending...), nil
			return nil
		}
		if len(r.ready) > 0 {
			return nil
		}
		return io.EOF
	default:
		return r.resume(err)
	}
}

var errLongEvent = errors.New("an event of the stream is too long")

// take splits what arrived into whole events and the beginning of the next one.
// Events that were passed on before are dropped.
func (r *resumer) take(data []byte) {
	r.pending = append(r.pending, data...)
	for {
		end := bytes.Index(r.pending, eventEnd)
		if end < 0 {
			return
		}
		event := r.pending[:end+len(eventEnd)]
		r.pending = r.pending[end+len(eventEnd):]
		id, ok := eventID(event)
		if ok && id <= r.last {
			continue
		}
		if ok {
			r.last = id
		}
		r.ready = append(r.ready, event...)
	}
}

func eventID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}

// resume goes on at another endpoint, or returns why that is not possible.
func (r *resumer) resume(cause error) error {
	c := r.carriage
	_ = r.current.Body().Close()
	r.pending = nil
	if c.ctx.Err() != nil {
		return context.Cause(c.ctx)
	}
	r.endpoint.ConnectionFailed()
	c.avoided[r.endpoint] = true
	if len(c.sent) >= c.call.Route().MaxAttempts() {
		return cause
	}
	if r.last >= 0 {
		c.event = strconv.FormatInt(r.last, 10)
	}
	c.note("stream-broken", r.endpoint, logger.With(logger.KeyCount, r.last), logger.Err(cause))
	answer, err := c.run()
	if err != nil {
		return errors.Join(cause, err)
	}
	next, ok := answer.body.(*resumer)
	if !ok {
		_ = answer.body.Close()
		return cause // the other endpoint answered with an error
	}
	r.endpoint, r.current = next.endpoint, next.current
	c.note("stream-resumed", r.endpoint, logger.With(logger.KeyCount, r.last))
	return nil
}
