package mirrorer

import (
	"context"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/follower"
	"github.com/dragonflyford/dragonflyford/storer"
)

// maxHistory is the number of changes that are kept. A host that lags farther behind
// reads the whole copy.
const maxHistory = 2048

// Mirror forwards rows to a handler and keeps a copy of them.
type Mirror struct {
	next follower.Handler

	mu           sync.Mutex
	rows         map[string]storer.Change
	history      []storer.Change
	historyStart storer.Version // the history holds all changes after this version
	version      storer.Version
	contact      time.Time
	clock        time.Duration // the store's clock at the last contact
	changed      chan struct{} // closed at the next contact
}

var _ follower.Handler = (*Mirror)(nil)

// New returns a mirror that forwards rows to next.
func New(next follower.Handler) *Mirror {
	return &Mirror{next: next, rows: make(map[string]storer.Change), changed: make(chan struct{})}
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
	m.history, m.historyStart = nil, 0 // the start is set at the next contact
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
		m.historyStart = m.history[over-1].Version()
		m.history = append([]storer.Change(nil), m.history[over:]...)
	}
	m.mu.Unlock()
	m.next.Apply(changes)
}

// Contact implements follower.Handler.
func (m *Mirror) Contact(v storer.Version, clock, age time.Duration) {
	m.mu.Lock()
	if m.historyStart == 0 && len(m.history) == 0 {
		m.historyStart = v
	}
	m.version, m.clock = v, clock
	m.contact = time.Now().Add(-age) // a copy of a copy is as old as the first one
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
	list := make([]storer.Change, 0, len(m.rows))
	for _, r := range m.rows {
		list = append(list, r)
	}
	return m.copy(list, m.version), nil
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
