package forwarder

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"

	"github.com/dragonflyford/dragonflyford/connector"
)

// pooledConn is a connection to a peer. It carries one call at a time.
type pooledConn struct {
	*drpcconn.Conn
	slots chan struct{} // semaphore that the current call acquired
	idle  *time.Timer   // closes the connection after the idle timeout
}

// isOpen reports whether the transport has not closed the connection yet.
func (c *pooledConn) isOpen() bool {
	select {
	case <-c.Closed():
		return false
	default:
		return true
	}
}

// acquire waits for a slot and returns an idle or a new connection. If it returns
// an error, no request was sent.
func (p *peer) acquire(ctx context.Context, slots chan struct{}) (*pooledConn, error) {
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return nil, p.notSent(ctx, errNoFreeSlot)
	case <-p.ctx.Done():
		return nil, p.notSent(ctx, errClosed)
	}
	c := p.acquireIdle()
	if c == nil {
		var err error
		if c, err = p.connect(ctx); err != nil {
			<-slots
			return nil, err
		}
	}
	c.slots = slots
	return c, nil
}

var errNoFreeSlot = eris.New("all connections are in use")

// notSent returns the error of a call that was not sent. It wraps the error of ctx
// only if ctx has ended: a dial timeout must not be taken for the caller's
// deadline.
func (p *peer) notSent(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fmt.Errorf("connect to %s: %w: %w: %w", p.address, connector.ErrRefused, ctx.Err(), opaque(err))
	}
	return fmt.Errorf("connect to %s: %w: %w", p.address, connector.ErrRefused, opaque(err))
}

// acquireIdle returns the most recently used idle connection, or nil, so that
// surplus connections reach their idle timeout.
func (p *peer) acquireIdle() *pooledConn {
	for {
		c := p.popIdle()
		if c == nil {
			return nil
		}
		c.idle.Stop()
		if c.isOpen() {
			return c
		}
		p.close(c)
	}
}

func (p *peer) popIdle() *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	return c
}

// connect opens a connection, including the TLS handshake.
func (p *peer) connect(caller context.Context) (*pooledConn, error) {
	ctx, cancel := context.WithTimeout(caller, p.dialTimeout)
	defer cancel()
	defer context.AfterFunc(p.ctx, cancel)()
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, p.notSent(caller, err)
	}
	if err := enableDeadPeerDetection(raw); err != nil {
		_ = raw.Close()
		return nil, p.notSent(caller, err)
	}
	conn := net.Conn(&countedConn{Conn: raw, writeTimeout: p.writeTimeout, sent: &p.sent, received: &p.received})
	if p.tls != nil {
		secure := tls.Client(conn, p.tlsConfig())
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, p.notSent(caller, err)
		}
		conn = secure
	}
	c := &pooledConn{Conn: drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: p.manager(0)})}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		_ = c.Close()
		return nil, p.notSent(caller, errClosed)
	}
	p.conns[c] = struct{}{}
	return c, nil
}

// tlsConfig returns the TLS configuration, with the peer's host as the server name
// unless the configuration has one.
func (p *peer) tlsConfig() *tls.Config {
	if p.tls.ServerName != "" {
		return p.tls
	}
	c := p.tls.Clone()
	c.ServerName, _, _ = net.SplitHostPort(p.address)
	return c
}

// settleTimeout limits the wait for the transport to end a call whose response is
// complete, which normally takes microseconds.
const settleTimeout = 100 * time.Millisecond

// waitUnblocked waits until the transport has ended the last call, and reports
// whether it has. If the context of that call ended first, the transport would
// close the connection, possibly during the next call.
func (c *pooledConn) waitUnblocked() bool {
	select {
	case <-c.Unblocked():
		return true
	default:
	}
	timer := time.NewTimer(settleTimeout)
	defer timer.Stop()
	select {
	case <-c.Unblocked():
		return true
	case <-timer.C:
		return false
	}
}

// release returns a connection to the pool after a call that ended cleanly. The
// context of the call must not be canceled before release returns.
func (p *peer) release(c *pooledConn) {
	if !c.waitUnblocked() {
		p.discard(c)
		return
	}
	slots := c.slots
	defer func() { <-slots }()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return // Close has closed the connection
	}
	c.idle = time.AfterFunc(p.idleTimeout, func() { p.expire(c) })
	p.idle = append(p.idle, c)
}

// discard closes a connection whose call did not end cleanly. That cancels the
// call at the peer.
func (p *peer) discard(c *pooledConn) {
	p.close(c)
	<-c.slots
}

// expire closes a connection that is still idle.
func (p *peer) expire(c *pooledConn) {
	p.mu.Lock()
	i := slices.Index(p.idle, c)
	if i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	p.mu.Unlock()
	if i >= 0 {
		p.close(c)
	}
}

func (p *peer) close(c *pooledConn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = c.Close()
}

// Close closes all connections. Running calls fail.
func (p *peer) Close() error {
	p.cancel()
	p.mu.Lock()
	conns := p.conns
	p.conns = nil
	for _, c := range p.idle {
		c.idle.Stop()
	}
	p.idle = nil
	p.mu.Unlock()
	for c := range conns {
		_ = c.Close()
	}
	return nil
}

// Transferred returns the bytes on the peer's connections, including TLS overhead
// but not TCP and IP headers.
func (p *peer) Transferred() (sent, received int64) {
	return p.sent.Load(), p.received.Load()
}

// counters holds the numbers of bytes on a peer's connections.
type counters struct {
	sent     atomic.Int64
	received atomic.Int64
}
