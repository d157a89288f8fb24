package transporter_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/transporter"
)

// peer accepts connections and counts the bytes that it receives.
type peer struct {
	listener net.Listener
	bytes    atomic.Int64
	conns    atomic.Int64
	done     chan struct{}
}

// newPeer starts a peer that responds to the first line of each connection and
// then closes the connection. With a nil response, it sends nothing and waits
// until the client closes.
func newPeer(t *testing.T, response []byte) *peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	p := &peer{listener: l, done: make(chan struct{})}
	go p.serve(response)
	t.Cleanup(func() {
		_ = l.Close()
		<-p.done
	})
	return p
}

func (p *peer) serve(response []byte) {
	defer close(p.done)
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.conns.Add(1)
		r := bufio.NewReader(c)
		line, _ := r.ReadString('\n')
		p.bytes.Add(int64(len(line)))
		if response == nil {
			_, _ = io.Copy(io.Discard, r)
		}
		_, _ = c.Write(response)
		_ = c.Close()
	}
}

// Guards against reporting a request that may have arrived as not sent, which
// would let a posting run twice, and against the reverse.
func TestSendErrors(t *testing.T) {
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	cases := []struct {
		name               string
		ctx                context.Context
		response           []byte
		deadline           time.Duration // from now; 0 means none
		cancelWhileWaiting bool          // the caller cancels while it waits
		want               error
	}{
		{name: "closed without a response", response: []byte{}, want: transporter.ErrNoAnswer},
		{name: "not HTTP", response: []byte("SSH-2.0\r\n"), want: transporter.ErrNoAnswer},
		{name: "truncated header", response: []byte("HTTP/1.1 200 OK\r\nContent-Le"), want: transporter.ErrNoAnswer},
		{name: "canceled while waiting", cancelWhileWaiting: true, want: transporter.ErrNoAnswer},
		{name: "canceled before sending", ctx: canceled, response: []byte{}, want: transporter.ErrNotSent},
		{name: "deadline exceeded", response: []byte{}, deadline: -time.Nanosecond, want: transporter.ErrNotSent},
		{name: "deadline ahead", response: []byte{}, deadline: time.Hour, want: transporter.ErrNoAnswer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPeer(t, c.response)
			client := transporter.New(p.listener.Addr().String())
			t.Cleanup(client.Close)
			ctx := c.ctx
			if ctx == nil {
				ctx = t.Context()
			}
			if c.cancelWhileWaiting {
				var cancel context.CancelFunc
				ctx, cancel = context.WithCancel(ctx)
				go func() {
					for p.bytes.Load() == 0 {
						time.Sleep(time.Millisecond)
					}
					cancel()
				}()
			}
			r := transporter.NewRequest(http.MethodPost, "/x", []byte("{}"))
			if c.deadline != 0 {
				r.SetWriteDeadline(time.Now().Add(c.deadline))
			}
			_, err := client.Do(ctx, r)
			is.True(errors.Is(err, c.want))
			if errors.Is(c.want, transporter.ErrNotSent) {
				client.Close()
				is.Equal(p.bytes.Load(), int64(0))
			}
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		is.NoErr(l.Close())
		_, err = transporter.New(l.Addr().String()).Do(t.Context(), transporter.NewRequest(http.MethodPost, "/x", nil))
		is.True(errors.Is(err, transporter.ErrNotSent))
	})
}

// Guards against opening a new connection for each request, and against a
// reused connection on which the write deadline of an earlier request still
// applies.
func TestKeepAlive(t *testing.T) {
	is := is.New(t)
	var connections atomic.Int64
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			connections.Add(1)
		}
	}
	srv.Start()
	t.Cleanup(srv.Close)
	client := transporter.New(srv.Listener.Addr().String())
	t.Cleanup(client.Close)
	for i := range 5 {
		r := transporter.NewRequest(http.MethodPost, "/x?a=b", []byte("body"))
		if i == 0 {
			r.SetWriteDeadline(time.Now().Add(time.Hour))
		}
		resp, err := client.Do(t.Context(), r)
		is.NoErr(err)
		body, err := transporter.ReadBody(resp, 4)
		is.NoErr(err)
		is.Equal(string(body), "body")
	}
	is.Equal(connections.Load(), int64(1))

	late := transporter.NewRequest(http.MethodPost, "/x", []byte("body"))
	late.SetWriteDeadline(time.Now().Add(-time.Hour))
	_, err := client.Do(t.Context(), late)
	is.True(errors.Is(err, transporter.ErrNotSent))
	resp, err := client.Do(t.Context(), transporter.NewRequest(http.MethodPost, "/x", []byte("body")))
	is.NoErr(err)
	_, err = transporter.ReadBody(resp, 3)
	is.True(errors.Is(err, transporter.ErrNoAnswer)) // longer than allowed
}

// Guards against a path from a caller that redirects the request to another
// host.
func TestPathStaysOnHost(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	t.Cleanup(srv.Close)
	client := transporter.New(srv.Listener.Addr().String())
	t.Cleanup(client.Close)
	for _, path := range []string{"//example.invalid/x", "http://example.invalid/x", "/x?u=http://example.invalid"} {
		resp, err := client.Do(t.Context(), transporter.NewRequest(http.MethodGet, path, nil))
		is.NoErr(err)
		_ = resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusNoContent)
	}
}

// Guards against addresses in URL form that settings and bundles accept but the
// client cannot connect to: a node then starts and never holds a lease.
func TestAddressForms(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	}))
	t.Cleanup(srv.Close)
	host := srv.Listener.Addr().String()
	cases := []struct {
		name    string
		address string
		want    error
	}{
		{name: "host and port", address: host},
		{name: "URL", address: "http://" + host},
		{name: "URL with a slash", address: "http://" + host + "/"},
		{name: "unsupported scheme", address: "https://" + host, want: transporter.ErrNotSent},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			client := transporter.New(c.address)
			t.Cleanup(client.Close)
			is.Equal(client.Address(), host)
			resp, err := client.Do(t.Context(), transporter.NewRequest(http.MethodGet, "/x", nil))
			is.True(errors.Is(err, c.want))
			if err == nil {
				is.NoErr(resp.Body.Close())
			}
		})
	}
}

// Guards against a peer that sends a head or a body without end: the request must fail
// before its deadline, and the bytes must not be kept.
func TestResponseWithoutEnd(t *testing.T) {
	const piece = 64 << 10
	tests := []struct{ name, begin, repeated string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"header line", "HTTP/1.1 200 OK\r\nField: ", "x"},
		{"header", "HTTP/1.1 200 OK\r\n", "Field: x\r\n"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"body", "HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n", "x"},
		{"body in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\ngood\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				block := []byte(strings.Repeat(tt.repeated, piece/len(tt.repeated)))
				_, err = io.WriteString(conn, tt.begin)
				for err == nil {
					_, err = conn.Write(block)
				}
			}()
			c := transporter.New(l.Addr().String())
			defer c.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			resp, err := c.Do(ctx, transporter.NewRequest(http.MethodGet, "/x", nil))
			if err == nil {
				_, err = transporter.ReadBody(resp, 1<<20)
			}
			is.True(errors.Is(err, transporter.ErrNoAnswer))
			is.NoErr(ctx.Err())
		})
	}
}
