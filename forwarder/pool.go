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

// pooled is a connection of a peer. It carries one call at a time.
type pooled struct {
	*drpcconn.Conn
	slots chan struct{} // where to give the slot back
	idle  *time.Timer   // closes the connection while it is unused
}

// alive reports whether the connection is not known to be dead.
func (c *pooled) alive() bool {
	select {
	case <-c.Closed():
		return false
	default:
		return true
	}
}

// take waits for a slot and returns an idle or a new connection. Errors mean
// that nothing was sent.
func (p *peer) take(ctx context.Context, slots chan struct{}) (*pooled, error) {
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return nil, p.refuse(ctx, errNoSlot)
	case <-p.ctx.Done():
		return nil, p.refuse(ctx, errClosed)
	}
	c := p.takeIdle()
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

var errNoSlot = eris.New("all connections are in use")

// refuse returns the error of a call that was not sent. It matches the error of
// ctx only if ctx has ended: a dial timeout is not the caller's deadline.
func (p *peer) refuse(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fmt.Errorf("connect to %s: %w: %w: %w", p.address, connector.ErrRefused, ctx.Err(), hidden(err))
	}
	return fmt.Errorf("connect to %s: %w: %w", p.address, connector.ErrRefused, hidden(err))
}

// takeIdle returns the connection that was used last, because the others then
// reach their idle time.
func (p *peer) takeIdle() *pooled {
	for {
		c := p.popIdle()
		if c == nil {
			return nil
		}
		c.idle.Stop()
		if c.alive() {
			return c
		}
		p.close(c)
	}
}

func (p *peer) popIdle() *pooled {
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

// connect opens a connection.
func (p *peer) connect(caller context.Context) (*pooled, error) {
	ctx, cancel := context.WithTimeout(caller, p.dialTime)
	defer cancel()
	defer context.AfterFunc(p.ctx, cancel)()
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, p.refuse(caller, err)
	}
	if err := detectDeath(raw); err != nil {
		_ = raw.Close()
		return nil, p.refuse(caller, err)
	}
	conn := net.Conn(&countedConn{Conn: raw, writeTime: p.writeTime, sent: &p.sent, received: &p.received})
	if p.tls != nil {
		secure := tls.Client(conn, p.tlsConfig())
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, p.refuse(caller, err)
		}
		conn = secure
	}
	c := &pooled{Conn: drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: p.manager(0)})}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		_ = c.Close()
		return nil, p.refuse(caller, errClosed)
	}
	p.conns[c] = struct{}{}
	return c, nil
}

// tlsConfig names the peer's host unless the settings name another.
func (p *peer) tlsConfig() *tls.Config {
	if p.tls.ServerName != "" {
		return p.tls
	}
	c := p.tls.Clone()
	c.ServerName, _, _ = net.SplitHostPort(p.address)
	return c
}

// settleTime bounds the wait for the transport to end a call whose answer is
// complete; it takes microseconds.
const settleTime = 100 * time.Millisecond

// settled waits until the transport has ended the last call. If the context of
// the call ended first, the transport would close the connection, perhaps under
// the next call.
func (c *pooled) settled() bool {
	select {
	case <-c.Unblocked():
		return true
	default:
	}
	timer := time.NewTimer(settleTime)
	defer timer.Stop()
	select {
	case <-c.Unblocked():
		return true
	case <-timer.C:
		return false
	}
}

// release gives a connection back after a call that ended cleanly. The context of
// the call must not end before.
func (p *peer) release(c *pooled) {
	if !c.settled() {
		p.discard(c)
		return
	}
	slots := c.slots
	defer func() { <-slots }()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return // Close has closed it
	}
	c.idle = time.AfterFunc(p.idleTime, func() { p.expire(c) })
	p.idle = append(p.idle, c)
}

// discard closes a connection whose call did not end cleanly, which cancels the
// call at the peer.
func (p *peer) discard(c *pooled) {
	p.close(c)
	<-c.slots
}

// expire closes a connection that is still idle.
func (p *peer) expire(c *pooled) {
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

func (p *peer) close(c *pooled) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = c.Close()
}

// Close ends all connections; calls that run on them break.
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

// Transferred returns the bytes on the peer's connections, with TLS but without
// the headers of TCP and IP.
func (p *peer) Transferred() (sent, received int64) {
	return p.sent.Load(), p.received.Load()
}

// counters of a peer's connections.
type counters struct {
	sent     atomic.Int64
	received atomic.Int64
}
