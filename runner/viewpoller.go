package runner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/viewer"
)

// Times between questions to a peer for the views of its engines. Peers of the
// same data centre are asked more often, because most requests stay there.
const (
	nearPoll = 250 * time.Millisecond
	farPoll  = time.Second
	// forgetAfter is how long the views of an owner that does not answer are used,
	// or forgetPolls intervals if that is longer.
	forgetAfter = 3 * time.Second
	forgetPolls = 3
)

// Questions per second to all peers together. Without these bounds a node among
// 560 asks 614 times a second, which takes 3.5% of a core and 70 KB/s. Up to 6
// near and 16 far peers keep the times above.
const (
	nearRate = 24
	farRate  = 16
	// askJitter is the share by which stretched intervals vary, either way, so that
	// the questions of a start do not come together again.
	askJitter = 0.25
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
	due     time.Time // of the next question
	every   time.Duration
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
	near, far := g.intervals(current)
	for name, p := range current {
		s := g.state[name]
		if s == nil {
			s = &peerState{heard: now, engines: make(map[string]struct{})}
			g.state[name] = s
		}
		s.every = far
		if p.member.DataCentre() == g.dataCentre {
			s.every = near
		}
		if !s.asking && !now.Before(s.due) {
			s.asking, s.due = true, now.Add(jittered(s.every))
			g.done.Go(func() { g.ask(ctx, p, s) })
		}
	}
	for name, s := range g.state {
		if current[name] == nil || now.Sub(s.heard) > max(forgetAfter, forgetPolls*s.every) {
			g.forget(name, s)
		}
		if current[name] == nil && !s.asking {
			delete(g.state, name)
		}
	}
}

// intervals returns the time between two questions to one peer of the same data
// centre and to one of another.
func (g *gossiper) intervals(current map[string]*peer) (near, far time.Duration) {
	count := 0
	for _, p := range current {
		if p.member.DataCentre() == g.dataCentre {
			count++
		}
	}
	near = max(nearPoll, time.Duration(count)*time.Second/nearRate)
	far = max(farPoll, time.Duration(len(current)-count)*time.Second/farRate)
	return near, far
}

func jittered(d time.Duration) time.Duration {
	if d <= farPoll {
		return d
	}
	return time.Duration(float64(d) * (1 + askJitter*(2*rand.Float64()-1)))
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
