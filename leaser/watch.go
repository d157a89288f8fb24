package leaser

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflyford/dragonflyford/storer"
)

// scanJitter is the share of the interval by which scans vary, either way, so
// that the nodes do not read the table together.
const scanJitter = 0.1

func (l *Leaser) watch(ctx context.Context) {
	for {
		err := l.poll(ctx)
		if err != nil {
			l.failed(fmt.Errorf("read leases: %w", err))
		}
		pause := time.Duration(float64(l.scanInterval(err)) * (1 + scanJitter*(2*rand.Float64()-1)))
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
}

const (
	// manyRows is how many lease rows make scans rarer and narrower: all nodes
	// together read its square in rows per second, and the table's reads are
	// shared by all.
	manyRows = 128
	// wideScan is the time between scans of many rows of all data centres.
	wideScan = 20 * time.Second
)

// scanInterval returns the time to the next scan. It stays below half a lease,
// because a longer gap gives every owner the full time again. A failed scan is
// repeated soon.
func (l *Leaser) scanInterval(failed error) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if failed != nil || len(l.observer.rows) <= manyRows {
		return l.settings.scan
	}
	return max(l.settings.scan, min(2*l.settings.scan, l.settings.lease/3))
}

// poll reads the lease rows and the assignments that changed, and then changes
// the own assignment if the nodes or engines require it.
func (l *Leaser) poll(ctx context.Context) error {
	prefix := l.scope()
	rows, err := l.scan(ctx, prefix)
	if err != nil {
		return err
	}
	for _, dc := range l.observe(prefix, rows) {
		if err := l.fetch(ctx, dc); err != nil {
			return err
		}
	}
	l.publishView()
	l.announce(ctx)
	l.manage(ctx)
	l.sweep(ctx)
	return nil
}

// scope returns the prefix of the rows to read. Of many rows, a scan reads only
// those of the own data centre, whose engines this node may take over; the others
// are read once in wideScan.
func (l *Leaser) scope() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	o := l.observer
	if len(o.rows) > manyRows && o.settled(now) && now.Sub(o.wideAt) < wideScan {
		return localPrefix(l.self.dataCentre)
	}
	return nodePrefix
}

func (l *Leaser) scan(ctx context.Context, prefix string) ([]storer.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, l.settings.renew)
	defer cancel()
	rows, err := storer.GetAll(ctx, l.table, prefix)
	l.noteContact(err == nil)
	return rows, err
}

// observe takes over the rows and returns the data centres whose assignment must
// be read: a lease row states the version that its node knows.
func (l *Leaser) observe(prefix string, rows []storer.Row) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observer.observe(prefix, rows, time.Now())
	latest := make(map[string]uint64)
	for _, s := range l.observer.rows {
		dc := s.member.dataCentre
		latest[dc] = max(latest[dc], s.member.known)
	}
	var stale []string
	for dc, row := range latest {
		if row > uint64(l.known[dc].row) {
			stale = append(stale, dc)
		}
	}
	// A hint is lost when its writer's row is overwritten before it is seen.
	own := l.self.dataCentre
	if l.polls%refreshPolls == 0 && !slices.Contains(stale, own) {
		stale = append(stale, own)
	}
	l.polls++
	return stale
}

// refresh reads the own assignment.
func (l *Leaser) refresh(ctx context.Context) error { return l.fetch(ctx, l.self.dataCentre) }

func (l *Leaser) fetch(ctx context.Context, dc string) error {
	row, err := l.get(ctx, AssignmentKey(dc))
	if errors.Is(err, storer.ErrNotFound) {
		l.learnAndPublish(dc, version{assignment: &Assignment{}})
		return nil
	}
	if err != nil {
		return err
	}
	a, err := DecodeAssignment(row.Value())
	if err != nil {
		return fmt.Errorf("assignment of %q: %w", dc, err)
	}
	l.learnAndPublish(dc, version{assignment: a, row: row.Version()})
	return nil
}

func (l *Leaser) learnAndPublish(dc string, v version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learn(dc, v)
	l.publishRight()
}

// learn takes over an assignment unless a newer one is known. The caller holds mu.
func (l *Leaser) learn(dc string, v version) {
	if old := l.known[dc]; old.assignment != nil && old.row >= v.row {
		return
	}
	l.known[dc] = v
	l.owners = nil
}

func (l *Leaser) publishView() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.owners == nil {
		l.owners = make(map[string]Entry)
		for _, v := range l.known {
			for _, e := range v.assignment.entries {
				l.owners[e.engine] = e
			}
		}
	}
	live, expired := l.observer.members()
	view := &Membership{members: live, expired: expired, readAt: l.observer.readAt, wideAt: l.observer.wideAt, owners: l.owners}
	l.view.Store(view)
	for id := range l.missing {
		if _, known := view.expiredOrLive(nameOf(id)); known {
			delete(l.missing, id)
		}
	}
}

// manage writes the assignment that follows from the last scan, if it differs.
func (l *Leaser) manage(ctx context.Context) {
	if l.keeper.lock(ctx) != nil {
		return
	}
	defer l.keeper.unlock()
	if !l.keeper.joined || l.keeper.doubt {
		return
	}
	c := l.plan(l.engines())
	if c == nil {
		return
	}
	if err := l.commit(ctx, c); err != nil {
		l.failed(fmt.Errorf("change assignment: %w", err))
	}
}

