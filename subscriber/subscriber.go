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

// Peer is a host of the data centre.
type Peer struct {
	name    string
	address string
	link    uint64
}

// NewPeer returns a host with its address for other hosts and the bandwidth of its
// link in Mbit/s, or 0.
func NewPeer(name, address string, link uint64) Peer {
	return Peer{name: name, address: address, link: link}
}

// Remote follows tables at other hosts.
type Remote interface {
	Snapshot(ctx context.Context, address, table string) (mirrorer.Copy, error)
	Follow(ctx context.Context, address, table string, after storer.Version, wait time.Duration) (mirrorer.Copy, error)
}

const (
	// passOver is how long a host with an old copy is not asked.
	passOver = 3 * time.Second
	// peerWait is how long another host may hold a call back. The age of its copy
	// is seen at least so often.
	peerWait = 500 * time.Millisecond
	// peerTimeout is added to it. It leaves time for a call to the store within the
	// limit of a follower.
	peerTimeout = 400 * time.Millisecond
	// snapshotTimeout is how long another host may take for a whole table.
	snapshotTimeout = time.Second
)

var errOld = eris.New("the copy of the other host is old")

// Subscriber is a feed that prefers other hosts to the store.
type Subscriber struct {
	table  string
	store  storer.Feed
	remote Remote
	self   Peer
	peers  func() []Peer // the live hosts of the data centre, without this one
	maxAge time.Duration
	log    *logger.Logger
	passed map[string]time.Time // used by one goroutine, that of the follower
	source string
}

var _ storer.Feed = (*Subscriber)(nil)

// New returns a feed of a table. MaxAge is how old the copy of another host may
// be.
func New(table string, store storer.Feed, remote Remote, self Peer, peers func() []Peer, maxAge time.Duration, log *logger.Logger) *Subscriber {
	return &Subscriber{
		table: table, store: store, remote: remote, self: self, peers: peers, maxAge: maxAge,
		log: log.Component("subscriber"), passed: make(map[string]time.Time),
	}
}

// reader returns the host of the data centre that follows the table at the store:
// of those that are not passed over and have the widest link, the first by hash.
// False stands for this host.
func (s *Subscriber) reader() (Peer, bool) {
	best, found := s.self, false
	for _, p := range s.peers() {
		if time.Since(s.passed[p.name]) >= passOver && s.before(p, best) {
			best, found = p, true
		}
	}
	if best.name != s.source {
		s.source = best.name
		s.log.Info("source-chosen", logger.With(logger.KeyDependent, s.table), logger.With(logger.KeyPeer, best.name))
	}
	return best, found
}

func (s *Subscriber) before(a, b Peer) bool {
	if a.link != b.link {
		return a.link > b.link
	}
	return s.hash(a.name) > s.hash(b.name)
}

func (s *Subscriber) hash(host string) uint64 { return xxhash.Sum64String(s.table + "\x00" + host) }

// Snapshot implements storer.Feed.
func (s *Subscriber) Snapshot(ctx context.Context) (storer.Changes, error) {
	if p, ok := s.reader(); ok {
		limited, cancel := context.WithTimeout(ctx, snapshotTimeout)
		copied, err := s.remote.Snapshot(limited, p.address, s.table)
		cancel()
		if changes, ok := s.accept(p, copied, err); ok {
			return changes, nil
		}
	}
	changes, err := s.store.Snapshot(ctx)
	if err != nil {
		return changes, fmt.Errorf("read at the store: %w", err)
	}
	return changes, nil
}

// Follow implements storer.Feed.
func (s *Subscriber) Follow(ctx context.Context, after storer.Version, wait time.Duration) (storer.Changes, error) {
	if p, ok := s.reader(); ok {
		limited, cancel := context.WithTimeout(ctx, peerWait+peerTimeout)
		copied, err := s.remote.Follow(limited, p.address, s.table, after, peerWait)
		cancel()
		if errors.Is(err, storer.ErrHistoryLost) {
			// The other host has read the table later. The store may know more.
			s.log.Info("history-short", logger.With(logger.KeyDependent, s.table), logger.With(logger.KeyPeer, p.name),
				logger.With(logger.KeyVersion, uint64(after)))
		} else if changes, ok := s.accept(p, copied, err); ok {
			return changes, nil
		}
		wait = 0 // what was missed meanwhile is wanted now
	}
	changes, err := s.store.Follow(ctx, after, wait)
	if err != nil {
		return changes, fmt.Errorf("follow at the store: %w", err)
	}
	return changes, nil
}

// accept returns the changes of another host, or passes the host over.
func (s *Subscriber) accept(p Peer, c mirrorer.Copy, err error) (storer.Changes, bool) {
	if err == nil && c.Age() > s.maxAge {
		err = errOld
	}
	if err == nil {
		return c.Changes(), true
	}
	s.passed[p.name] = time.Now()
	s.log.Warn("source-passed-over", logger.With(logger.KeyDependent, s.table), logger.With(logger.KeyPeer, p.name),
		logger.With(logger.KeyAge, c.Age().Milliseconds()), logger.Err(err))
	return storer.Changes{}, false
}
