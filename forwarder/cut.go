package forwarder

import "sync"

// NetworkFault is a switch that parts nodes in tests. It may be shared by all peers whose
// connections fail together. Under synctest it must be created in the bubble
// that uses it.
type NetworkFault struct {
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

// NewNetworkFault returns a switch that lets everything through.
func NewNetworkFault() *NetworkFault {
	return &NetworkFault{state: cutState{changed: make(chan struct{})}}
}

// Refuse breaks running calls and makes new ones fail at once, as after the end
// of the peer's process.
func (c *NetworkFault) Refuse() { c.set(cutRefusing) }

// Hang holds messages back until Restore, as a network that drops packets does.
// Running calls end with their contexts.
func (c *NetworkFault) Hang() { c.set(cutHanging) }

// Restore lets messages through again. Calls that Refuse broke stay broken.
func (c *NetworkFault) Restore() { c.set(cutRestored) }

func (c *NetworkFault) set(m cutMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.state.changed)
	c.state.changed = make(chan struct{})
	c.state.mode = m
	if m == cutRefusing {
		c.state.refusals++
	}
}

func (c *NetworkFault) load() cutState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}
