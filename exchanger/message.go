package exchanger

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/dragonflyford/dragonflyford/pacer"
	"github.com/dragonflyford/dragonflyford/router"
)

// Outbound is a call as it is sent to one endpoint.
type Outbound struct {
	call      *router.Call
	instance  string
	deadline  time.Time
	version   int64
	lastEvent string
	workspace string
	keyed     bool
	onBegin   func()
	priority  int
	ranked    bool
}

// OutboundOption sets an optional property of an Outbound.
type OutboundOption func(*Outbound)

// ExpectVersion makes the endpoint refuse the call if it has loaded another
// version of the model.
func ExpectVersion(v int64) OutboundOption { return func(o *Outbound) { o.version = v } }

// ResumeAfter resumes a stream after the event with an id.
func ResumeAfter(event string) OutboundOption { return func(o *Outbound) { o.lastEvent = event } }

// ForWorkspace names the workspace of the call to the endpoint in place of the caller's key.
// The name is empty for a call that needs no key.
func ForWorkspace(name string) OutboundOption {
	return func(o *Outbound) { o.workspace, o.keyed = name, true }
}

// OnBegin calls f once the call counts as in flight at the endpoint, or cannot be sent to it.
func OnBegin(f func()) OutboundOption { return func(o *Outbound) { o.onBegin = f } }

// WithPriority sends the endpoint the priority of the call; 0 is the most urgent.
func WithPriority(p int) OutboundOption {
	return func(o *Outbound) { o.priority, o.ranked = p, true }
}

// NewOutbound returns a call to the endpoint process whose id is instance. The
// endpoint stops work on the call at the deadline.
func NewOutbound(c *router.Call, instance string, deadline time.Time, opts ...OutboundOption) *Outbound {
	o := &Outbound{call: c, instance: instance, deadline: deadline}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// begin reports that the call counts as in flight at the endpoint, or cannot be sent to it.
func (o *Outbound) begin() {
	if o.onBegin != nil {
		o.onBegin()
	}
}

// Call returns the call.
func (o *Outbound) Call() *router.Call { return o.call }

// Instance returns the id of the endpoint process that the call is sent to.
func (o *Outbound) Instance() string { return o.instance }

// Remaining returns the time left until the deadline.
func (o *Outbound) Remaining() time.Duration { return time.Until(o.deadline) }

// Version returns the model version that the endpoint must have loaded, or 0
// for any.
func (o *Outbound) Version() int64 { return o.version }

// LastEvent returns the id of the event after which the stream resumes, or ""
// for a new stream.
func (o *Outbound) LastEvent() string { return o.lastEvent }

// Workspace returns the name of the call's workspace, or "" if the call needs no key. It
// returns false if the deployment has no workspaces.
func (o *Outbound) Workspace() (name string, ok bool) { return o.workspace, o.keyed }

// Priority returns the priority of the call, or false if it is not sent.
func (o *Outbound) Priority() (p int, ok bool) { return o.priority, o.ranked }

// Meta is the metadata of a response, decoded from its header.
type Meta struct {
	attempt     string
	refused     bool
	signed      bool
	load        pacer.Load
	idleTimeout time.Duration
	limited     bool
	limit       float64
	leaving     bool
	pause       time.Duration
}

// NewMeta returns the metadata of a response: the id of its call, whether the
// endpoint refused to run the call, and whether the response is signed.
func NewMeta(attempt string, refused, signed bool) Meta {
	return Meta{attempt: attempt, refused: refused, signed: signed}
}

// WithLoad adds the number of calls that run and wait at the endpoint.
func (m Meta) WithLoad(running, waiting int) Meta {
	m.load = pacer.NewLoad(running, waiting)
	return m
}

// WithSlots adds the number of calls that the endpoint runs at once to its load.
func (m Meta) WithSlots(n int) Meta {
	m.load = m.load.WithSlots(n)
	return m
}

// WithPace adds the present duration of work, as a multiple of the usual one, to the load.
func (m Meta) WithPace(pace float64) Meta {
	m.load = m.load.WithPace(pace)
	return m
}

// WithIdleTimeout adds the time after which the endpoint closes an idle
// connection.
func (m Meta) WithIdleTimeout(d time.Duration) Meta {
	m.idleTimeout = d
	return m
}

// WithLimit adds the number of requests a second that the endpoint accepts from all hosts
// together.
func (m Meta) WithLimit(rate float64) Meta {
	m.limited, m.limit = true, rate
	return m
}

// Limit returns the number of requests a second that the endpoint accepts from all hosts
// together, or false if it named none.
func (m Meta) Limit() (rate float64, ok bool) { return m.limit, m.limited }

// WithLeaving adds that the endpoint is about to leave.
func (m Meta) WithLeaving() Meta {
	m.leaving = true
	return m
}

// Leaving reports whether the endpoint is about to leave.
func (m Meta) Leaving() bool { return m.leaving }

// WithPause adds the time for which the endpoint wants no calls from this host.
func (m Meta) WithPause(d time.Duration) Meta {
	m.pause = d
	return m
}

// Pause returns the time for which the endpoint wants no calls from this host.
func (m Meta) Pause() time.Duration { return m.pause }

// Load returns the number of calls that run and wait at the endpoint, or false if it
// did not tell.
func (m Meta) Load() (running, waiting int, ok bool) { return m.load.Calls() }

// Report returns the load that the endpoint reported, or the zero value if it reported none.
func (m Meta) Report() pacer.Load { return m.load }

// Attempt returns the id of the call that the response belongs to, or "".
func (m Meta) Attempt() string { return m.attempt }

// Refused reports whether the endpoint stated that it did not run the call.
func (m Meta) Refused() bool { return m.refused }

// Signed reports whether the response carries the endpoint's signature.
func (m Meta) Signed() bool { return m.signed }

// Dialect encodes and decodes the header fields of an endpoint protocol.
type Dialect interface {
	// Header returns the header fields of a call.
	Header(o *Outbound) http.Header
	// Meta decodes the status and header fields of a response.
	Meta(status int, h http.Header) Meta
}

// CallError is the error of a call that got no response.
type CallError struct {
	sent  bool
	cause error
}

// Sent reports whether any byte of the call may have reached the endpoint. If
// so, the call may have run.
func (e *CallError) Sent() bool { return e.sent }

func (e *CallError) Error() string {
	if e.sent {
		return fmt.Sprintf("call was sent but got no response: %v", e.cause)
	}
	return fmt.Sprintf("call was not sent: %v", e.cause)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.cause }

// Answer is the response of an endpoint. Its body must be closed.
type Answer struct {
	status int
	header http.Header
	meta   Meta
	body   io.ReadCloser
	length int64
	// unframed is whether only the end of the connection ends the body.
	unframed bool
	// buffered is whether the whole body is in memory.
	buffered bool
	// roundTrip is the duration of a round trip to the endpoint, or 0.
	roundTrip time.Duration
}

// NewAnswer returns an answer; length is the length of the body in bytes, or -1
// if it is not known.
func NewAnswer(status int, h http.Header, m Meta, body io.ReadCloser, length int64) *Answer {
	return &Answer{status: status, header: h, meta: m, body: body, length: length}
}

// NewCallError returns the error of a call; sent is reported by Sent.
func NewCallError(sent bool, cause error) *CallError { return &CallError{sent: sent, cause: cause} }

// AsUnframed returns the answer with a body that only the end of the connection ends.
func (a *Answer) AsUnframed() *Answer {
	a.unframed = true
	return a
}

// Unframed reports whether only the end of the connection ends the body, so that an end
// does not show that the body is complete.
func (a *Answer) Unframed() bool { return a.unframed }

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.status }

