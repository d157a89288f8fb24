package forwarder

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

// keepAlive detects dead hosts within 8 seconds, which is of the same order as
// the lease time of 6 seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

// userTimeout is how long sent data may stay unacknowledged. It equals the
// detection time of keepAlive.
const userTimeout = 8 * time.Second

// enableDeadPeerDetection configures a TCP connection to fail when the remote
// host is dead or unreachable.
func enableDeadPeerDetection(conn net.Conn) error {
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

// countedConn counts the transferred bytes and sets a deadline for each write.
type countedConn struct {
	net.Conn
	writeTimeout time.Duration
	sent         *atomic.Int64 // may be nil
	received     *atomic.Int64 // may be nil
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
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if c.sent != nil {
		c.sent.Add(int64(n))
	}
	return n, err
}
