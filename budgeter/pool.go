package budgeter

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/dragonflyford/dragonflyford/storer"
)

// poolLoop takes permits from the row that all nodes share, and releases them.
func (b *Budgeter) poolLoop(ctx context.Context) {
	defer b.loops.Done()
	for {
		// A new load wakes the loop only if it is idle. All other waits run to
		// their end, so that the rate of requests to the table does not grow
		// with the number of loads.
		wait, wake := b.updatePool(ctx), b.wakePool
		if wait > 0 {
			wake = nil
		}
		if !sleep(ctx, wait, wake) {
			return
		}
	}
}

// updatePool reads the row, adds a permit if a load waits and the limits allow
// it, and records releases. It returns how long to wait before the next update;
// a negative duration means until a load or a release arrives.
func (b *Budgeter) updatePool(ctx context.Context) time.Duration {
	releases := b.pendingReleases()
	if b.queue.empty() && len(releases) == 0 {
		return -1
	}
	if b.queue.empty() && !b.uncertain && !b.waitRelease(ctx) {
		return 0
	}
	l, version, err := b.read(ctx)
	if err != nil {
		return b.jitter(tableRetryDelay)
	}
	b.resolveUncertain(l)
	now := time.Now()
	l.prune(now)
	changed := l.release(b.node, releases)
	wait := time.Duration(-1)
	added := false
	if !b.queue.empty() {
		if wait = l.waitTime(b.poolLimits(), now); wait == 0 {
			added = true
			b.lastNumber++
			l.Permits = append(l.Permits, permit{
				Node: b.node, Number: b.lastNumber,
				Start: now.UnixMilli(), Expiry: now.Add(permitTTL).UnixMilli(),
			})
		}
	}
	if !added && !changed {
		b.clearReleases(releases)
		return b.withJitter(wait)
	}
	return b.write(ctx, l, version, releases, added)
}

// withJitter bounds wait by pollInterval and adds a jitter, so that nodes that
// wait for the same permit do not all write at the same moment. A negative wait
// is returned unchanged.
func (b *Budgeter) withJitter(wait time.Duration) time.Duration {
	if wait < 0 {
		return wait
	}
	return min(wait, pollInterval) + b.jitter(conflictDelay)
}

// waitRelease waits for releaseDelay to collect more releases into one write.
// It returns early if a load arrives, whose write records the releases as well.
// It returns false if ctx is done.
func (b *Budgeter) waitRelease(ctx context.Context) bool {
	return sleep(ctx, releaseDelay, b.wakePool)
}

func (b *Budgeter) poolLimits() poolLimits {
	l := b.limits()
	return poolLimits{
		rate:     l.StoreRate() * (1 - localShare),
		inFlight: max(1, l.StoreInFlight()-localInFlight),
	}
}

func (b *Budgeter) read(ctx context.Context) (*ledger, storer.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	row, err := b.table.Get(ctx, Key)
	if errors.Is(err, storer.ErrNotFound) {
		return &ledger{}, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("read permits: %w", err)
	}
	l, err := decode(row.Value())
	return l, row.Version(), err
}

// resolveUncertain handles a write whose response was lost: if the row holds
// its permit, the write was applied and the permit is delivered.
func (b *Budgeter) resolveUncertain(l *ledger) {
	if b.uncertain && l.contains(b.node, b.lastNumber) {
		b.deliver(b.lastNumber)
	}
	b.uncertain = false
}

func (b *Budgeter) write(ctx context.Context, l *ledger, version storer.Version, releases map[uint64]struct{}, added bool) time.Duration {
	value, err := l.encode()
	if err != nil {
		return tableRetryDelay
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	err = b.table.Commit(ctx, storer.NewPut(Key, value, version))
	switch {
	case err == nil:
		b.conflicts = 0
		b.clearReleases(releases)
		if added {
			b.deliver(b.lastNumber)
		}
		return 0
	case errors.Is(err, storer.ErrConflict):
		b.conflicts++
		return b.jitter(conflictDelay << min(b.conflicts, 5))
	case errors.Is(err, storer.ErrUnavailable):
		return b.jitter(tableRetryDelay)
	default:
		b.uncertain = added
		return b.jitter(conflictDelay)
	}
}

// deliver grants a permit to a waiting load, or releases it if no load waits.
func (b *Budgeter) deliver(number uint64) {
	release := func() {
		b.mu.Lock()
		b.released[number] = struct{}{}
		b.mu.Unlock()
		b.queue.signal()
	}
	if !b.queue.grant(release) {
		release()
	}
}

func (b *Budgeter) pendingReleases() map[uint64]struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.released)
}

func (b *Budgeter) clearReleases(done map[uint64]struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n := range done {
		delete(b.released, n)
	}
}
