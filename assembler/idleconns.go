package assembler

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/sleeper"
)

// idleCheckInterval is the time between two checks for expired connections.
const idleCheckInterval = 500 * time.Millisecond

// idleConnections closes callers' connections that have been idle for too long.
// The configured timeout may change while the server runs;
// http.Server.IdleTimeout may not.
type idleConnections struct {
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

// track records since when connections of a server are idle, and disables the
// server's own idle timeout.
func (c *idleConnections) track(s *http.Server) {
	c.idleSince = make(map[net.Conn]time.Time)
	s.IdleTimeout = 0
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if state == http.StateIdle {
			c.idleSince[conn] = time.Now()
		} else {
			delete(c.idleSince, conn)
		}
	}
}

// closeExpired closes connections that are idle for longer than limit, until
// ctx is done.
func (c *idleConnections) closeExpired(ctx context.Context, limit func() time.Duration) {
	for sleeper.Sleep(ctx, idleCheckInterval) == nil {
		for _, conn := range c.takeExpired(limit()) {
			_ = conn.Close() // the server detects this and drops the connection
		}
	}
}

func (c *idleConnections) takeExpired(limit time.Duration) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []net.Conn
	for conn, since := range c.idleSince {
		if time.Since(since) > limit {
			list = append(list, conn)
			delete(c.idleSince, conn)
		}
	}
	return list
}
