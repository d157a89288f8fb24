package forwarder

import "sync"

// Cut is a switch that parts nodes in tests. It may be shared by all peers whose
// connections fail together. Under synctest it must be created in the bubble
// that uses it.
type Cut struct {
	mu    sync.Mutex
	state cutState
}

// cutState is the state of a Cut; changed is closed at its end.
type cutState struct {
	mode     cutMode
	refusals int // distinguishes calls that began before a refusal
	changed  chan struct{}
}

type cutMode int

const (
	cutRestored cutMode = iota
	cutRefusing
	cutHanging
)

// NewCut returns a switch that lets everything through.
func NewCut() *Cut {
	return &Cut{state: cutState{changed: make(chan struct{})}}
}

// Refuse breaks running calls and makes new ones fail at once, as after the end
// of the peer's process.
func (c *Cut) Refuse() { c.set(cutRefusing) }

// Hang holds messages back until Restore, as a network that drops packets does.
// Running calls end with their contexts.
func (c *Cut) Hang() { c.set(cutHanging) }

// Restore lets messages through again. Calls that Refuse broke stay broken.
func (c *Cut) Restore() { c.set(cutRestored) }

func (c *Cut) set(m cutMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.state.changed)
	c.state.changed = make(chan struct{})
	c.state.mode = m
	if m == cutRefusing {
		c.state.refusals++
	}
}

func (c *Cut) load() cutState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}
