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
	// fetchTimeout bounds the fetches of one poll, during which the table is not
	// read. Together with the interval it is shorter than publisher.MaxContactAge, so
	// that a failing object store does not make the node's state outdated.
	fetchTimeout = 1500 * time.Millisecond
	jitter       = 0.2 // share of the interval, in both directions
	// pollsPerPeerPoll is the number of polls of the table per poll of the peers
	// while the table responds.
	pollsPerPeerPoll = 5
	// pollsPerCurrentRead is the number of polls per read of bundle/current while
	// bundle/next does not change. Every roll-out changes both rows, so one read per
	// poll is enough: 560 nodes then read 560 of the table's 2,000 rows per second.
	pollsPerCurrentRead = 10
)

// Failure is a bundle that could not be put into force or prepared. The node keeps
// serving the bundle it has.
type Failure struct {
	record   bundler.Record
	err      error
	rejected bool
}

// Record returns the record of the bundle.
func (f Failure) Record() bundler.Record { return f.record }

// Err returns the cause of the failure.
func (f Failure) Err() error { return f.err }

// Rejected reports whether the bundle failed verification. A rejected bundle is not
// tried again at this epoch; other failures are retried at the next poll.
func (f Failure) Rejected() bool { return f.rejected }

// Option sets an option of a watcher.
type Option func(*Watcher)

// WithInterval sets the time between polls of the table.
func WithInterval(d time.Duration) Option { return func(w *Watcher) { w.interval = d } }

// WithTimeout sets the timeout of each platform or peer request.
func WithTimeout(d time.Duration) Option { return func(w *Watcher) { w.fetcher.timeout = d } }

// WithErrorHandler sets a function that is called for each failure.
func WithErrorHandler(report func(Failure)) Option { return func(w *Watcher) { w.onFailure = report } }

// WithEpochs sets a function that is called with the epoch in force and the highest
// verified epoch whenever one of them changes. The node writes them to its lease row
// with the next renewal: a separate write per epoch would be 1,120 writes per
// roll-out from 560 nodes, more than the table accepts in a second.
func WithEpochs(report func(inForce, prepared uint64)) Option {
	return func(w *Watcher) { w.onEpochs = report }
}

// Watcher is the first stage of the control pipeline and runs the pipeline.
type Watcher struct {
	table     storer.Table
	bundles   *publisher.Publisher
	fetcher   *fetcher
	pipeline  chainer.Filter[bundler.Record, *publisher.State]
	interval  time.Duration
	onFailure func(Failure)
	onEpochs  func(inForce, prepared uint64)
	cancel    context.CancelFunc
	done      chan struct{}

	mu       sync.Mutex // guards accepted and next, which other nodes read through Latest
	accepted bundler.Record
	next     bundler.Record

	// The fields below are used only by the watcher's goroutine.
	polls       int
	nextVersion storer.Version
	rejected    map[uint64]bundler.Hash // bundles that failed verification, by epoch
	verified    uint64
	reported    [2]uint64
}

// New starts a watcher. Close stops it.
func New(table storer.Table, objects storer.Objects, peers Peers, keys bundler.Keys, bundles *publisher.Publisher, options ...Option) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{
		table:   table,
		bundles: bundles,
		fetcher: &fetcher{
			cache:   &cache{content: make(map[bundler.Hash][]byte)},
			objects: objects, peers: peers, bundles: bundles, timeout: defaultTimeout,
		},
		interval:  defaultInterval,
		onFailure: func(Failure) {},
		onEpochs:  func(uint64, uint64) {},
		cancel:    cancel,
		done:      make(chan struct{}),
		rejected:  make(map[uint64]bundler.Hash),
	}
	w.pipeline = chainer.Join(chainer.Join(w.fetcher, validator.New(keys)), bundles)
	for _, o := range options {
		o(w)
	}
	go w.run(ctx)
	return w
}

// Close stops the watcher and waits for its goroutine.
func (w *Watcher) Close() {
	w.cancel()
	<-w.done
}

// Part returns cached content by hash, for the node's peers.
func (w *Watcher) Part(h bundler.Hash) ([]byte, bool) { return w.fetcher.cache.get(h) }

// Tampered returns the number of fetches whose content did not match its hash.
func (w *Watcher) Tampered() int64 { return w.fetcher.tampered.Load() }

