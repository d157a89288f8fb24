package leaser

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"github.com/dragonflyford/dragonflyford/storer"
)

const nodePrefix = "node/"

// NodeKey returns the key of the lease row of a node.
func NodeKey(dataCentre, name string) string { return dataCentrePrefix(dataCentre) + name }

// dataCentrePrefix returns the key prefix of the lease rows of a data centre.
func dataCentrePrefix(dataCentre string) string { return nodePrefix + dataCentre + "/" }

const assignmentPrefix = "assign/"

// AssignmentKey returns the key of the assignment row of a data centre.
func AssignmentKey(dataCentre string) string { return assignmentPrefix + dataCentre }

// observer determines whether leases are valid from how long their rows stay
// unchanged, measured on its own clock. It is not safe for concurrent use.
type observer struct {
	lease      time.Duration
	guard      time.Duration
	rows       map[string]*observedRow // by key
	readAt     time.Time               // of the last scan
	fullScanAt time.Time               // of the last scan of all data centres
	gapAt      time.Time               // of the last scan that came after a gap
}

// observedRow is a row and the times when its current version was first and
// last read.
type observedRow struct {
	row            storer.Row
	member         Member
	malformed      bool // the row cannot be decoded
	unchangedSince time.Time
	lastRead       time.Time
}

func newObserver(lease, guard time.Duration) *observer {
	return &observer{lease: lease, guard: guard, rows: make(map[string]*observedRow)}
}

// observe applies the rows of one scan of a prefix whose answer arrived at now.
// A row counts as unchanged from the time of the answer, which is later than
// the start of the renewal that wrote it.
func (o *observer) observe(prefix string, rows []storer.Row, now time.Time) {
	next := make(map[string]*observedRow, len(rows))
	for key, s := range o.rows {
		if !strings.HasPrefix(key, prefix) {
			next[key] = s
		}
	}
	for _, row := range rows {
		s := o.rows[row.Key()]
		if s == nil || s.row.Version() != row.Version() || !bytes.Equal(s.row.Value(), row.Value()) {
			s = newObserved(row, now)
		}
		s.lastRead = now
		next[row.Key()] = s
	}
	// After a gap in which this node could not read the table, the owners may not
	// have reached it either. They get the full time to renew again.
	if now.Sub(o.readAt) > o.lease/2 {
		o.gapAt = now
		for _, s := range next {
			s.unchangedSince = now
		}
	}
	o.rows, o.readAt = next, now
	if prefix == nodePrefix {
		o.fullScanAt = now
	}
}

func newObserved(row storer.Row, now time.Time) *observedRow {
	name := row.Key()[strings.LastIndex(row.Key(), "/")+1:]
	m, err := decodeMember(name, row.Value())
	if err != nil {
		m = Member{Identity: Identity{name: name}}
	}
	return &observedRow{row: row, member: m, malformed: err != nil, unchangedSince: now}
}

// expired reports whether the lease in a row had ended when the row was last
// read.
func (o *observer) expired(s *observedRow) bool {
	return s.member.ended || s.lastRead.Sub(s.unchangedSince) >= o.lease+o.guard
}

// pastGap reports whether all rows have been scanned for longer than the lease
// plus the guard since the last gap.
func (o *observer) pastGap(now time.Time) bool { return now.Sub(o.gapAt) > o.lease+o.guard }

// members returns the nodes whose lease is valid and those whose lease has
// ended, both sorted by name.
func (o *observer) members() (live, expired []Member) {
	for _, s := range o.rows {
		if o.expired(s) {
			expired = append(expired, s.member)
			continue
		}
		if s.malformed {
			continue
		}
		m := s.member
		m.inContact = s.lastRead.Sub(s.unchangedSince) < o.lease
		live = append(live, m)
	}
	byName := func(a, b Member) int { return strings.Compare(a.name, b.name) }
	slices.SortFunc(live, byName)
	slices.SortFunc(expired, byName)
	return live, expired
}
