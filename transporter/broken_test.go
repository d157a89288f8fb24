package transporter_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/transporter"
)

// uploadLength is in bytes; such a body is still being written when an early response is
// read.
const uploadLength = 4 << 20

// newRawServer starts a server that responds to each request once its head has been read.
func newRawServer(t *testing.T, respond func(conn *net.TCPConn, req *http.Request)) *emulator.RawServer {
	t.Helper()
	server, err := emulator.NewRawServer(respond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server
}

// post sends a request with a body of some bytes and returns the body of the response.
func post(t *testing.T, c *transporter.Client, length int) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	resp, err := c.Do(ctx, transporter.NewRequest(http.MethodPost, "/x", make([]byte, length)))
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
			c := transporter.New(newRawServer(t, func(conn *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
				tt.end(conn)
			}).Address())
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
			c := transporter.New(newRawServer(t, func(conn *net.TCPConn, req *http.Request) {
				_, _ = io.CopyN(io.Discard, req.Body, uploadLength/4)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\ngood")
				tt.after(conn)
				time.Sleep(20 * time.Millisecond) // the response is read before the rest of the request
				_, _ = io.Copy(io.Discard, req.Body)
			}).Address())
			defer c.Close()
			for range 3 {
				body, err := post(t, c, uploadLength)
				is.NoErr(err)
				is.Equal(body, "good")
			}
		})
	}
}

// newKeepingServer starts a server that answers each request on its connections with the
// same bytes.
func newKeepingServer(t *testing.T, response string) *emulator.RawServer {
	t.Helper()
	return newRawServer(t, func(conn *net.TCPConn, req *http.Request) {
		r := bufio.NewReader(conn)
		for err := error(nil); err == nil; req, err = http.ReadRequest(r) {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(conn, response)
		}
	})
}

// checkBroken sends two requests to a server whose response is broken. Neither must have an
// answer, and the connection of the first one must not be used again.
func checkBroken(t *testing.T, response string, want error) {
	t.Helper()
	is := is.New(t)
	server := newKeepingServer(t, response)
	c := transporter.New(server.Address())
	defer c.Close()
	for range 2 {
		_, err := post(t, c, 1)
		t.Logf("error: %v", err)
		is.True(errors.Is(err, transporter.ErrNoAnswer))
		is.True(want == nil || errors.Is(err, want))
	}
	is.Equal(server.Connections(), 2)
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

// Guards against a response with a field whose name is none, in whose place another reader
// may find the length of the body.
func TestInvalidFieldName(t *testing.T) {
	lines := []struct {
		name, line string
		want       error // nil if net/http rejects the line
	}{
		{"blank inside", "X Y: 1\r\n", transporter.ErrField},
		{"blank before the colon", "X-Y : 1\r\n", transporter.ErrField},
		{"length with a blank before the colon", "Content-Length : 1\r\n", transporter.ErrField},
		{"coding with a blank before the colon", "Transfer-Encoding : chunked\r\n", transporter.ErrField},
		{"tab inside", "X\tY: 1\r\n", nil},
		{"control byte", "X\x01Y: 1\r\n", nil},
		{"empty", ": 1\r\n", nil},
	}
	for _, tt := range lines {
		responses := []struct{ name, text string }{
			{"first in the head", "HTTP/1.1 200 OK\r\n" + tt.line + "Content-Length: 4\r\n\r\nbody"},
			{"last in the head", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + tt.line + "\r\nbody"},
			{"without a body", "HTTP/1.1 204 No Content\r\n" + tt.line + "\r\n"},
			{"interim head", "HTTP/1.1 103 Early Hints\r\n" + tt.line + "\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"},
			{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + tt.line + "\r\n"},
		}
		for _, r := range responses {
			t.Run(tt.name+", "+r.name, func(t *testing.T) { checkBroken(t, r.text, tt.want) })
		}
	}
}

// Guards against sound responses that the checks of heads reject.
func TestSoundHeads(t *testing.T) {
	const tokens = "!#$%&'*+-.^_`|~09azAZ: 1\r\n"
	tests := []struct{ name, text string }{
		{"token characters", "HTTP/1.1 200 OK\r\n" + tokens + "Content-Length: 4\r\n\r\ngood"},
		{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X Y, Z\r\n\r\n4\r\ngood\r\n0\r\n" + tokens + "\r\n"},
		{"interim heads", strings.Repeat("HTTP/1.1 102 Processing\r\n"+tokens+"\r\n", 20) + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"},
		{"values", "HTTP/1.1 200 OK\r\nX: a b\tc : \xe9\r\n folded\r\nY:\r\nContent-Length:4\r\n\r\ngood"},
		{"highest status", "HTTP/1.1 599 x\r\nContent-Length: 4\r\n\r\ngood"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server := newKeepingServer(t, tt.text)
			c := transporter.New(server.Address())
			defer c.Close()
			for range 2 {
				body, err := post(t, c, 1)
				is.NoErr(err)
				is.Equal(body, "good")
			}
			is.Equal(server.Connections(), 1)
		})
	}
}
