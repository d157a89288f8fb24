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
	// maxEvent is the maximum size of one event, in bytes.
	maxEvent = 64 << 10
)

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// resumer is the body of a resumable stream. It returns complete events only. If
// the endpoint breaks the connection, the stream is resumed at another endpoint
// after the last event returned. A stalled stream is not moved, because the endpoint
// may still finish it and other endpoints may have no capacity.
type resumer struct {
	call     *callState
	endpoint *tracker.Endpoint
	current  *exchanger.Answer
	events   []byte // complete events
	partial  []byte // beginning of an incomplete event
	lastID   int64  // id of the last event in or before events
	begun    bool   // the current endpoint has sent a complete event
	pace     *pace  // of the first endpoint; nil once the stream was resumed
}

func newResumer(c *callState, e *tracker.Endpoint, a *exchanger.Answer) *resumer {
	r := &resumer{call: c, endpoint: e, current: a, lastID: -1, pace: newPace(c, e)}
	if first, err := strconv.ParseInt(c.lastEventID, 10, 64); err == nil {
		r.lastID = first
	}
	return r
}

func (r *resumer) Read(p []byte) (int, error) {
	for len(r.events) == 0 {
		if err := r.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.events)
	r.events = r.events[n:]
	return n, nil
}

// Close closes the current endpoint's response, which cancels its work.
func (r *resumer) Close() error { return r.current.Body().Close() }

func (r *resumer) fill() error {
	buf := make([]byte, eventBuffer)
	n, err := r.current.Body().Read(buf)
	if n > 0 && r.pace != nil {
		r.pace.addPiece()
	}
	if split := r.split(buf[:n]); split != nil {
		return split
	}
	switch {
	case err == nil, len(r.events) > 0 && !errors.Is(err, io.EOF):
		if len(r.partial) > maxEvent {
			return r.resume(errEventTooLong)
		}
		return nil
	case errors.Is(err, io.EOF):
		if len(r.events) > 0 {
			return nil // the next read finds the end again
		}
		if len(r.partial) > 0 || !r.begun && !r.call.mayBeEmpty(r.current) {
			return r.resume(errPartialEvent)
		}
		if r.pace != nil {
			r.pace.end()
			r.pace = nil
		}
		return io.EOF
	default:
		return r.resume(err)
	}
}

var errEventTooLong = errors.New("stream event exceeds the maximum size")

// split appends data to the partial event and moves the complete events to events.
// It drops events that were returned before. It returns an error if the stream cannot be
// recorded.
func (r *resumer) split(data []byte) error {
	r.partial = append(r.partial, data...)
	for {
		end := bytes.Index(r.partial, eventEnd)
		if end < 0 {
			return nil
		}
		if !r.begun {
			r.begun = true
			r.call.recordOutput()
		}
		event := r.partial[:end+len(eventEnd)]
		r.partial = r.partial[end+len(eventEnd):]
		id, ok := eventID(event)
		if ok && id <= r.lastID {
			continue
		}
		if ok {
			r.lastID = id
		}
		if err := r.call.pinBegun(r.endpoint); err != nil {
			return err
		}
		r.events = append(r.events, event...)
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

// resume continues the stream at another endpoint. It returns an error if that is
// not possible.
func (r *resumer) resume(cause error) error {
	c := r.call
	_ = r.current.Body().Close()
	r.partial, r.pace = nil, nil
	if c.ctx.Err() != nil {
		return context.Cause(c.ctx)
	}
	c.recordLoss(r.endpoint, cause, !r.begun)
	c.excluded[r.endpoint] = true
	if len(c.sent) >= c.call.Route().MaxAttempts() {
		return cause
	}
	if r.lastID >= 0 {
		c.lastEventID = strconv.FormatInt(r.lastID, 10)
	}
	c.logEvent("stream-broken", r.endpoint, logger.With(logger.KeyCount, r.lastID), logger.Err(cause), lossReason(cause), c.promptParts())
	answer, err := c.run()
	if err != nil {
		return errors.Join(cause, err)
	}
	next, ok := answer.body.(*resumer)
	if !ok {
		_ = answer.body.Close()
		return cause // the other endpoint responded with an error status
	}
	r.endpoint, r.current, r.begun = next.endpoint, next.current, false
	c.logEvent("stream-resumed", r.endpoint, logger.With(logger.KeyCount, r.lastID))
	return nil
}
