package follower

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/sleeper"
	"github.com/dragonflyford/dragonflyford/storer"
)

// Handler receives the rows of a table.
type Handler interface {
	// Restored reports that the store has been restored from an older copy. Replace
	// follows, with rows of which some may be older than those passed before.
	Restored()
	// Replace replaces the rows with all rows of the table.
	Replace(rows []storer.Change)
	// Apply applies changed rows.
	Apply(changes []storer.Change)
	// Contact reports a response from the store: the version of the table that the
	// rows are at, the store's monotonic clock, or 0 if it has none, and how long ago the
	// store confirmed the rows, if they come from the copy of another host.
	Contact(v storer.Version, clock, age time.Duration)
}

// SnapshotTimeouter is a feed that bounds the time of its reads of a whole table itself.
type SnapshotTimeouter interface {
	// SnapshotTimeout returns the longest time that such a read may take.
	SnapshotTimeout() time.Duration
}

// TransferTimeouter is a feed that ends polls without an answer itself, so that the transfer of
// an answer may take longer.
type TransferTimeouter interface {
	// TransferTimeout returns the longest time of a poll besides that for which the store may
	// hold it.
	TransferTimeout() time.Duration
}

// Handlers passes the rows of one table to several handlers, in order.
type Handlers []Handler

// Restored implements Handler.
func (h Handlers) Restored() {
	for _, one := range h {
		one.Restored()
	}
}

// Replace implements Handler.
func (h Handlers) Replace(rows []storer.Change) {
	for _, one := range h {
		one.Replace(rows)
	}
}

// Apply implements Handler.
func (h Handlers) Apply(changes []storer.Change) {
	for _, one := range h {
		one.Apply(changes)
	}
}

// Contact implements Handler.
func (h Handlers) Contact(v storer.Version, clock, age time.Duration) {
	for _, one := range h {
		one.Contact(v, clock, age)
	}
}

const (
	retryDelay = 200 * time.Millisecond // after a failure of the store
	// After quickRetries failed reads of the whole table in a row, up to maxReadDelay is
	// added to retryDelay at random.
	quickRetries = 3
	maxReadDelay = 800 * time.Millisecond
	// responseTime is added to the time for which the store may hold a long poll. After
	// both, the connection is treated as dead.
	responseTime = time.Second
	// snapshotTimeout bounds the read of a whole table. On a host with a narrow link
	// a large table takes seconds; the feed bounds each of its own calls.
	snapshotTimeout = 4 * time.Second
)

var errStale = eris.New("response of the store is older than an earlier one")

// Follower follows one table.
type Follower struct {
	name    string
	feed    storer.Feed
	handler Handler
	wait    time.Duration
	pause   time.Duration
	log     *logger.Logger
	endEra  chan struct{}

	version     storer.Version
	synced      bool         // the whole table was read and no change since has been missed
	failedReads int          // of the whole table, in a row
	failing     bool         // a call to the store failed and none has succeeded since
	recoveredAt atomic.Int64 // Unix nanoseconds; 0 before the first loss
	eraEnded    atomic.Bool  // the store has been restored, as another table shows
}

// New returns a follower of a table. Wait is how long the store may hold a long poll
// while nothing changes. Pause is the time between two calls; it batches changes and
// so reduces the number of calls.
func New(name string, feed storer.Feed, handler Handler, wait, pause time.Duration, log *logger.Logger) *Follower {
	return &Follower{name: name, feed: feed, handler: handler, wait: wait, pause: pause, log: log.Component("follower"), endEra: make(chan struct{}, 1)}
}

// SinceRecovery returns the time since the store last recovered from a failure, or
// false if it has not recovered from one yet.
func (f *Follower) SinceRecovery() (time.Duration, bool) {
	at := f.recoveredAt.Load()
	if at == 0 {
		return 0, false
	}
	return time.Since(time.Unix(0, at)), true
}

// EndEra requests a new call that the store answers at once, because it has been restored.
// A call that waits for changes since a version of the earlier era may miss some. EndEra also
// ends the pause between two calls: until the rows are read again, this host cannot renew its own.
func (f *Follower) EndEra() {
	f.eraEnded.Store(true)
	select {
	case f.endEra <- struct{}{}:
	default: // the end is already pending
	}
}

// untilEndOfEra returns a context that is cancelled by the end of the era.
func (f *Follower) untilEndOfEra(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-f.endEra:
			cancel(errEraEnded)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

var errEraEnded = eris.New("long poll was ended because the store has been restored")

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := f.pause
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.failed(err)
			pause = f.retryPause()
		}
		if f.sleep(ctx, pause) != nil {
			return
		}
	}
}

