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

// peers holds one client for each other node. A lookup is one atomic load.
type peers struct {
	nodeName               string
	network                Network
	byName                 atomic.Pointer[map[string]*peer]
	mu                     sync.Mutex // serialises writers of byName
	next                   atomic.Uint64
	closedBytes            atomic.Int64 // bytes exchanged with peers whose clients are closed
	closedCrossRegionBytes atomic.Int64 // part of closedBytes that crossed a region boundary
	region                 string
}

// peer is another node with a client of it.
type peer struct {
	forwarder.Peer
	member leaser.Member
}

func newPeers(nodeName, region string, network Network) *peers {
	p := &peers{nodeName: nodeName, region: region, network: network}
	p.byName.Store(&map[string]*peer{})
	p.next.Store(rand.Uint64())
	return p
}

// update replaces the peers with the given members, except this node. A node that
// moved to another address gets a new client, and the old client is closed.
func (p *peers) update(members []leaser.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := *p.byName.Load()
	next := make(map[string]*peer, len(members))
	for _, m := range members {
		if m.Name() == p.nodeName {
			continue
		}
		if previous := old[m.Name()]; previous != nil && previous.member.PeerAddress() == m.PeerAddress() {
			next[m.Name()] = &peer{Peer: previous.Peer, member: m}
			continue
		}
		next[m.Name()] = &peer{Peer: p.network.Peer(m.PeerAddress()), member: m}
	}
	p.byName.Store(&next)
	for name, previous := range old {
		if current := next[name]; current == nil || current.Peer != previous.Peer {
			p.closePeer(previous)
		}
	}
}

// closePeer closes the client of a node and keeps its byte counts. It ignores the
// error of Close, because the client is not used any more.
func (p *peers) closePeer(old *peer) {
	all, crossRegion := p.transferredWith(old)
	p.closedBytes.Add(all)
	p.closedCrossRegionBytes.Add(crossRegion)
	_ = old.Close()
}

// transferredWith returns the number of bytes exchanged with a node, and how many
// of them crossed a region boundary.
func (p *peers) transferredWith(other *peer) (all, crossRegion int64) {
	sent, received := other.Transferred()
	all = sent + received
	if other.member.Region() != p.region {
		crossRegion = all
	}
	return all, crossRegion
}

// transferred returns the number of bytes exchanged with other nodes, and how many
// of them crossed a region boundary.
func (p *peers) transferred() (all, crossRegion int64) {
	all, crossRegion = p.closedBytes.Load(), p.closedCrossRegionBytes.Load()
	for _, other := range *p.byName.Load() {
		a, c := p.transferredWith(other)
		all += a
		crossRegion += c
	}
	return all, crossRegion
}

// find returns the peer with a name.
func (p *peers) find(name string) (*peer, error) {
	found, ok := (*p.byName.Load())[name]
	if !ok {
		return nil, classifier.NewUnavailable("node "+name+" is not a member", classifier.RetryAfter(ownerChangeRetryAfter))
	}
	return found, nil
}

// list returns all peers in random order, so that requests are spread over them.
func (p *peers) list() []*peer {
	var all []*peer
	for _, other := range *p.byName.Load() {
		all = append(all, other)
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

func (p *peers) close() {
	p.update(nil)
}

// maxBundlePolls is how many peers Latest polls. With two, a new bundle reaches all
// nodes of a fleet of 560 in about ten rounds without the table.
const maxBundlePolls = 2

// Latest requests the newest bundle epochs from a few random peers.
func (p *peers) Latest(ctx context.Context) ([]watcher.Latest, error) {
	all := p.list()
	if len(all) > maxBundlePolls {
		all = all[:maxBundlePolls]
	}
	var (
		answers []watcher.Latest
		errs    []error
	)
	for _, other := range all {
		encoded, err := withTimeout(ctx, "request latest bundles", other.Peer.LatestBundles)
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

// Part requests a bundle part from one peer after the other until one has it.
func (p *peers) Part(ctx context.Context, h bundler.Hash) ([]byte, error) {
	err := error(storer.ErrNotFound)
	for _, other := range p.list() {
		var content []byte
		content, err = withTimeout(ctx, "request bundle part", func(ctx context.Context) ([]byte, error) {
			return other.Peer.BundlePart(ctx, h[:])
		})
		if err == nil {
			return content, nil
		}
	}
	return nil, err
}

// SendMarks sends marks of requests that crashed endpoints to all peers, one after
// the other, which is sufficient because crashes are rare.
func (p *peers) SendMarks(ctx context.Context, marks []byte) error {
	var errs []error
	for _, other := range p.list() {
		_, err := withTimeout(ctx, "send crash marks", func(ctx context.Context) (struct{}, error) {
			return struct{}{}, other.Peer.ApplyMarks(ctx, marks)
		})
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}
