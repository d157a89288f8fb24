package quarantiner

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/router"
)

const (
	// maxGeneration limits the parts of one generation of a history.
	maxGeneration = 4096
	// generationTime is the age at which a generation becomes the previous one.
	generationTime = 5 * time.Minute
)

// History holds when the output of calls with a part last began. It forgets parts
// that were not seen for some minutes, or earlier if there are many. It is safe for
// concurrent use and takes no locks on parts that it holds.
type History struct {
	generations atomic.Pointer[generations]
	outputs     atomic.Int64
}

type generations struct{ current, previous *generation }

type generation struct {
	began time.Time
	count atomic.Int64
	parts sync.Map // router.PromptPart → *atomic.Int64, Unix nanoseconds
}

// NewHistory returns an empty history.
func NewHistory(now time.Time) *History {
	h := &History{}
	h.generations.Store(&generations{current: &generation{began: now}, previous: &generation{began: now}})
	return h
}

// RecordOutput records that the output of a call began at this host. Prompt holds the
// parts that the call shares with others; a call without any is not counted.
func (h *History) RecordOutput(prompt []router.PromptPart, now time.Time) {
	if len(prompt) == 0 {
		return
	}
	h.outputs.Add(1)
	for _, part := range prompt {
		h.RecordBegun(part, now)
	}
}

// Outputs returns the number of outputs that began at this host.
func (h *History) Outputs() int64 { return h.outputs.Load() }

// RecordBegun records that the output of a call with a part began, here or at another
// host.
func (h *History) RecordBegun(part router.PromptPart, now time.Time) {
	g := h.generations.Load()
	if g.current.count.Load() >= maxGeneration || now.Sub(g.current.began) > generationTime {
		next := &generations{current: &generation{began: now}, previous: g.current}
		h.generations.CompareAndSwap(g, next)
		g = h.generations.Load()
	}
	at, known := g.current.parts.Load(part)
	if !known {
		at, known = g.current.parts.LoadOrStore(part, &atomic.Int64{})
		if !known {
			g.current.count.Add(1)
		}
	}
	at.(*atomic.Int64).Store(now.UnixNano())
}

// LastBegun returns when the output of a call with a part last began, or false if
// that is not known.
func (h *History) LastBegun(part router.PromptPart) (time.Time, bool) {
	g := h.generations.Load()
	for _, one := range []*generation{g.current, g.previous} {
		if at, ok := one.parts.Load(part); ok {
			return time.Unix(0, at.(*atomic.Int64).Load()), true
		}
	}
	return time.Time{}, false
}
