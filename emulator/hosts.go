package emulator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/storer"
)

// HostState is the lifecycle state of a host.
type HostState int

// States of a host.
const (
	HostGone HostState = iota
	HostLive
	HostLeaving
)

// HostList is a fake of the host list. It shows changes with a lag.
type HostList struct {
	link          *link
	configuredLag time.Duration

	mu      sync.Mutex
	lag     time.Duration
	changes []hostChange // in order of time
}

type hostChange struct {
	at    time.Time
	name  string
	state HostState
}

// NewHostList returns an empty list.
func NewHostList(opts ...Option) *HostList {
	s := newSettings(opts)
	return &HostList{link: newLink(s), configuredLag: s.lag, lag: s.lag}
}

// Inject adds a fault: Down, Slow or Lag.
func (h *HostList) Inject(f Fault) error {
	switch f := f.(type) {
	case Down, Slow:
		h.link.inject(f)
	case Lag:
		h.mu.Lock()
		defer h.mu.Unlock()
		h.lag = f.by
	default:
		return &UnsupportedFaultError{fake: "host list", fault: f}
	}
	return nil
}

// Clear ends all faults.
func (h *HostList) Clear() {
	h.link.clear()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lag = h.configuredLag
}

// Set records the state of a host. The list shows it one lag later.
func (h *HostList) Set(name string, state HostState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, hostChange{at: time.Now(), name: name, state: state})
}

// List returns the hosts as of one lag ago, sorted by name.
func (h *HostList) List(ctx context.Context) ([]storer.Host, error) {
	if err := h.link.deliver(ctx); err != nil {
		return nil, fmt.Errorf("list hosts: %w: %w", storer.ErrUnavailable, err)
	}
	hosts := h.visible()
	if err := h.link.respond(ctx); err != nil {
		return nil, fmt.Errorf("list hosts: %w: %w", storer.ErrUnavailable, err)
	}
	return hosts, nil
}

func (h *HostList) visible() []storer.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	until := time.Now().Add(-h.lag)
	states := make(map[string]HostState)
	for _, c := range h.changes {
		if c.at.After(until) {
			break
		}
		states[c.name] = c.state
	}
	hosts := make([]storer.Host, 0, len(states))
	for name, state := range states {
		if state != HostGone {
			hosts = append(hosts, storer.NewHost(name, state == HostLeaving))
		}
	}
	slices.SortFunc(hosts, func(a, b storer.Host) int { return strings.Compare(a.Name(), b.Name()) })
	return hosts
}
