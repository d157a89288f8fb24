package mirrorer

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/follower"
	"github.com/dragonflyford/dragonflyford/storer"
)

// The number of changes that are kept is minHistory, or twice the number of rows if that is
// larger: in the time between two calls of another host, each row may change. A host that
// lags farther behind asks the store, which all hosts together would overload.
const (
	minHistory     = 2048
	historyPerRow  = 2
	maxHistorySize = 1 << 16
	// trimShare is the part of the history by which it may be longer, so that it is not
	// copied for each change.
	trimShare = 4
)

const (
	// largeTable is the number of rows from which on renewals are left out. Endpoints write
	// their entries every 1.2 s, each as it was, and a host sends them to several others.
	largeTable = 1024
	// renewalInterval is the time for which they are left out: what a call has observed of
	// an endpoint counts for 3 s, and entries of a restored copy are put aside for 4.8 s,
	// unless the entry is written meanwhile.
	renewalInterval = 3500 * time.Millisecond
)

// Mirror forwards rows to a handler and keeps a copy of them.
type Mirror struct {
	next follower.Handler
	same func(a, b storer.Row) bool // nil if each change is passed on

	mu           sync.Mutex
	rows         map[string]storer.Change
	keptAt       map[string]time.Time // when a change of a row was last added to the history
	history      []storer.Change
	historyStart storer.Version // the history holds all changes after this version
	version      storer.Version
	contact      time.Time     // when the store confirmed the rows
	clock        time.Duration // the store's clock at clockReadAt
	clockReadAt  time.Time
	changed      chan struct{} // closed at the next contact
}

var _ follower.Handler = (*Mirror)(nil)

// Option sets an optional property of a Mirror.
type Option func(*Mirror)

// WithoutRenewals makes the mirror of a large table pass on a row that was written anew at
// most once within renewalInterval, unless same reports a difference.
func WithoutRenewals(same func(a, b storer.Row) bool) Option {
	return func(m *Mirror) { m.same = same }
}

// New returns a mirror that forwards rows to next.
func New(next follower.Handler, opts ...Option) *Mirror {
	m := &Mirror{next: next, rows: make(map[string]storer.Change), keptAt: make(map[string]time.Time), changed: make(chan struct{})}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Restored implements follower.Handler. Until the next contact the mirror has no rows for
// other hosts, so that none of them gets rows of two eras.
func (m *Mirror) Restored() {
	m.mu.Lock()
	m.contact = time.Time{}
	m.mu.Unlock()
	m.next.Restored()
}

// Replace implements follower.Handler.
func (m *Mirror) Replace(rows []storer.Change) {
	m.mu.Lock()
	m.rows = make(map[string]storer.Change, len(rows))
	for _, r := range rows {
		m.rows[r.Key()] = r
	}
	clear(m.keptAt)
	m.history, m.historyStart = nil, 0 // the start is set at the next contact
	m.mu.Unlock()
	m.next.Replace(rows)
}

// Apply implements follower.Handler.
func (m *Mirror) Apply(changes []storer.Change) {
	m.mu.Lock()
	now := time.Now()
	for _, c := range changes {
		if !m.isRenewal(c, now) {
			m.history = append(m.history, c)
			m.keptAt[c.Key()] = now
		}
		if c.Removed() {
			delete(m.rows, c.Key())
			delete(m.keptAt, c.Key())
		} else {
			m.rows[c.Key()] = c
		}
	}
	if size := m.historySize(); len(m.history) > size+size/trimShare {
		over := len(m.history) - size
		m.historyStart = m.history[over-1].Version()
		m.history = append([]storer.Change(nil), m.history[over:]...)
	}
	m.mu.Unlock()
	m.next.Apply(changes)
}

// isRenewal reports whether a change only writes a row anew that other hosts have got lately.
// It requires mu.
func (m *Mirror) isRenewal(c storer.Change, now time.Time) bool {
	if m.same == nil || c.Removed() || len(m.rows) < largeTable || now.Sub(m.keptAt[c.Key()]) >= renewalInterval {
		return false
	}
	old, known := m.rows[c.Key()]
	return known && m.same(old.Row, c.Row)
}

// historySize requires mu.
func (m *Mirror) historySize() int {
	return min(max(minHistory, historyPerRow*len(m.rows)), maxHistorySize)
}

// Contact implements follower.Handler.
func (m *Mirror) Contact(v storer.Version, clock, age time.Duration) {
	m.mu.Lock()
	if m.historyStart == 0 && len(m.history) == 0 {
		m.historyStart = v
	}
	now := time.Now()
	m.version, m.clock, m.clockReadAt = v, clock, now // the clock of a copy is already that of now
	m.contact = now.Add(-age)                         // a copy of a copy is as old as the first one
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()
	m.next.Contact(v, clock, age)
}

// Copy holds rows or changes of a mirror and the age of its last contact with the
// store.
type Copy struct {
	changes storer.Changes
	age     time.Duration
}

// NewCopy returns a copy. Age is the time since the last contact with the store.
func NewCopy(c storer.Changes, age time.Duration) Copy { return Copy{changes: c, age: age} }

// Changes returns the rows or changes.
func (c Copy) Changes() storer.Changes { return c.changes }

// Age returns the time since the last contact with the store.
func (c Copy) Age() time.Duration { return c.age }

// Snapshot returns the whole copy. It fails with storer.ErrUnavailable before the
// first contact.
func (m *Mirror) Snapshot() (Copy, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.contact.IsZero() {
		return Copy{}, storer.ErrUnavailable
	}
	return m.copy(m.list(), m.version), nil
}

// Rows returns all rows, also before the first contact.
func (m *Mirror) Rows() []storer.Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list()
}

// list requires mu.
func (m *Mirror) list() []storer.Change {
	list := make([]storer.Change, 0, len(m.rows))
	for _, r := range m.rows {
		list = append(list, r)
	}
	return list
}

// Follow returns the changes after a version as soon as there is one, or no changes
// after wait. It fails with storer.ErrHistoryLost if the history does not reach back
// to the version, and with storer.ErrUnavailable before the first contact and while the
// mirror is in an earlier era.
func (m *Mirror) Follow(ctx context.Context, after storer.Version, wait time.Duration) (Copy, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		c, changed, err := m.after(after)
		if err != nil || len(c.changes.List()) > 0 {
			return c, err
		}
		select {
		case <-changed:
		case <-timer.C:
			c, _, err = m.after(after) // older by now
			return c, err
		case <-ctx.Done():
			return Copy{}, ctx.Err()
		}
	}
}

// copy returns a copy with its age and the estimated current clock of the store. The
// caller must hold mu.
func (m *Mirror) copy(list []storer.Change, v storer.Version) Copy {
	clock := m.clock
	if clock > 0 {
		clock += time.Since(m.clockReadAt)
	}
	return Copy{changes: storer.NewChanges(list, v, clock), age: time.Since(m.contact)}
}

func (m *Mirror) after(v storer.Version) (Copy, chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.contact.IsZero(), v.Era() > m.version.Era():
		return Copy{}, nil, storer.ErrUnavailable
	case v < m.historyStart:
		return Copy{}, nil, storer.ErrHistoryLost
	}
	var list []storer.Change
	for _, c := range m.history {
		if c.Version() > v {
			list = append(list, c)
		}
	}
	return m.copy(list, max(m.version, v)), m.changed, nil
}
