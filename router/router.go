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

// Routed is a call with the route and the service that were chosen for it.
type Routed struct {
	*Call
	table    *Table
	route    *Route
	service  *Service
	deadline time.Time
	// workspace is nil before the call was authenticated, and if it needs no key.
	workspace *Workspace
}

// Table returns the routing table that the call was routed with.
func (r *Routed) Table() *Table { return r.table }

// Route returns the call's route.
func (r *Routed) Route() *Route { return r.route }

// Service returns the service that the call is routed to.
func (r *Routed) Service() *Service { return r.service }

// Deadline returns the earlier of the caller's and the route's deadline.
func (r *Routed) Deadline() time.Time { return r.deadline }

// WithWorkspace returns the call as one of a workspace.
func (r *Routed) WithWorkspace(w *Workspace) *Routed {
	c := *r
	c.workspace = w
	return &c
}

// Workspace returns the workspace that the call belongs to, or nil.
func (r *Routed) Workspace() *Workspace { return r.workspace }

// Priority returns the priority of the call's workspace, or that of its route; 0 is the
// most urgent.
func (r *Routed) Priority() int {
	if r.workspace != nil {
		return r.workspace.priority
	}
	return r.route.priority
}

// Remaining returns the time until the deadline.
func (r *Routed) Remaining() time.Duration { return time.Until(r.deadline) }

// defaultMaxWait applies to calls without a deadline on routes without a timeout.
const defaultMaxWait = 30 * time.Second

// retryNoRoutes is the retry delay of calls to a host that has no routes yet or
// lacks the service of a route.
const retryNoRoutes = 500 * time.Millisecond

// Router is the stage of the request pipeline that assigns calls to routes. It is
// safe for concurrent use.
type Router struct {
	current  atomic.Pointer[Table]
	replaced atomic.Pointer[[]replacedLimits] // the latest first
	mu       sync.Mutex                       // serialises Adopt
}

// New returns a router without a routing table.
func New() *Router { return &Router{} }

// Current returns the routing table in use, or nil.
func (r *Router) Current() *Table { return r.current.Load() }

// Adopt replaces the routing table if t has a higher version than the current one,
// and reports whether it did.
func (r *Router) Adopt(t *Table) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.current.Load()
	if old != nil && t.version <= old.version {
		return false
	}
	if old != nil && (len(old.workspaceByKey) > 0 || len(old.revokedKeys) > 0) {
		t = t.succeeding(old)
	}
	if old != nil {
		r.recordReplaced(old, t)
	}
	r.current.Store(t)
	return true
}

// Apply chooses the route, the service and the deadline of a call.
func (r *Router) Apply(_ context.Context, c *Call) (*Routed, error) {
	t := r.current.Load()
	if t == nil {
		return nil, classifier.NewUnavailable("no routes are known yet", classifier.RetryAfter(retryNoRoutes))
	}
	route := t.Lookup(c.host, c.path)
	if route == nil {
		return nil, classifier.NewNotOffered(fmt.Sprintf("no route matches the path in version %d", t.version))
	}
	service := t.services[route.service(xxhash.Sum64String(c.id))]
	if service == nil {
		return nil, classifier.NewUnavailable(fmt.Sprintf("route %s has no service", route.name), classifier.RetryAfter(retryNoRoutes))
	}
	maxWait := c.maxWait
	if maxWait <= 0 {
		maxWait = defaultMaxWait
	}
	if route.timeout > 0 {
		maxWait = min(maxWait, route.timeout)
	}
	return &Routed{Call: c, table: t, route: route, service: service, deadline: c.received.Add(maxWait)}, nil
}
