package exchanger

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/tracker"
	"github.com/dragonflyford/dragonflyford/transporter"
)

// errConnectionLimit reports that this host has opened its share of connections
// to an endpoint.
var errConnectionLimit = eris.New("connection limit of this host to the endpoint reached")

const (
	dialTimeout        = 600 * time.Millisecond // a lost SYN is retransmitted only after 1 s
	defaultIdleTimeout = 4 * time.Second        // for endpoints that do not state their idle timeout
	sweepInterval      = time.Second
	ackTimeout         = 2500 * time.Millisecond // an endpoint that acknowledges no data for this long is unreachable
)

// connection is a connection to an endpoint.
type connection struct {
	net.Conn
	source    *boundedReader
	reader    *bufio.Reader // reads from source
	idleUntil time.Time     // not reused after this time
	idleSince time.Time     // end of the last call
	used      bool          // a call was sent on it before
	refused   []string      // ids of the calls that were refused on it
}

// maxRefused is the number of refusals after which a connection is closed.
const maxRefused = 16

// stackNode is an element of the stack of idle connections. Each push allocates
// a new one, so that a compare-and-swap in pop cannot succeed on a node that
// was removed and pushed again (ABA problem).
type stackNode struct {
	conn *connection
	next *stackNode
}

// pool manages the connections to one endpoint. The idle ones form a stack, so
// that the same few are reused and the others time out.
type pool struct {
	idle      atomic.Pointer[stackNode]
	open      atomic.Int64
	roundTrip atomic.Int64 // nanoseconds that the fastest new connection took; 0 before the first one
}

// recordRoundTrip records the time that a new connection took, which is one round
// trip or more.
func (p *pool) recordRoundTrip(d time.Duration) {
	for {
		old := p.roundTrip.Load()
		if old != 0 && old <= int64(d) || p.roundTrip.CompareAndSwap(old, int64(d)) {
			return
		}
	}
}

func (p *pool) push(conn *connection) {
	n := &stackNode{conn: conn}
	for {
		n.next = p.idle.Load()
		if p.idle.CompareAndSwap(n.next, n) {
			return
		}
	}
}

func (p *pool) pop() *connection {
	for {
		n := p.idle.Load()
		if n == nil {
			return nil
		}
		if p.idle.CompareAndSwap(n, n.next) {
			return n.conn
		}
	}
}

func (p *pool) discard(conn *connection) {
	p.open.Add(-1)
	_ = conn.Close() // no data is expected on it
}

// sweep closes idle connections that have expired or are unusable, or all of
// them.
func (p *pool) sweep(now time.Time, all bool) {
	list := p.idle.Swap(nil)
	var keep []*connection
	for n := list; n != nil; n = n.next {
		conn := n.conn
		if all || now.After(conn.idleUntil) || !idleAndOpen(conn.Conn) {
			p.discard(conn)
			continue
		}
		keep = append(keep, conn)
	}
	for i := len(keep) - 1; i >= 0; i-- {
		p.push(keep[i])
	}
}

// Client sends calls to endpoints.
type Client struct {
	dialect Dialect
	pools   sync.Map // *tracker.Endpoint → *pool
	stop    context.CancelFunc
	done    chan struct{}
}

// New returns a client, which must be closed.
func New(d Dialect) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{dialect: d, stop: cancel, done: make(chan struct{})}
	go c.sweep(ctx)
	return c
}

// Close closes all idle connections and stops the background work.
func (c *Client) Close() {
	c.stop()
	<-c.done
}

func (c *Client) sweep(ctx context.Context) {
	defer close(c.done)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.each(func(_ *tracker.Endpoint, p *pool) { p.sweep(time.Now(), true) })
			return
		case now := <-ticker.C:
			c.each(func(e *tracker.Endpoint, p *pool) {
				p.sweep(now, false)
				if p.open.Load() == 0 {
					c.pools.Delete(e)
				}
			})
		}
	}
}

func (c *Client) each(f func(*tracker.Endpoint, *pool)) {
	c.pools.Range(func(k, v any) bool {
		f(k.(*tracker.Endpoint), v.(*pool))
		return true
	})
}

func (c *Client) pool(e *tracker.Endpoint) *pool {
	if p, ok := c.pools.Load(e); ok {
		return p.(*pool)
	}
	p, _ := c.pools.LoadOrStore(e, &pool{})
	return p.(*pool)
}

// takeIdle returns a connection that has been idle for at most maxIdle, or nil. It passes
// over those on which the call was refused: an endpoint may write the refusal once more.
func (p *pool) takeIdle(id string, maxIdle time.Duration) *connection {
	now := time.Now()
	var passed []*connection
	defer func() {
		for _, conn := range passed {
			p.push(conn)
		}
	}()
	for conn := p.pop(); conn != nil; conn = p.pop() {
		switch {
		case !now.Before(conn.idleUntil) || now.Sub(conn.idleSince) > maxIdle || conn.reader.Buffered() > 0 || !idleAndOpen(conn.Conn):
			p.discard(conn)
		case slices.Contains(conn.refused, id):
			passed = append(passed, conn)
		default:
			return conn
		}
	}
	return nil
}

// take returns a connection for a call that has been idle for at most maxIdle, or a new
// one if fewer than limit are open.
func (c *Client) take(ctx context.Context, e *tracker.Endpoint, id string, maxIdle time.Duration, limit int) (*connection, *pool, error) {
	p := c.pool(e)
	if conn := p.takeIdle(id, maxIdle); conn != nil {
		return conn, p, nil
	}
	if p.open.Add(1) > int64(limit) {
		p.open.Add(-1)
		return nil, nil, errConnectionLimit
	}
	conn, err := p.dial(ctx, e)
	if err != nil {
		p.open.Add(-1)
		return nil, nil, err
	}
	return conn, p, nil
}

// dial opens a connection.
func (p *pool) dial(ctx context.Context, e *tracker.Endpoint) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	began := time.Now()
	conn, err := transporter.Dial(ctx, e.Address(), ackTimeout)
	if err != nil {
		return nil, fmt.Errorf("connect to endpoint %s: %w", e.ID(), err)
	}
	p.recordRoundTrip(time.Since(began))
	source := &boundedReader{Reader: conn}
	return &connection{Conn: conn, source: source, reader: bufio.NewReaderSize(source, readBuffer)}, nil
}

// Reachable reports whether an endpoint accepts a new connection. The connection is kept
// for later calls.
func (c *Client) Reachable(ctx context.Context, e *tracker.Endpoint) bool {
	p := c.pool(e)
	conn, err := p.dial(ctx, e)
	if err != nil {
		return false
	}
	p.open.Add(1)
	conn.idleSince = time.Now()
	conn.idleUntil = conn.idleSince.Add(defaultIdleTimeout)
	p.push(conn)
	return true
}

// IsConnectionLimit reports whether a call was not sent because this host had
// opened its share of connections to the endpoint.
func IsConnectionLimit(err error) bool { return errors.Is(err, errConnectionLimit) }
