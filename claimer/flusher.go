package claimer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/storer"
)

var (
	// errFull reports a write that was rejected by the full queue; it had no effect.
	errFull = eris.New("the queue of claim writes is full")
	// errClosed reports a write after Close; it had no effect.
	errClosed = eris.New("the claimer is closed")
	// errWithdrawn reports a write whose context ended before the commit started.
	// It had no effect.
	errWithdrawn = eris.New("the claim write was withdrawn before it was committed")
)

// pendingWrite is one row write that waits for a commit.
type pendingWrite struct {
	write  storer.Write
	taken  atomic.Bool // set by the flusher, or by the caller that withdraws the write
	result chan error
}

// flusher commits row writes in groups, on a single goroutine.
type flusher struct {
	table    storer.Table
	settings settings
	interval atomic.Int64
	queue    chan *pendingWrite
	commits  atomic.Int64
	rows     atomic.Int64

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func newFlusher(table storer.Table, s settings) *flusher {
	ctx, cancel := context.WithCancel(context.Background())
	f := &flusher{table: table, settings: s, queue: make(chan *pendingWrite, s.maxQueue), ctx: ctx, cancel: cancel}
	f.interval.Store(int64(s.interval))
	f.done.Go(f.run)
	return f
}

func (f *flusher) close() {
	f.cancel()
	f.done.Wait()
}

// commit waits until the write is committed. An error that is not ErrConflict,
// ErrUnavailable, errFull, errClosed or errWithdrawn leaves it unknown whether the
// write was applied.
func (f *flusher) commit(ctx context.Context, w storer.Write) error {
	op := &pendingWrite{write: w, result: make(chan error, 1)}
	select {
	case <-f.ctx.Done():
		return errClosed
	default:
	}
	select {
	case f.queue <- op:
	default:
		return errFull
	}
	select {
	case err := <-op.result:
		return err
	case <-ctx.Done():
	case <-f.ctx.Done():
	}
	return f.withdraw(ctx, op)
}

// withdraw cancels a pending write. If the flusher has taken it already, withdraw
// waits for the result until a context ends.
func (f *flusher) withdraw(ctx context.Context, op *pendingWrite) error {
	if op.taken.CompareAndSwap(false, true) {
		if f.ctx.Err() != nil {
			return errClosed
		}
		return errWithdrawn
	}
	select {
	case err := <-op.result:
		return err
	case <-f.ctx.Done():
		return storer.ErrUncertain
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", storer.ErrUncertain, ctx.Err())
	}
}

func (f *flusher) run() {
	var (
		deferred []*pendingWrite // writes to rows that the last group already contained
		pacer    commitPacer
	)
	for {
		interval := time.Duration(f.interval.Load())
		group, rest, ok := f.collect(deferred, pacer.earliestStart(interval, f.settings.burst))
		if !ok {
			return
		}
		deferred = rest
		before := f.commits.Load()
		f.flush(group)
		pacer.charge(time.Duration(f.commits.Load()-before) * interval)
	}
}

// commitPacer limits the rate of commits to one per interval, with a burst after
// idle time.
type commitPacer struct {
	due time.Time // end of the intervals of all commits so far
}

// earliestStart returns when the next commit may start.
func (p *commitPacer) earliestStart(interval time.Duration, burst int) time.Time {
	return p.due.Add(-time.Duration(burst-1) * interval)
}

func (p *commitPacer) charge(d time.Duration) {
	if now := time.Now(); p.due.Before(now) {
		p.due = now
	}
	p.due = p.due.Add(d)
}

// collect waits until the next commit may start and selects its writes from the
// deferred and queued ones.
func (f *flusher) collect(deferred []*pendingWrite, start time.Time) (group, rest []*pendingWrite, ok bool) {
	if len(deferred) == 0 {
		select {
		case op := <-f.queue:
			deferred = append(deferred, op)
		case <-f.ctx.Done():
			return nil, nil, false
		}
	}
	wait := max(f.settings.window, time.Until(start))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.ctx.Done():
		return nil, nil, false
	}
	group, rest = f.selectGroup(deferred)
	return group, rest, true
}

// selectGroup returns up to maxGroup writes to different rows, and the writes that
// have to wait for the next commit.
func (f *flusher) selectGroup(deferred []*pendingWrite) (group, rest []*pendingWrite) {
	keys := make(map[string]bool)
	add := func(op *pendingWrite) {
		switch {
		case keys[op.write.Key()]:
			rest = append(rest, op)
		case op.taken.CompareAndSwap(false, true):
			keys[op.write.Key()] = true
			group = append(group, op)
		}
	}
	for _, op := range deferred {
		add(op)
	}
	for len(group) < f.settings.maxGroup && len(rest) < f.settings.maxGroup {
		select {
		case op := <-f.queue:
			add(op)
		default:
			return group, rest
		}
	}
	return group, rest
}

// flush commits a group. A write that conflicts is removed from the group, and the
// others are committed without it. If the conflicting row is unknown, the group is
// split in half.
func (f *flusher) flush(group []*pendingWrite) {
	for len(group) > 0 {
		err := f.commitGroup(group)
		if !errors.Is(err, storer.ErrConflict) || len(group) == 1 {
			complete(group, err)
			return
		}
		rest := withoutConflict(group, err)
		if len(rest) == len(group) {
			half := len(group) / 2
			f.flush(group[:half])
			rest = group[half:]
		}
		group = rest
	}
}

// withoutConflict reports the conflict to the write that caused it and returns the
// other writes.
func withoutConflict(group []*pendingWrite, err error) []*pendingWrite {
	var conflict *storer.ConflictError
	if !errors.As(err, &conflict) {
		return group
	}
	rest := make([]*pendingWrite, 0, len(group))
	for _, op := range group {
		if op.write.Key() == conflict.Key() {
			op.result <- err
			continue
		}
		rest = append(rest, op)
	}
	return rest
}

func complete(group []*pendingWrite, err error) {
	for _, op := range group {
		op.result <- err
	}
}

func (f *flusher) commitGroup(group []*pendingWrite) error {
	ctx, cancel := context.WithTimeout(f.ctx, f.settings.commitTimeout)
	defer cancel()
	writes := make([]storer.Write, len(group))
	for i, op := range group {
		writes[i] = op.write
	}
	f.commits.Add(1)
	f.rows.Add(int64(len(group)))
	return f.table.Commit(ctx, writes...)
}
