package exchanger

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/dragonflyford/dragonflyford/router"
)

// Outbound is a call as it is sent to one endpoint.
type Outbound struct {
	call      *router.Call
	instance  string
	deadline  time.Time
	version   int64
	lastEvent string
}

// OutboundOption sets an optional property of an Outbound.
type OutboundOption func(*Outbound)

// ExpectVersion makes the endpoint refuse the call if it holds another version of
// the model.
func ExpectVersion(v int64) OutboundOption { return func(o *Outbound) { o.version = v } }

// ResumeAfter makes a resumable stream go on after an event.
func ResumeAfter(event string) OutboundOption { return func(o *Outbound) { o.lastEvent = event } }

// NewOutbound returns a call for the endpoint process with an id. The endpoint
// stops work at the deadline.
func NewOutbound(c *router.Call, instance string, deadline time.Time, opts ...OutboundOption) *Outbound {
	o := &Outbound{call: c, instance: instance, deadline: deadline}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// Call returns the call.
func (o *Outbound) Call() *router.Call { return o.call }

// Instance returns the id of the endpoint process that is meant.
func (o *Outbound) Instance() string { return o.instance }

// Remaining returns the time that the endpoint has.
func (o *Outbound) Remaining() time.Duration { return time.Until(o.deadline) }

// Version returns the version that the endpoint must hold, or 0 for any.
func (o *Outbound) Version() int64 { return o.version }

// LastEvent returns the event after which a stream goes on, or "".
func (o *Outbound) LastEvent() string { return o.lastEvent }

// Meta is what an endpoint says of itself and of the call in an answer's header.
type Meta struct {
	attempt  string
	refused  bool
	complete bool
	loaded   bool
	running  int
	waiting  int
	idle     time.Duration
}

// NewMeta returns what an answer says: the id of the call that it answers, whether
// the endpoint did not run it, and whether the answer is signed.
func NewMeta(attempt string, refused, signed bool) Meta {
	return Meta{attempt: attempt, refused: refused, complete: signed}
}

// WithLoad adds the endpoint's load.
func (m Meta) WithLoad(running, waiting int) Meta {
	m.loaded, m.running, m.waiting = true, running, waiting
	return m
}

// WithIdleTimeout adds how long the endpoint keeps the connection open without a call.
func (m Meta) WithIdleTimeout(d time.Duration) Meta {
	m.idle = d
	return m
}

// Attempt returns the id of the call that the answer belongs to, or "".
func (m Meta) Attempt() string { return m.attempt }

// Refused reports whether the endpoint says that it did not run the call.
func (m Meta) Refused() bool { return m.refused }

// Signed reports whether the answer bears the endpoint's signature.
func (m Meta) Signed() bool { return m.complete }

// Dialect writes and reads the header fields of an endpoint protocol.
type Dialect interface {
	// Header returns the fields of a call.
	Header(o *Outbound) http.Header
	// Meta reads the fields of an answer.
	Meta(status int, h http.Header) Meta
}

// CallError is a call without an answer.
type CallError struct {
	sent  bool
	cause error
}

// Sent reports whether a byte of the call may have reached the endpoint, so that
// it may have run.
func (f *CallError) Sent() bool { return f.sent }

func (f *CallError) Error() string {
	if f.sent {
		return fmt.Sprintf("call was sent and has no answer: %v", f.cause)
	}
	return fmt.Sprintf("call was not sent: %v", f.cause)
}

// Unwrap returns the error of the connection.
func (f *CallError) Unwrap() error { return f.cause }

// Answer is the answer of an endpoint. Its body must be closed.
type Answer struct {
	status int
	header http.Header
	meta   Meta
	body   io.ReadCloser
	length int64
}

// NewAnswer returns an answer; length is that of the body or -1.
func NewAnswer(status int, h http.Header, m Meta, body io.ReadCloser, length int64) *Answer {
	return &Answer{status: status, header: h, meta: m, body: body, length: length}
}

// NewCallError returns a failure.
func NewCallError(sent bool, cause error) *CallError { return &CallError{sent: sent, cause: cause} }

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.status }

// Header returns the header fields as the endpoint sent them.
func (a *Answer) Header() http.Header { return a.header }

// Meta returns what the header says.
func (a *Answer) Meta() Meta { return a.meta }

// Length returns the length of the body in bytes, or -1 if it is not known.
func (a *Answer) Length() int64 { return a.length }

// Body returns the body. It ends with io.EOF only if the answer is whole; Close
// before that ends the work at the endpoint.
func (a *Answer) Body() io.ReadCloser { return a.body }

// Buffer reads a body of up to limit bytes into memory, so that an answer that
// breaks off is known before any of it is used. A longer body stays as it is.
func (a *Answer) Buffer(limit int64) error {
	var buf bytes.Buffer
	n, err := io.Copy(&buf, io.LimitReader(a.body, limit))
	if err != nil {
		_ = a.body.Close() // the error above says more
		return fmt.Errorf("read answer: %w", err)
	}
	if n == limit {
		a.body = prefixed{Reader: io.MultiReader(&buf, a.body), Closer: a.body}
		return nil
	}
	a.length = n
	a.body = prefixed{Reader: &buf, Closer: a.body}
	return nil
}

// prefixed is a body whose beginning was read.
type prefixed struct {
	io.Reader
	io.Closer
}
