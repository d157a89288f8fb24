package broadcaster

import (
	"maps"
	"sync"
	"time"
)

const (
	// maxItems limits the items that are kept; the oldest ones are dropped.
	maxItems = 1024
	// maxBatch limits the items of one delivery.
	maxBatch = 128
	// retryDelay is the time between two attempts to reach a peer.
	retryDelay = time.Second
)

// Peer is another host.
type Peer struct {
	name    string
	started time.Time
}

// NewPeer returns a peer. A process that started at another time knows nothing of what
// the one before it was told.
func NewPeer(name string, started time.Time) Peer { return Peer{name: name, started: started} }

type entry[T any] struct {
	item    T
	expires time.Time
}

// cursor is how far one peer has been told.
type cursor struct {
	started time.Time
	next    int64 // sequence number of the first item that was not acknowledged
	pending bool
	retryAt time.Time
}

// Broadcaster holds items and the progress of each peer. It is safe for concurrent
// use.
type Broadcaster[T any] struct {
	lifetime time.Duration
	mu       sync.Mutex
	items    []entry[T]
	first    int64 // sequence number of items[0]
	cursors  map[string]*cursor
}

// New returns a broadcaster whose items expire after lifetime.
func New[T any](lifetime time.Duration) *Broadcaster[T] {
	return &Broadcaster[T]{lifetime: lifetime, cursors: make(map[string]*cursor)}
}

// Add adds items.
func (b *Broadcaster[T]) Add(now time.Time, items ...T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, item := range items {
		b.items = append(b.items, entry[T]{item, now.Add(b.lifetime)})
	}
	drop := max(len(b.items)-maxItems, 0)
	for drop < len(b.items) && !now.Before(b.items[drop].expires) {
		drop++
	}
	if drop > 0 {
		b.items = append([]entry[T](nil), b.items[drop:]...)
		b.first += int64(drop)
	}
}

// Delivery is a batch of items for one peer. Exactly one of Delivered and Failed must
// be called.
type Delivery[T any] struct {
	broadcaster *Broadcaster[T]
	peer        Peer
	items       []T
	next        int64
}

// Items returns the items of the batch.
func (d *Delivery[T]) Items() []T { return d.items }

// Peer returns the name of the peer.
func (d *Delivery[T]) Peer() string { return d.peer.name }

// Next returns the deliveries to be made now: one for each peer that lacks items, unless
// one to it is under way or failed within retryDelay. It forgets all other peers.
func (b *Broadcaster[T]) Next(now time.Time, peers []Peer) []*Delivery[T] {
	b.Add(now) // drops expired items
	b.mu.Lock()
	defer b.mu.Unlock()
	known := make(map[string]bool, len(peers))
	var list []*Delivery[T]
	for _, p := range peers {
		known[p.name] = true
		if d := b.delivery(now, p); d != nil {
			list = append(list, d)
		}
	}
	maps.DeleteFunc(b.cursors, func(name string, _ *cursor) bool { return !known[name] })
	return list
}

// delivery requires mu.
func (b *Broadcaster[T]) delivery(now time.Time, p Peer) *Delivery[T] {
	c := b.cursors[p.name]
	if c == nil || !c.started.Equal(p.started) {
		c = &cursor{started: p.started}
		b.cursors[p.name] = c
	}
	from := max(c.next, b.first)
	n := min(b.first+int64(len(b.items))-from, maxBatch)
	if n == 0 || c.pending || now.Before(c.retryAt) {
		return nil
	}
	c.pending = true
	d := &Delivery[T]{broadcaster: b, peer: p, next: from + n}
	for _, e := range b.items[from-b.first : from-b.first+n] {
		d.items = append(d.items, e.item)
	}
	return d
}

// Delivered records that the peer has acknowledged the batch.
func (d *Delivery[T]) Delivered() {
	d.end(func(c *cursor) { c.next = d.next })
}

// Failed records that the batch was not acknowledged.
func (d *Delivery[T]) Failed(now time.Time) {
	d.end(func(c *cursor) { c.retryAt = now.Add(retryDelay) })
}

func (d *Delivery[T]) end(update func(*cursor)) {
	d.broadcaster.mu.Lock()
	defer d.broadcaster.mu.Unlock()
	c := d.broadcaster.cursors[d.peer.name]
	if c == nil || !c.started.Equal(d.peer.started) {
		return // another process, which was told nothing
	}
	c.pending = false
	update(c)
}
