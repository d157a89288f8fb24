package forwarder

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

// keepAlive finds dead hosts within 8 seconds, which is in the order of the
// lease time of 6 seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

// unacknowledged is how long a host may not acknowledge data; see keepAlive.
const unacknowledged = 8 * time.Second

// detectDeath makes a connection fail when the other host is gone.
func detectDeath(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := tcp.SetKeepAliveConfig(keepAlive); err != nil {
		return fmt.Errorf("set keep-alive: %w", err)
	}
	if err := setUserTimeout(tcp); err != nil {
		return fmt.Errorf("set user timeout: %w", err)
	}
	return nil
}

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
