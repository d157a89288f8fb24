package transporter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Transport is an http.RoundTripper over plain TCP. Beyond net/http, it rejects malformed
// heads and requires proof that a response is complete which ends with its connection.
type Transport struct{ inner *http.Transport }

// callerUnackedTimeout is the time without an acknowledgement after which a node is
// unreachable for its callers.
const callerUnackedTimeout = 10 * time.Second

// NewTransport returns a transport for callers of nodes.
func NewTransport() *Transport {
	return newTransport(func(ctx context.Context, address string) (net.Conn, error) {
		inner, err := Dial(ctx, address, callerUnackedTimeout)
		if err != nil {
			return nil, err
		}
		return newCheckedConn(inner), nil
	})
}

// newTransport returns a transport whose connections embed a checkedConn.
func newTransport(dial func(ctx context.Context, address string) (net.Conn, error)) *Transport {
	return &Transport{inner: &http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// The head of a response is kept in memory.
		MaxResponseHeaderBytes: maxResponseHead,
	}}
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.inner.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var interim interimHeads
	var sent sentOn
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { sent.begin(info.Conn) },
		WroteRequest:   func(httptrace.WroteRequestInfo) { sent.end() },
		Got1xxResponse: interim.add,
	}))
	resp, err := t.inner.RoundTrip(r)
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	if err := CheckHead(resp.StatusCode, resp.Header); err != nil {
		_ = resp.Body.Close()
		sent.close()
		return nil, fmt.Errorf("read response: %w", err)
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &trailedBody{ReadCloser: resp.Body, response: resp, sent: &sent}
	}
	return resp, nil
}

// sentOn is the connection that a request was sent on, and the write of the request there.
// net/http may send it again on another connection, and report the end of an earlier write
// late. This only shortens a wait, as each connection keeps the error of its own writes.
type sentOn struct {
	mu    sync.Mutex
	conn  net.Conn
	write *requestWrite
}

func (s *sentOn) begin(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn, s.write = conn, newRequestWrite()
	if c, ok := conn.(interface{ beginRequest(*requestWrite) }); ok {
		c.beginRequest(s.write)
	}
}

func (s *sentOn) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.write != nil {
		s.write.end()
	}
}

// close closes the connection after a malformed response. net/http may hold it ready for
// the next request already.
func (s *sentOn) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		_ = s.conn.Close()
	}
}

// interimHeads are the interim heads before a response. net/http bounds only those that it
// reports to nobody.
type interimHeads struct{ size atomic.Int64 }

// add returns an error if a head is malformed or the heads are too long.
func (h *interimHeads) add(status int, fields textproto.MIMEHeader) error {
	if err := CheckHead(status, http.Header(fields)); err != nil {
		return err
	}
	size := len("HTTP/1.1 100\r\n\r\n")
	for name, values := range fields {
		for _, v := range values {
			size += len(name) + len(v) + len(":\r\n")
		}
	}
	if h.size.Add(int64(size)) > maxResponseHead {
		return errInterimHeads
	}
	return nil
}

var errInterimHeads = eris.New("interim heads of the response exceed the maximum length")

// trailedBody is a response body that a trailer may follow. It ends with io.EOF only if the
// trailer is well-formed.
type trailedBody struct {
	io.ReadCloser
	response *http.Response
	sent     *sentOn
}

func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := CheckFields(b.response.Trailer); err != nil {
		b.sent.close()
		return n, fmt.Errorf("read trailer: %w", err)
	}
	return n, io.EOF
}
