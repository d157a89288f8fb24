package exchanger

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/tracker"
	"github.com/dragonflyford/dragonflyford/transporter"
)

// errTooMany reports an endpoint to which this host has its share of connections
// open.
var errTooMany = eris.New("this host's share of the endpoint's connections is in use")

const (
	dialTimeout = 600 * time.Millisecond // a lost opening packet is sent again after a second
	defaultIdle = 4 * time.Second        // of endpoints that do not say how long they keep a connection
	sweepEvery  = time.Second
	silence     = 2500 * time.Millisecond // an endpoint that acknowledges nothing for so long is lost
)

// link is one connection to an endpoint.
type link struct {
	net.Conn
	reader *bufio.Reader
	until  time.Time // idle use ends
	since  time.Time // idle since
}

// node is an element of the stack. It is made anew for each push, so that a
// compare-and-swap cannot mistake a link that left and came back.
type node struct {
	link *link
	next *node
}

// pool holds the connections to one endpoint. The idle ones form a stack, so that
// few are kept busy and the others time out.
type pool struct {
	idle atomic.Pointer[node]
	open atomic.Int64
}

func (p *pool) push(l *link) {
	n := &node{link: l}
	for {
		n.next = p.idle.Load()
		if p.idle.CompareAndSwap(n.next, n) {
			return
		}
	}
}

func (p *pool) pop() *link {
	for {
		n := p.idle.Load()
		if n == nil {
			return nil
		}
		if p.idle.CompareAndSwap(n, n.next) {
			return n.link
		}
	}
}

func (p *pool) discard(l *link) {
	p.open.Add(-1)
	_ = l.Close() // nothing is expected from it any more
}

// sweep closes the idle connections that are past their time.
func (p *pool) sweep(now time.Time, all bool) {
	list := p.idle.Swap(nil)
	var keep []*link
	for n := list; n != nil; n = n.next {
		l := n.link
		if all || now.After(l.until) || !silent(l.Conn) {
			p.discard(l)
			continue
		}
		keep = append(keep, l)
	}
	for i := len(keep) - 1; i >= 0; i-- {
		p.push(keep[i])
	}
}

// Client carries calls to endpoints.
type Client struct {
	dialect Dialect
	pools   sync.Map // *tracker.Endpoint → *pool
	stop    context.CancelFunc
	done    chan struct{}
}

// New returns a client. Close ends it.
func New(d Dialect) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{dialect: d, stop: cancel, done: make(chan struct{})}
	go c.sweep(ctx)
	return c
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.stop()
	<-c.done
}

func (c *Client) sweep(ctx context.Context) {
	defer close(c.done)
	ticker := time.NewTicker(sweepEvery)
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

// take returns an idle connection that has been unused for at most maxIdle, or a
// new one.
func (c *Client) take(ctx context.Context, e *tracker.Endpoint, maxIdle time.Duration, limit int) (*link, *pool, error) {
	p := c.pool(e)
	now := time.Now()
	for l := p.pop(); l != nil; l = p.pop() {
		if now.Before(l.until) && now.Sub(l.since) <= maxIdle && l.reader.Buffered() == 0 && silent(l.Conn) {
			return l, p, nil
		}
		p.discard(l)
	}
	if p.open.Add(1) > int64(limit) {
		p.open.Add(-1)
		return nil, nil, errTooMany
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := transporter.Dial(ctx, e.Address(), silence)
	if err != nil {
		p.open.Add(-1)
		return nil, nil, fmt.Errorf("connect to endpoint %s: %w", e.ID(), err)
	}
	return &link{Conn: conn, reader: bufio.NewReaderSize(conn, readBuffer)}, p, nil
}

// IsConnectionLimit reports a call that found the host's share of connections in use.
func IsConnectionLimit(err error) bool { return errors.Is(err, errTooMany) }
