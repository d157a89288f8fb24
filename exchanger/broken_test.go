package exchanger_test

import (
	"bufio"
	"errors"
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
	"github.com/dragonflyford/dragonflyford/transporter"
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

// checkBroken makes two calls to an endpoint whose answer is broken. Both must fail, and
// the connection of the first one must not be used again.
func checkBroken(t *testing.T, answer string, want error) {
	t.Helper()
	is := is.New(t)
	p, e := newPeer(t, func(w net.Conn, id string, _ int) bool {
		return write(w, strings.ReplaceAll(answer, "ID", id))
	})
	c := exchanger.New(dialect{})
	defer c.Close()
	for i := range 2 {
		got := do(t, c, e, fmt.Sprint("call-", i), "body")
		t.Logf("error: %v", got.err)
		is.True(got.err != nil)
		is.True(got.sent)
		if want != nil {
			is.True(errors.Is(got.err, want))
		}
	}
	conns, calls := p.counts()
	is.Equal(conns, 2)
	is.Equal(calls, 2) // a call is never sent twice
	is.Equal(e.Outstanding(), 0)
}

// okAnswer is a complete answer, also to a call that another answer came before.
const okAnswer = okHead + "Content-Length: 3\r\n\r\nbad"

// Guards against an answer whose status is none, and against the bytes after it that are
// taken for the answer.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999", "-00", "+99", "0", "00", "0000", "2 0", "abc"} {
		head := strings.Replace(okHead, "200 OK", status+" x", 1)
		t.Run(status, func(t *testing.T) {
			var want error
			if len(status) == 3 && !strings.ContainsAny(status, " a") {
				want = transporter.ErrStatus
			}
			checkBroken(t, head+"\r\n"+okAnswer, want)
			checkBroken(t, head+"Content-Length: 3\r\n\r\nbad", want)
			checkBroken(t, strings.Replace(head, "Id: ID\r\n", "", 1)+"\r\n"+okAnswer, want)
			checkBroken(t, strings.Replace(head, "Id: ID", "Id: other", 1)+"Content-Length: 3\r\n\r\nbad"+okAnswer, want)
		})
	}
}
