package forwarder

import (
	"net"
	"sync/atomic"
	"time"
)

// countedConn counts bytes and bounds writes.
type countedConn struct {
	net.Conn
	writeTime time.Duration
	sent      *atomic.Int64 // may be nil
	received  *atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.received != nil {
		c.received.Add(int64(n))
	}
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTime)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if c.sent != nil {
		c.sent.Add(int64(n))
	}
	return n, err
}
