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

// scanJitter is the fraction of the interval by which scans are shifted at
// random, in either direction, so that the nodes do not read the table at the
// same time.
const scanJitter = 0.1

func (l *Leaser) runScans(ctx context.Context) {
	for {
		err := l.scanOnce(ctx)
		if err != nil {
			l.onError(fmt.Errorf("read leases: %w", err))
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
	// fullScanRows is the number of lease rows above which scans become less
	// frequent and mostly cover one data centre. At one scan per second, all
	// nodes together read the square of this number in rows per second, and
	// they share the read capacity of the table.
	fullScanRows = 128
	// fullScanInterval is the interval between scans of all data centres when
	// there are more than fullScanRows rows.
	fullScanInterval = 20 * time.Second
)

// scanInterval returns the time until the next scan. It stays below half a
// lease, because after a longer gap every owner gets the full time to renew
// again. A failed scan is repeated after the base interval, however many rows
// there are.
func (l *Leaser) scanInterval(failed error) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if failed != nil || len(l.observer.rows) <= fullScanRows {
		return l.settings.scan
	}
	return max(l.settings.scan, min(2*l.settings.scan, l.settings.lease/3))
}

// scanOnce reads the lease rows and the assignments that have changed, and then
// updates the assignment of the node's data centre if the nodes or engines
// require it.
func (l *Leaser) scanOnce(ctx context.Context) error {
	prefix := l.scanPrefix()
	rows, err := l.scan(ctx, prefix)
	if err != nil {
		return err
	}
	for _, dc := range l.applyScan(prefix, rows) {
		if err := l.fetchAssignment(ctx, dc); err != nil {
			return err
		}
	}
	l.publishView()
	l.announceSelf(ctx)
	l.rebalance(ctx)
	l.deleteExpiredRows(ctx)
	return nil
}

// scanPrefix returns the key prefix of the next scan. Above fullScanRows rows,
// a scan reads only those of the node's data centre, whose engines this node
// may take over; the others are read once per fullScanInterval.
func (l *Leaser) scanPrefix() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	o := l.observer
	if len(o.rows) > fullScanRows && o.pastGap(now) && now.Sub(o.fullScanAt) < fullScanInterval {
		return dataCentrePrefix(l.self.dataCentre)
	}
	return nodePrefix
}

func (l *Leaser) scan(ctx context.Context, prefix string) ([]storer.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, l.settings.renew)
	defer cancel()
	rows, err := storer.GetAll(ctx, l.table, prefix)
	l.recordContact(err == nil)
	return rows, err
}

// applyScan applies the rows of a scan and returns the data centres whose
// assignment must be read. A lease row contains the version of the assignment
// that its node has read.
func (l *Leaser) applyScan(prefix string, rows []storer.Row) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observer.observe(prefix, rows, time.Now())
	latest := make(map[string]uint64)
	for _, s := range l.observer.rows {
		dc := s.member.dataCentre
		latest[dc] = max(latest[dc], s.member.assignmentVersion)
	}
	var stale []string
	for dc, version := range latest {
		if version > uint64(l.assignments[dc].version) {
			stale = append(stale, dc)
		}
	}
	// Read the assignment periodically as well: a newer version in a lease row is
	// missed when the row is overwritten between two scans.
	own := l.self.dataCentre
	if l.scans%refreshScans == 0 && !slices.Contains(stale, own) {
		stale = append(stale, own)
	}
	l.scans++
	return stale
}

// fetchOwnAssignment reads the assignment of the node's data centre.
func (l *Leaser) fetchOwnAssignment(ctx context.Context) error {
	return l.fetchAssignment(ctx, l.self.dataCentre)
}

func (l *Leaser) fetchAssignment(ctx context.Context, dc string) error {
	row, err := l.getRow(ctx, AssignmentKey(dc))
	if errors.Is(err, storer.ErrNotFound) {
		l.storeAndPublish(dc, storedAssignment{assignment: &Assignment{}})
		return nil
	}
	if err != nil {
		return err
	}
	a, err := DecodeAssignment(row.Value())
	if err != nil {
		return fmt.Errorf("assignment of data centre %q: %w", dc, err)
	}
	l.storeAndPublish(dc, storedAssignment{assignment: a, version: row.Version()})
	return nil
}

func (l *Leaser) storeAndPublish(dc string, v storedAssignment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeAssignment(dc, v)
	l.publishOwnership()
}

// storeAssignment caches an assignment unless a newer one is cached. The caller
// must hold mu.
func (l *Leaser) storeAssignment(dc string, v storedAssignment) {
	if old := l.assignments[dc]; old.assignment != nil && old.version >= v.version {
		return
	}
	l.assignments[dc] = v
	l.engineOwners = nil
}

func (l *Leaser) publishView() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.engineOwners == nil {
		l.engineOwners = make(map[string]Entry)
		for _, v := range l.assignments {
			for _, e := range v.assignment.entries {
				l.engineOwners[e.engine] = e
			}
		}
	}
	live, expired := l.observer.members()
	view := &Membership{members: live, expired: expired, readAt: l.observer.readAt, fullScanAt: l.observer.fullScanAt, owners: l.engineOwners}
	l.view.Store(view)
	for id := range l.missingSince {
		if _, known := view.expiredOrLive(nodeName(id)); known {
			delete(l.missingSince, id)
		}
	}
}

