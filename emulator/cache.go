package emulator

import (
	"container/list"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// prefixCache is the bounded prefix cache of an engine. It publishes its changes
// late and with gaps. The engine's mutex guards it.
type prefixCache struct {
	limit     int
	delay     time.Duration
	gaps      float64
	random    *rand.Rand
	blocks    map[uint64]*list.Element
	recent    *list.List // block hashes, the most recently used one first
	pending   []cacheEvent
	published map[uint64]struct{}
}

// cacheEvent is one change that the engine publishes at a later time.
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

// add caches blocks and drops those that were unused for longest. It adds the
// last block first, so that a full cache drops the ends of prompts before their
// beginnings, which more prompts share.
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
		c.announce(cacheEvent{due: now.Add(c.delay), hash: h, added: true})
	}
	for len(c.blocks) > c.limit {
		oldest := c.recent.Back()
		h, _ := c.recent.Remove(oldest).(uint64)
		delete(c.blocks, h)
		c.announce(cacheEvent{due: now.Add(c.delay), hash: h})
	}
}

func (c *prefixCache) announce(e cacheEvent) {
	if c.gaps > 0 && c.random.Float64() < c.gaps {
		return
	}
	c.pending = append(c.pending, e)
}

// apply publishes the events that are due.
func (c *prefixCache) apply(now time.Time) {
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

// republish corrects what the gaps have left behind, so that the published set
// stays bounded.
func (c *prefixCache) republish() {
	clear(c.published)
	for h := range c.blocks {
		c.published[h] = struct{}{}
	}
}

// publish returns what the engine has published by now.
func (c *prefixCache) publish(now time.Time) []uint64 {
	c.apply(now)
	return slices.Sorted(maps.Keys(c.published))
}
