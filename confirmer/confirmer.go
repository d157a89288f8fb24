// Package confirmer tells endpoint processes that crashed from those that only broke a
// connection. A process that ended refuses new connections, or another one has taken its
// place; one that goes on accepts them.
package confirmer

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/screener"
	"github.com/dragonflyford/dragonflyford/tracker"
)

const (
	// patience is how long a process that accepts connections is watched: it may have
	// started again at once, of which the store tells a little later.
	patience = 3 * time.Second
	// maxPending limits the processes that are watched at a time, and maxMarks the marks
	// of each.
	maxPending = 256
	maxMarks   = 32
)

// Prober opens connections to endpoints.
type Prober interface {
	// Reachable reports whether an endpoint accepts a new connection.
	Reachable(ctx context.Context, e *tracker.Endpoint) bool
}

// suspicion is what is known of a process that broke a connection.
type suspicion struct {
	since  time.Time
	probed bool
	marks  []screener.Mark
}

// Confirmer holds the marks of processes that may have crashed. It is safe for concurrent
// use.
type Confirmer struct {
	prober    Prober
	endpoints *tracker.Tracker
	mu        sync.Mutex
	pending   map[*tracker.Endpoint]*suspicion
}

// New returns a confirmer.
func New(prober Prober, endpoints *tracker.Tracker) *Confirmer {
	return &Confirmer{prober: prober, endpoints: endpoints, pending: make(map[*tracker.Endpoint]*suspicion)}
}

// Record records that an endpoint process broke off under a call.
func (c *Confirmer) Record(e *tracker.Endpoint, m screener.Mark) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.pending[e]
	if s == nil {
		if len(c.pending) >= maxPending {
			return
		}
		s = &suspicion{since: time.Now()}
		c.pending[e] = s
	}
	if len(s.marks) < maxMarks {
		s.marks = append(s.marks, m)
	}
}

// Confirmed returns the marks of the processes that are found to have ended since the
// last call. It opens at most one connection to each process.
func (c *Confirmer) Confirmed(ctx context.Context) []screener.Mark {
	var probes sync.WaitGroup
	var mu sync.Mutex
	var confirmed []screener.Mark
	for e, probe := range c.due() {
		probes.Go(func() {
			if !c.replaced(e) && (!probe || c.prober.Reachable(ctx, e)) {
				return
			}
			marks := c.take(e)
			mu.Lock()
			defer mu.Unlock()
			confirmed = append(confirmed, marks...)
		})
	}
	probes.Wait()
	return confirmed
}

// due returns the processes to look at, and whether a connection is to be opened to each.
// It forgets those that went on for long enough.
func (c *Confirmer) due() map[*tracker.Endpoint]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make(map[*tracker.Endpoint]bool, len(c.pending))
	for e, s := range c.pending {
		if time.Since(s.since) > patience {
			delete(c.pending, e)
			continue
		}
		list[e] = !s.probed
		s.probed = true
	}
	return list
}

// replaced reports whether another process has the endpoint's id.
func (c *Confirmer) replaced(e *tracker.Endpoint) bool {
	current := c.endpoints.Current().Endpoint(e.ID())
	return current != nil && current.Born() != e.Born()
}

func (c *Confirmer) take(e *tracker.Endpoint) []screener.Mark {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.pending[e]
	if s == nil {
		return nil
	}
	delete(c.pending, e)
	return s.marks
}
