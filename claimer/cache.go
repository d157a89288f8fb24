package claimer

import (
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/storer"
)

// boundedMap is a map that evicts its oldest entries.
type boundedMap[V any] struct {
	limit   int
	entries map[string]V
	order   []string // ring buffer of the keys in insertion order
	next    int      // position of the oldest key, once order is full
}

func newBoundedMap[V any](limit int) *boundedMap[V] {
	return &boundedMap[V]{limit: limit, entries: make(map[string]V)}
}

func (b *boundedMap[V]) put(key string, v V) {
	if _, ok := b.entries[key]; !ok {
		b.addKey(key)
	}
	b.entries[key] = v
}

func (b *boundedMap[V]) addKey(key string) {
	if len(b.order) < b.limit {
		b.order = append(b.order, key)
		return
	}
	delete(b.entries, b.order[b.next])
	b.order[b.next] = key
	b.next = (b.next + 1) % b.limit
}

// keyCache records which keys this node has sent and which rows it has observed.
type keyCache struct {
	mu        sync.Mutex
	sent      *boundedMap[sentKey]
	observed  *boundedMap[observation]
	retention time.Duration
}

// sentKey is the last attempt of this node that may have sent the call of a key.
type sentKey struct {
	attempt    string
	mayHaveRun bool      // false once it is known that the attempt did not run
	finished   time.Time // zero until the attempt has its answer
}

// observation records since when a row has been read unchanged.
type observation struct {
	version storer.Version
	attempt string
	since   time.Time
}

func newKeyCache(limit int, retention time.Duration) *keyCache {
	return &keyCache{
		sent:      newBoundedMap[sentKey](limit),
		observed:  newBoundedMap[observation](maxObservations),
		retention: retention,
	}
}

// recordSend records that an attempt may send the call of a key. It returns the
// earlier attempt that may have run the call, or "".
func (c *keyCache) recordSend(key, attempt string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.sent.entries[key]
	c.sent.put(key, sentKey{attempt: attempt, mayHaveRun: true})
	if !old.mayHaveRun || old.attempt == attempt || c.expired(old) {
		return ""
	}
	return old.attempt
}

func (c *keyCache) expired(k sentKey) bool {
	return !k.finished.IsZero() && time.Since(k.finished) >= c.retention
}

// recordFinish records that an attempt has its answer.
func (c *keyCache) recordFinish(key, attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent.put(key, sentKey{attempt: attempt, mayHaveRun: true, finished: time.Now()})
}

// recordNotRun records that an attempt did not run.
func (c *keyCache) recordNotRun(key, attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.sent.entries[key]; old.attempt == attempt && old.finished.IsZero() {
		old.mayHaveRun = false
		c.sent.entries[key] = old
	}
}

// mayHaveRun reports whether an attempt of this node may have run the call of a
// key.
func (c *keyCache) mayHaveRun(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.sent.entries[key]
	return k.mayHaveRun && !c.expired(k)
}

// unchangedFor returns how long the row has been observed with its current version
// and attempt.
func (c *keyCache) unchangedFor(row storer.Row, attempt string, started, ended time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.observed.entries[row.Key()]
	if !ok || o.version != row.Version() || o.attempt != attempt {
		c.observed.put(row.Key(), observation{version: row.Version(), attempt: attempt, since: ended})
		return 0
	}
	return started.Sub(o.since)
}
