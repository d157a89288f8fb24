package leaser

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dragonflyford/dragonflyford/storer"
)

// ownRow is the state of the node's own lease row. It is locked during table
// operations, so that the node has at most one write pending.
type ownRow struct {
	sem          chan struct{} // a channel rather than a mutex, because it is held during network requests
	term         uint64
	acquired     bool // the row belongs to this process as far as it can tell
	version      storer.Version
	sequence     uint64
	closedTerm   uint64
	mustRead     bool // the row must be read before the next write
	unresolved   bool // an earlier write may still be applied
	pending      *attempt
	otherProcess *observedRow // the row of another process that holds the name
}

// lock acquires the row, or fails when ctx is done.
func (own *ownRow) lock(ctx context.Context) error {
	select {
	case own.sem <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for the lease row: %w", context.Cause(ctx))
	}
}

func (own *ownRow) unlock() { <-own.sem }

// attempt is a write whose answer is pending.
type attempt struct {
	sequence uint64
	started  time.Time
	next     *Assignment    // nil for a renewal that changes no assignment
	version  storer.Version // of the assignment row after the write
}

// change is a new assignment and the writes that must be committed with it.
type change struct {
	next     *Assignment
	replaces storer.Version // version of the assignment row that it replaces
	revoke   []storer.Write // end the leases of holders that are no longer in the assignment
}

func (l *Leaser) runRenewals(ctx context.Context) {
	for {
		pause := l.settings.renew
		if err := l.renew(ctx); err != nil {
			pause = min(pause, retryDelay)
		}
		gap := time.After(min(writeGap, pause))
		select {
		case <-gap:
		case <-ctx.Done():
			return
		}
		select {
		case <-time.After(pause - min(writeGap, pause)):
		case <-l.renewNow:
		case <-ctx.Done():
			return
		}
	}
}

func (l *Leaser) renew(ctx context.Context) error {
	if err := l.ownRow.lock(ctx); err != nil {
		return err
	}
	defer l.ownRow.unlock()
	err := l.syncOwnRow(ctx)
	if err == nil {
		err = l.commit(ctx, nil)
	}
	if err != nil {
		l.onError(fmt.Errorf("renew lease: %w", err))
	}
	return err
}

// syncOwnRow reads the lease row if its state is uncertain. A row that was not
// renewed in time is read too, because it may have been deleted and written
// anew with the version that this process last saw.
func (l *Leaser) syncOwnRow(ctx context.Context) error {
	l.mu.Lock()
	expired := !time.Now().Before(l.leaseEnd)
	l.mu.Unlock()
	own := &l.ownRow
	if own.acquired && !own.mustRead && !expired {
		return nil
	}
	return l.readOwnRow(ctx)
}

// readOwnRow reads the lease row to find out which earlier writes were applied,
// and decides under which term the node continues. The caller must hold ownRow.
func (l *Leaser) readOwnRow(ctx context.Context) error {
	row, err := l.getRow(ctx, l.nodeKey(l.self.name))
	absent := errors.Is(err, storer.ErrNotFound)
	if err != nil && !absent {
		return err
	}
	if err := l.fetchOwnAssignment(ctx); err != nil {
		return err
	}
	if absent {
		l.startTerm(0, 0, l.ownRow.closedTerm)
		return nil
	}
	m, err := decodeMember(l.self.name, row.Value())
	if err != nil {
		return fmt.Errorf("decode own lease row: %w", err)
	}
	switch {
	case m.ended:
		l.startTerm(row.Version(), m.term, m.term)
	case m.instance == l.instance:
		l.resume(row, m)
	default:
		return l.awaitExpiry(row, m)
	}
	return nil
}

