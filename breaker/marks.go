package breaker

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/receiver"
)

// shards spreads the marks, so that a writer copies only a small map.
const shards = 256

// held is a mark in memory. The mark in a map never changes.
type held struct {
	mark    Mark
	expires time.Time
	stored  bool // its row was seen in the table
}

// marks is a bounded set of marks. Readers take one atomic load.
type marks struct {
	perShard int
	shards   [shards]atomic.Pointer[map[receiver.Fingerprint]held]
	mu       sync.Mutex // serialises writers
}

func newMarks(limit int) *marks {
	m := &marks{perShard: max(limit/shards, 1)}
	for i := range m.shards {
		m.shards[i].Store(&map[receiver.Fingerprint]held{})
	}
	return m
}

func (m *marks) shard(f receiver.Fingerprint) *atomic.Pointer[map[receiver.Fingerprint]held] {
	return &m.shards[f[0]]
}

func (m *marks) get(f receiver.Fingerprint) (held, bool) {
	h, ok := (*m.shard(f).Load())[f]
	if !ok || !time.Now().Before(h.expires) {
		return held{}, false
	}
	return h, true
}

// update replaces the mark of a fingerprint by what change returns, or removes it
// if change returns false.
func (m *marks) update(f receiver.Fingerprint, change func(old held, ok bool) (held, bool)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old, ok := m.get(f)
	next, keep := change(old, ok)
	if keep && ok && next == old {
		return
	}
	shard := m.shard(f)
	copied := maps.Clone(*shard.Load())
	delete(copied, f)
	if keep {
		if len(copied) >= m.perShard {
			evict(copied)
		}
		copied[f] = next
	}
	shard.Store(&copied)
}

// evict removes the least useful mark: a first mark rather than a stopped
// request, and among equals the one that expires first.
func evict(all map[receiver.Fingerprint]held) {
	var (
		victim receiver.Fingerprint
		worst  held
		found  bool
	)
	for f, h := range all {
		less := worst.mark.stopped && !h.mark.stopped
		if h.mark.stopped == worst.mark.stopped {
			less = h.expires.Before(worst.expires)
		}
		if !found || less {
			victim, worst, found = f, h, true
		}
	}
	delete(all, victim)
}

// keep drops the marks for which kept reports false, and expired ones.
func (m *marks) keep(kept func(held) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for i := range m.shards {
		old := *m.shards[i].Load()
		if len(old) == 0 {
			continue
		}
		next := maps.Clone(old)
		maps.DeleteFunc(next, func(_ receiver.Fingerprint, h held) bool { return !now.Before(h.expires) || !kept(h) })
		if len(next) != len(old) {
			m.shards[i].Store(&next)
		}
	}
}

func (m *marks) size() int {
	n := 0
	for i := range m.shards {
		n += len(*m.shards[i].Load())
	}
	return n
}
