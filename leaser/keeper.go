package leaser

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dragonflyford/dragonflyford/storer"
)

// keeper is the state of the node's own row. It is locked during exchanges with
// the table, so that the node has one write under way at a time.
type keeper struct {
	turn     chan struct{} // a channel, because the holder waits for the network
	term     uint64
	joined   bool // the row belongs to this process as far as it knows
	version  storer.Version
	sequence uint64
	closed   uint64
	doubt    bool // the row must be read before the next write
	limbo    bool // an earlier write may still be applied
	attempt  *attempt
	rival    *observed // another process that holds the name
}

// lock waits for the turn to use the row, or for the end of ctx.
func (k *keeper) lock(ctx context.Context) error {
	select {
	case k.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for the lease row: %w", context.Cause(ctx))
	}
}

func (k *keeper) unlock() { <-k.turn }

// attempt is a write whose answer has not come.
type attempt struct {
	sequence uint64
	started  time.Time
	next     *Assignment // nil for a plain renewal
	row      storer.Version
}

// change is a new assignment and the writes that make it safe.
type change struct {
	next   *Assignment
	row    storer.Version // of the assignment that it replaces
	revoke []storer.Write
}

func (l *Leaser) keep(ctx context.Context) {
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
		case <-l.wake:
		case <-ctx.Done():
			return
		}
	}
}

func (l *Leaser) renew(ctx context.Context) error {
	if err := l.keeper.lock(ctx); err != nil {
		return err
	}
	defer l.keeper.unlock()
	err := l.prepare(ctx)
	if err == nil {
		err = l.commit(ctx, nil)
	}
	if err != nil {
		l.failed(fmt.Errorf("renew lease: %w", err))
	}
	return err
}

// prepare reads the own row if its state is not known. A row that was not renewed
// in time is read too, because it may have been deleted and written anew with the
// version that this process last saw.
func (l *Leaser) prepare(ctx context.Context) error {
	l.mu.Lock()
	lapsed := !time.Now().Before(l.leaseEnd)
	l.mu.Unlock()
	k := &l.keeper
	if k.joined && !k.doubt && !lapsed {
		return nil
	}
	return l.settle(ctx)
}

// settle reads the own row to learn what became of earlier writes, and decides
// under which term the node goes on. The caller holds the keeper.
func (l *Leaser) settle(ctx context.Context) error {
	row, err := l.get(ctx, l.key(l.self.name))
	absent := errors.Is(err, storer.ErrNotFound)
	if err != nil && !absent {
		return err
	}
	if err := l.refresh(ctx); err != nil {
		return err
	}
	if absent {
		l.rejoin(0, 0, l.keeper.closed)
		return nil
	}
	m, err := decodeMember(l.self.name, row.Value())
	if err != nil {
		return fmt.Errorf("own lease row: %w", err)
	}
	switch {
	case m.ended:
		l.rejoin(row.Version(), m.term, m.term)
	case m.instance == l.instance:
		l.resume(row, m)
	default:
		return l.outlast(row, m)
	}
	return nil
}

// rejoin starts a new lease after one with the given term. The row may have been
// deleted while the assignment still names a lease with a higher term.
func (l *Leaser) rejoin(at storer.Version, term, closed uint64) {
	k := &l.keeper
	term = max(term, l.lastTerm())
	k.term = max(k.term, term) + 1
	k.version, k.closed = at, closed
	k.joined, k.doubt, k.limbo, k.attempt, k.rival = true, false, false, nil, nil
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder = Holder{}
	l.leaseEnd, l.memberFrom = time.Time{}, time.Time{}
	l.extension.reset()
	l.taking = false
	clear(l.dropped)
	l.publishRight()
}

// lastTerm returns the highest term of the node's name in the assignment.
func (l *Leaser) lastTerm() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var last uint64
	for _, h := range l.known[l.self.dataCentre].assignment.holders() {
		if h.name == l.self.name {
			last = max(last, h.term)
		}
	}
	return last
}

// resume continues a lease whose last write may or may not have been applied.
func (l *Leaser) resume(row storer.Row, m Member) {
	k := &l.keeper
	k.term, k.closed, k.version = m.term, m.closed, row.Version()
	k.joined, k.doubt = true, false
	a := k.attempt
	k.attempt = nil
	if a != nil && a.sequence == m.sequence {
		l.applied(a)
	}
}

// outlast waits until the lease of another process of the same name has expired.
func (l *Leaser) outlast(row storer.Row, m Member) error {
	k := &l.keeper
	now := time.Now()
	if k.rival == nil || k.rival.row.Version() != row.Version() || k.rival.member != m {
		k.rival = &observed{row: row, member: m, since: now}
	}
	if now.Sub(k.rival.since) < l.settings.lease+l.settings.guard {
		return fmt.Errorf("process %q: %w", m.instance, ErrNameInUse)
	}
	l.rejoin(row.Version(), m.term, m.closed)
	return nil
}