// sleep blocks for the pause before the next call. The end of the era ends the pause, because
// the handler may have rows that the store has lost; but not while the whole table is to be
// read after a failure, which many hosts may do at once.
func (f *Follower) sleep(ctx context.Context, pause time.Duration) error {
	if !f.synced {
		return sleeper.Sleep(ctx, pause)
	}
	if f.eraEnded.Load() {
		return ctx.Err()
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.endEra:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// retryPause returns the time until the next call after a failure. Hosts whose reads of the
// whole table fail again and again may be too many for the store, and spread over a longer
// time.
func (f *Follower) retryPause() time.Duration {
	if f.synced {
		return retryDelay
	}
	if f.failedReads++; f.failedReads <= quickRetries {
		return retryDelay
	}
	return retryDelay + rand.N(maxReadDelay)
}

func (f *Follower) failed(err error) {
	if errors.Is(err, storer.ErrHistoryLost) {
		f.synced = false
		f.log.Warn("history-lost", logger.With(logger.KeyDependency, f.name), logger.With(logger.KeyVersion, f.version.Number()))
		return
	}
	if !f.failing {
		f.failing = true
		f.log.Warn("dependency-lost", logger.With(logger.KeyDependency, "store "+f.name), logger.Err(err),
			logger.With(logger.KeyVersion, f.version.Number()))
	}
}

func (f *Follower) step(ctx context.Context) error {
	changes, err := f.fetch(ctx)
	if errors.Is(err, errEraEnded) {
		f.eraEnded.Store(true) // the next call follows at once, and does not wait for changes
		return nil
	}
	if err != nil {
		return err
	}
	restored := f.version != 0 && changes.Version().Era() > f.version.Era()
	if restored && f.synced {
		// The changes since the version of another era are not those since that state.
		f.synced = false
		return f.step(ctx)
	}
	if f.failing || restored {
		f.failing = false
		f.recoveredAt.Store(time.Now().UnixNano())
		f.log.Info("dependency-regained", logger.With(logger.KeyDependency, "store "+f.name),
			logger.With(logger.KeyVersion, changes.Version().Number()))
	}
	if restored {
		f.log.Warn("store-restored", logger.With(logger.KeyDependency, f.name), logger.With(logger.KeyEra, changes.Version().Era()),
			logger.With(logger.KeyVersion, changes.Version().Number()))
		f.handler.Restored()
	}
	if f.synced {
		f.handler.Apply(changes.List())
	} else {
		f.handler.Replace(changes.List())
		f.synced, f.failedReads = true, 0
	}
	f.version = changes.Version()
	f.handler.Contact(f.version, changes.Clock(), changes.Age())
	return nil
}

// limit returns the longest time of the next call.
func (f *Follower) limit() time.Duration {
	if !f.synced {
		if p, ok := f.feed.(SnapshotTimeouter); ok {
			return p.SnapshotTimeout()
		}
		return snapshotTimeout
	}
	if p, ok := f.feed.(TransferTimeouter); ok {
		return f.wait + p.TransferTimeout()
	}
	return f.wait + responseTime
}

func (f *Follower) fetch(ctx context.Context) (storer.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, f.limit())
	defer cancel()
	if f.synced {
		wait := f.wait
		if f.takeEndOfEra() || f.failing {
			wait = 0 // the answer shows at once whether the store has been restored
		}
		ctx, cancel := f.untilEndOfEra(ctx)
		defer cancel()
		changes, err := f.feed.Follow(ctx, f.version, wait)
		if cause := context.Cause(ctx); errors.Is(cause, errEraEnded) {
			return storer.Changes{}, cause
		}
		if err != nil {
			return storer.Changes{}, fmt.Errorf("follow table %s: %w", f.name, err)
		}
		return changes, f.checkVersion(changes)
	}
	changes, err := f.feed.Snapshot(ctx)
	if err != nil {
		return storer.Changes{}, fmt.Errorf("read table %s: %w", f.name, err)
	}
	return changes, f.checkVersion(changes)
}

// takeEndOfEra reports whether the era has ended since the last call. The call that follows
// shows it, so that the pending signal must not end that call.
func (f *Follower) takeEndOfEra() bool {
	if !f.eraEnded.Swap(false) {
		return false
	}
	select {
	case <-f.endEra:
	default: // the signal has ended a pause or a long poll
	}
	return true
}

func (f *Follower) checkVersion(c storer.Changes) error {
	if c.Version() < f.version {
		return fmt.Errorf("got table version %d of era %d after version %d of era %d: %w",
			c.Version().Number(), c.Version().Era(), f.version.Number(), f.version.Era(), errStale)
	}
	return nil
}
