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

// Kind is what a drain row applies to: a node or an endpoint.
type Kind string

// Values of Kind.
const (
	KindNode     Kind = "node"
	KindEndpoint Kind = "endpoint"
)

const prefix = "drain/"

// Key returns the key of the row that requests a planned stop.
func Key(k Kind, name string) string { return prefix + string(k) + "/" + name }

// PlannedStops holds the planned stops as of one poll. It is immutable.
type PlannedStops struct {
	nodes     map[string]bool
	endpoints map[string]bool
	hosts     map[string]bool
}

// Node reports whether an operator has requested to drain the node.
func (s *PlannedStops) Node(name string) bool { return s.nodes[name] }

// Endpoint reports whether an operator has requested to drain the endpoint, or its
// host is about to leave.
func (s *PlannedStops) Endpoint(name string) bool { return s.endpoints[name] || s.hosts[name] }

// Drainer polls for planned stops. Reads take a single atomic load.
type Drainer struct {
	table    storer.Table
	hosts    storer.Hosts
	interval atomic.Int64 // nanoseconds
	notify   func(*PlannedStops)
	stops    atomic.Pointer[PlannedStops]
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// DefaultInterval is the default time between polls. A leaving endpoint receives no
// new requests after this time and one read of the table.
const DefaultInterval = time.Second

// New starts a drainer that polls at the given interval. Notify is called after each
// poll, from one goroutine at a time.
func New(table storer.Table, hosts storer.Hosts, interval time.Duration, notify func(*PlannedStops)) *Drainer {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Drainer{table: table, hosts: hosts, notify: notify, cancel: cancel}
	d.interval.Store(int64(interval))
	d.stops.Store(&PlannedStops{})
	d.done.Go(func() { d.run(ctx) })
	return d
}

// Load returns the planned stops as of the latest poll.
func (d *Drainer) Load() *PlannedStops { return d.stops.Load() }

// Draining reports whether an endpoint must not receive new requests.
func (d *Drainer) Draining(endpoint string) bool { return d.stops.Load().Endpoint(endpoint) }

// SetInterval sets the time between polls, starting with the next poll. Longer
// intervals reduce the load on the table, which the polls of all nodes share.
func (d *Drainer) SetInterval(interval time.Duration) { d.interval.Store(int64(interval)) }

// Close stops polling and waits for the goroutine.
func (d *Drainer) Close() {
	d.cancel()
	d.done.Wait()
}

func (d *Drainer) run(ctx context.Context) {
	for {
		next := time.Now().Add(time.Duration(d.interval.Load()))
		d.poll(ctx)
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return
		}
	}
}

// poll reads both sources. A source that cannot be read keeps its last state, because
// an outage does not cancel a planned stop.
func (d *Drainer) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeoutIntervals*time.Duration(d.interval.Load()))
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

// pollTimeoutIntervals is the timeout of a poll in intervals.
const pollTimeoutIntervals = 3

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