// startTerm starts a new lease after one with the given term. The assignment
// may name a lease with a higher term than the row, because the row may have
// been deleted.
func (l *Leaser) startTerm(rowVersion storer.Version, term, closed uint64) {
	own := &l.ownRow
	term = max(term, l.lastAssignedTerm())
	own.term = max(own.term, term) + 1
	own.version, own.closedTerm = rowVersion, closed
	own.acquired, own.mustRead, own.unresolved, own.pending, own.otherProcess = true, false, false, nil, nil
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder = Holder{}
	l.leaseEnd, l.memberSince = time.Time{}, time.Time{}
	l.extension.reset()
	l.takeoverPending = false
	clear(l.handoverPending)
	l.publishOwnership()
}

// lastAssignedTerm returns the highest term of the node's name in the
// assignment.
func (l *Leaser) lastAssignedTerm() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var last uint64
	for _, h := range l.assignments[l.self.dataCentre].assignment.holders() {
		if h.name == l.self.name {
			last = max(last, h.term)
		}
	}
	return last
}

// resume continues a lease, and records the last write as applied if the row
// contains its sequence number.
func (l *Leaser) resume(row storer.Row, m Member) {
	own := &l.ownRow
	own.term, own.closedTerm, own.version = m.term, m.closedTerm, row.Version()
	own.acquired, own.mustRead = true, false
	a := own.pending
	own.pending = nil
	if a != nil && a.sequence == m.sequence {
		l.recordApplied(a)
	}
}

// awaitExpiry starts a new term once the lease of another process of the same
// name has expired. Until then it returns ErrNameInUse.
func (l *Leaser) awaitExpiry(row storer.Row, m Member) error {
	own := &l.ownRow
	now := time.Now()
	if own.otherProcess == nil || own.otherProcess.row.Version() != row.Version() || own.otherProcess.member != m {
		own.otherProcess = &observedRow{row: row, member: m, unchangedSince: now}
	}
	if now.Sub(own.otherProcess.unchangedSince) < l.settings.lease+l.settings.guard {
		return fmt.Errorf("process %q: %w", m.instance, ErrNameInUse)
	}
	l.startTerm(row.Version(), m.term, m.closedTerm)
	return nil
}

// commit renews the lease and writes a change in the same transaction. The
// caller must hold ownRow and have called syncOwnRow.
func (l *Leaser) commit(ctx context.Context, c *change) error {
	own := &l.ownRow
	own.sequence++
	a := &attempt{sequence: own.sequence, started: time.Now()}
	writes, err := l.buildWrites(a, c)
	if err != nil {
		return err
	}
	own.pending = a
	callCtx, cancel := context.WithTimeout(ctx, l.settings.renew)
	defer cancel()
	err = l.table.Commit(callCtx, writes...)
	switch {
	case err == nil:
		l.recordContact(true)
		own.pending = nil
		own.version++
		l.recordApplied(a)
		return nil
	case errors.Is(err, storer.ErrConflict):
		l.recordContact(true)
		own.pending = nil
		l.recordNotApplied()
		return l.handleConflict(ctx, err)
	case errors.Is(err, storer.ErrUnavailable) && !errors.Is(err, storer.ErrUncertain):
		l.recordContact(false)
		own.pending = nil
		l.recordNotApplied()
		return fmt.Errorf("write lease row: %w", err)
	default:
		l.recordContact(false)
		own.mustRead, own.unresolved = true, true
		return l.resolveUncertain(ctx, a, err)
	}
}

