package assembler_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/platform/emulator"
)

// Guards against a caller that does not read its answer and thereby holds the connection
// to the endpoint for longer than its call may take.
func TestCallerThatDoesNotRead(t *testing.T) {
	t.Parallel()
	const callTime = 2 * time.Second
	is := is.New(t)
	d := newDeployment(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	closed := make(chan time.Time, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Read(make([]byte, 4096)) // the request
		_, err = conn.Write(emulator.ResponseHead("unread", 1_000_000_000))
		for err == nil {
			_, err = io.WriteString(conn, strings.Repeat("x", 1<<16))
		}
		closed <- time.Now()
	}()
	endless := emulator.NewEndpoint("i-endless", emulator.NewServiceOptions(0))
	d.address[endless.ID()] = l.Addr().String()
	d.setEntry(endless, "ledger", "ready")
	d.setEntry(d.plain, "ledger", "draining")
	d.start(hostA)
	conn, err := net.Dial("tcp", d.listenAddress(hostA, 0))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	req, err := emulator.NewCall("unread", "h", "/post/x", "body", callTime, "").Request(t.Context(), d.listenAddress(hostA, 0))
	is.NoErr(err)
	began := time.Now()
	is.NoErr(req.Write(conn))
	select {
	case at := <-closed:
		is.True(at.Sub(began) >= callTime/2) // it was sent to this endpoint, and not refused
	case <-time.After(callTime + 8*time.Second):
		t.Error("the connection to the endpoint is still open 8 s after the end of the call")
	}
}
