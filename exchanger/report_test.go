package exchanger_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/exchanger"
)

const refusalText = "HTTP/1.1 503 Service Unavailable\r\nRefused: 1\r\nContent-Length: 0\r\n"

// Guards against a refusal that an endpoint writes once more on a kept connection and
// that is taken for the answer to another call, or to the same call that is sent there
// again: its caller would be told that the call did not run while it runs.
func TestRepeatedRefusal(t *testing.T) {
	tests := []struct {
		name    string
		ids     []string // of the calls, in order
		refusal string   // without the empty line at its end
	}{
		{"another call, refusal with an id", []string{"a", "b"}, refusalText + "Id: a\r\n"},
		{"another call, refusal without an id", []string{"a", "b"}, refusalText},
		{"the same call again, refusal with an id", []string{"a", "a"}, refusalText + "Id: a\r\n"},
		{"the same call again, refusal without an id", []string{"a", "a"}, refusalText},
		{"the same call after another one", []string{"a", "b", "a"}, refusalText + "Id: a\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, e := newPeer(t, func(w net.Conn, id string, n int) bool {
				if n == 0 && id == tt.ids[0] { // the first call on a connection is refused
					return write(w, refusalText+"Id: "+id+"\r\n\r\n")
				}
				time.Sleep(20 * time.Millisecond) // the call is running
				return write(w, tt.refusal+"\r\n") && write(w, reply(id, "answer to "+id))
			})
			c := exchanger.New(dialect{})
			defer c.Close()
			is.NoErr(do(t, c, e, tt.ids[0], "x").err) // refused
			for _, id := range tt.ids[1:] {
				got := do(t, c, e, id, "x")
				// An answer is the call's own or a true refusal, and an error says that the
				// call may have run.
				switch {
				case got.err != nil:
					is.True(got.sent)
				case got.body == "":
					is.True(id == tt.ids[0]) // the first call on a new connection
				default:
					is.Equal(got.body, "answer to "+id)
				}
			}
		})
	}
}

// Guards against a refusal that is accepted on a connection on which the call ran.
func TestRefusalAfterRun(t *testing.T) {
	is := is.New(t)
	calls, runs := 0, 0
	p, e := newPeer(t, func(w net.Conn, id string, n int) bool {
		if calls++; calls == 1 {
			return write(w, refusalText+"Id: "+id+"\r\n\r\n")
		}
		runs++
		time.Sleep(20 * time.Millisecond)
		if n > 0 {
			return write(w, refusalText+"Id: "+id+"\r\n\r\n") // the earlier one once more
		}
		return write(w, reply(id, "ran"))
	})
	c := exchanger.New(dialect{})
	defer c.Close()
	is.NoErr(do(t, c, e, "a", "x").err)
	got := do(t, c, e, "a", "x") // the host sends it again
	is.NoErr(got.err)
	is.Equal(got.body, "ran")
	is.Equal(runs, 1)
	conns, _ := p.counts()
	is.Equal(conns, 2)
}

// Guards against an answer whose head breaks off and that is passed on as a complete one
// with an empty or a short body.
func TestHeadCutAtEachByte(t *testing.T) {
	is := is.New(t)
	heads := []string{
		reply("%", "a body of some length"),
		"HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 210\r\nId: %\r\n\r\n" + strings.Repeat("x", 210),
		"HTTP/1.1 200 OK\r\nSigned: 1\r\nId: %\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	}
	for _, whole := range heads {
		for n := range len(whole) {
			_, e := newPeer(t, func(w net.Conn, id string, _ int) bool {
				_ = write(w, strings.ReplaceAll(whole, "%", id)[:n])
				return false
			})
			c := exchanger.New(dialect{})
			got := do(t, c, e, "a", "x")
			is.True(got.err != nil)
			is.True(got.sent)
			c.Close()
		}
	}
}
