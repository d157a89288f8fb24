package transporter_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/transporter"
)

// uploadLength is in bytes; such a body is still being written when an early response is
// read.
const uploadLength = 4 << 20

// newEarlyPeer starts a server that responds to each request once its head has been read.
// When respond returns, the connection is closed.
func newEarlyPeer(t *testing.T, respond func(conn *net.TCPConn, req *http.Request)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					respond(conn.(*net.TCPConn), req)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// post sends a request with a body of some bytes and returns the body of the response.
func post(t *testing.T, c *transporter.Client, length int) (string, error) {
	resp, err := c.Do(t.Context(), transporter.NewRequest(http.MethodPost, "/x", make([]byte, length)))
	if err != nil {
		return "", fmt.Errorf("send: %w", err)
	}
	body, err := transporter.ReadBody(resp, 1<<20)
	return string(body), err
}

// Guards against the beginning of a response without a length that is taken for the whole
// one, because the server reset the connection while the request was being written.
func TestResetBesideUpload(t *testing.T) {
	ends := []struct {
		name string
		end  func(conn *net.TCPConn)
	}{
		{"reset", func(conn *net.TCPConn) { _ = conn.SetLinger(0) }},
		{"closed", func(*net.TCPConn) {}},
		{"closed after its own direction", func(conn *net.TCPConn) { _ = conn.CloseWrite() }},
	}
	for _, tt := range ends {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := transporter.New(newEarlyPeer(t, func(conn *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
				tt.end(conn)
			}))
			defer c.Close()
			for range 10 {
				_, err := post(t, c, uploadLength)
				is.True(errors.Is(err, transporter.ErrNoAnswer))
			}
		})
	}
}

// Guards against a complete response without a length that is rejected, because it came
// before the whole request was read.
func TestEarlyUnframedResponse(t *testing.T) {
	tests := []struct {
		name  string
		after func(conn *net.TCPConn)
	}{
		{"read and closed", func(*net.TCPConn) {}},
		{"closed in its own direction, read and closed", func(conn *net.TCPConn) { _ = conn.CloseWrite() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := transporter.New(newEarlyPeer(t, func(conn *net.TCPConn, req *http.Request) {
				_, _ = io.CopyN(io.Discard, req.Body, uploadLength/4)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\ngood")
				tt.after(conn)
				time.Sleep(20 * time.Millisecond) // the response is read before the rest of the request
				_, _ = io.Copy(io.Discard, req.Body)
			}))
			defer c.Close()
			for range 3 {
				body, err := post(t, c, uploadLength)
				is.NoErr(err)
				is.Equal(body, "good")
			}
		})
	}
}

// newKeepingPeer starts a server that answers each request on its connections with the same
// bytes, and counts its connections.
func newKeepingPeer(t *testing.T, response string) (address string, conns *atomic.Int64) {
	t.Helper()
	conns = new(atomic.Int64)
	address = newEarlyPeer(t, func(conn *net.TCPConn, req *http.Request) {
		conns.Add(1)
		r := bufio.NewReader(conn)
		for err := error(nil); err == nil; req, err = http.ReadRequest(r) {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(conn, response)
		}
	})
	return address, conns
}

// checkBroken sends two requests to a server whose response is broken. Neither must have an
// answer, and the connection of the first one must not be used again.
func checkBroken(t *testing.T, response string, want error) {
	t.Helper()
	is := is.New(t)
	address, conns := newKeepingPeer(t, response)
	c := transporter.New(address)
	defer c.Close()
	for range 2 {
		_, err := post(t, c, 1)
		t.Logf("error: %v", err)
		is.True(errors.Is(err, transporter.ErrNoAnswer))
		is.True(want == nil || errors.Is(err, want))
	}
	is.Equal(conns.Load(), int64(2))
}

// Guards against a response whose status is none, or belongs to no final response.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "-00", "+99", "0", "0000", "abc"} {
		t.Run(status, func(t *testing.T) {
			var want error
			if len(status) == 3 && status != "abc" { // net/http rejects the others
				want = transporter.ErrStatus
			}
			checkBroken(t, "HTTP/1.1 "+status+" x\r\nContent-Length: 4\r\n\r\nbody", want)
			checkBroken(t, "HTTP/1.1 "+status+" x\r\nContent-Length: 0\r\n\r\n", want)
			checkBroken(t, "HTTP/1.1 "+status+" x\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", want)
		})
	}
}
