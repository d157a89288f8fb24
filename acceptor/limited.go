package acceptor

import (
	"net"
	"sync"
	"sync/atomic"
)

// Limited is a listener that bounds the number of its open connections, for protocols
// other than HTTP. It refuses a new connection by closing it and never closes an
// established one, since it cannot tell whether that one is in use.
type Limited struct {
	net.Listener
	limit    int64
	open     atomic.Int64
	onRefuse func(Cause)
}

// NewLimited returns a listener that passes on at most limit open connections of l.
// onRefuse is called for each connection that is refused.
func NewLimited(l net.Listener, limit int, onRefuse func(Cause)) *Limited {
	return &Limited{Listener: l, limit: int64(limit), onRefuse: onRefuse}
}

// Open returns the number of open connections.
func (l *Limited) Open() int { return int(l.open.Load()) }

// Accept returns the next connection within the limit.
func (l *Limited) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // servers check the type
		}
		if l.open.Add(1) <= l.limit {
			return &limitedConn{Conn: raw, listener: l}, nil
		}
		l.open.Add(-1)
		_ = raw.Close() // nobody could act on an error
		l.onRefuse(CausePeerConnections)
	}
}

// limitedConn is a connection that counts until it is closed.
type limitedConn struct {
	net.Conn
	listener *Limited
	closed   sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.closed.Do(func() { c.listener.open.Add(-1) })
	return err //nolint:wrapcheck // of the embedded connection
}
