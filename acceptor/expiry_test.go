package acceptor_test

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/acceptor"
	"github.com/dragonflyford/dragonflyford/reserver"
)

// busyListener accepts connections whose first read does not see the bytes that have
// arrived, as that of a host with other work to do, until it is woken.
type busyListener struct{ net.Listener }

func (l busyListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &busyConn{Conn: conn, woken: make(chan struct{})}, nil
}

type busyConn struct {
	net.Conn
	woken chan struct{}
	wake  sync.Once
}

func (c *busyConn) Read(p []byte) (int, error) {
	select {
	case <-c.woken:
		return c.Conn.Read(p)
	default:
		<-c.woken
		return 0, os.ErrDeadlineExceeded
	}
}

func (c *busyConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && !t.After(time.Now()) {
		c.wake.Do(func() { close(c.woken) })
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *busyConn) Close() error {
	c.wake.Do(func() { close(c.woken) })
	return c.Conn.Close()
}

// startServer starts a server behind an acceptor of one connection, which may be idle for a
// time. It answers with "ok".
func startServer(t *testing.T, l net.Listener, idle time.Duration, onClose func(acceptor.Cause)) (*acceptor.Acceptor, *http.Server) {
	t.Helper()
	limits := acceptor.NewLimits(1, func() int { return 1000 }, func() time.Duration { return time.Minute }, func() time.Duration { return idle })
	accept := acceptor.New(l, limits, reserver.New(200_000, 0, 0), onClose)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
	accept.Attach(s)
	go func() { _ = s.Serve(accept) }()
	t.Cleanup(func() { _ = s.Close() })
	go accept.Run(t.Context())
	return accept, s
}

// Guards against a whole request that has arrived, and is thrown away without an answer,
// because its connection counts as idle: too long, for a new connection, or in a stop.
func TestRequestOnExpiredConnection(t *testing.T) {
	const arrivalTime = 50 * time.Millisecond
	tests := []struct {
		name   string
		idle   time.Duration
		expire func(address string, a *acceptor.Acceptor, s *http.Server) error
	}{
		{"idle for too long", 2 * arrivalTime, func(string, *acceptor.Acceptor, *http.Server) error { return nil }},
		{"evicted", time.Minute, func(address string, _ *acceptor.Acceptor, _ *http.Server) error {
			_, err := net.Dial("tcp", address)
			return err
		}},
		{"the server stops", time.Minute, func(_ string, a *acceptor.Acceptor, s *http.Server) error {
			a.ExpireIdle(t.Context())
			return s.Shutdown(t.Context())
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			accept, s := startServer(t, busyListener{l}, tt.idle, func(acceptor.Cause) {})
			conn, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
			answered := make(chan int, 1)
			go func() { answered <- status(conn, request) }()
			time.Sleep(arrivalTime)
			is.NoErr(tt.expire(l.Addr().String(), accept, s))
			is.Equal(<-answered, http.StatusOK)
		})
	}
}

// Guards against idle connections that stay open because a request might still come, and
// against ones that are not counted.
func TestIdleConnectionEnds(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	causes := make(chan acceptor.Cause, 1)
	accept, _ := startServer(t, l, 100*time.Millisecond, func(c acceptor.Cause) { causes <- c })
	conn, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
	is.Equal(status(conn, request), http.StatusOK)
	_, err = conn.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.Equal(<-causes, acceptor.CauseIdle)
	for deadline := time.Now().Add(5 * time.Second); accept.Open() > 0; time.Sleep(10 * time.Millisecond) {
		is.True(time.Now().Before(deadline)) // the client sees the end before it is counted
	}
}

// Guards against a connection that becomes idle in a stop, and is closed later while its
// client sends the next request on it.
func TestConnectionEndsWithResponseInStop(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	conn := d.dial(t)
	answered := make(chan int, 1)
	go func() { answered <- status(conn, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n") }()
	time.Sleep(slowAnswer / 3) // until the call is in progress
	d.ExpireIdle(t.Context())
	is.Equal(<-answered, http.StatusOK)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(slowAnswer)))
	_, err := conn.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}