// Header returns the header fields as the endpoint sent them.
func (a *Answer) Header() http.Header { return a.header }

// Meta returns the metadata of the header.
func (a *Answer) Meta() Meta { return a.meta }

// Length returns the length of the body in bytes, or -1 if it is not known.
func (a *Answer) Length() int64 { return a.length }

// RoundTrip returns the duration of a round trip to the endpoint, or 0 if it is not
// known.
func (a *Answer) RoundTrip() time.Duration { return a.roundTrip }

// Body returns the body. It ends with io.EOF only if the response is complete.
// Closing it before that closes the connection, which stops the work at the
// endpoint.
func (a *Answer) Body() io.ReadCloser { return a.body }

// MaxBuffered is the length of the body, in bytes, up to which answers should be
// buffered. Some hundred calls at once then need a few tens of megabytes.
const MaxBuffered = 32 << 10

// minBuffer is the size of the buffer for a body of unknown length, in bytes.
const minBuffer = 2 << 10

// Buffer reads a body of less than limit bytes into memory, so that a truncated
// response is detected before any of it is used. A longer body is still streamed.
func (a *Answer) Buffer(limit int64) error {
	var buf bytes.Buffer
	expected := min(max(a.length, minBuffer), limit)
	buf.Grow(int(expected) + bytes.MinRead) // growing step by step would leave twice as much to collect
	n, err := buf.ReadFrom(io.LimitReader(a.body, limit))
	if err != nil {
		_ = a.body.Close() // the read error is more specific
		return fmt.Errorf("read response: %w", err)
	}
	if n == limit {
		a.body = prefixedBody{Reader: io.MultiReader(&buf, a.body), Closer: a.body}
		return nil
	}
	a.length, a.buffered = n, true
	a.body = prefixedBody{Reader: &buf, Closer: a.body}
	return nil
}

// Buffered reports whether the whole body is in memory, so that the endpoint has no part in
// the call any more.
func (a *Answer) Buffered() bool { return a.buffered }

// prefixedBody is a body whose first bytes are in memory.
type prefixedBody struct {
	io.Reader
	io.Closer
}
