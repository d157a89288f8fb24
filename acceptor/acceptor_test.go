package acceptor_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/acceptor"
	"github.com/dragonflyford/dragonflyford/reserver"
)

// deployment is a server behind an acceptor.
type deployment struct {
	*acceptor.Acceptor
	address string
	headers *reserver.Reserver

	mu          sync.Mutex
	headerBytes int
	causes      []acceptor.Cause
}

const (
	connections   = 3
	headerTimeout = 300 * time.Millisecond
	idleTime      = 5 * time.Second
	slowAnswer    = 3 * headerTimeout
)

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &deployment{address: l.Addr().String(), headers: reserver.New(200_000, 0, 0), headerBytes: 1000}
	limits := acceptor.NewLimits(connections, func() int { d.mu.Lock(); defer d.mu.Unlock(); return d.headerBytes },
		func() time.Duration { return headerTimeout }, func() time.Duration { return idleTime })
	d.Acceptor = acceptor.New(l, limits, d.headers, func(c acceptor.Cause) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.causes = append(d.causes, c)
	})
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			select {
			case <-time.After(slowAnswer):
			case <-r.Context().Done():
				return
			}
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "ok")
	})}
	d.Attach(s)
	go func() { _ = s.Serve(d.Acceptor) }()
	t.Cleanup(func() { _ = s.Close() })
	return d
}

func (d *deployment) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}

// status sends a text and returns the status of the response, or 0 if there is none.
func status(conn net.Conn, text string) int {
	_, _ = io.WriteString(conn, text) // a refusal may come before the end
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (d *deployment) has(cause acceptor.Cause) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.causes {
		if c == cause {
			return true
		}
	}
	return false
}

func (d *deployment) waitUntilClosed(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); d.Open() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections are open", d.Open())
		}
	}
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against header limits that are not enforced, that do not follow changes, or that
// end a request whose answer takes longer than its header may.
func TestHeaders(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	long := "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 6000) + "\r\n\r\n"
	is.Equal(status(d.dial(t), long), http.StatusRequestHeaderFieldsTooLarge)
	is.True(d.has(acceptor.CauseHeaderBytes))
	d.mu.Lock()
	d.headerBytes = 8000
	d.mu.Unlock()
	is.Equal(status(d.dial(t), long), http.StatusOK)
	conn := d.dial(t)
	is.Equal(status(conn, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"), http.StatusOK)
	is.Equal(status(conn, request), http.StatusOK) // the connection is kept
	began := time.Now()
	is.Equal(status(conn, "GET / HTTP/1.1\r\nHost"), http.StatusBadRequest)
	is.True(time.Since(began) >= headerTimeout)
	is.True(d.has(acceptor.CauseHeaderTime))
}

// Guards against a header that goes on after its connection was refused in the middle of a
// line: a bufio.Reader drops that error.
func TestRefusedInsideLine(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	conn := d.dial(t)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\n")
	is.NoErr(err)
	time.Sleep(headerTimeout / 10) // the rest is read separately
	for i := range 200 {
		_, _ = fmt.Fprintf(conn, "x%d: %s\r\n", i, strings.Repeat("x", 100)) // the connection may be closed
	}
	_, _ = io.WriteString(conn, "unfinished")
	d.waitUntilClosed(t)
	is.True(d.has(acceptor.CauseHeaderBytes))
	is.Equal(d.headers.Held(), int64(0))
}

// Guards against headers of many short fields, which take far more memory than bytes.
func TestHeaderMemory(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	d.mu.Lock()
	d.headerBytes = 1 << 20
	d.mu.Unlock()
	is.Equal(status(d.dial(t), "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 3000)), http.StatusServiceUnavailable)
	is.True(d.has(acceptor.CauseHeaderMemory))
	d.waitUntilClosed(t)
	is.Equal(d.headers.Held(), int64(0))
}

// Guards against more connections than the limit, against connections that are refused
// while idle ones could be closed, and against calls that are cut for new connections.
func TestConnections(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	answers := make(chan int, connections)
	for range connections {
		conn := d.dial(t)
		go func() { answers <- status(conn, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n") }()
	}
	time.Sleep(slowAnswer / 3) // until the calls are in progress
	is.Equal(status(d.dial(t), request), http.StatusServiceUnavailable)
	is.Equal(d.Open(), connections)
	for range connections {
		is.Equal(<-answers, http.StatusOK)
	}
	is.Equal(status(d.dial(t), request), http.StatusOK) // an idle one was closed
	is.True(d.has(acceptor.CauseEvicted))
	is.True(d.Open() <= connections)
}

// Guards against more connections than the limit, against an established one that is closed
// for a new one, and against one that is counted after its end or subtracted twice.
func TestLimited(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	refused := make(chan acceptor.Cause, 1)
	l := acceptor.NewLimited(inner, connections, func(c acceptor.Cause) { refused <- c })
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
		return conn
	}
	var clients, servers []net.Conn
	for range connections {
		clients = append(clients, dial())
		servers = append(servers, <-accepted)
	}
	for range 2 {
		_, err = dial().Read(make([]byte, 1))
		is.True(err != nil)
		is.Equal(<-refused, acceptor.CausePeerConnections)
		is.Equal(l.Open(), connections)
	}
	for i, conn := range servers {
		_, err = conn.Write([]byte("x"))
		is.NoErr(err)
		_, err = io.ReadFull(clients[i], make([]byte, 1))
		is.NoErr(err)
	}
	is.NoErr(servers[0].Close())
	is.True(servers[0].Close() != nil) // already closed
	is.Equal(l.Open(), connections-1)
	_ = dial()
	<-accepted
	is.Equal(l.Open(), connections)
}
