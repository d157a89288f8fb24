package watcher

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/chainer"
	"github.com/dragonflyford/dragonflyford/publisher"
	"github.com/dragonflyford/dragonflyford/storer"
	"github.com/dragonflyford/dragonflyford/validator"
)

const (
	defaultInterval = time.Second
	defaultTimeout  = time.Second
	// fetchLimit bounds the fetches of one poll, during which the table is not
	// read. With the interval it stays below publisher.ContactLimit, so that a
	// failing object store does not make a node uninformed.
	fetchLimit = 1500 * time.Millisecond
	jitter     = 0.2 // share of the interval, either way
	// peerPolls is how many polls go by between questions to peers while the
	// table answers.
	peerPolls = 5
	// currentPolls is how many polls go by between reads of bundle/current while
	// bundle/next does not change. Every roll-out changes both rows, so that a
	// node needs one read per poll: 560 nodes read 560 of the table's 2,000
	// rows per second.
	currentPolls = 10
)

// Failure is a bundle that could not be taken over. The node keeps serving the
// bundle it has.
type Failure struct {
	record   bundler.Record
	err      error
	rejected bool
}

// Record returns the epoch that failed.
func (f Failure) Record() bundler.Record { return f.record }

// Err returns the cause.
func (f Failure) Err() error { return f.err }

// Rejected reports whether the bundle failed verification. It is not tried again
// at this epoch; other failures are tried again at the next poll.
func (f Failure) Rejected() bool { return f.rejected }

// Option changes a watcher.
type Option func(*Watcher)

// WithInterval sets the time between polls of the table.
func WithInterval(d time.Duration) Option { return func(w *Watcher) { w.interval = d } }

// WithTimeout sets the time that one platform or peer request may take.
func WithTimeout(d time.Duration) Option { return func(w *Watcher) { w.fetcher.timeout = d } }

// WithErrorHandler passes each failure to report.
func WithErrorHandler(report func(Failure)) Option { return func(w *Watcher) { w.failed = report } }

// WithEpochs passes the epoch in force and the highest epoch that the node has
// verified to report whenever one of them changes. The node's lease row states
// them from its next renewal on; a write of its own per epoch would be 1,120
// writes per roll-out from 560 nodes, more than the table takes in a second.
func WithEpochs(report func(inForce, prepared uint64)) Option {
	return func(w *Watcher) { w.epochs = report }
}

// Watcher is the first stage of the control pipeline and drives it.
type Watcher struct {
	table    storer.Table
	bundles  *publisher.Publisher
	fetcher  *fetcher
	pipeline chainer.Filter[bundler.Record, *publisher.State]
	interval time.Duration
	failed   func(Failure)
	epochs   func(inForce, prepared uint64)
	cancel   context.CancelFunc
	done     chan struct{}

	mu       sync.Mutex // guards accepted and next, which peers read
	accepted bundler.Record
	next     bundler.Record

	// Only the watcher's goroutine uses the fields below.
	polls       int
	nextVersion storer.Version
	rejected    map[uint64]bundler.Hash // bundles that failed verification, by epoch
	verified    uint64
	told        [2]uint64
}

// New starts a watcher. Close ends it.
func New(table storer.Table, objects storer.Objects, peers Peers, keys bundler.Keys, bundles *publisher.Publisher, options ...Option) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{
		table:   table,
		bundles: bundles,
		fetcher: &fetcher{
			cache:   &cache{content: make(map[bundler.Hash][]byte)},
			objects: objects, peers: peers, bundles: bundles, timeout: defaultTimeout,
		},
		interval: defaultInterval,
		failed:   func(Failure) {},
		epochs:   func(uint64, uint64) {},
		cancel:   cancel,
		done:     make(chan struct{}),
		rejected: make(map[uint64]bundler.Hash),
	}
	w.pipeline = chainer.Join(chainer.Join(w.fetcher, validator.New(keys)), bundles)
	for _, o := range options {
		o(w)
	}
	go w.run(ctx)
	return w
}

// Close ends the watcher and waits for its goroutine.
func (w *Watcher) Close() {
	w.cancel()
	<-w.done
}

// Part returns content that the node holds, for its peers.
func (w *Watcher) Part(h bundler.Hash) ([]byte, bool) { return w.fetcher.cache.get(h) }

// Tampered returns how often content did not match its hash.
func (w *Watcher) Tampered() int64 { return w.fetcher.tampered.Load() }

// Latest returns what the node knows, for its peers.
func (w *Watcher) Latest() Latest {
	// The contact is read before the records: too old an age does no harm.
	age, contact := w.bundles.ContactAge()
	w.mu.Lock()
	defer w.mu.Unlock()
	return NewLatest(w.accepted, w.next, age, contact)
}

