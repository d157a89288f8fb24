package subscriber

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/follower"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/mirrorer"
	"github.com/dragonflyford/dragonflyford/sleeper"
	"github.com/dragonflyford/dragonflyford/storer"
)

// Peer is a host of the same data centre.
type Peer struct {
	name    string
	address string
	link    uint64
}

// NewPeer returns a peer. Address is its address for calls from other hosts, and link
// the bandwidth of its network link in Mbit/s, or 0 if it is not known.
func NewPeer(name, address string, link uint64) Peer {
	return Peer{name: name, address: address, link: link}
}

// Remote reads and follows tables at other hosts.
type Remote interface {
	Snapshot(ctx context.Context, address, table string) (mirrorer.Copy, error)
	Follow(ctx context.Context, address, table string, after storer.Version, wait time.Duration) (mirrorer.Copy, error)
}

const (
	// skipTime is how long a host is skipped after it failed or had an old copy.
	skipTime = 3 * time.Second
	// peerPollTime is how long another host may hold a long poll. This bounds the
	// time between two checks of the age of its copy.
	peerPollTime = 500 * time.Millisecond
	// peerTimeout is added to peerPollTime. It leaves time for a call to the store
	// within the time limit of a follower's call.
	peerTimeout = 400 * time.Millisecond
	// snapshotTimeout bounds the read of a whole table from another host, largeTimeout that
	// in a large data centre, and storeTimeout that at the store. Over a narrow link, the
	// rows of 3,000 endpoints take more than a second.
	snapshotTimeout = time.Second
	largeTimeout    = 3 * time.Second
	storeTimeout    = 4 * time.Second
	// copyWait is how long a host of a large data centre waits for a copy that another host
	// does not have yet.
	copyWait = 2 * time.Second
	// copyInterval is the mean time between two requests for a copy that another host does
	// not have yet.
	copyInterval = 200 * time.Millisecond
)

var errStale = eris.New("copy of the table at the other host is too old")

// Subscriber is a feed that reads from another host if possible, and otherwise from
// the store.
type Subscriber struct {
	table  string
	store  storer.Feed
	remote Remote
	self   Peer
	peers  func() []Peer // live hosts of the data centre without this one
	// startPeers returns those hosts before any is known to be alive. It may be nil.
	startPeers func(context.Context) []Peer
	seeds      []Peer
	maxAge     time.Duration
	log        *logger.Logger
	skippedAt  map[string]time.Time // by host; used only by the follower's goroutine
	source     string
	hasRead    bool
	failing    time.Time // since when the store does not answer this host; zero if it does
}

var (
	_ storer.Feed                = (*Subscriber)(nil)
	_ follower.SnapshotTimeouter = (*Subscriber)(nil)
)

// Option sets an optional property of a Subscriber.
type Option func(*Subscriber)

// WithStartPeers sets the function that returns the other hosts of the data centre that may
// be starting, too. It is called before the first read of the table. The list is nil if the store did
// not answer, and empty if there are no other hosts.
func WithStartPeers(list func(context.Context) []Peer) Option {
	return func(s *Subscriber) { s.startPeers = list }
}

// WithSeeds sets hosts that are asked for a copy of any age before the first read of the table
// if the store does not answer. They may have ended.
func WithSeeds(seeds []Peer) Option { return func(s *Subscriber) { s.seeds = seeds } }

