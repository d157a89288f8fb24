package assembler

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/sleeper"
)

// idleInterval is how often idle connections are looked at.
const idleInterval = 500 * time.Millisecond

// idleConnections closes connections of callers that have been without a call for
// too long. The server's own timeout cannot change while it runs, and the
// configuration may.
type idleConnections struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

// watch notes the states of a server's connections.
func (c *idleConnections) watch(s *http.Server) {
	c.since = make(map[net.Conn]time.Time)
	s.IdleTimeout = 0
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if state == http.StateIdle {
			c.since[conn] = time.Now()
		} else {
			delete(c.since, conn)
		}
	}
}

// sweep closes idle connections until ctx ends.
func (c *idleConnections) sweep(ctx context.Context, limit func() time.Duration) {
	for sleeper.Sleep(ctx, idleInterval) == nil {
		for _, conn := range c.old(limit()) {
			_ = conn.Close() // the server notices and forgets it
		}
	}
}

func (c *idleConnections) old(limit time.Duration) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []net.Conn
	for conn, since := range c.since {
		if time.Since(since) > limit {
			list = append(list, conn)
			delete(c.since, conn)
		}
	}
	return list
}
