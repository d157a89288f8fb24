package drainer

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/storer"
)

// Kind says what a drain row stops.
type Kind string

// Kinds of planned stops.
const (
	KindNode     Kind = "node"
	KindEndpoint Kind = "endpoint"
)

const prefix = "drain/"

// Key returns the row that asks for a planned stop.
func Key(k Kind, name string) string { return prefix + string(k) + "/" + name }

// PlannedStops is what is known of planned stops. It never changes.
type PlannedStops struct {
	nodes     map[string]bool
	endpoints map[string]bool
	hosts     map[string]bool
}

// Node reports whether an operator drains the node.
func (s *PlannedStops) Node(name string) bool { return s.nodes[name] }

// Endpoint reports whether an operator drains the endpoint or its host is about
// to leave.
func (s *PlannedStops) Endpoint(name string) bool { return s.endpoints[name] || s.hosts[name] }

// Drainer polls for planned stops. Readers take one atomic load.
type Drainer struct {
	table  storer.Table
	hosts  storer.Hosts
	every  atomic.Int64 // nanoseconds
	notify func(*PlannedStops)
	stops  atomic.Pointer[PlannedStops]
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// DefaultInterval is the time between polls. A leaving endpoint gets no new work
// after this time and one table read.
const DefaultInterval = time.Second

// New starts a drainer that polls at the given interval. Notify is called after
// each poll from one goroutine at a time.
func New(table storer.Table, hosts storer.Hosts, every time.Duration, notify func(*PlannedStops)) *Drainer {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Drainer{table: table, hosts: hosts, notify: notify, cancel: cancel}
	d.every.Store(int64(every))
	d.stops.Store(&PlannedStops{})
	d.done.Go(func() { d.run(ctx) })
	return d
}

// Load returns what is known of planned stops.
func (d *Drainer) Load() *PlannedStops { return d.stops.Load() }

// Draining reports whether an endpoint must get no new work.
func (d *Drainer) Draining(endpoint string) bool { return d.stops.Load().Endpoint(endpoint) }

// SetInterval sets the time between polls from the next one on. The polls of all
// nodes share the table.
func (d *Drainer) SetInterval(every time.Duration) { d.every.Store(int64(every)) }

// Close stops polling and waits for its goroutine.
func (d *Drainer) Close() {
	d.cancel()
	d.done.Wait()
}

func (d *Drainer) run(ctx context.Context) {
	for {
		next := time.Now().Add(time.Duration(d.every.Load()))
		d.poll(ctx)
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return
		}
	}
}

// poll reads both sources. What cannot be read keeps its last state, because a
// planned stop does not end with an outage.
func (d *Drainer) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeouts*time.Duration(d.every.Load()))
	defer cancel()
	old := d.stops.Load()
	next := &PlannedStops{nodes: old.nodes, endpoints: old.endpoints, hosts: old.hosts}
	if nodes, endpoints, err := d.readRows(ctx); err == nil {
		next.nodes, next.endpoints = nodes, endpoints
	}
	if hosts, err := d.readHosts(ctx); err == nil {
		next.hosts = hosts
	}
	d.stops.Store(next)
	d.notify(next)
}

// pollTimeouts is how many intervals one poll may take.
const pollTimeouts = 3

func (d *Drainer) readRows(ctx context.Context) (nodes, endpoints map[string]bool, err error) {
	rows, err := storer.GetAll(ctx, d.table, prefix)
	if err != nil {
		return nil, nil, fmt.Errorf("read drain rows: %w", err)
	}
	nodes, endpoints = make(map[string]bool), make(map[string]bool)
	for _, row := range rows {
		kind, name, _ := strings.Cut(strings.TrimPrefix(row.Key(), prefix), "/")
		switch Kind(kind) {
		case KindNode:
			nodes[name] = true
		case KindEndpoint:
			endpoints[name] = true
		}
	}
	return nodes, endpoints, nil
}

func (d *Drainer) readHosts(ctx context.Context) (map[string]bool, error) {
	list, err := d.hosts.List(ctx)
	if err != nil {
		return nil, fmt.Errorf("read host list: %w", err)
	}
	leaving := make(map[string]bool)
	for _, h := range list {
		if h.Leaving() {
			leaving[h.Name()] = true
		}
	}
	return leaving, nil
}
