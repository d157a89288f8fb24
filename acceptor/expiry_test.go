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

// Guards against a whole request that has arrived, and is thrown away without an answer,
// because its connection counts as idle: too long, or for a new connection.
func TestRequestOnExpiredConnection(t *testing.T) {
	const connections = 1
	for _, evict := range []bool{false, true} {
		name := "idle"
		if evict {
			name = "evicted"
		}
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			limit := 100 * time.Millisecond
			if evict {
				limit = time.Minute
			}
			limits := acceptor.NewLimits(connections, func() int { return 1000 }, func() time.Duration { return time.Minute }, func() time.Duration { return limit })
			accept := acceptor.New(busyListener{l}, limits, reserver.New(200_000, 0, 0), func(acceptor.Cause) {})
			s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
			accept.Attach(s)
			go func() { _ = s.Serve(accept) }()
			defer func() { _ = s.Close() }()
			go accept.Run(t.Context())
			conn, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
			answered := make(chan int, 1)
			go func() { answered <- status(conn, request) }()
			if evict {
				time.Sleep(50 * time.Millisecond) // the request arrives
				other, err := net.Dial("tcp", l.Addr().String())
				is.NoErr(err)
				defer func() { _ = other.Close() }()
			}
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
	limits := acceptor.NewLimits(10, func() int { return 1000 }, func() time.Duration { return time.Minute }, func() time.Duration { return 100 * time.Millisecond })
	accept := acceptor.New(l, limits, reserver.New(200_000, 0, 0), func(c acceptor.Cause) { causes <- c })
	s := &http.Server{Handler: http.NotFoundHandler()}
	accept.Attach(s)
	go func() { _ = s.Serve(accept) }()
	defer func() { _ = s.Close() }()
	go accept.Run(t.Context())
	conn, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
	is.Equal(status(conn, request), http.StatusNotFound)
	_, err = conn.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.Equal(<-causes, acceptor.CauseIdle)
	is.Equal(accept.Open(), 0)
}
