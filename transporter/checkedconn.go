package transporter

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// requestWrite is the write of a request.
type requestWrite struct {
	once  sync.Once
	ended chan struct{}
}

func newRequestWrite() *requestWrite { return &requestWrite{ended: make(chan struct{})} }

func (w *requestWrite) end() { w.once.Do(func() { close(w.ended) }) }

// checkedConn is a connection whose reads end with io.EOF only if the request on it was
// written without an error. The kernel reports a reset of the connection only once: if a
// write gets it, a read finds a proper end.
type checkedConn struct {
	net.Conn
	current   atomic.Pointer[requestWrite] // of the latest request
	writing   sync.Mutex                   // held during a write
	writeErr  error                        // of the first write that failed
	closeOnce sync.Once
	closed    chan struct{}
}

func newCheckedConn(inner net.Conn) *checkedConn {
	return &checkedConn{Conn: inner, closed: make(chan struct{})}
}

// beginRequest makes reads that find the end of the connection wait until w has ended.
func (c *checkedConn) beginRequest(w *requestWrite) { c.current.Store(w) }

func (c *checkedConn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

func (c *checkedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if writeErr := c.awaitWrite(); writeErr != nil {
		return n, fmt.Errorf("%w: %w", ErrEnd, writeErr)
	}
	return n, io.EOF
}

// awaitWrite waits until the latest request is written or the connection is closed, and
// returns the error of the first write that failed.
func (c *checkedConn) awaitWrite() error {
	if w := c.current.Load(); w != nil {
		select {
		case <-w.ended:
		case <-c.closed:
			return net.ErrClosed
		}
	}
	// net/http writes the last bytes of a request after it has reported the end.
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}

// Close closes the connection, which ends pending reads and writes.
func (c *checkedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
