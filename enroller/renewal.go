package enroller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/sleeper"
	"github.com/dragonflyford/dragonflyford/storer"
)

// renewTimeout limits the time of one renewal, so that a connection to the
// store that no longer responds is abandoned.
const renewTimeout = 2 * time.Second

// renewRetryDelay is the delay before a failed renewal is retried, unless the
// store answers another request earlier.
const renewRetryDelay = time.Second

// hungAfter is how long the store may take to answer a renewal. If one has been
// pending for longer when the store answers another request, its connection is
// considered dead and the renewal is cancelled.
const hungAfter = 500 * time.Millisecond

// restoredSpread is the time over which all hosts renew their rows after the store has
// been restored.
const restoredSpread = 500 * time.Millisecond

// renewal is a renewal whose answer is pending.
type renewal struct {
	began  time.Time
	cancel context.CancelFunc
}

// Run renews the row of this host until ctx is done.
func (e *Enroller) Run(ctx context.Context) {
	for {
		e.renewOnce(ctx)
		if e.waitForRenewal(ctx) != nil {
			return
		}
	}
}

// waitForRenewal blocks until the next renewal is due. After a failed renewal
// it also returns as soon as the store answers another request.
func (e *Enroller) waitForRenewal(ctx context.Context) error {
	if e.renewed {
		return e.waitOrRestored(ctx, e.timing.renew)
	}
	again, cancel := context.WithTimeout(ctx, min(e.timing.renew, renewRetryDelay))
	defer cancel()
	select {
	case <-e.storeAnswered:
	case <-again.Done():
	}
	return ctx.Err()
}

// waitOrRestored blocks for the duration d, or until the store has been restored, which
// may have lost the latest renewal.
func (e *Enroller) waitOrRestored(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.restored:
		return sleeper.Sleep(ctx, rand.N(restoredSpread))
	case <-ctx.Done():
	}
	return ctx.Err()
}

func (e *Enroller) renewOnce(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, e.writeLimit())
	defer cancel()
	select {
	case <-e.storeAnswered: // discard a signal from before this attempt
	default:
	}
	e.pending.Store(&renewal{began: time.Now(), cancel: cancel})
	err := e.renew(limited)
	e.pending.Store(nil)
	switch {
	case err == nil && !e.renewed:
		e.renewed = true
		e.log.Info("lease-taken", logger.With(logger.KeyToken, uint64(e.ownVersion())))
	case err != nil && ctx.Err() == nil:
		e.renewed = false
		left := time.Duration(e.leaseEnd.Load()) - e.clock()
		e.log.Warn("lease-not-renewed", logger.Err(err), logger.With(logger.KeyLeft, left.Milliseconds()))
	}
}

// writeLimit returns the time after which a write without an answer is abandoned.
func (e *Enroller) writeLimit() time.Duration { return min(e.timing.renew, renewTimeout) }

func (e *Enroller) ownVersion() storer.Version {
	if h := e.View().Host(e.self.name); h != nil {
		return h.version
	}
	return 0
}

// renew writes the row of this host and extends its lease.
func (e *Enroller) renew(ctx context.Context) error {
	began := e.clock()
	stamp := e.View().storeClock()
	e.mu.Lock()
	e.sequence++
	doc := hostDocument{
		Callers: e.self.callers, Peers: e.self.peers, DataCentre: e.self.dataCentre, Region: e.self.region,
		Leaving: e.leaving.Load(), Sequence: e.sequence, ClockMS: stamp.Milliseconds(), Link: e.self.link,
		Process: e.process, Eras: e.View().knownEras(),
	}
	e.mu.Unlock()
	value, err := encodeRow(doc)
	if err != nil {
		return err
	}
	key := HostPrefix + e.self.name
	version, err := e.store.Commit(ctx, storer.NewPut(key, value, e.ownVersion()))
	var conflict *storer.RowConflict
	if errors.As(err, &conflict) {
		// The row was written by an earlier renewal whose answer was lost, or by the
		// previous process of this host, or is that of an older copy of the store.
		e.observeCopy(conflict.Changes())
		e.Apply(conflict.Changes())
		version, err = e.store.Commit(ctx, storer.NewPut(key, value, e.ownVersion()))
	}
	if err != nil {
		return fmt.Errorf("renew row: %w", err)
	}
	e.Apply([]storer.Change{storer.NewChange(storer.NewRow(key, value, version))})
	if e.clock() >= time.Duration(e.leaseEnd.Load()) {
		e.leaseVersion.Store(uint64(version))
	}
	e.leaseEnd.Store(int64(began + e.timing.lease))
	e.mu.Lock()
	if e.joinedAt.IsZero() {
		e.joinedAt = time.Now()
	}
	e.mu.Unlock()
	return nil
}
