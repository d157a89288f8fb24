// Package acceptor accepts the connections of clients for a http.Server and bounds
// what they may take: their number, the size of and the time for a request's header,
// and the time without a request. All limits may change while the server runs, which
// those of http.Server may not. Limited bounds the number of connections of other servers.
package acceptor

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/reserver"
	"github.com/dragonflyford/dragonflyford/sleeper"
)

// Cause is why a connection was refused or closed.
type Cause string

// Causes. They are values of a metric label.
const (
	CauseConnections     Cause = "connections"      // refused: too many are open
	CausePeerConnections Cause = "peer-connections" // refused by Limited: too many are open
	CauseEvicted         Cause = "evicted"          // closed for a new connection: it waited without a complete request
	CauseIdle            Cause = "idle"             // closed: no request came for too long
	CauseHeaderBytes     Cause = "header-bytes"     // its header is too long
	CauseHeaderMemory    Cause = "header-memory"    // the headers of all connections take too much memory
	CauseHeaderTime      Cause = "header-timeout"   // its header did not arrive in time
)

// Limits are the limits on connections. A function is called at each use, so that its
// value may change.
type Limits struct {
	connections             int
	headerBytes             func() int
	headerTimeout, idleTime func() time.Duration
}

// NewLimits returns limits on the number of open connections, the bytes of a header, the
// time in which it arrives, and the time without a request.
func NewLimits(connections int, headerBytes func() int, headerTimeout, idleTime func() time.Duration) Limits {
	return Limits{connections: connections, headerBytes: headerBytes, headerTimeout: headerTimeout, idleTime: idleTime}
}

const (
	checkInterval = 500 * time.Millisecond
	// expiryTime is how long the server has to notice that connections have expired.
	expiryTime = 10 * lastReadTime
	// stallTime is how long a client may pause within a request before its connection
	// may be closed for another one. Packets that are lost once take less.
	stallTime = time.Second
)

// Acceptor is a listener whose connections are bounded.
type Acceptor struct {
	net.Listener
	limits  Limits
	headers *reserver.Reserver
	onClose func(Cause)
	// stopping is whether connections end as soon as they are idle.
	stopping atomic.Bool

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// New returns an acceptor. headers is the budget for the headers of all connections.
// onClose is called for each connection that a limit refuses or closes.
func New(l net.Listener, limits Limits, headers *reserver.Reserver, onClose func(Cause)) *Acceptor {
	return &Acceptor{Listener: l, limits: limits, headers: headers, onClose: onClose, conns: make(map[*Conn]struct{})}
}

type connKey struct{}

// Attach makes a server report the states of its connections to the acceptor. The
// server's own timeouts for headers and idle connections are disabled.
func (a *Acceptor) Attach(s *http.Server) {
	s.ReadHeaderTimeout, s.IdleTimeout = 0, 0
	inner := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		FromContext(r.Context()).EndBody() // until something reads a body
		inner.ServeHTTP(w, r)
	})
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if conn, ok := c.(*Conn); ok && state == http.StateIdle {
			conn.becomeIdle()
		}
	}
}

// FromContext returns the connection of a request, or nil if it is not an acceptor's.
func FromContext(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}

// Open returns the number of open connections.
func (a *Acceptor) Open() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}

// refusal is the response to a connection that is one too many.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// Accept returns the next connection. If too many are open, one that is idle or stalled
// is closed for it; without such a one, the new connection is refused.
func (a *Acceptor) Accept() (net.Conn, error) {
	for {
		raw, err := a.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // http.Server checks the type
		}
		if conn := a.admit(raw); conn != nil {
			return conn, nil
		}
		_, _ = raw.Write([]byte(refusal)) // fits into the empty buffer of the socket
		_ = raw.Close()
		a.onClose(CauseConnections)
	}
}

func (a *Acceptor) admit(raw net.Conn) *Conn {
	a.mu.Lock()
	var evicted *Conn
	if len(a.conns) >= a.limits.connections {
		if evicted = a.leastNeeded(); evicted == nil {
			a.mu.Unlock()
			return nil
		}
		delete(a.conns, evicted)
	}
	conn := &Conn{Conn: raw, acceptor: a, phase: phaseIdle, since: time.Now(), headers: a.headers.NewShare()}
	a.conns[conn] = struct{}{}
	a.mu.Unlock()
	if evicted != nil {
		if !evicted.expire(expiredEvicted) {
			evicted.shut()
		}
		a.onClose(CauseEvicted)
	}
	return conn
}

// readmit counts a connection again that was to be closed for another one and on which a
// request had arrived. There may be more connections than the limit until one of them ends.
func (a *Acceptor) readmit(c *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conns[c] = struct{}{}
}

// leastNeeded returns the connection to close first: one whose response has been sent,
// then the one that is idle for longest, then the one that is stalled for longest. It
// requires mu. It looks at all connections, which happens only while too many are open.
func (a *Acceptor) leastNeeded() *Conn {
	var found *Conn
	best, longest := phaseHandling, time.Duration(0)
	for c := range a.conns {
		phase, age := c.waiting()
		if phase == phaseHandling || (phase == phaseHeader || phase == phaseBody) && age < stallTime {
			continue
		}
		if found == nil || phase.urgency() < best.urgency() || phase.urgency() == best.urgency() && age > longest {
			found, best, longest = c, phase, age
		}
	}
	return found
}

// ReleaseStalled interrupts the reading of the body that is stalled for longest, so that
// its memory becomes free. The request can still be answered.
func (a *Acceptor) ReleaseStalled() {
	a.mu.Lock()
	var found *Conn
	longest := stallTime
	for c := range a.conns {
		if phase, age := c.waiting(); phase == phaseBody && age >= longest {
			found, longest = c, age
		}
	}
	a.mu.Unlock()
	if found != nil {
		found.interrupt()
	}
}

// Run ends connections that are idle for too long, until ctx is done.
func (a *Acceptor) Run(ctx context.Context) {
	for sleeper.Sleep(ctx, checkInterval) == nil {
		limit := a.limits.idleTime()
		for _, c := range a.list() {
			if phase, age := c.waiting(); phase == phaseIdle && age > limit {
				c.expire(expiredIdle)
			}
		}
	}
}

// ExpireIdle ends all idle connections, from now on also those that become idle, and returns
// once the server has had time to read the requests that had arrived on them. The Shutdown
// method of http.Server, which closes idle connections without a last read, is to be called
// next.
func (a *Acceptor) ExpireIdle(ctx context.Context) {
	a.stopping.Store(true)
	for _, c := range a.list() {
		c.expire(expiredIdle)
	}
	_ = sleeper.Sleep(ctx, expiryTime) // Shutdown ends the rest
}

func (a *Acceptor) list() []*Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Collect(maps.Keys(a.conns))
}

func (a *Acceptor) remove(c *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, c)
}
