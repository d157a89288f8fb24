package exchanger_test

import (
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
	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/tracker"
	"github.com/dragonflyford/dragonflyford/transporter"
)

// uploadLength is in bytes; such a body is still being written when an early answer is read.
const uploadLength = 4 << 20

// newEarlyPeer starts an endpoint that answers each call once its head has been read.
func newEarlyPeer(t *testing.T, answer func(conn *net.TCPConn, req *http.Request)) *tracker.Endpoint {
	t.Helper()
	server, err := emulator.NewRawServer(answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	fleet := tracker.New(nil)
	fleet.Upsert(tracker.NewEntry("e1", "svc", server.Address(), "z", 4, false, 1, nil))
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
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "-00", "+99", "0", "00", "0000", "2 0", "abc"} {
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

// Guards against an answer in whose head the name of a field is none: the line may be
// another field that a proxy before the endpoint reads, such as the length of the body.
func TestInvalidFieldName(t *testing.T) {
	const (
		ok      = "HTTP/1.1 200 OK\r\n"
		fields  = "Id: ID\r\nSigned: 1\r\nContent-Length: 3\r\n"
		chunked = "Id: ID\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n"
	)
	lines := []struct {
		name string
		line string
	}{
		{"blank inside", "X Y: 1\r\n"},
		{"blank before the colon", "X-Y : 1\r\n"},
		{"length with a blank before the colon", "Content-Length : 1\r\n"},
		{"coding with a blank before the colon", "Transfer-Encoding : chunked\r\n"},
		{"blanks only", "Connection: close\r\nX  : 1\r\n"},
		{"tab inside", "X\tY: 1\r\n"},
		{"tab before the colon", "X-Y\t: 1\r\n"},
		{"control byte", "X\x01Y: 1\r\n"},
		{"NUL byte", "X\x00Y: 1\r\n"},
		{"delete byte", "X\x7fY: 1\r\n"},
		{"carriage return", "X\rY: 1\r\n"},
		{"no token character", "X(Y): 1\r\n"},
		{"byte above ASCII", "X\xe9Y: 1\r\n"},
		{"empty", ": 1\r\n"},
	}
	for _, tt := range lines {
		answers := []struct{ name, text string }{
			{"first in the head", ok + tt.line + fields + "\r\nbad"},
			{"last in the head", ok + fields + tt.line + "\r\nbad"},
			{"without a length", ok + tt.line + "Id: ID\r\nSigned: 1\r\n\r\nbad"},
			{"interim head", "HTTP/1.1 103 Early Hints\r\n" + tt.line + "\r\n" + okAnswer},
			{"answer to another call", ok + "Id: other\r\nSigned: 1\r\nContent-Length: 0\r\n" + tt.line + "\r\n" + okAnswer},
			{"error", "HTTP/1.1 500 Error\r\n" + tt.line + fields + "\r\nbad"},
			{"refusal", "HTTP/1.1 503 Unavailable\r\nRefused: 1\r\n" + tt.line + fields + "\r\nbad"},
			{"trailer of an answer to another call", ok + "Id: other\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + tt.line + "\r\n" + okAnswer},
			{"trailer", ok + chunked + "\r\n3\r\nbad\r\n0\r\n" + tt.line + "\r\n"},
		}
		for _, a := range answers {
			t.Run(tt.name+", "+a.name, func(t *testing.T) {
				checkBroken(t, a.text, transporter.ErrField)
			})
		}
	}
}

// Guards against sound answers that the checks of heads reject.
func TestSoundHeads(t *testing.T) {
	const allTokens = "!#$%&'*+-.^_`|~09azAZ"
	tests := []struct{ name, text string }{
		{"token characters", okHead + allTokens + ": 1\r\nContent-Length: 4\r\n\r\ngood"},
		{"token characters in an interim head", "HTTP/1.1 103 Early Hints\r\n" + allTokens + ": 1\r\n\r\n" + okHead + "Content-Length: 4\r\n\r\ngood"},
		{"token characters in a trailer", okHead + "Transfer-Encoding: chunked\r\nTrailer: X Y, Z\r\n\r\n4\r\ngood\r\n0\r\n" + allTokens + ": 1\r\n\r\n"},
		{"several interim heads", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 199 x\r\n\r\n" + okHead + "Content-Length: 4\r\n\r\ngood"},
		{"values", okHead + "X: a b\tc : \xe9\r\n folded\r\nY:\r\nContent-Length:4\r\n\r\ngood"},
		{"highest status", strings.Replace(okHead, "200", "599", 1) + "Content-Length: 4\r\n\r\ngood"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, e := newPeer(t, func(w net.Conn, id string, _ int) bool {
				return write(w, strings.ReplaceAll(tt.text, "ID", id))
			})
			c := exchanger.New(dialect{})
			defer c.Close()
			for i := range 2 {
				got := do(t, c, e, fmt.Sprint("call-", i), "body")
				is.NoErr(got.err)
				is.Equal(got.body, "good")
			}
		})
	}
}
