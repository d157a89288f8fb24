package exchanger_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// uploadLength is in bytes; such a body is still being written when an early answer is read.
const uploadLength = 4 << 20

// newEarlyPeer starts an endpoint that answers each call once its head has been read.
// When answer returns, the connection is closed.
func newEarlyPeer(t *testing.T, answer func(conn *net.TCPConn, req *http.Request)) *tracker.Endpoint {
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
					answer(conn.(*net.TCPConn), req)
				}
			}()
		}
	}()
	fleet := tracker.New(nil)
	fleet.Upsert(tracker.NewEntry("e1", "svc", l.Addr().String(), "z", 4, false, 1, nil))
	return fleet.Current().Endpoint("e1")
}

// unframedHead returns the head of an answer without a length.
func unframedHead(status int, req *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\nId: %s\r\nSigned: 1\r\n\r\n", status, req.Header.Get("Id"))
}

// Guards against the beginning of an answer without a length that is taken for the whole
// one, because the endpoint reset the connection while the call was being written: the
// kernel reports the reset to the write, and the read finds an end.
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
		for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusInternalServerError} {
			t.Run(fmt.Sprint(tt.name, " after the status ", status), func(t *testing.T) {
				is := is.New(t)
				e := newEarlyPeer(t, func(conn *net.TCPConn, req *http.Request) {
					_ = write(conn, unframedHead(status, req)+"id: 0\ndata: 0\n\n")
					tt.end(conn)
				})
				c := exchanger.New(dialect{})
				defer c.Close()
				for i := range 10 {
					got := do(t, c, e, fmt.Sprint("call-", i), strings.Repeat("x", uploadLength))
					is.True(got.err != nil)
					is.True(got.sent)
				}
				is.Equal(e.Outstanding(), 0)
			})
		}
	}
}

// Guards against a complete answer without a length that is rejected, because it came
// before the whole call was read.
func TestEarlyUnframedAnswer(t *testing.T) {
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
			e := newEarlyPeer(t, func(conn *net.TCPConn, req *http.Request) {
				_, _ = io.CopyN(io.Discard, req.Body, uploadLength/4)
				_ = write(conn, unframedHead(http.StatusOK, req)+"good")
				tt.after(conn)
				time.Sleep(20 * time.Millisecond) // the answer is read before the rest of the call
				_, _ = io.Copy(io.Discard, req.Body)
			})
			c := exchanger.New(dialect{})
			defer c.Close()
			for i := range 3 {
				got := do(t, c, e, fmt.Sprint("call-", i), strings.Repeat("x", uploadLength))
				is.NoErr(got.err)
				is.Equal(got.body, "good")
			}
		})
	}
}
