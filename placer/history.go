package placer

import (
	"sync/atomic"

	"github.com/dragonflyford/dragonflyford/viewer"
)

// recentPlacements counts, for each engine, the attempts that this node has placed
// there since it received the current view of the engine. Without it, all requests
// between two views would go to the same engine. A race between writers loses at
// most one count.
type recentPlacements struct {
	slots [counterSlots]placementCounter
}

type placementCounter struct {
	view  atomic.Pointer[viewer.View]
	count atomic.Int64
}

func (r *recentPlacements) slot(v *viewer.View) *placementCounter {
	return &r.slots[v.EngineHash()%counterSlots]
}

func (r *recentPlacements) record(v *viewer.View) {
	s := r.slot(v)
	if s.view.Load() != v {
		s.view.Store(v)
		s.count.Store(0)
	}
	s.count.Add(1)
}

func (r *recentPlacements) count(v *viewer.View) int {
	s := r.slot(v)
	if s.view.Load() != v {
		return 0
	}
	return int(s.count.Load())
}

// prefixHistory is a lossy table of the engines that this node sent prompt prefixes
// to. Engines publish the contents of their prefix caches late and with gaps. An
// entry holds the upper half of the prefix's hash and the shortened hash of the
// engine's name.
type prefixHistory struct {
	entries [1 << 12]atomic.Uint64
}

func (h *prefixHistory) entry(prefix uint64) *atomic.Uint64 {
	return &h.entries[prefix%uint64(len(h.entries))]
}

func (h *prefixHistory) record(prefix uint64, v *viewer.View) {
	h.entry(prefix).Store(prefix>>32<<32 | uint64(shortHash(v)))
}

// find returns the short hash of the engine that a prefix was sent to, or 0.
func (h *prefixHistory) find(prefix uint64) uint32 {
	e := h.entry(prefix).Load()
	if e>>32 != prefix>>32 {
		return 0
	}
	return uint32(e)
}

// shortHash returns the lower half of the hash of an engine's name.
func shortHash(v *viewer.View) uint32 { return uint32(v.EngineHash()) }
