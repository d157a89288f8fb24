package mirrorer

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/follower"
	"github.com/dragonflyford/dragonflyford/storer"
)

// maxHistory is how many changes are kept. A host that is farther behind reads the
// whole copy.
const maxHistory = 2048

// Mirror passes rows on to a reader and keeps a copy of them.
type Mirror struct {
	next follower.Handler

	mu      sync.Mutex
	rows    map[string]storer.Change
	history []storer.Change
	since   storer.Version // versions above it are in the history
	version storer.Version
	contact time.Time
	clock   time.Duration // of the store at the last contact
	changed chan struct{} // closed at the next contact
}

var _ follower.Handler = (*Mirror)(nil)

// New returns a mirror in front of a reader.
func New(next follower.Handler) *Mirror {
	return &Mirror{next: next, rows: make(map[string]storer.Change), changed: make(chan struct{})}
}

// Replace implements follower.Handler.
func (m *Mirror) Replace(rows []storer.Change) {
	m.mu.Lock()
	m.rows = make(map[string]storer.Change, len(rows))
	for _, r := range rows {
		m.rows[r.Key()] = r
	}
	m.history, m.since = nil, 0
	m.mu.Unlock()
	m.next.Replace(rows)
}

// Apply implements follower.Handler.
func (m *Mirror) Apply(changes []storer.Change) {
	m.mu.Lock()
	for _, c := range changes {
		if c.Removed() {
			delete(m.rows, c.Key())
		} else {
			m.rows[c.Key()] = c
		}
	}
	m.history = append(m.history, changes...)
	if over := len(m.history) - maxHistory; over > 0 {
		m.since = m.history[over-1].Version()
		m.history = append([]storer.Change(nil), m.history[over:]...)
	}
	m.mu.Unlock()
	m.next.Apply(changes)
}

// Contact implements follower.Handler.
func (m *Mirror) Contact(v storer.Version, clock time.Duration) {
	m.mu.Lock()
	if m.since == 0 && len(m.history) == 0 {
		m.since = v
	}
	m.version, m.clock = v, clock
	m.contact = time.Now()
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()
	m.next.Contact(v, clock)
}

// Copy is part of the copy with the age of its last contact to the store.
type Copy struct {
	changes storer.Changes
	age     time.Duration
}

// NewCopy returns changes with the age of the last contact to the store.
func NewCopy(c storer.Changes, age time.Duration) Copy { return Copy{changes: c, age: age} }

// Changes returns the changes.
func (c Copy) Changes() storer.Changes { return c.changes }

// Age returns how old the last contact to the store is.
func (c Copy) Age() time.Duration { return c.age }

// Snapshot returns the whole copy. It fails with storer.ErrUnavailable before the
// first contact.
func (m *Mirror) Snapshot() (Copy, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.contact.IsZero() {
		return Copy{}, storer.ErrUnavailable
	}
	list := make([]storer.Change, 0, len(m.rows))
	for _, r := range m.rows {
		list = append(list, r)
	}
	return m.copy(list, m.version), nil
}

// Follow returns the changes after a version as soon as there is one, or none
// after wait. It fails with storer.ErrHistoryLost.
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
			return c, nil
		case <-ctx.Done():
			return Copy{}, ctx.Err()
		}
	}
}

// copy requires mu.
func (m *Mirror) copy(list []storer.Change, v storer.Version) Copy {
	age := time.Since(m.contact)
	clock := m.clock
	if clock > 0 {
		clock += age
	}
	return Copy{changes: storer.NewChanges(list, v, clock), age: age}
}

func (m *Mirror) after(v storer.Version) (Copy, chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.contact.IsZero():
		return Copy{}, nil, storer.ErrUnavailable
	case v < m.since:
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
