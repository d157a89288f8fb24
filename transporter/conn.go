package transporter

import (
	"fmt"
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
	state atomic.Pointer[sendState]
}

// attach assigns later writes to the request x.
func (c *conn) attach(x *sendState) {
	c.state.Store(x)
	// If the deadline cannot be set, the next write fails.
	_ = c.SetWriteDeadline(x.writeDeadline)
}

// Write writes to the connection on behalf of the current request.
func (c *conn) Write(b []byte) (int, error) {
	x := c.state.Load()
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
