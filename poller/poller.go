package poller

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/avoider"
	"github.com/dragonflyford/dragonflyford/elector"
	"github.com/dragonflyford/dragonflyford/follower"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/storer"
	"github.com/dragonflyford/dragonflyford/subscriber"
	"github.com/dragonflyford/dragonflyford/transporter"
)

// transferTimeout bounds the transfer of an answer. The client of the store bounds the time
// without a byte.
const transferTimeout = 15 * time.Second

// Reasons for which a long poll is ended before it is answered.
var (
	errOutdated  = eris.New("another host has a later row")
	errUnchecked = eris.New("no preferred host has checked the table lately")
)

// Rows reports which rows a host has. They may come from other reads than those of the poller.
type Rows interface {
	// Complete returns the version of the table up to which the host has all rows.
	Complete() storer.Version
	// Latest returns the version of the latest row.
	Latest() storer.Version
}

// Poller is a feed of one table.
type Poller struct {
	name    string
	table   storer.PollFeed
	rows    Rows
	elector *elector.Elector
	remote  subscriber.Remote
	address func(host string) (string, bool)
	log     *logger.Logger

	announced chan struct{} // a later row was announced
	silent    atomic.Int64  // calls in a row that the store has not answered
	retry     backoff
	deferred  atomic.Int64 // Unix nanoseconds until which an announcement ends no poll
	arrival   atomic.Pointer[arrival]
	avoided   avoider.Avoider
}

var (
	_ storer.Feed                = (*Poller)(nil)
	_ follower.SnapshotTimeouter = (*Poller)(nil)
	_ follower.TransferTimeouter = (*Poller)(nil)
)

// New returns a feed of a table of the store. Address returns the address of another host for
// calls from hosts, or false if it is not known.
func New(name string, table storer.PollFeed, rows Rows, e *elector.Elector, remote subscriber.Remote, address func(host string) (string, bool), log *logger.Logger) *Poller {
	return &Poller{
		name: name, table: table, rows: rows, elector: e, remote: remote, address: address,
		log: log.Component("poller"), announced: make(chan struct{}, 1),
	}
}

// Record records the announcement of another host of the data centre.
func (p *Poller) Record(host string, a elector.Announcement) {
	p.elector.Record(host, a, time.Now())
	if a.Latest() <= p.rows.Latest() {
		return // it ends no poll, and a later check only moves the deadline of one
	}
	select {
	case p.announced <- struct{}{}:
	default: // another one is pending
	}
}

// SnapshotTimeout implements follower.SnapshotTimeouter.
func (p *Poller) SnapshotTimeout() time.Duration { return transferTimeout }

// TransferTimeout implements follower.TransferTimeouter.
func (p *Poller) TransferTimeout() time.Duration { return transferTimeout }

// Snapshot implements storer.Feed.
func (p *Poller) Snapshot(ctx context.Context) (storer.Changes, error) {
	p.endArrival(nil)
	changes, err := p.table.Snapshot(ctx)
	p.recordResult(err)
	if err == nil {
		return changes, nil
	}
	if copied, ok := p.copyRows(ctx, 0); ok {
		return copied, nil
	}
	return storer.Changes{}, fmt.Errorf("read from the store: %w", err)
}

// Follow implements storer.Feed. Wait is how long a host may wait that does not check the
// table.
func (p *Poller) Follow(ctx context.Context, after storer.Version, wait time.Duration) (storer.Changes, error) {
	if err := p.retry.await(ctx); err != nil {
		return storer.Changes{}, err
	}
	if wait > 0 && p.elector.Checks(time.Now()) {
		wait = min(wait, p.elector.Timing().Check())
	}
	changes, err := p.poll(ctx, after, wait)
	if wait > 0 && ctx.Err() == nil && (errors.Is(err, transporter.ErrSilent) || isEnded(err)) {
		p.log.Info("poll-repeated", logger.With(logger.KeyDependency, p.name), logger.With(logger.KeyWait, wait.Milliseconds()), logger.Err(err))
		p.table.Reconnect() // the connection of the poll may not be the only one that is dead
		changes, err = p.poll(ctx, after, 0)
		p.deferOutdated(changes, err)
	}
	switch {
	case err == nil, errors.Is(err, storer.ErrHistoryLost):
		return changes, err
	}
	if copied, ok := p.copyRows(ctx, p.after(after)); ok {
		return copied, nil
	}
	return storer.Changes{}, fmt.Errorf("poll the store: %w", err)
}