// Latest returns the newest records that the node has read, for its peers.
func (w *Watcher) Latest() Latest {
	// The age of the contact is read before the records: an age that is too high
	// does no harm.
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

// poll reads the records of the table and the peers, puts a prepared bundle into
// force once it is accepted, and fetches missing content.
func (w *Watcher) poll(ctx context.Context) {
	err := w.pollTable(ctx)
	if err != nil || w.polls%pollsPerPeerPoll == 0 {
		w.pollPeers(ctx)
	}
	if w.polls%pollsPerCurrentRead == 0 {
		w.fetcher.storeDown.Store(false)
	}
	w.polls++
	w.fetch(ctx)
	w.reportEpochs()
}

// pollTable reads the rows and applies them. The contact is recorded only after the
// records were applied, so that a request never treats old records as current.
func (w *Watcher) pollTable(ctx context.Context) error {
	started := time.Now()
	next, version, err := w.read(ctx, bundler.KeyNext)
	if err != nil {
		return err
	}
	if version != w.nextVersion || w.polls%pollsPerCurrentRead == 0 {
		accepted, _, err := w.read(ctx, bundler.KeyCurrent)
		if err != nil {
			return err
		}
		w.applyRecords(accepted, next)
		w.nextVersion = version
	}
	w.bundles.RecordContact(started)
	return nil
}

// read returns the record of a row and the row's version, or a record with epoch
// zero if the row does not exist.
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

func (w *Watcher) pollPeers(ctx context.Context) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, w.fetcher.timeout)
	defer cancel()
	responses, err := w.fetcher.peers.Latest(ctx)
	if err != nil {
		return
	}
	for _, l := range responses {
		w.applyRecords(l.Accepted(), l.Next())
		// The peer determined the age after started, so the computed time of contact
		// is never too late.
		if age, ok := l.Age(); ok {
			w.bundles.RecordContact(started.Add(-max(age, 0)))
		}
	}
}

// applyRecords stores records that are newer than the known ones and switches to the
// accepted bundle if the node has prepared it. Older records are ignored, so a peer
// that lags behind has no effect.
func (w *Watcher) applyRecords(accepted, next bundler.Record) {
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
		w.bundles.RecordAccepted(accepted.Epoch())
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

// fetch fetches the accepted bundle and then the prepared one, if they are missing.
func (w *Watcher) fetch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	w.mu.Lock()
	accepted, next := w.accepted, w.next
	w.mu.Unlock()
	state := w.bundles.Load()
	if c := state.Current(); accepted.Epoch() > 0 && (c == nil || c.Epoch() < accepted.Epoch()) {
		w.runPipeline(ctx, accepted)
	}
	prepared := state.Prepared()
	if next.Stage() != bundler.StagePrepared || next.Epoch() <= accepted.Epoch() || (prepared != nil && prepared.Epoch() >= next.Epoch()) {
		return
	}
	w.runPipeline(ctx, next)
}

func (w *Watcher) runPipeline(ctx context.Context, r bundler.Record) {
	if w.rejected[r.Epoch()] == r.Bundle() {
		return
	}
	_, err := w.pipeline.Apply(ctx, r)
	if err != nil {
		w.handleFailure(r, err)
		return
	}
	w.prune()
}

func (w *Watcher) handleFailure(r bundler.Record, err error) {
	var fetch *FetchError
	rejected := !errors.As(err, &fetch) && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled)
	if rejected {
		w.rejected[r.Epoch()] = r.Bundle()
		maps.DeleteFunc(w.rejected, func(epoch uint64, _ bundler.Hash) bool {
			return epoch != w.accepted.Epoch() && epoch != w.next.Epoch()
		})
		w.prune()
	}
	w.onFailure(Failure{record: r, err: err, rejected: rejected})
}

// prune evicts the content of bundles that are neither in force nor prepared.
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
	w.fetcher.cache.retain(wanted)
}

// reportEpochs calls onEpochs if an epoch changed since the last call.
func (w *Watcher) reportEpochs() {
	var inForce uint64
	state := w.bundles.Load()
	if c := state.Current(); c != nil {
		inForce = c.Epoch()
	}
	w.verified = max(w.verified, inForce)
	if p := state.Prepared(); p != nil {
		w.verified = max(w.verified, p.Epoch())
	}
	if now := [2]uint64{inForce, w.verified}; now != w.reported {
		w.reported = now
		w.onEpochs(inForce, w.verified)
	}
}
