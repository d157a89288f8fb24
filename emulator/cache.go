package emulator

import (
	"container/list"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// prefixCache is the bounded LRU prefix cache of an engine. Its changes are
// published with a delay, and some of them never. It is guarded by the engine's
// mutex.
type prefixCache struct {
	limit     int
	delay     time.Duration
	gaps      float64
	random    *rand.Rand
	blocks    map[uint64]*list.Element
	recent    *list.List // block hashes, most recently used first
	pending   []cacheEvent
	published map[uint64]struct{}
}

// cacheEvent is a change of the cache that is published when it is due.
type cacheEvent struct {
	due   time.Time
	hash  uint64
	added bool
}

func newPrefixCache(s *settings) *prefixCache {
	c := &prefixCache{limit: s.cacheBlocks, delay: s.eventDelay, gaps: s.eventGaps, random: newRandom(s.seed + 1)}
	c.clear()
	return c
}

func (c *prefixCache) clear() {
	c.blocks = make(map[uint64]*list.Element)
	c.recent = list.New()
	c.pending = nil
	c.published = make(map[uint64]struct{})
}

// match returns how many leading blocks are cached and marks them as used.
func (c *prefixCache) match(hashes []uint64) int {
	n := 0
	for _, h := range hashes {
		e, ok := c.blocks[h]
		if !ok {
			break
		}
		c.recent.MoveToFront(e)
		n++
	}
	return n
}

// add caches blocks and evicts the least recently used ones. It adds the last
// block first, so that a full cache evicts the ends of prompts before their
// beginnings, which are shared by more prompts.
func (c *prefixCache) add(hashes []uint64, now time.Time) {
	if len(hashes) > c.limit {
		hashes = hashes[:c.limit]
	}
	for i := len(hashes) - 1; i >= 0; i-- {
		h := hashes[i]
		if e, ok := c.blocks[h]; ok {
			c.recent.MoveToFront(e)
			continue
		}
		c.blocks[h] = c.recent.PushFront(h)
		c.schedule(cacheEvent{due: now.Add(c.delay), hash: h, added: true})
	}
	for len(c.blocks) > c.limit {
		oldest := c.recent.Back()
		h, _ := c.recent.Remove(oldest).(uint64)
		delete(c.blocks, h)
		c.schedule(cacheEvent{due: now.Add(c.delay), hash: h})
	}
}

func (c *prefixCache) schedule(e cacheEvent) {
	if c.gaps > 0 && c.random.Float64() < c.gaps {
		return
	}
	c.pending = append(c.pending, e)
}

// publishDue publishes the events that are due.
func (c *prefixCache) publishDue(now time.Time) {
	n := 0
	for _, e := range c.pending {
		if e.due.After(now) {
			break
		}
		n++
		if e.added {
			c.published[e.hash] = struct{}{}
			continue
		}
		delete(c.published, e.hash)
	}
	c.pending = c.pending[n:]
	if len(c.published) > 2*c.limit {
		c.republish()
	}
}

// republish replaces the published set by the cached blocks. Evictions that
// were never published would otherwise let it grow without bound.
func (c *prefixCache) republish() {
	clear(c.published)
	for h := range c.blocks {
		c.published[h] = struct{}{}
	}
}

// publishedAt returns the sorted hashes of the blocks that are published at
// now.
func (c *prefixCache) publishedAt(now time.Time) []uint64 {
	c.publishDue(now)
	return slices.Sorted(maps.Keys(c.published))
}
