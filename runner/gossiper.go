package runner

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/viewer"
)

// Times between questions to a peer for the views of its engines. Peers of the
// same data centre are asked more often, because most requests stay there.
const (
	nearPoll = 250 * time.Millisecond
	farPoll  = time.Second
	// forgetAfter is how long the views of an owner that does not answer are used.
	forgetAfter = 3 * time.Second
)

// gossiper asks the other nodes for the views of their engines. One goroutine
// asks all peers in turn, each in a short-lived goroutine, so that one that
// hangs delays no other.
type gossiper struct {
	peers      *peers
	views      *viewer.Viewer
	dataCentre string
	cancel     context.CancelFunc
	done       sync.WaitGroup

	mu    sync.Mutex
	state map[string]*peerState
}

// peerState is how far the node has followed a peer.
type peerState struct {
	asking  bool
	version uint64
	asked   time.Time
	heard   time.Time
	engines map[string]struct{}
}

func newGossiper(p *peers, views *viewer.Viewer, dataCentre string) *gossiper {
	ctx, cancel := context.WithCancel(context.Background())
	g := &gossiper{peers: p, views: views, dataCentre: dataCentre, cancel: cancel, state: make(map[string]*peerState)}
	g.done.Go(func() { g.run(ctx) })
	return g
}

func (g *gossiper) run(ctx context.Context) {
	ticker := time.NewTicker(nearPoll)
	defer ticker.Stop()
	for {
		g.round(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (g *gossiper) round(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	current := *g.peers.byName.Load()
	for name, p := range current {
		s := g.state[name]
		if s == nil {
			s = &peerState{heard: now, engines: make(map[string]struct{})}
			g.state[name] = s
		}
		if !s.asking && now.Sub(s.asked) >= g.interval(p) {
			s.asking, s.asked = true, now
			g.done.Go(func() { g.ask(ctx, p, s) })
		}
	}
	for name, s := range g.state {
		if current[name] == nil || now.Sub(s.heard) > forgetAfter {
			g.forget(name, s)
		}
		if current[name] == nil && !s.asking {
			delete(g.state, name)
		}
	}
}

func (g *gossiper) interval(p *peer) time.Duration {
	if p.member.DataCentre() == g.dataCentre {
		return nearPoll
	}
	return farPoll
}

// ask fetches what changed at a peer since the last answer.
func (g *gossiper) ask(ctx context.Context, p *peer, s *peerState) {
	g.mu.Lock()
	since := s.version
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	answer, err := p.State(ctx, since)
	g.mu.Lock()
	defer g.mu.Unlock()
	s.asking = false
	if err != nil {
		// A peer that restarted counts its versions anew.
		s.version = 0
		return
	}
	if answer.Full() {
		g.forget(p.member.Name(), s)
	}
	s.version, s.heard = answer.Version(), time.Now()
	for _, v := range answer.Views() {
		s.engines[v.Engine()] = struct{}{}
	}
	g.views.Update(answer.Views()...)
}

// forget drops the views that came from a peer, unless another owner has
// replaced them. The caller holds mu.
func (g *gossiper) forget(name string, s *peerState) {
	views := g.views.Load()
	for engine := range s.engines {
		if v := views.Engine(engine); v != nil && v.Owner() == name {
			g.views.Remove(engine)
		}
		delete(s.engines, engine)
	}
	s.version = 0
}

func (g *gossiper) close() {
	g.cancel()
	g.done.Wait()
}