// rebalance writes the assignment that follows from the last scan, if it
// differs from the current one.
func (l *Leaser) rebalance(ctx context.Context) {
	if l.ownRow.lock(ctx) != nil {
		return
	}
	defer l.ownRow.unlock()
	if !l.ownRow.acquired || l.ownRow.mustRead {
		return
	}
	c := l.planChange(l.engines())
	if c == nil {
		return
	}
	if err := l.commit(ctx, c); err != nil {
		l.onError(fmt.Errorf("change assignment: %w", err))
	}
}

// planChange returns the change to write, or nil. From then on until the
// outcome of the write is known, the node neither uses the engines that it
// hands over nor, if it takes engines over, grants extensions.
func (l *Leaser) planChange(engines Engines) *change {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	v := l.assignments[l.self.dataCentre]
	fresh := now.Sub(l.observer.readAt) <= l.settings.lease/2
	if v.assignment == nil || l.stopped || l.holder.IsZero() || !fresh || !now.Before(l.leaseEnd) {
		return nil
	}
	next, changed := Plan(v.assignment, l.candidates(), engines, func(h Holder) bool { return l.mayTakeFrom(h, now) })
	if !changed {
		return nil
	}
	c := &change{next: next, replaces: v.version, revoke: l.revocations(v.assignment, next)}
	for _, e := range v.assignment.entries {
		after, _ := next.Entry(e.engine)
		switch {
		case e.owner == after.owner || e.owner.IsZero():
		case e.owner == l.holder:
			l.handoverPending[e.engine] = true
		default:
			l.takeoverPending = true
		}
	}
	l.publishOwnership()
	return c
}

// candidates returns the live nodes of the data centre. The node's own state is
// more recent than that of the last scan. A node without a bundle cannot serve
// engines and is treated as draining.
func (l *Leaser) candidates() []Candidate {
	all := []Candidate{NewCandidate(l.holder, l.draining || l.inForce == 0)}
	live, _ := l.observer.members()
	for _, m := range live {
		if m.dataCentre == l.self.dataCentre && m.name != l.self.name {
			all = append(all, NewCandidate(m.Holder(), m.draining || m.inForce == 0))
		}
	}
	return all
}

// nodeKey returns the key of the lease row of a node in this node's data
// centre.
func (l *Leaser) nodeKey(name string) string { return NodeKey(l.self.dataCentre, name) }

// localRow returns the last read lease row of a node in this node's data
// centre, or nil.
func (l *Leaser) localRow(name string) *observedRow {
	return l.observer.rows[l.nodeKey(name)]
}

// mayTakeFrom reports whether this node may take engines from a holder.
func (l *Leaser) mayTakeFrom(h Holder, now time.Time) bool {
	if h.name == l.self.name && h.instance == l.instance {
		return h.term <= l.holder.term
	}
	s := l.localRow(h.name)
	switch {
	case s == nil, s.malformed:
	case s.member.Holder() == h && s.member.ended, s.member.closedTerm >= h.term:
		return true // ended by its owner, or by a member that checked the conditions below
	case s.member.Holder() == h && !l.observer.expired(s):
		return false
	case s.member.term < h.term:
		return false // the assignment is more recent than the scan
	}
	if s != nil && s.malformed && !l.observer.expired(s) {
		return false
	}
	// The holder may have extended its lease through peers.
	t := l.settings
	waited := !l.memberSince.IsZero() && now.Sub(l.memberSince) >= newMemberLeases*t.lease
	granted := now.Before(l.grantedUntil[h.name].Add(t.guard))
	announced, ok := l.announcedAt[h.name]
	return waited && !granted && (!ok || now.Sub(announced) >= t.lease+t.guard)
}

// revocations returns the writes that end the leases of holders that are no
// longer in the assignment. If one of them renews first, the transaction
// conflicts.
func (l *Leaser) revocations(old, next *Assignment) []storer.Write {
	writes := make(map[string]storer.Write)
	for _, h := range old.holders() {
		if h.name == l.self.name || next.includes(h) {
			continue
		}
		s := l.localRow(h.name)
		switch {
		case s == nil:
			writes[h.name] = storer.NewCheck(l.nodeKey(h.name), 0)
		case s.malformed, s.member.Holder() == h && !s.member.ended && l.observer.expired(s):
			writes[h.name] = storer.NewPut(s.row.Key(), endedRow(s, h), s.row.Version())
		}
	}
	return slices.Collect(maps.Values(writes))
}

// endedRow returns the value of a lease row that marks the lease of h as ended.
func endedRow(s *observedRow, h Holder) []byte {
	m := s.member
	m.instance, m.term, m.ended = h.instance, h.term, true
	value, err := m.encode()
	if err != nil { // the row was decoded within the same limits
		return s.row.Value()
	}
	return value
}

// deleteExpiredRows deletes the rows of leases that ended at least the
// retention time ago. The first live node of a data centre by name deletes the
// rows of that data centre; if none is left, the first of all live nodes does.
func (l *Leaser) deleteExpiredRows(ctx context.Context) {
	for _, w := range l.expiredRowDeletes() {
		ctx, cancel := context.WithTimeout(ctx, l.settings.renew)
		err := l.table.Commit(ctx, w)
		cancel()
		if err != nil {
			l.onError(fmt.Errorf("delete lease row: %w", err))
			return
		}
	}
}

func (l *Leaser) expiredRowDeletes() []storer.Write {
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
		if responsible == l.self.name && l.observer.expired(s) && now.Sub(s.unchangedSince) >= l.settings.retention {
			writes = append(writes, storer.NewDelete(s.row.Key(), s.row.Version()))
		}
	}
	return writes
}
