package budgeter

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/dragonflyford/dragonflyford/storer"
)

// poolLoop takes permits from the row that all nodes share.
func (b *Budgeter) poolLoop(ctx context.Context) {
	defer b.loops.Done()
	for {
		// Only an idle loop is woken by a new load. The other waits end by
		// themselves, so that many loads do not mean many requests to the table.
		wait, wake := b.exchange(ctx), b.wakePool
		if wait > 0 {
			wake = nil
		}
		if !sleep(ctx, wait, wake) {
			return
		}
	}
}

// exchange reads the row, takes a permit if a load waits and there is room, and
// records releases. It returns when to try again.
func (b *Budgeter) exchange(ctx context.Context) time.Duration {
	releases := b.releases()
	if b.queue.empty() && len(releases) == 0 {
		return -1
	}
	if b.queue.empty() && !b.uncertain && !b.dueRelease(ctx) {
		return 0
	}
	l, version, err := b.read(ctx)
	if err != nil {
		return b.jitter(retryTable)
	}
	b.readBack(l)
	now := time.Now()
	l.purge(now)
	changed := l.release(b.node, releases)
	wait := time.Duration(-1)
	asked := false
	if !b.queue.empty() {
		if wait = l.room(b.pool(), now); wait == 0 {
			asked = true
			b.number++
			l.Permits = append(l.Permits, permit{
				Node: b.node, Number: b.number,
				Start: now.UnixMilli(), Expiry: now.Add(expiry).UnixMilli(),
			})
		}
	}
	if !asked && !changed {
		b.forgetReleases(releases)
		return b.until(wait)
	}
	return b.write(ctx, l, version, releases, asked)
}

// until adds a jitter, so that nodes that wait for the same permit do not all
// write at the same moment.
func (b *Budgeter) until(wait time.Duration) time.Duration {
	if wait < 0 {
		return wait
	}
	return min(wait, pollEvery) + b.jitter(conflictDelay)
}

// dueRelease waits until releases are worth a write of their own, or a load
// comes that carries them. It reports whether ctx goes on.
func (b *Budgeter) dueRelease(ctx context.Context) bool {
	return sleep(ctx, releaseAfter, b.wakePool)
}

func (b *Budgeter) pool() pool {
	l := b.limits()
	return pool{
		rate:     l.StoreRate() * (1 - privateShare),
		inFlight: max(1, l.StoreInFlight()-privateInFlight),
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

// readBack settles a write whose response was lost.
func (b *Budgeter) readBack(l *ledger) {
	if b.uncertain && l.has(b.node, b.number) {
		b.granted(b.number)
	}
	b.uncertain = false
}

func (b *Budgeter) write(ctx context.Context, l *ledger, version storer.Version, releases map[uint64]struct{}, asked bool) time.Duration {
	value, err := l.encode()
	if err != nil {
		return retryTable
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	err = b.table.Commit(ctx, storer.NewPut(Key, value, version))
	switch {
	case err == nil:
		b.conflicts = 0
		b.forgetReleases(releases)
		if asked {
			b.granted(b.number)
		}
		return 0
	case errors.Is(err, storer.ErrConflict):
		b.conflicts++
		return b.jitter(conflictDelay << min(b.conflicts, 5))
	case errors.Is(err, storer.ErrUnavailable):
		return b.jitter(retryTable)
	default:
		b.uncertain = asked
		return b.jitter(conflictDelay)
	}
}

// granted passes a permit on, or gives it back if no load waits any more.
func (b *Budgeter) granted(number uint64) {
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

func (b *Budgeter) releases() map[uint64]struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.released)
}

func (b *Budgeter) forgetReleases(done map[uint64]struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n := range done {
		delete(b.released, n)
	}
}
