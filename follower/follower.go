package follower

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/sleeper"
	"github.com/dragonflyford/dragonflyford/storer"
)

// Handler takes over rows.
type Handler interface {
	// Replace takes over all rows of the table.
	Replace(rows []storer.Change)
	// Apply takes over rows that changed.
	Apply(changes []storer.Change)
	// Contact says that the store answered, up to which version the rows are known,
	// and what the store's steady clock is, or 0.
	Contact(v storer.Version, clock time.Duration)
}

const (
	retryAfter = 200 * time.Millisecond // after a failure of the store
	// answerTime is added to how long the store may hold a call back. A connection
	// that went silent is given up after it.
	answerTime = time.Second
	// readTime is how long a whole table may take. A host with a narrow link reads a
	// large one for seconds; the feed bounds each of its calls.
	readTime = 4 * time.Second
	// A nudge ends a call only if the store has had this time to answer it, twice as
	// much after each call that a nudge ended. Nudges come faster than the store
	// answers where many neighbours are ahead.
	minHeld = 500 * time.Millisecond
	maxHeld = 4 * time.Second
)

var errStale = eris.New("the store's answer is older than an earlier one")

// Follower follows one table.
type Follower struct {
	name   string
	feed   storer.Feed
	reader Handler
	wait   time.Duration
	pause  time.Duration
	log    *logger.Logger
	nudge  chan struct{}

	version  storer.Version
	whole    bool // whether the table was read and its history is known since
	lost     bool
	held     time.Duration // how old a call is before a nudge ends it
	regained atomic.Int64  // Unix nanoseconds; 0 before the first loss
}

// New returns a follower of a table. Wait is how long the store may hold a call
// back while nothing changes, pause the time between two calls, which gathers
// changes and so saves calls.
func New(name string, feed storer.Feed, reader Handler, wait, pause time.Duration, log *logger.Logger) *Follower {
	return &Follower{name: name, feed: feed, reader: reader, wait: wait, pause: pause, log: log.Component("follower"), nudge: make(chan struct{}, 1), held: minHeld}
}

// SinceRecovery returns how long ago the store answered again after a failure, or
// false if it has not failed.
func (f *Follower) SinceRecovery() (time.Duration, bool) {
	at := f.regained.Load()
	if at == 0 {
		return 0, false
	}
	return time.Since(time.Unix(0, at)), true
}

// Refresh says that there are changes that the follower has not seen. A call that is
// held back is given up, because its connection may have gone silent.
func (f *Follower) Refresh() {
	select {
	case f.nudge <- struct{}{}:
	default: // one is enough
	}
}

// nudged ends a context at the next nudge.
func (f *Follower) nudged(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	young := time.NewTimer(f.held)
	go func() {
		defer young.Stop()
		select {
		case <-young.C:
		case <-ctx.Done():
			return
		}
		select {
		case <-f.nudge:
			cancel(errNudged)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

var errNudged = eris.New("there are changes that were not seen")

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := f.pause
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			pause = retryAfter
			f.failed(err)
		}
		if sleeper.Sleep(ctx, pause) != nil {
			return
		}
	}
}

func (f *Follower) failed(err error) {
	if errors.Is(err, storer.ErrHistoryLost) {
		f.whole = false
		f.log.Warn("history-lost", logger.With(logger.KeyDependent, f.name), logger.With(logger.KeyVersion, uint64(f.version)))
		return
	}
	if !f.lost {
		f.lost = true
		f.log.Warn("dependency-lost", logger.With(logger.KeyDependent, "store "+f.name), logger.Err(err),
			logger.With(logger.KeyVersion, uint64(f.version)))
	}
}

func (f *Follower) step(ctx context.Context) error {
	changes, err := f.fetch(ctx)
	if errors.Is(err, errNudged) {
		f.held = min(2*f.held, maxHeld)
		return nil // asked again at once
	}
	if err != nil {
		return err
	}
	if f.lost {
		f.lost = false
		f.regained.Store(time.Now().UnixNano())
		f.log.Info("dependency-regained", logger.With(logger.KeyDependent, "store "+f.name),
			logger.With(logger.KeyVersion, uint64(changes.Version())))
	}
	if f.whole {
		f.reader.Apply(changes.List())
	} else {
		f.reader.Replace(changes.List())
		f.whole = true
	}
	f.version, f.held = changes.Version(), minHeld
	f.reader.Contact(f.version, changes.Clock())
	return nil
}

func (f *Follower) fetch(ctx context.Context) (storer.Changes, error) {
	limit := readTime
	if f.whole {
		limit = f.wait + answerTime
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if f.whole {
		ctx, cancel := f.nudged(ctx)
		defer cancel()
		changes, err := f.feed.Follow(ctx, f.version, f.wait)
		if errors.Is(context.Cause(ctx), errNudged) {
			return storer.Changes{}, errNudged
		}
		if err != nil {
			return storer.Changes{}, fmt.Errorf("follow table %s: %w", f.name, err)
		}
		return changes, f.fresh(changes)
	}
	changes, err := f.feed.Snapshot(ctx)
	if err != nil {
		return storer.Changes{}, fmt.Errorf("read table %s: %w", f.name, err)
	}
	return changes, f.fresh(changes)
}

func (f *Follower) fresh(c storer.Changes) error {
	if c.Version() < f.version {
		return fmt.Errorf("version %d after %d: %w", c.Version(), f.version, errStale)
	}
	return nil
}