// plan returns the change to write, or nil. From here on until the write is
// settled, the node neither uses the engines that it gives up nor promises to
// leave other nodes' engines alone.
func (l *Leaser) plan(engines Engines) *change {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	v := l.known[l.self.dataCentre]
	fresh := now.Sub(l.observer.readAt) <= l.settings.lease/2
	if v.assignment == nil || l.stopped || l.holder.IsZero() || !fresh || !now.Before(l.leaseEnd) {
		return nil
	}
	next, changed := Plan(v.assignment, l.candidates(), engines, func(h Holder) bool { return l.may(h, now) })
	if !changed {
		return nil
	}
	c := &change{next: next, row: v.row, revoke: l.revocations(v.assignment, next)}
	for _, e := range v.assignment.entries {
		after, _ := next.Entry(e.engine)
		switch {
		case e.owner == after.owner || e.owner.IsZero():
		case e.owner == l.holder:
			l.dropped[e.engine] = true
		default:
			l.taking = true
		}
	}
	l.publishRight()
	return c
}

// candidates returns the live nodes of the data centre. The node knows itself
// better than the last scan does. A node without a bundle cannot serve engines, so
// that it gets as few as one that leaves.
func (l *Leaser) candidates() []Candidate {
	all := []Candidate{NewCandidate(l.holder, l.leaving || l.inForce == 0)}
	live, _ := l.observer.members()
	for _, m := range live {
		if m.dataCentre == l.self.dataCentre && m.name != l.self.name {
			all = append(all, NewCandidate(m.Holder(), m.leaving || m.inForce == 0))
		}
	}
	return all
}

// key returns the lease row of a node of the own data centre.
func (l *Leaser) key(name string) string { return NodeKey(l.self.dataCentre, name) }

// local returns what is known of a node of the own data centre, or nil.
func (l *Leaser) local(name string) *observed {
	return l.observer.rows[l.key(name)]
}

// may reports whether the node may take engines from a holder.
func (l *Leaser) may(h Holder, now time.Time) bool {
	if h.name == l.self.name && h.instance == l.instance {
		return h.term <= l.holder.term
	}
	s := l.local(h.name)
	switch {
	case s == nil, s.broken:
	case s.member.Holder() == h && s.member.ended, s.member.closed >= h.term:
		return true // its owner ended it, or the member that did so kept the rules below
	case s.member.Holder() == h && !l.observer.dead(s):
		return false
	case s.member.term < h.term:
		return false // the assignment is newer than the scan
	}
	if s != nil && s.broken && !l.observer.dead(s) {
		return false
	}
	// The holder may have extended its lease through peers.
	t := l.settings
	waited := !l.memberFrom.IsZero() && now.Sub(l.memberFrom) >= newcomerLeases*t.lease
	promised := now.Before(l.promises[h.name].Add(t.guard))
	heard, ok := l.heard[h.name]
	return waited && !promised && (!ok || now.Sub(heard) >= t.lease+t.guard)
}

// revocations returns the writes that keep the holders who lose their place from
// renewing. A renewal that comes first makes them fail.
func (l *Leaser) revocations(old, next *Assignment) []storer.Write {
	writes := make(map[string]storer.Write)
	for _, h := range old.holders() {
		if h.name == l.self.name || next.holds(h) {
			continue
		}
		s := l.local(h.name)
		switch {
		case s == nil:
			writes[h.name] = storer.NewCheck(l.key(h.name), 0)
		case s.broken, s.member.Holder() == h && !s.member.ended && l.observer.dead(s):
			writes[h.name] = storer.NewPut(s.row.Key(), endedRow(s, h), s.row.Version())
		}
	}
	return slices.Collect(maps.Values(writes))
}

// endedRow returns a lease row that states the end of its lease.
func endedRow(s *observed, h Holder) []byte {
	m := s.member
	m.instance, m.term, m.ended = h.instance, h.term, true
	value, err := m.encode()
	if err != nil { // the row was decoded within the same limits
		return s.row.Value()
	}
	return value
}

// sweep deletes the rows of leases that ended long ago. The first member of a data
// centre does it, and the first of all members where none is left.
func (l *Leaser) sweep(ctx context.Context) {
	for _, w := range l.sweepable() {
		ctx, cancel := context.WithTimeout(ctx, l.settings.renew)
		err := l.table.Commit(ctx, w)
		cancel()
		if err != nil {
			l.failed(fmt.Errorf("delete lease row: %w", err))
			return
		}
	}
}

func (l *Leaser) sweepable() []storer.Write {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	live, _ := l.observer.members()
	first := make(map[string]string) // by data centre
	for _, m := range live {
		if first[m.dataCentre] == "" {
			first[m.dataCentre] = m.name
		}
	}
	var writes []storer.Write
	for _, s := range l.observer.rows {
		responsible := first[s.member.dataCentre]
		if responsible == "" && len(live) > 0 {
			responsible = live[0].name
		}
		if responsible == l.self.name && l.observer.dead(s) && now.Sub(s.since) >= l.settings.retention {
			writes = append(writes, storer.NewDelete(s.row.Key(), s.row.Version()))
		}
	}
	return writes
}
