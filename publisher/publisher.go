package publisher

import (
	"sync"
	"sync/atomic"

	"github.com/dragonflyford/dragonflyford/bundler"
)

// State is what a request may read of the control pipeline. It never changes.
type State struct {
	current  *bundler.Snapshot
	prepared *bundler.Snapshot
	informed bool
}

// Current returns the bundle in force, or nil before the first one.
func (s *State) Current() *bundler.Snapshot { return s.current }

// Prepared returns a bundle that may come into force at any moment, or nil.
func (s *State) Prepared() *bundler.Snapshot { return s.prepared }

// Informed reports whether the node would have heard of an acceptance. While it
// is false and a bundle is prepared, the node does not know which of the two is
// in force.
func (s *State) Informed() bool { return s.informed }

// Publisher holds the state in force. Load takes no lock; the writers copy the
// state, change the copy and swap it.
type Publisher struct {
	state atomic.Pointer[State]
	mu    sync.Mutex // serialises writers
}

// New returns a publisher without a bundle.
func New() *Publisher {
	p := &Publisher{}
	p.state.Store(&State{informed: true})
	return p
}

// Load returns the state in force.
func (p *Publisher) Load() *State { return p.state.Load() }

// Publish puts a bundle in force. It reports false and changes nothing when the
// node already serves this epoch or a higher one.
func (p *Publisher) Publish(s *bundler.Snapshot) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := *p.state.Load()
	if next.current != nil && next.current.Epoch() >= s.Epoch() {
		return false
	}
	next.current = s
	if next.prepared != nil && next.prepared.Epoch() <= s.Epoch() {
		next.prepared = nil
	}
	p.state.Store(&next)
	return true
}

// Prepare records a bundle that may come into force. A nil snapshot clears it.
func (p *Publisher) Prepare(s *bundler.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := *p.state.Load()
	next.prepared = s
	p.state.Store(&next)
}

// SetInformed records whether the node is in contact with the table service or
// with a peer that is.
func (p *Publisher) SetInformed(informed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.state.Load()
	if old.informed == informed {
		return
	}
	next := *old
	next.informed = informed
	p.state.Store(&next)
}
