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
func NodeKey(name string) string { return nodePrefix + name }

const assignmentPrefix = "assign/"

// AssignmentKey returns the assignment row of a data centre.
func AssignmentKey(dataCentre string) string { return assignmentPrefix + dataCentre }

// observer judges leases by how long their rows stay unchanged on its own clock.
// It is not safe for concurrent use.
type observer struct {
	lease  time.Duration
	guard  time.Duration
	rows   map[string]*observed // by node name
	readAt time.Time
}

// observed is a row and when its present state was first seen.
type observed struct {
	row    storer.Row
	member Member
	broken bool // the row cannot be decoded
	since  time.Time
}

func newObserver(lease, guard time.Duration) *observer {
	return &observer{lease: lease, guard: guard, rows: make(map[string]*observed)}
}

// observe takes over the rows of one scan, whose answer came at now. A row counts
// as unchanged from the time of the answer, which is later than the start of the
// renewal that wrote it.
func (o *observer) observe(rows []storer.Row, now time.Time) {
	// After a gap in which the table was not read, the owners may have had no
	// contact either. They get the full time again to renew.
	gap := now.Sub(o.readAt) > o.lease/2
	next := make(map[string]*observed, len(rows))
	for _, row := range rows {
		name := strings.TrimPrefix(row.Key(), nodePrefix)
		old := o.rows[name]
		if old == nil || old.row.Version() != row.Version() || !bytes.Equal(old.row.Value(), row.Value()) {
			old = newObserved(name, row, now)
		}
		if gap {
			old.since = now
		}
		next[name] = old
	}
	o.rows = next
	o.readAt = now
}

func newObserved(name string, row storer.Row, now time.Time) *observed {
	m, err := decodeMember(name, row.Value())
	if err != nil {
		m = Member{Identity: Identity{name: name}}
	}
	return &observed{row: row, member: m, broken: err != nil, since: now}
}

// dead reports whether the lease in a row has ended by the observer's clock.
func (o *observer) dead(s *observed, now time.Time) bool {
	return s.member.ended || now.Sub(s.since) >= o.lease+o.guard
}

// members returns the nodes whose lease holds and those whose lease has ended,
// by name.
func (o *observer) members(now time.Time) (live, expired []Member) {
	for _, s := range o.rows {
		if o.dead(s, now) {
			expired = append(expired, s.member)
			continue
		}
		if s.broken {
			continue
		}
		m := s.member
		m.inContact = now.Sub(s.since) < o.lease
		live = append(live, m)
	}
	byName := func(a, b Member) int { return strings.Compare(a.name, b.name) }
	slices.SortFunc(live, byName)
	slices.SortFunc(expired, byName)
	return live, expired
}
