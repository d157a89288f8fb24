package claimer

import (
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/storer"
)

// bounded is a map that forgets its oldest entries.
type bounded[V any] struct {
	limit   int
	entries map[string]V
	order   []string // ring of the keys in the order in which they came
	next    int
}

func newBounded[V any](limit int) *bounded[V] {
	return &bounded[V]{limit: limit, entries: make(map[string]V)}
}

func (b *bounded[V]) put(key string, v V) {
	if _, ok := b.entries[key]; !ok {
		b.place(key)
	}
	b.entries[key] = v
}

func (b *bounded[V]) place(key string) {
	if len(b.order) < b.limit {
		b.order = append(b.order, key)
		return
	}
	delete(b.entries, b.order[b.next])
	b.order[b.next] = key
	b.next = (b.next + 1) % b.limit
}

// memory is what a node knows of keys without the table.
type memory struct {
	mu     sync.Mutex
	sent   *bounded[sentKey]
	seen   *bounded[sighting]
	retain time.Duration
}

// sentKey says which attempt of this node may have sent a key.
type sentKey struct {
	attempt  string
	live     bool      // false after the attempt was found not to have run
	finished time.Time // zero while the outcome is open
}

// sighting is since when a row has been seen unchanged.
type sighting struct {
	version storer.Version
	attempt string
	since   time.Time
}

func newMemory(limit int, retain time.Duration) *memory {
	return &memory{
		sent:   newBounded[sentKey](limit),
		seen:   newBounded[sighting](maxSightings),
		retain: retain,
	}
}

// send records that an attempt may send a key. It returns the attempt that may
// have run the key before, or "".
func (m *memory) send(key, attempt string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.sent.entries[key]
	m.sent.put(key, sentKey{attempt: attempt, live: true})
	if !old.live || old.attempt == attempt || m.expired(old) {
		return ""
	}
	return old.attempt
}

func (m *memory) expired(k sentKey) bool {
	return !k.finished.IsZero() && time.Since(k.finished) >= m.retain
}

// finish records that an attempt has its answer.
func (m *memory) finish(key, attempt string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sent.put(key, sentKey{attempt: attempt, live: true, finished: time.Now()})
}

// forget records that an attempt did not run.
func (m *memory) forget(key, attempt string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old := m.sent.entries[key]; old.attempt == attempt && old.finished.IsZero() {
		old.live = false
		m.sent.entries[key] = old
	}
}

// mayHaveRun reports whether an attempt of this node may have run the key.
func (m *memory) mayHaveRun(key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.sent.entries[key]
	return k.live && !m.expired(k)
}

// unchanged returns how long the row has been seen as it is now.
func (m *memory) unchanged(row storer.Row, attempt string, started, ended time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.seen.entries[row.Key()]
	if !ok || s.version != row.Version() || s.attempt != attempt {
		m.seen.put(row.Key(), sighting{version: row.Version(), attempt: attempt, since: ended})
		return 0
	}
	return started.Sub(s.since)
}
