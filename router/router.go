package router

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyford/dragonflyford/classifier"
)

// Routed is a call with the route and the service that it was given.
type Routed struct {
	*Call
	table    *Table
	route    *Route
	service  *Service
	deadline time.Time
}

// Table returns the version of the routes that the call was routed with.
func (r *Routed) Table() *Table { return r.table }

// Route returns the call's route.
func (r *Routed) Route() *Route { return r.route }

// Service returns the service that carries out the call.
func (r *Routed) Service() *Service { return r.service }

// Deadline returns when the caller or the route gives the call up.
func (r *Routed) Deadline() time.Time { return r.deadline }

// Remaining returns the time until the deadline.
func (r *Routed) Remaining() time.Duration { return time.Until(r.deadline) }

// defaultPatience bounds a call that names no deadline on a route without one.
const defaultPatience = 30 * time.Second

// retryUnconfigured is when a caller may come back to a host without routes.
const retryUnconfigured = 500 * time.Millisecond

// Router is the first stage of the path of a call.
type Router struct {
	current atomic.Pointer[Table]
	mu      sync.Mutex // serialises Adopt
}

// New returns a router without a table.
func New() *Router { return &Router{} }

// Current returns the table in force, or nil.
func (r *Router) Current() *Table { return r.current.Load() }

// Adopt puts a table in force unless it is older than the current one, and reports
// whether it did.
func (r *Router) Adopt(t *Table) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.current.Load(); old != nil && t.version <= old.version {
		return false
	}
	r.current.Store(t)
	return true
}

// Apply routes a call.
func (r *Router) Apply(_ context.Context, c *Call) (*Routed, error) {
	t := r.current.Load()
	if t == nil {
		return nil, classifier.NewUnavailable("no routes are known yet", classifier.RetryAfter(retryUnconfigured))
	}
	route := t.Lookup(c.host, c.path)
	if route == nil {
		return nil, classifier.NewNotOffered(fmt.Sprintf("no route matches the path in version %d", t.version))
	}
	service := t.services[route.service(xxhash.Sum64String(c.id))]
	if service == nil {
		return nil, classifier.NewUnavailable(fmt.Sprintf("route %s has no service", route.name), classifier.RetryAfter(retryUnconfigured))
	}
	patience := c.patience
	if patience <= 0 {
		patience = defaultPatience
	}
	if route.timeout > 0 {
		patience = min(patience, route.timeout)
	}
	return &Routed{Call: c, table: t, route: route, service: service, deadline: c.received.Add(patience)}, nil
}
