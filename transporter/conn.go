package transporter

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

var (
	errSealed   = eris.New("the request was given up")
	errDeadline = eris.New("the write deadline has passed")
)

// exchange is one request from the view of the connections that it uses.
type exchange struct {
	deadline time.Time // zero means none

	mu      sync.Mutex
	sealed  bool
	written bool
}

// enter asks for leave to write. It reports whether this is the first write.
func (x *exchange) enter() (first bool, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.sealed {
		return false, errSealed
	}
	// The runtime notices a connection's deadline by a timer that may fire late
	// after a pause of the process, so the clock is read again here.
	if !x.deadline.IsZero() && !time.Now().Before(x.deadline) {
		return false, errDeadline
	}
	first = !x.written
	x.written = true
	return first, nil
}

// undo takes back the first write, which has written nothing.
func (x *exchange) undo() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.written = false
}

// seal makes all later writes fail and reports whether any write took place.
func (x *exchange) seal() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sealed = true
	return x.written
}

// conn is a connection that carries one exchange at a time.
type conn struct {
	net.Conn
	current atomic.Pointer[exchange]
}

// attach makes the exchange the one that writes are counted for.
func (c *conn) attach(x *exchange) {
	c.current.Store(x)
	// A connection that does not take the deadline fails its next write.
	_ = c.SetWriteDeadline(x.deadline)
}

// Write writes to the connection on behalf of the present exchange.
func (c *conn) Write(b []byte) (int, error) {
	x := c.current.Load()
	if x == nil {
		return 0, errSealed
	}
	first, err := x.enter()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if err != nil {
		if n == 0 && first {
			x.undo()
		}
		return n, fmt.Errorf("write request: %w", err)
	}
	return n, nil
}