// deferOutdated keeps an announcement from ending the next polls, too, if the store itself has
// answered without the announced row.
func (p *Poller) deferOutdated(answer storer.Changes, err error) {
	if _, latest, ahead := p.elector.Ahead(p.rows.Latest(), time.Now()); err == nil && ahead && answer.Version() < latest {
		p.deferred.Store(time.Now().Add(p.elector.Timing().Check()).UnixNano())
	}
}

// isEnded reports whether a long poll was ended by this host.
func isEnded(err error) bool { return errors.Is(err, errOutdated) || errors.Is(err, errUnchecked) }

// after returns the version after which rows are missing. Other reads may have brought rows
// since the follower's latest one, of which a large configuration is not to be read again.
func (p *Poller) after(v storer.Version) storer.Version {
	if known := p.rows.Complete(); known.Era() == v.Era() {
		return max(known, v)
	}
	return v
}

// poll asks the store once.
func (p *Poller) poll(ctx context.Context, after storer.Version, wait time.Duration) (storer.Changes, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	answer := newArrival()
	p.endArrival(answer)
	var watching sync.WaitGroup
	if wait > 0 {
		watching.Go(func() { p.watch(ctx, wait, cancel, answer) })
	}
	defer func() {
		cancel(nil)
		watching.Wait()
	}()
	request := storer.NewPoll(p.after(after), wait, p.silence()).OnFirstByte(answer.begin)
	changes, err := p.table.Poll(ctx, request)
	if err != nil || len(changes.List()) == 0 {
		p.endArrival(nil) // there are no rows to apply
	}
	if cause := context.Cause(ctx); err != nil && isEnded(cause) {
		return storer.Changes{}, cause
	}
	p.recordResult(err)
	return changes, err
}

// silence returns the longest time without a byte of the next answer. It doubles with each call
// that the store has not answered, as a slow store would otherwise answer none in time.
func (p *Poller) silence() time.Duration {
	t := p.elector.Timing()
	d := t.Reply()
	for range p.silent.Load() {
		if d *= 2; d >= t.MaxReply() {
			return t.MaxReply()
		}
	}
	return d
}

// recordResult records whether the store has answered this host.
func (p *Poller) recordResult(err error) {
	switch {
	case err == nil, errors.Is(err, storer.ErrHistoryLost):
		p.silent.Store(0)
		p.retry.reset()
		p.elector.Confirm(time.Now())
		return
	case errors.Is(err, transporter.ErrSilent):
		p.silent.Add(1)
	}
	p.retry.fail(p.elector.Timing().Check())
}

// watch ends a long poll as soon as it is known to lack a row, or when nobody knows whether it
// does. It does not end a poll whose answer is arriving.
func (p *Poller) watch(ctx context.Context, wait time.Duration, cancel context.CancelCauseFunc, answer *arrival) {
	var behindSince time.Time
	for ctx.Err() == nil {
		if _, _, behind := p.elector.Ahead(p.rows.Latest(), time.Now()); !behind {
			behindSince = time.Time{}
		} else if behindSince.IsZero() {
			behindSince = time.Now()
		}
		at, reason := p.endOfPoll(wait, behindSince)
		if !at.IsZero() && !time.Now().Before(at) {
			if !answer.begun() {
				cancel(reason)
			}
			return // an answer that falls silent is given up by the client of the store
		}
		p.awaitAnnouncement(ctx, at)
	}
}

// awaitAnnouncement blocks until a later row is announced, or until a time unless it is zero.
func (p *Poller) awaitAnnouncement(ctx context.Context, until time.Time) {
	var expired <-chan time.Time
	if !until.IsZero() {
		timer := time.NewTimer(time.Until(until))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-p.announced:
	case <-expired:
	case <-ctx.Done():
	}
}

// endOfPoll returns when a long poll has to end, and why. The time is zero if it may go on.
func (p *Poller) endOfPoll(wait time.Duration, behindSince time.Time) (at time.Time, reason error) {
	timing := p.elector.Timing()
	if wait > timing.Check() { // this host relies on the checks of others
		at, reason = p.elector.Deadline(), errUnchecked
	}
	if behindSince.IsZero() {
		return at, reason
	}
	outdatedAt := behindSince.Add(timing.Grace())
	if deferred := time.Unix(0, p.deferred.Load()); deferred.After(outdatedAt) {
		outdatedAt = deferred
	}
	if at.IsZero() || outdatedAt.Before(at) {
		return outdatedAt, errOutdated
	}
	return at, reason
}
