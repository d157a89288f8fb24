package enroller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/sleeper"
	"github.com/dragonflyford/dragonflyford/storer"
)

// renewTimeout bounds one renewal. A connection to the store that went silent is
// given up after it.
const renewTimeout = 2 * time.Second

// retryRenewal is the time after which a failed renewal is tried again, if the store
// gives no sign before.
const retryRenewal = time.Second

// youngRenewal is the time that the store has to answer a renewal. An older one that
// is still open when the store is heard of hangs on a connection that went silent.
const youngRenewal = 500 * time.Millisecond

// renewal is a renewal that is under way.
type renewal struct {
	began  time.Time
	cancel context.CancelFunc
}

// Run renews the row until ctx ends.
func (e *Enroller) Run(ctx context.Context) {
	for {
		e.beatOnce(ctx)
		if e.pause(ctx) != nil {
			return
		}
	}
}

// pause waits until the next renewal is due; after a failed one at most until the
// store is heard of.
func (e *Enroller) pause(ctx context.Context) error {
	if e.renewed {
		return sleeper.Sleep(ctx, e.times.renew)
	}
	again, cancel := context.WithTimeout(ctx, min(e.times.renew, retryRenewal))
	defer cancel()
	select {
	case <-e.heard:
	case <-again.Done():
	}
	return ctx.Err()
}

func (e *Enroller) beatOnce(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, min(e.times.renew, renewTimeout))
	defer cancel()
	select {
	case <-e.heard: // from before this try
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

func (e *Enroller) ownVersion() storer.Version {
	if h := e.View().Host(e.self.name); h != nil {
		return h.version
	}
	return 0
}

// renew writes the row of this host.
func (e *Enroller) renew(ctx context.Context) error {
	began := e.clock()
	stamp := e.View().storeClock()
	e.mu.Lock()
	e.beat++
	doc := hostDocument{
		Callers: e.self.callers, Peers: e.self.peers, Zone: e.self.zone, Region: e.self.region,
		Leaving: e.leaving.Load(), Beat: e.beat, ClockMS: stamp.Milliseconds(), Link: e.self.link,
	}
	e.mu.Unlock()
	value, err := encodeRow(doc)
	if err != nil {
		return err
	}
	key := hostPrefix + e.self.name
	version, err := e.store.Commit(ctx, storer.NewPut(key, value, e.ownVersion()))
	var conflict *storer.RowConflict
	if errors.As(err, &conflict) {
		// A lost answer or the process before this one wrote the row.
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
	e.leaseEnd.Store(int64(began + e.times.lease))
	e.mu.Lock()
	if e.joined.IsZero() {
		e.joined = time.Now()
	}
	e.mu.Unlock()
	return nil
}