// resolveUncertain reads the lease row to find out whether a write without an
// answer was applied.
func (l *Leaser) resolveUncertain(ctx context.Context, a *attempt, lost error) error {
	if err := l.readOwnRow(ctx); err != nil {
		return fmt.Errorf("write lease row: %w; read it back: %w", lost, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leaseEnd.Before(a.started.Add(l.settings.lease)) {
		return nil
	}
	return fmt.Errorf("write lease row: %w", lost)
}

// handleConflict handles a write that was rejected. A conflict on the node's
// own row means that an earlier write was applied late or that the lease was
// taken away.
func (l *Leaser) handleConflict(ctx context.Context, err error) error {
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) && conflict.Key() != l.nodeKey(l.self.name) {
		return fmt.Errorf("write lease row: %w", errors.Join(err, l.fetchOwnAssignment(ctx)))
	}
	l.ownRow.mustRead = true
	return fmt.Errorf("write lease row: %w", errors.Join(err, l.readOwnRow(ctx)))
}

// buildWrites returns the writes of an attempt, with those of the change if it
// is not nil.
func (l *Leaser) buildWrites(a *attempt, c *change) ([]storer.Write, error) {
	own := &l.ownRow
	member := l.ownMember()
	var writes []storer.Write
	if c != nil {
		a.next, a.version = c.next, c.replaces+1
		member.assignmentVersion = uint64(a.version)
		value, err := c.next.Encode()
		if err != nil {
			return nil, err
		}
		writes = append(writes, storer.NewPut(AssignmentKey(l.self.dataCentre), value, c.replaces))
		writes = append(writes, c.revoke...)
	}
	value, err := member.encode()
	if err != nil {
		return nil, err
	}
	return append(writes, storer.NewPut(l.nodeKey(l.self.name), value, own.version)), nil
}

// ownMember returns the content of the next version of the lease row.
func (l *Leaser) ownMember() Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Member{
		Identity: l.self, instance: l.instance, term: l.ownRow.term, sequence: l.ownRow.sequence,
		draining: l.draining, inForce: l.inForce, prepared: l.prepared,
		assignmentVersion: uint64(l.assignments[l.self.dataCentre].version), closedTerm: l.ownRow.closedTerm,
	}
}

// recordApplied records a write that was applied. An earlier write with an
// unknown outcome can no longer be applied, because the version of the row has
// changed.
func (l *Leaser) recordApplied(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder = Holder{name: l.self.name, instance: l.instance, term: l.ownRow.term}
	if end := a.started.Add(l.settings.lease); end.After(l.leaseEnd) {
		l.leaseEnd = end
	}
	if a.next != nil {
		l.storeAssignment(l.self.dataCentre, storedAssignment{assignment: a.next, version: a.version})
	}
	l.ownRow.unresolved = false
	l.takeoverPending = false
	clear(l.handoverPending)
	l.publishOwnership()
}

// recordNotApplied lifts the restrictions that were in place for a write that
// certainly was not applied.
func (l *Leaser) recordNotApplied() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ownRow.unresolved {
		return
	}
	l.takeoverPending = false
	clear(l.handoverPending)
	l.publishOwnership()
}

// releaseLease ends the lease in the table, with retries until ctx is done.
func (l *Leaser) releaseLease(ctx context.Context) error {
	if err := l.ownRow.lock(ctx); err != nil {
		return err
	}
	defer l.ownRow.unlock()
	for {
		done, err := l.tryRelease(ctx)
		if done {
			return err
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			return fmt.Errorf("release lease: %w", err)
		}
	}
}

// tryRelease makes one attempt to end the lease and reports whether no retry is
// needed.
func (l *Leaser) tryRelease(ctx context.Context) (bool, error) {
	row, err := l.getRow(ctx, l.nodeKey(l.self.name))
	if errors.Is(err, storer.ErrNotFound) {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	m, err := decodeMember(l.self.name, row.Value())
	if err != nil || m.ended || m.instance != l.instance {
		return true, err
	}
	m.ended = true
	value, err := m.encode()
	if err != nil {
		return true, err
	}
	ctx, cancel := context.WithTimeout(ctx, l.settings.renew)
	defer cancel()
	err = l.table.Commit(ctx, storer.NewPut(row.Key(), value, row.Version()))
	return err == nil, err
}

// getRow reads a row and records whether the table answered.
func (l *Leaser) getRow(ctx context.Context, key string) (storer.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, l.settings.renew)
	defer cancel()
	row, err := l.table.Get(ctx, key)
	answered := err == nil || errors.Is(err, storer.ErrNotFound)
	l.recordContact(answered)
	if err != nil {
		return row, fmt.Errorf("read row %q: %w", key, err)
	}
	return row, nil
}
