package transporter

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

var (
	errAbandoned = eris.New("request was abandoned")
	errDeadline  = eris.New("write deadline exceeded")
)

// sendState records whether any byte of a request was written, on any of the
// connections that the request uses.
type sendState struct {
	writeDeadline time.Time // zero means none

	mu        sync.Mutex
	abandoned bool
	written   bool
}

// beginWrite permits a write or returns the reason against it. It reports
// whether this is the first write.
func (x *sendState) beginWrite() (first bool, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.abandoned {
		return false, errAbandoned
	}
	// The runtime enforces the deadline of a connection by a timer, which may
	// fire late after a pause of the process, so the clock is checked here as
	// well.
	if !x.writeDeadline.IsZero() && !time.Now().Before(x.writeDeadline) {
		return false, errDeadline
	}
	first = !x.written
	x.written = true
	return first, nil
}

// undoFirstWrite records that the first write wrote no byte.
func (x *sendState) undoFirstWrite() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.written = false
}

// abandon makes all later writes fail and reports whether any write took place.
func (x *sendState) abandon() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.abandoned = true
	return x.written
}

// conn is a connection that carries one request at a time.
type conn struct {
	*checkedConn
	current atomic.Pointer[sendState]
}

// attach assigns later writes to the request x.
func (c *conn) attach(x *sendState) {
	c.current.Store(x)
	// If the deadline cannot be set, the next write fails.
	_ = c.SetWriteDeadline(x.writeDeadline)
}

// Write writes to the connection on behalf of the current request.
func (c *conn) Write(b []byte) (int, error) {
	x := c.current.Load()
	if x == nil {
		return 0, errAbandoned
	}
	first, err := x.beginWrite()
	if err != nil {
		return 0, err
	}
	n, err := c.checkedConn.Write(b)
	if err != nil {
		if n == 0 && first {
			x.undoFirstWrite()
		}
		return n, fmt.Errorf("write request: %w", err)
	}
	return n, nil
}

// checkedConn is a connection whose reads end with io.EOF only if the request on it was
// written completely. The kernel reports a reset of the connection only once: if a write
// gets it, a read finds a proper end.
type checkedConn struct {
	net.Conn
	upload    atomic.Pointer[upload] // body of the current request; nil if it has none
	writing   sync.Mutex             // held during a write
	writeErr  error                  // of the first write that failed
	closeOnce sync.Once
	closed    chan struct{}
}

func newCheckedConn(inner net.Conn) *checkedConn {
	return &checkedConn{Conn: inner, closed: make(chan struct{})}
}

// setUpload sets the body of the current request.
func (c *checkedConn) setUpload(u *upload) { c.upload.Store(u) }

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

// awaitWrite waits until the current request is written or the connection is closed. It
// returns an error unless the request was written completely.
func (c *checkedConn) awaitWrite() error {
	if u := c.upload.Load(); u != nil {
		select {
		case <-u.ended:
		case <-c.closed:
			return net.ErrClosed
		}
		if !u.complete() {
			return errIncompleteUpload
		}
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}

// Close closes the connection, which ends pending reads and writes.
func (c *checkedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