// New returns a feed of a table. MaxAge is the maximum age of a copy from another
// host.
func New(table string, store storer.Feed, remote Remote, self Peer, peers func() []Peer, maxAge time.Duration, log *logger.Logger, opts ...Option) *Subscriber {
	s := &Subscriber{
		table: table, store: store, remote: remote, self: self, peers: peers, maxAge: maxAge,
		log: log.Component("subscriber"), skippedAt: make(map[string]time.Time),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// chooseSource returns the host of the data centre at which this one follows the table, out
// of those that are not skipped. It returns false if that is this host, which then asks the
// store. This host is skipped, too, while the store does not answer it: other hosts may reach
// the store.
func (s *Subscriber) chooseSource(peers []Peer) (Peer, bool) {
	asked := slices.DeleteFunc(slices.Clone(peers), s.skipped)
	best, found := s.self, false
	if s.skipped(s.self) {
		best, found = s.first(asked)
	} else {
		best, found = Assign(s.table, s.self, asked)
	}
	if best.name != s.source {
		s.source = best.name
		s.log.Info("source-chosen", logger.With(logger.KeyDependency, s.table), logger.With(logger.KeyPeer, best.name))
	}
	return best, found
}

// first returns the first of the peers in order, or this host and false if there are none.
func (s *Subscriber) first(peers []Peer) (Peer, bool) {
	best, found := s.self, false
	for _, p := range peers {
		if !found || s.preferred(p, best) {
			best, found = p, true
		}
	}
	return best, found
}

// skipped reports whether a host has failed lately.
func (s *Subscriber) skipped(p Peer) bool { return time.Since(s.skippedAt[p.name]) < skipTime }

func (s *Subscriber) preferred(a, b Peer) bool {
	if a.link != b.link {
		return a.link > b.link
	}
	return hash(s.table, a.name) > hash(s.table, b.name)
}

// Snapshot implements storer.Feed.
func (s *Subscriber) Snapshot(ctx context.Context) (storer.Changes, error) {
	peers, storeAnswered := s.candidates(ctx)
	if !storeAnswered {
		if changes, ok := s.copyFromSeeds(ctx); ok {
			s.hasRead = true
			return changes, nil
		}
	}
	if p, ok := s.chooseSource(peers); ok {
		copied, took, err := s.readCopy(ctx, p, len(peers) >= MaxFollowers)
		if changes, ok := s.accept(p, copied, err); ok {
			s.hasRead = true
			return changes.Aged(copied.Age() + took), nil
		}
	}
	changes, err := s.store.Snapshot(ctx)
	s.recordStore(ctx, err)
	if err != nil {
		return changes, fmt.Errorf("read from the store: %w", err)
	}
	s.hasRead = true
	return changes, nil
}

// candidates returns the other hosts of the data centre that may have a copy. Before the
// first read, few or none are known to be alive. In a small data centre, each host then reads
// the store, which is faster than to wait for another host that may be starting, too. StoreAnswered
// is false if the store did not list the hosts.
func (s *Subscriber) candidates(ctx context.Context) (peers []Peer, storeAnswered bool) {
	if s.hasRead || s.startPeers == nil {
		return s.peers(), true
	}
	listed := s.startPeers(ctx)
	if len(listed) >= MaxFollowers {
		return listed, true
	}
	return s.peers(), listed != nil
}

// readCopy reads the whole copy of another host. In a large data centre it waits for it: if
// all hosts have started at once, or the store has been restored, the other host is reading
// the table, and the store could not send it to all hosts in that time. Took is the time of
// the request that was answered, by which the copy may be older than it says.
func (s *Subscriber) readCopy(ctx context.Context, p Peer, large bool) (c mirrorer.Copy, took time.Duration, err error) {
	timeout, deadline := snapshotTimeout, time.Now()
	if large {
		timeout, deadline = largeTimeout, deadline.Add(copyWait)
	}
	for {
		began := time.Now()
		limited, cancel := context.WithTimeout(ctx, timeout)
		c, err = s.remote.Snapshot(limited, p.address, s.table)
		cancel()
		if err == nil || time.Now().After(deadline) || sleeper.Sleep(ctx, copyInterval/2+rand.N(copyInterval)) != nil {
			return c, time.Since(began), err
		}
	}
}

// SnapshotTimeout implements follower.SnapshotTimeouter. It leaves time for a read at the store after
// one at another host.
func (s *Subscriber) SnapshotTimeout() time.Duration { return copyWait + largeTimeout + storeTimeout }

// Follow implements storer.Feed.
func (s *Subscriber) Follow(ctx context.Context, after storer.Version, wait time.Duration) (storer.Changes, error) {
	if p, ok := s.chooseSource(s.peers()); ok {
		limited, cancel := context.WithTimeout(ctx, peerPollTime+peerTimeout)
		copied, err := s.remote.Follow(limited, p.address, s.table, after, peerPollTime)
		cancel()
		if errors.Is(err, storer.ErrHistoryLost) {
			// The other host started to follow the table later. The store may have a
			// longer history.
			s.log.Info("history-short", logger.With(logger.KeyDependency, s.table), logger.With(logger.KeyPeer, p.name),
				logger.With(logger.KeyVersion, after.Number()))
		} else if changes, ok := s.accept(p, copied, err); ok {
			return changes, nil
		}
		wait = 0 // return changes missed during the failed call at once
	}
	changes, err := s.store.Follow(ctx, after, wait)
	s.recordStore(ctx, err)
	if err != nil {
		return changes, fmt.Errorf("follow at the store: %w", err)
	}
	return changes, nil
}

// recordStore records the result of a call to the store, which says nothing if the call was
// ended by its caller.
func (s *Subscriber) recordStore(ctx context.Context, err error) {
	switch {
	case err == nil, errors.Is(err, storer.ErrHistoryLost):
		s.failing = time.Time{}
		delete(s.skippedAt, s.self.name)
	case !errors.Is(ctx.Err(), context.Canceled):
		s.skippedAt[s.self.name] = time.Now()
		if s.failing.IsZero() {
			s.failing = time.Now()
		}
	}
}

// substitutes reports whether a copy of a host that is asked only because the store does not
// answer this one shows that the store answers that host.
func (s *Subscriber) substitutes(p Peer, c mirrorer.Copy) bool {
	return s.preferred(p, s.self) || c.Age() < time.Since(s.failing)
}

// accept returns the changes received from another host. If the call failed or the copy
// is too old, it skips the host for skipTime and returns false.
func (s *Subscriber) accept(p Peer, c mirrorer.Copy, err error) (storer.Changes, bool) {
	if err == nil && c.Age() > s.maxAge {
		err = errStale
	}
	if err == nil && !s.substitutes(p, c) {
		return storer.Changes{}, false // the store may answer this host by now
	}
	if err == nil {
		return c.Changes().Aged(c.Age()), true
	}
	s.skippedAt[p.name] = time.Now()
	s.log.Warn("source-passed-over", logger.With(logger.KeyDependency, s.table), logger.With(logger.KeyPeer, p.name),
		logger.With(logger.KeyAge, c.Age().Milliseconds()), logger.Err(err))
	return storer.Changes{}, false
}
