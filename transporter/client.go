package transporter

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of requests without a response.
var (
	// ErrNotSent reports a request of which no byte was written and none will
	// be.
	ErrNotSent = eris.New("request was not sent")
	// ErrNoAnswer reports a request that may have arrived but has no complete
	// response.
	ErrNoAnswer = eris.New("request has no complete response")
)

const (
	dialTimeout     = 2 * time.Second
	maxIdleConns    = 64
	idleTimeout     = 30 * time.Second
	maxResponseHead = 64 << 10 // bytes
	// unackedTimeout is the guard time that a new lease holder waits before its
	// first order. After it, no order of the previous holder is left in a
	// socket buffer.
	unackedTimeout = time.Second
)

// Client sends requests to one address over connections that it keeps alive.
type Client struct {
	scheme    string
	address   string
	transport *Transport
}

// schemeHTTP is the only supported scheme, because writes are tracked on the
// plain TCP connection.
const schemeHTTP = "http"

// Dialer opens a connection to a host and port.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Option sets an optional property of a Client.
type Option func(*options)

type options struct{ dial Dialer }

// WithDialer sets how connections are opened. The default is Dial.
func WithDialer(d Dialer) Option { return func(o *options) { o.dial = d } }

// New returns a client for a host and port, or for a URL with a host and port.
// Requests to a URL with another scheme than http fail with ErrNotSent.
func New(address string, opts ...Option) *Client {
	scheme := schemeHTTP
	if before, after, ok := strings.Cut(address, "://"); ok {
		scheme, address = before, strings.TrimSuffix(after, "/")
	}
	o := options{dial: func(ctx context.Context, address string) (net.Conn, error) {
		return Dial(ctx, address, unackedTimeout)
	}}
	for _, opt := range opts {
		opt(&o)
	}
	return &Client{scheme: scheme, address: address, transport: newTransport(tracked(o.dial))}
}

// tracked returns a dialer of connections whose writes are recorded for the current request.
func tracked(dial Dialer) Dialer {
	return func(ctx context.Context, address string) (net.Conn, error) {
		inner, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return &conn{checkedConn: newCheckedConn(inner)}, nil
	}
}

// TCP keep-alive of idle connections. Nothing else shows that a peer has
// disappeared without a reset.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// Dial connects to a host and port. The connection breaks when data or
// keep-alive probes stay unacknowledged for unackedTime. Closing it discards
// data that was not transmitted.
func Dial(ctx context.Context, address string, unackedTime time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		Control:         socketControl(unackedTime),
		KeepAliveConfig: keepAlive,
	}
	inner, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	if tcp, ok := inner.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			_ = inner.Close()
			return nil, fmt.Errorf("set linger time: %w", err)
		}
	}
	return inner, nil
}

// Listen listens on a host and port. An accepted connection breaks when data or
// keep-alive probes stay unacknowledged for unackedTime.
func Listen(ctx context.Context, address string, unackedTime time.Duration) (net.Listener, error) {
	// Linux passes the socket's timeout on to accepted connections.
	config := net.ListenConfig{Control: socketControl(unackedTime), KeepAliveConfig: keepAlive}
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return l, nil
}

func socketControl(unackedTime time.Duration) func(_, _ string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) { optErr = setUserTimeout(fd, unackedTime) })
		if err != nil {
			return fmt.Errorf("access socket: %w", err)
		}
		return optErr
	}
}

// Address returns the host and port.
func (c *Client) Address() string { return c.address }

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Request is a request to be sent.
type Request struct {
	method        string
	path          string
	query         url.Values
	header        http.Header
	body          []byte
	writeDeadline time.Time
	silence       Silence // zero for no bounds
	onFirstByte   func()
}

// NewRequest returns a request. The path may have a query.
func NewRequest(method, path string, body []byte) *Request {
	return &Request{method: method, path: path, body: body, header: make(http.Header)}
}

// SetHeader sets a header field.
func (r *Request) SetHeader(name, value string) { r.header.Set(name, value) }

// SetQuery replaces the query.
func (r *Request) SetQuery(q url.Values) { r.query = q }

// SetWriteDeadline makes each write of the request fail after t.
func (r *Request) SetWriteDeadline(t time.Time) { r.writeDeadline = t }

// SetSilence sets how long the request waits for bytes of its response. It fails with
// ErrSilent after that.
func (r *Request) SetSilence(s Silence) { r.silence = s }

// OnFirstByte sets a function that is called when the first byte of the response arrives.
func (r *Request) OnFirstByte(f func()) { r.onFirstByte = f }

// Do sends a request and returns the response, whose body the caller must
// close. The error wraps ErrNotSent or ErrNoAnswer.
func (c *Client) Do(ctx context.Context, r *Request) (*http.Response, error) {
	if r.silence == (Silence{}) {
		return c.do(ctx, r, func() {})
	}
	watch := watchSilence(ctx, r.silence, c.Close)
	resp, err := c.do(watch.ctx, r, watch.progress)
	if err != nil {
		watch.stop()
		return nil, watch.explain(err)
	}
	resp.Body = &watchedBody{ReadCloser: resp.Body, watch: watch}
	return resp, nil
}

// do sends a request. It calls onByte when the first byte of the response arrives.
func (c *Client) do(ctx context.Context, r *Request, onByte func()) (*http.Response, error) {
	if c.scheme != schemeHTTP {
		return nil, fmt.Errorf("%w: scheme %q of %s is not supported, only %q", ErrNotSent, c.scheme, c.address, schemeHTTP)
	}
	x := &sendState{writeDeadline: r.writeDeadline}
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if used, ok := info.Conn.(*conn); ok {
				used.attach(x)
			}
		},
		GotFirstResponseByte: func() {
			onByte()
			if r.onFirstByte != nil {
				r.onFirstByte()
			}
		},
	}
	req, err := r.build(httptrace.WithClientTrace(ctx, trace), c.address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	resp, err := c.transport.RoundTrip(req)
	if err == nil {
		return resp, nil
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.Close() // connections that were opened earlier may be as dead as this one
	}
	if x.abandon() {
		return nil, fmt.Errorf("%s %s at %s: %w: %w", r.method, r.path, c.address, ErrNoAnswer, err)
	}
	return nil, fmt.Errorf("%s %s at %s: %w: %w", r.method, r.path, c.address, ErrNotSent, err)
}

func (r *Request) build(ctx context.Context, address string) (*http.Request, error) {
	u, err := url.ParseRequestURI(r.path)
	if err != nil {
		return nil, fmt.Errorf("path %q: %w", r.path, err)
	}
	u.Scheme = schemeHTTP
	u.Host = address
	if r.query != nil {
		u.RawQuery = r.query.Encode()
	}
	var body io.Reader
	if r.body != nil {
		body = bytes.NewReader(r.body)
	}
	req, err := http.NewRequestWithContext(ctx, r.method, u.String(), body)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	req.Header = r.header
	return req, nil
}

// ReadBody reads the body of a response and closes it. A body of more than
// limit bytes is an error.
func ReadBody(resp *http.Response, limit int64) ([]byte, error) {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read response: %w: %w", ErrNoAnswer, err)
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("response exceeds %d bytes: %w", limit, ErrNoAnswer)
	}
	return body, nil
}
