package leaser

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/roller"
	"github.com/dragonflyford/dragonflyford/server"
	"github.com/dragonflyford/dragonflyford/storer"
)

// Entries provides the addresses of the nodes that callers may use.
type Entries struct {
	leaser *Leaser
	cached atomic.Pointer[entryCache]
}

type entryCache struct {
	view *Membership
	list *server.EntryList
}

// Entries returns the source of the entry list that the server publishes.
func (l *Leaser) Entries() *Entries { return &Entries{leaser: l} }

// Load returns the live nodes that are not draining, grouped by distance, or
// nil before the first scan. The list is built once per scan.
func (e *Entries) Load() *server.EntryList {
	view := e.leaser.view.Load()
	if view.readAt.IsZero() {
		return nil
	}
	if c := e.cached.Load(); c != nil && c.view == view {
		return c.list
	}
	var entries []server.Entry
	for _, m := range view.members {
		if !m.draining && m.caller != "" {
			entries = append(entries, server.NewEntry(m.name, m.caller, m.region, m.dataCentre))
		}
	}
	self := e.leaser.self
	list := server.NewEntryList(self.region, self.dataCentre, entries)
	e.cached.Store(&entryCache{view: view, list: list})
	return list
}

func rollerNodes(live, expired []Member) []roller.Node {
	var nodes []roller.Node
	for _, m := range live {
		nodes = append(nodes, roller.NewNode(m.name, m.region, m.prepared, m.inForce, true))
	}
	for _, m := range expired {
		nodes = append(nodes, roller.NewNode(m.name, m.region, m.prepared, m.inForce, false))
	}
	return nodes
}

// Reader lists nodes for an operator's tool, which holds no lease itself.
type Reader struct {
	table    storer.Table
	settings Settings

	mu       sync.Mutex // held during reads of the table
	observer *observer
	started  time.Time
}

// NewReader returns a reader of the lease rows. The settings must be the same
// as those of the nodes.
func NewReader(table storer.Table, s Settings) *Reader {
	s = s.withDefaults()
	return &Reader{table: table, settings: s, observer: newObserver(s.lease, s.guard)}
}

// List returns the nodes. A single scan cannot show whether a lease is valid,
// so the first call keeps scanning until each row has changed or has stayed
// unchanged for the lease plus the guard.
func (r *Reader) List(ctx context.Context) ([]roller.Node, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		rows, err := storer.GetAll(ctx, r.table, nodePrefix)
		if err != nil {
			return nil, fmt.Errorf("read lease rows: %w", err)
		}
		now := time.Now()
		if r.started.IsZero() {
			r.started = now
		}
		r.observer.observe(nodePrefix, rows, now)
		if r.certain() {
			live, expired := r.observer.members()
			return rollerNodes(live, expired), nil
		}
		select {
		case <-time.After(r.settings.scan):
		case <-ctx.Done():
			return nil, fmt.Errorf("watch lease rows: %w", context.Cause(ctx))
		}
	}
}

// certain reports whether each row has either changed since the first scan or
// expired.
func (r *Reader) certain() bool {
	for _, s := range r.observer.rows {
		if !s.unchangedSince.After(r.started) && !r.observer.expired(s) {
			return false
		}
	}
	return true
}
