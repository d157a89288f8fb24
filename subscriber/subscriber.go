package subscriber

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/mirrorer"
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
	// snapshotTimeout bounds the read of a whole table from another host.
	snapshotTimeout = time.Second
)

var errStale = eris.New("copy of the table at the other host is too old")

// Subscriber is a feed that reads from another host if possible, and otherwise from
// the store.
type Subscriber struct {
	table     string
	store     storer.Feed
	remote    Remote
	self      Peer
	peers     func() []Peer // live hosts of the data centre without this one
	maxAge    time.Duration
	log       *logger.Logger
	skippedAt map[string]time.Time // by host; used only by the follower's goroutine
	source    string
	failing   time.Time // since when the store does not answer this host; zero if it does
}

var _ storer.Feed = (*Subscriber)(nil)

// New returns a feed of a table. MaxAge is the maximum age of a copy from another
// host.
func New(table string, store storer.Feed, remote Remote, self Peer, peers func() []Peer, maxAge time.Duration, log *logger.Logger) *Subscriber {
	return &Subscriber{
		table: table, store: store, remote: remote, self: self, peers: peers, maxAge: maxAge,
		log: log.Component("subscriber"), skippedAt: make(map[string]time.Time),
	}
}

// chooseSource returns the host of the data centre that follows the table at the
// store: among the hosts with the widest link that are not skipped, the first by
// hash. It returns false if that is this host. This host is skipped, too, while the store
// does not answer it: other hosts may reach the store.
func (s *Subscriber) chooseSource() (Peer, bool) {
	best, found := s.self, false
	skipSelf := s.skipped(s.self)
	for _, p := range s.peers() {
		if !s.skipped(p) && (skipSelf && !found || s.preferred(p, best)) {
			best, found = p, true
		}
	}
	if best.name != s.source {
		s.source = best.name
		s.log.Info("source-chosen", logger.With(logger.KeyDependency, s.table), logger.With(logger.KeyPeer, best.name))
	}
	return best, found
}

// skipped reports whether a host has failed lately.
func (s *Subscriber) skipped(p Peer) bool { return time.Since(s.skippedAt[p.name]) < skipTime }

func (s *Subscriber) preferred(a, b Peer) bool {
	if a.link != b.link {
		return a.link > b.link
	}
	return s.hash(a.name) > s.hash(b.name)
}

func (s *Subscriber) hash(host string) uint64 { return xxhash.Sum64String(s.table + "\x00" + host) }

// Snapshot implements storer.Feed.
func (s *Subscriber) Snapshot(ctx context.Context) (storer.Changes, error) {
	if p, ok := s.chooseSource(); ok {
		limited, cancel := context.WithTimeout(ctx, snapshotTimeout)
		copied, err := s.remote.Snapshot(limited, p.address, s.table)
		cancel()
		if changes, ok := s.accept(p, copied, err); ok {
			return changes, nil
		}
	}
	changes, err := s.store.Snapshot(ctx)
	s.recordStore(ctx, err)
	if err != nil {
		return changes, fmt.Errorf("read from the store: %w", err)
	}
	return changes, nil
}

// Follow implements storer.Feed.
func (s *Subscriber) Follow(ctx context.Context, after storer.Version, wait time.Duration) (storer.Changes, error) {
	if p, ok := s.chooseSource(); ok {
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
