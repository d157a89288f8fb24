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
	// errFull reports a write that found no place in the queue; it had no effect.
	errFull = eris.New("the queue of claim writes is full")
	// errClosed reports a write after Close; it had no effect.
	errClosed = eris.New("the claimer is closed")
	// errWithdrawn reports a write whose attempt left before it was committed.
	errWithdrawn = eris.New("the claim write was withdrawn before it was committed")
)

// operation is one row write that waits for a commit.
type operation struct {
	write  storer.Write
	taken  atomic.Bool // set by the flusher, or by the attempt that gives up
	result chan error
}

// flusher commits row writes in groups. One goroutine runs it.
type flusher struct {
	table    storer.Table
	settings settings
	interval atomic.Int64
	queue    chan *operation
	commits  atomic.Int64
	rows     atomic.Int64

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func newFlusher(table storer.Table, s settings) *flusher {
	ctx, cancel := context.WithCancel(context.Background())
	f := &flusher{table: table, settings: s, queue: make(chan *operation, s.maxQueue), ctx: ctx, cancel: cancel}
	f.interval.Store(int64(s.interval))
	f.done.Go(f.run)
	return f
}

func (f *flusher) close() {
	f.cancel()
	f.done.Wait()
}

// commit waits until the write is committed. An error that is not ErrConflict,
// ErrUnavailable, errFull, errClosed or errWithdrawn leaves the effect open.
func (f *flusher) commit(ctx context.Context, w storer.Write) error {
	op := &operation{write: w, result: make(chan error, 1)}
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
	return f.leave(ctx, op)
}

// leave gives up an operation, unless the flusher has taken it.
func (f *flusher) leave(ctx context.Context, op *operation) error {
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
		held []*operation // writes of a row that the last group held already
		pace pace
	)
	for {
		interval := time.Duration(f.interval.Load())
		group, rest, ok := f.gather(held, pace.start(interval, f.settings.burst))
		if !ok {
			return
		}
		held = rest
		before := f.commits.Load()
		f.flush(group)
		pace.spend(time.Duration(f.commits.Load()-before) * interval)
	}
}

// pace spreads commits: one per interval, and up to a burst of them after idle
// time.
type pace struct {
	due time.Time // when the commits so far are paid for
}

// start returns when the next commit may start.
func (p *pace) start(interval time.Duration, burst int) time.Time {
	return p.due.Add(-time.Duration(burst-1) * interval)
}

func (p *pace) spend(d time.Duration) {
	if now := time.Now(); p.due.Before(now) {
		p.due = now
	}
	p.due = p.due.Add(d)
}

// gather collects the writes of one commit.
func (f *flusher) gather(held []*operation, start time.Time) (group, rest []*operation, ok bool) {
	if len(held) == 0 {
		select {
		case op := <-f.queue:
			held = append(held, op)
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
	group, rest = f.take(held)
	return group, rest, true
}

// take returns up to MaxGroup writes of different rows and the writes that have
// to wait.
func (f *flusher) take(held []*operation) (group, rest []*operation) {
	keys := make(map[string]bool)
	add := func(op *operation) {
		switch {
		case keys[op.write.Key()]:
			rest = append(rest, op)
		case op.taken.CompareAndSwap(false, true):
			keys[op.write.Key()] = true
			group = append(group, op)
		}
	}
	for _, op := range held {
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

// flush commits a group. A row that conflicts leaves the group, and the others
// are committed without it.
func (f *flusher) flush(group []*operation) {
	for len(group) > 0 {
		err := f.commitGroup(group)
		if !errors.Is(err, storer.ErrConflict) || len(group) == 1 {
			answer(group, err)
			return
		}
		rest := without(group, err)
		if len(rest) == len(group) {
			half := len(group) / 2
			f.flush(group[:half])
			rest = group[half:]
		}
		group = rest
	}
}

// without answers the write whose row conflicts and returns the others.
func without(group []*operation, err error) []*operation {
	var conflict *storer.ConflictError
	if !errors.As(err, &conflict) {
		return group
	}
	rest := make([]*operation, 0, len(group))
	for _, op := range group {
		if op.write.Key() == conflict.Key() {
			op.result <- err
			continue
		}
		rest = append(rest, op)
	}
	return rest
}

func answer(group []*operation, err error) {
	for _, op := range group {
		op.result <- err
	}
}

func (f *flusher) commitGroup(group []*operation) error {
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
