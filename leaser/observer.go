package leaser

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"github.com/dragonflyford/dragonflyford/storer"
)

const nodePrefix = "node/"

// NodeKey returns the lease row of a node.
func NodeKey(dataCentre, name string) string { return localPrefix(dataCentre) + name }

// localPrefix returns what the keys of the lease rows of a data centre start with.
func localPrefix(dataCentre string) string { return nodePrefix + dataCentre + "/" }

const assignmentPrefix = "assign/"

// AssignmentKey returns the assignment row of a data centre.
func AssignmentKey(dataCentre string) string { return assignmentPrefix + dataCentre }

// observer judges leases by how long their rows stay unchanged on its own clock.
// It is not safe for concurrent use.
type observer struct {
	lease  time.Duration
	guard  time.Duration
	rows   map[string]*observed // by key
	readAt time.Time            // of the last scan
	wideAt time.Time            // of the last scan of all rows
	gapAt  time.Time            // of the last scan that came after a gap
}

// observed is a row and when its present state was first and last seen.
type observed struct {
	row    storer.Row
	member Member
	broken bool // the row cannot be decoded
	since  time.Time
	seen   time.Time
}

func newObserver(lease, guard time.Duration) *observer {
	return &observer{lease: lease, guard: guard, rows: make(map[string]*observed)}
}

// observe takes over the rows of one scan of a prefix, whose answer came at now. A
// row counts as unchanged from the time of the answer, which is later than the
// start of the renewal that wrote it.
func (o *observer) observe(prefix string, rows []storer.Row, now time.Time) {
	next := make(map[string]*observed, len(rows))
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
		s.seen = now
		next[row.Key()] = s
	}
	// After a gap in which the table was not read, the owners may have had no
	// contact either. They get the full time again to renew.
	if now.Sub(o.readAt) > o.lease/2 {
		o.gapAt = now
		for _, s := range next {
			s.since = now
		}
	}
	o.rows, o.readAt = next, now
	if prefix == nodePrefix {
		o.wideAt = now
	}
}

func newObserved(row storer.Row, now time.Time) *observed {
	name := row.Key()[strings.LastIndex(row.Key(), "/")+1:]
	m, err := decodeMember(name, row.Value())
	if err != nil {
		m = Member{Identity: Identity{name: name}}
	}
	return &observed{row: row, member: m, broken: err != nil, since: now}
}

// dead reports whether the lease in a row had ended when the row was last read.
func (o *observer) dead(s *observed) bool {
	return s.member.ended || s.seen.Sub(s.since) >= o.lease+o.guard
}

// settled reports whether all rows have been watched for the time of a lease and
// the guard since the last gap.
func (o *observer) settled(now time.Time) bool { return now.Sub(o.gapAt) > o.lease+o.guard }

// members returns the nodes whose lease holds and those whose lease has ended,
// by name.
func (o *observer) members() (live, expired []Member) {
	for _, s := range o.rows {
		if o.dead(s) {
			expired = append(expired, s.member)
			continue
		}
		if s.broken {
			continue
		}
		m := s.member
		m.inContact = s.seen.Sub(s.since) < o.lease
		live = append(live, m)
	}
	byName := func(a, b Member) int { return strings.Compare(a.name, b.name) }
	slices.SortFunc(live, byName)
	slices.SortFunc(expired, byName)
	return live, expired
}
