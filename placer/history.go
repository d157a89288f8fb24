package placer

import (
	"sync/atomic"

	"github.com/dragonflyford/dragonflyford/viewer"
)

// recent counts the attempts that this node has placed on an engine since it got
// the engine's view. Without it, all requests between two views would go to the
// same engine. Races between writers lose a count at most.
type recent struct {
	slots [counters]recentSlot
}

type recentSlot struct {
	view  atomic.Pointer[viewer.View]
	count atomic.Int64
}

func (r *recent) slot(v *viewer.View) *recentSlot {
	return &r.slots[v.EngineHash()%counters]
}

func (r *recent) note(v *viewer.View) {
	s := r.slot(v)
	if s.view.Load() != v {
		s.view.Store(v)
		s.count.Store(0)
	}
	s.count.Add(1)
}

func (r *recent) count(v *viewer.View) int {
	s := r.slot(v)
	if s.view.Load() != v {
		return 0
	}
	return int(s.count.Load())
}

// history remembers where this node sent prompt prefixes, because engines
// publish their caches late and with gaps. An entry holds the upper half of the
// prefix's hash and the folded name of the engine.
type history struct {
	entries [1 << 12]atomic.Uint64
}

func (h *history) entry(prefix uint64) *atomic.Uint64 {
	return &h.entries[prefix%uint64(len(h.entries))]
}

func (h *history) note(prefix uint64, v *viewer.View) {
	h.entry(prefix).Store(prefix>>32<<32 | uint64(fold(v)))
}

// find returns the folded name of the engine that a prefix went to, or 0.
func (h *history) find(prefix uint64) uint32 {
	e := h.entry(prefix).Load()
	if e>>32 != prefix>>32 {
		return 0
	}
	return uint32(e)
}

func fold(v *viewer.View) uint32 { return uint32(v.EngineHash()) }