func (w *Watcher) run(ctx context.Context) {
	defer close(w.done)
	for {
		w.poll(ctx)
		pause := time.Duration(float64(w.interval) * (1 + jitter*(2*rand.Float64()-1)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// poll learns of epochs, switches to what the node has prepared, and fetches
// what it lacks.
func (w *Watcher) poll(ctx context.Context) {
	err := w.askTable(ctx)
	if err != nil || w.polls%peerPolls == 0 {
		w.askPeers(ctx)
	}
	if w.polls%currentPolls == 0 {
		w.fetcher.storeDown.Store(false)
	}
	w.polls++
	w.fetch(ctx)
	w.tell()
}

// askTable reads the rows. Contact is recorded only after what the rows say is
// in force, so that a request never takes old records for current ones.
func (w *Watcher) askTable(ctx context.Context) error {
	started := time.Now()
	next, version, err := w.read(ctx, bundler.KeyNext)
	if err != nil {
		return err
	}
	if version != w.nextVersion || w.polls%currentPolls == 0 {
		accepted, _, err := w.read(ctx, bundler.KeyCurrent)
		if err != nil {
			return err
		}
		w.learn(accepted, next)
		w.nextVersion = version
	}
	w.bundles.Contact(started)
	return nil
}

// read returns the record of a row, or a record of epoch zero.
func (w *Watcher) read(ctx context.Context, key string) (bundler.Record, storer.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, w.fetcher.timeout)
	defer cancel()
	row, err := w.table.Get(ctx, key)
	if errors.Is(err, storer.ErrNotFound) {
		return bundler.Record{}, 0, nil
	}
	if err != nil {
		return bundler.Record{}, 0, fmt.Errorf("read row %q: %w", key, err)
	}
	r, err := bundler.DecodeRecord(row.Value())
	return r, row.Version(), err
}

func (w *Watcher) askPeers(ctx context.Context) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, w.fetcher.timeout)
	defer cancel()
	answers, err := w.fetcher.peers.Latest(ctx)
	if err != nil {
		return
	}
	for _, l := range answers {
		w.learn(l.Accepted(), l.Next())
		// The peer measured its age after started, so this is never too late.
		if age, ok := l.Age(); ok {
			w.bundles.Contact(started.Add(-max(age, 0)))
		}
	}
}

// learn takes over newer records and switches to the accepted bundle if the node
// has prepared it. Records only move forward, so a peer that is behind changes
// nothing.
func (w *Watcher) learn(accepted, next bundler.Record) {
	w.mu.Lock()
	if next.Supersedes(w.next) {
		w.next = next
	}
	if next.Stage() == bundler.StageAccepted && next.Supersedes(accepted) {
		accepted = next
	}
	if accepted.Supersedes(w.accepted) {
		w.accepted = accepted
	}
	accepted, next = w.accepted, w.next
	w.mu.Unlock()

	if accepted.Epoch() > 0 {
		w.bundles.Hear(accepted.Epoch())
		w.bundles.Promote(accepted.Epoch(), accepted.Manifest())
	}
	if next.Stage() == bundler.StageWithdrawn {
		w.dropPrepared(next.Epoch())
	}
}

func (w *Watcher) dropPrepared(epoch uint64) {
	if p := w.bundles.Load().Prepared(); p != nil && p.Epoch() <= epoch {
		w.bundles.Prepare(nil)
	}
}

// fetch brings in the accepted bundle and then the prepared one.
func (w *Watcher) fetch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchLimit)
	defer cancel()
	w.mu.Lock()
	accepted, next := w.accepted, w.next
	w.mu.Unlock()
	state := w.bundles.Load()
	if c := state.Current(); accepted.Epoch() > 0 && (c == nil || c.Epoch() < accepted.Epoch()) {
		w.bring(ctx, accepted)
	}
	prepared := state.Prepared()
	if next.Stage() != bundler.StagePrepared || next.Epoch() <= accepted.Epoch() || (prepared != nil && prepared.Epoch() >= next.Epoch()) {
		return
	}
	w.bring(ctx, next)
}

func (w *Watcher) bring(ctx context.Context, r bundler.Record) {
	if w.rejected[r.Epoch()] == r.Bundle() {
		return
	}
	_, err := w.pipeline.Apply(ctx, r)
	if err != nil {
		w.fail(r, err)
		return
	}
	w.prune()
}

func (w *Watcher) fail(r bundler.Record, err error) {
	var fetch *FetchError
	rejected := !errors.As(err, &fetch) && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled)
	if rejected {
		w.rejected[r.Epoch()] = r.Bundle()
		maps.DeleteFunc(w.rejected, func(epoch uint64, _ bundler.Hash) bool {
			return epoch != w.accepted.Epoch() && epoch != w.next.Epoch()
		})
		w.prune()
	}
	w.failed(Failure{record: r, err: err, rejected: rejected})
}

// prune drops the content of bundles that are neither in force nor prepared.
func (w *Watcher) prune() {
	wanted := make(map[bundler.Hash]bool)
	w.mu.Lock()
	wanted[w.accepted.Bundle()] = true
	wanted[w.next.Bundle()] = true
	w.mu.Unlock()
	state := w.bundles.Load()
	for _, s := range []*bundler.Snapshot{state.Current(), state.Prepared()} {
		if s == nil {
			continue
		}
		for _, h := range s.Manifest().Hashes() {
			wanted[h] = true
		}
	}
	w.fetcher.cache.keep(wanted)
}

// tell reports the epochs if they changed.
func (w *Watcher) tell() {
	var inForce uint64
	state := w.bundles.Load()
	if c := state.Current(); c != nil {
		inForce = c.Epoch()
	}
	w.verified = max(w.verified, inForce)
	if p := state.Prepared(); p != nil {
		w.verified = max(w.verified, p.Epoch())
	}
	if now := [2]uint64{inForce, w.verified}; now != w.told {
		w.told = now
		w.epochs(inForce, w.verified)
	}
}