// commit renews the lease and applies a change with it. The caller holds the
// keeper, after prepare.
func (l *Leaser) commit(ctx context.Context, c *change) error {
	k := &l.keeper
	k.sequence++
	a := &attempt{sequence: k.sequence, started: time.Now()}
	writes, err := l.compose(a, c)
	if err != nil {
		return err
	}
	k.attempt = a
	callCtx, cancel := context.WithTimeout(ctx, l.settings.renew)
	defer cancel()
	err = l.table.Commit(callCtx, writes...)
	switch {
	case err == nil:
		l.noteContact(true)
		k.attempt = nil
		k.version++
		l.applied(a)
		return nil
	case errors.Is(err, storer.ErrConflict):
		l.noteContact(true)
		k.attempt = nil
		l.withdraw()
		return l.conflicted(ctx, err)
	case errors.Is(err, storer.ErrUnavailable) && !errors.Is(err, storer.ErrUncertain):
		l.noteContact(false)
		k.attempt = nil
		l.withdraw()
		return fmt.Errorf("write lease row: %w", err)
	default:
		l.noteContact(false)
		k.doubt, k.limbo = true, true
		return l.readBack(ctx, a, err)
	}
}

// readBack resolves a lost answer.
func (l *Leaser) readBack(ctx context.Context, a *attempt, lost error) error {
	if err := l.settle(ctx); err != nil {
		return fmt.Errorf("write lease row: %w; read it back: %w", lost, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leaseEnd.Before(a.started.Add(l.settings.lease)) {
		return nil
	}
	return fmt.Errorf("write lease row: %w", lost)
}

// conflicted handles a write that was refused. A conflict on the own row means
// that an earlier write was applied late or that the lease was taken away.
func (l *Leaser) conflicted(ctx context.Context, err error) error {
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) && conflict.Key() != l.key(l.self.name) {
		return fmt.Errorf("write lease row: %w", errors.Join(err, l.refresh(ctx)))
	}
	l.keeper.doubt = true
	return fmt.Errorf("write lease row: %w", errors.Join(err, l.settle(ctx)))
}

// compose returns the writes of an attempt.
func (l *Leaser) compose(a *attempt, c *change) ([]storer.Write, error) {
	k := &l.keeper
	own := l.row()
	var writes []storer.Write
	if c != nil {
		a.next, a.row = c.next, c.row+1
		own.known = uint64(a.row)
		value, err := c.next.Encode()
		if err != nil {
			return nil, err
		}
		writes = append(writes, storer.NewPut(AssignmentKey(l.self.dataCentre), value, c.row))
		writes = append(writes, c.revoke...)
	}
	value, err := own.encode()
	if err != nil {
		return nil, err
	}
	return append(writes, storer.NewPut(l.key(l.self.name), value, k.version)), nil
}

// row returns the own row as it is to be written.
func (l *Leaser) row() Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Member{
		Identity: l.self, instance: l.instance, term: l.keeper.term, sequence: l.keeper.sequence,
		leaving: l.leaving, inForce: l.inForce, prepared: l.prepared,
		known: uint64(l.known[l.self.dataCentre].row), closed: l.keeper.closed,
	}
}

// applied records a write that took effect. An earlier write whose fate was not
// known can no longer be applied, because the row version has moved on.
func (l *Leaser) applied(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder = Holder{name: l.self.name, instance: l.instance, term: l.keeper.term}
	if end := a.started.Add(l.settings.lease); end.After(l.leaseEnd) {
		l.leaseEnd = end
	}
	if a.next != nil {
		l.learn(l.self.dataCentre, version{assignment: a.next, row: a.row})
	}
	l.keeper.limbo = false
	l.taking = false
	clear(l.dropped)
	l.publishRight()
}

// withdraw undoes the precautions for a write that certainly had no effect.
func (l *Leaser) withdraw() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keeper.limbo {
		return
	}
	l.taking = false
	clear(l.dropped)
	l.publishRight()
}

// release ends the lease in the table.
func (l *Leaser) release(ctx context.Context) error {
	if err := l.keeper.lock(ctx); err != nil {
		return err
	}
	defer l.keeper.unlock()
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

// tryRelease reports whether nothing is left to do.
func (l *Leaser) tryRelease(ctx context.Context) (bool, error) {
	row, err := l.get(ctx, l.key(l.self.name))
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

// get reads a row and records whether the table answered.
func (l *Leaser) get(ctx context.Context, key string) (storer.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, l.settings.renew)
	defer cancel()
	row, err := l.table.Get(ctx, key)
	answered := err == nil || errors.Is(err, storer.ErrNotFound)
	l.noteContact(answered)
	if err != nil {
		return row, fmt.Errorf("read row %q: %w", key, err)
	}
	return row, nil
}
