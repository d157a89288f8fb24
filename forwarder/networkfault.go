package forwarder

import "sync"

// NetworkFault simulates network faults between nodes in tests. Peers whose
// connections fail together may share one. Under synctest it must be created in
// the bubble that uses it.
type NetworkFault struct {
	mu    sync.Mutex
	state linkState
}

// linkState is the state of a NetworkFault. changed is closed when the state is
// replaced.
type linkState struct {
	mode     linkMode
	refusals int // number of Refuse calls; identifies calls that began before the last one
	changed  chan struct{}
}

type linkMode int

const (
	linkUp linkMode = iota
	linkRefusing
	linkHanging
)

// NewNetworkFault returns a NetworkFault that is not active: all messages pass.
func NewNetworkFault() *NetworkFault {
	return &NetworkFault{state: linkState{changed: make(chan struct{})}}
}

// Refuse breaks running calls and makes new ones fail immediately, as if the
// peer's process had exited.
func (f *NetworkFault) Refuse() { f.set(linkRefusing) }

// Hang delays messages until Restore, like a network that drops packets. Running
// calls end only when their contexts do.
func (f *NetworkFault) Hang() { f.set(linkHanging) }

// Restore ends the fault. Calls that Refuse broke stay broken.
func (f *NetworkFault) Restore() { f.set(linkUp) }

func (f *NetworkFault) set(m linkMode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.state.changed)
	f.state.changed = make(chan struct{})
	f.state.mode = m
	if m == linkRefusing {
		f.state.refusals++
	}
}

func (f *NetworkFault) load() linkState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}
