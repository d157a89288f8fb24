package runner

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/forwarder"
	"github.com/dragonflyford/dragonflyford/leaser"
	"github.com/dragonflyford/dragonflyford/storer"
	"github.com/dragonflyford/dragonflyford/watcher"
)

// peers keeps one way to each other node. Readers take one atomic load.
type peers struct {
	self    string
	network Network
	byName  atomic.Pointer[map[string]*peer]
	mu      sync.Mutex // serialises writers
	next    atomic.Uint64
	sent    atomic.Int64 // bytes to and from peers that are gone, by distance
	crossed atomic.Int64
	region  string
}

// peer is another node and the way to it.
type peer struct {
	forwarder.Peer
	member leaser.Member
}

func newPeers(self, region string, network Network) *peers {
	p := &peers{self: self, region: region, network: network}
	p.byName.Store(&map[string]*peer{})
	p.next.Store(rand.Uint64())
	return p
}

// update follows the membership. A node that moved to another address gets a new
// way; the old one is closed.
func (p *peers) update(members []leaser.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := *p.byName.Load()
	next := make(map[string]*peer, len(members))
	for _, m := range members {
		if m.Name() == p.self {
			continue
		}
		if was := old[m.Name()]; was != nil && was.member.PeerAddress() == m.PeerAddress() {
			next[m.Name()] = &peer{Peer: was.Peer, member: m}
			continue
		}
		next[m.Name()] = &peer{Peer: p.network.Peer(m.PeerAddress()), member: m}
	}
	p.byName.Store(&next)
	for name, was := range old {
		if now := next[name]; now == nil || now.Peer != was.Peer {
			p.retire(was)
		}
	}
}

// retire closes the way to a node. Errors are of no use: the node is gone.
func (p *peers) retire(gone *peer) {
	all, crossed := p.count(gone)
	p.sent.Add(all)
	p.crossed.Add(crossed)
	_ = gone.Close()
}

// count returns the bytes exchanged with a node, and those of them that crossed a
// region boundary.
func (p *peers) count(of *peer) (all, crossed int64) {
	sent, received := of.Transferred()
	all = sent + received
	if of.member.Region() != p.region {
		crossed = all
	}
	return all, crossed
}

// transferred returns the bytes exchanged with other nodes, and those of them
// that crossed a region boundary.
func (p *peers) transferred() (all, crossed int64) {
	all, crossed = p.sent.Load(), p.crossed.Load()
	for _, of := range *p.byName.Load() {
		a, c := p.count(of)
		all += a
		crossed += c
	}
	return all, crossed
}

// find returns the way to a node.
func (p *peers) find(name string) (*peer, error) {
	found, ok := (*p.byName.Load())[name]
	if !ok {
		return nil, classifier.NewUnavailable("node "+name+" is not a member", classifier.RetryAfter(retryWhenMoved))
	}
	return found, nil
}

// list returns all peers in an order that differs from call to call, so that
// questions spread over them.
func (p *peers) list() []*peer {
	var all []*peer
	for _, of := range *p.byName.Load() {
		all = append(all, of)
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

func (p *peers) close() {
	p.update(nil)
}

// latestAsked is how many peers are asked for bundle epochs in one poll: with
// two, news reaches all of 560 nodes in about ten rounds without the table.
const latestAsked = 2

// Latest asks a few peers which bundles they know of.
func (p *peers) Latest(ctx context.Context) ([]watcher.Latest, error) {
	all := p.list()
	if len(all) > latestAsked {
		all = all[:latestAsked]
	}
	var (
		answers []watcher.Latest
		errs    []error
	)
	for _, of := range all {
		encoded, err := within(ctx, "ask for bundles", of.Peer.LatestBundles)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		l, err := watcher.DecodeLatest(encoded)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		answers = append(answers, l)
	}
	if len(answers) == 0 && len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return answers, nil
}

// Part asks one peer after the other for bundle content.
func (p *peers) Part(ctx context.Context, h bundler.Hash) ([]byte, error) {
	err := error(storer.ErrNotFound)
	for _, of := range p.list() {
		var content []byte
		content, err = within(ctx, "ask for bundle content", func(ctx context.Context) ([]byte, error) {
			return of.Peer.BundlePart(ctx, h[:])
		})
		if err == nil {
			return content, nil
		}
	}
	return nil, err
}

// SendMarks tells all peers of requests that crashed endpoints. Such news is rare.
func (p *peers) SendMarks(ctx context.Context, marks []byte) error {
	var errs []error
	for _, of := range p.list() {
		_, err := within(ctx, "tell of crash", func(ctx context.Context) (struct{}, error) {
			return struct{}{}, of.Peer.ApplyMarks(ctx, marks)
		})
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}
