package router

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RepeatPolicy determines whether the work of a route may be executed repeatedly:
// Idempotent, AtMostOnce or Stream.
type RepeatPolicy interface{ repeatPolicy() }

// Idempotent marks work that may run more than once.
type Idempotent struct{}

// AtMostOnce marks work that may run at most once for each call.
type AtMostOnce struct{}

// Stream marks a generation whose response is a series of numbered events.
type Stream struct{ resumable bool }

// NewStream returns the policy of a streaming route. A resumable stream may be
// continued at another endpoint after its last event.
func NewStream(resumable bool) Stream { return Stream{resumable: resumable} }

// Resumable reports whether the stream may be continued at another endpoint.
func (s Stream) Resumable() bool { return s.resumable }

func (Idempotent) repeatPolicy() {}
func (AtMostOnce) repeatPolicy() {}
func (Stream) repeatPolicy()     {}

// Target is a service that receives a share of a route's calls.
type Target struct {
	service string
	weight  int
}

// NewTarget returns a target with a weight relative to the route's other targets.
func NewTarget(service string, weight int) Target { return Target{service: service, weight: weight} }

// Service returns the name of the service.
func (t Target) Service() string { return t.service }

// Weight returns the weight relative to the route's other targets.
func (t Target) Weight() int { return t.weight }

// Route maps the paths under a prefix to services.
type Route struct {
	name         string
	host         string
	prefix       string
	repeatPolicy RepeatPolicy
	timeout      time.Duration
	objective    time.Duration
	priority     int
	maxAttempts  int
	targets      []Target
	pauseAim     time.Duration
	keyless      bool
}

// RouteOption sets an optional property of a Route.
type RouteOption func(*Route)

// WithPauseAim sets the longest acceptable pause between two events of a stream.
func WithPauseAim(d time.Duration) RouteOption { return func(r *Route) { r.pauseAim = d } }

// WithoutKey makes calls on the route need no key of a workspace.
func WithoutKey() RouteOption { return func(r *Route) { r.keyless = true } }

// NewRoute returns a route. Priority 0 is the most urgent.
func NewRoute(name, host, prefix string, r RepeatPolicy, timeout, objective time.Duration, priority, maxAttempts int, targets []Target, opts ...RouteOption) *Route {
	route := &Route{
		name: name, host: host, prefix: prefix, repeatPolicy: r, timeout: timeout, objective: objective,
		priority: priority, maxAttempts: max(maxAttempts, 1), targets: targets,
	}
	for _, opt := range opts {
		opt(route)
	}
	return route
}

// Name returns the route's name.
func (r *Route) Name() string { return r.name }

// Host returns the host name whose calls the route takes.
func (r *Route) Host() string { return r.host }

// Prefix returns the prefix of the paths that the route takes.
func (r *Route) Prefix() string { return r.prefix }

// Targets returns the services that share the route's calls. The caller must not modify
// them.
func (r *Route) Targets() []Target { return r.targets }

// RepeatPolicy returns the repeat policy of the route's work.
func (r *Route) RepeatPolicy() RepeatPolicy { return r.repeatPolicy }

// Timeout returns the maximum time that a call may wait for its response, or 0 if
// the route sets none.
func (r *Route) Timeout() time.Duration { return r.timeout }

// Objective returns the latency objective of the route.
func (r *Route) Objective() time.Duration { return r.objective }

// Priority returns the priority of the route; 0 is the most urgent.
func (r *Route) Priority() int { return r.priority }

// MaxAttempts returns the maximum number of endpoints that a call may be sent to.
func (r *Route) MaxAttempts() int { return r.maxAttempts }

// PauseAim returns the longest acceptable pause between two events of a stream, or 0
// if the route sets none.
func (r *Route) PauseAim() time.Duration { return r.pauseAim }

// Keyless reports whether calls need no key of a workspace.
func (r *Route) Keyless() bool { return r.keyless }

// service returns the name of the target service for a call with the given hash,
// by weight, or "" if the route has no targets.
func (r *Route) service(hash uint64) string {
	total := 0
	for _, t := range r.targets {
		total += t.weight
	}
	if total <= 0 {
		return ""
	}
	offset := int(hash % uint64(total))
	for _, t := range r.targets {
		if offset < t.weight {
			return t.service
		}
		offset -= t.weight
	}
	return ""
}

// BaseModel is a base model of an engine service.
type BaseModel struct {
	name      string
	weightsMB float64
	adapterMB float64
}

// NewBaseModel returns a base model with the size of its weights and of one adapter.
func NewBaseModel(name string, weightsMB, adapterMB float64) BaseModel {
	return BaseModel{name: name, weightsMB: weightsMB, adapterMB: adapterMB}
}

// Name returns the base model's name.
func (b BaseModel) Name() string { return b.name }

// WeightsMB returns the size of the base model's weights.
func (b BaseModel) WeightsMB() float64 { return b.weightsMB }

// AdapterMB returns the size of one adapter of the base model.
func (b BaseModel) AdapterMB() float64 { return b.adapterMB }

// EngineSpec describes the engines of a service.
type EngineSpec struct {
	slots        int
	adapterSlots int
	memoryMB     float64
	bases        []BaseModel
}

// NewEngineSpec returns a description of engines that run up to slots jobs
// concurrently and hold up to adapterSlots adapters and memoryMB of weights.
func NewEngineSpec(slots, adapterSlots int, memoryMB float64, bases []BaseModel) *EngineSpec {
	return &EngineSpec{slots: slots, adapterSlots: adapterSlots, memoryMB: memoryMB, bases: bases}
}

// Slots returns the maximum number of jobs that an engine runs concurrently.
func (e *EngineSpec) Slots() int { return e.slots }

// AdapterSlots returns the maximum number of adapters in an engine, including those
// being loaded.
func (e *EngineSpec) AdapterSlots() int { return e.adapterSlots }

// MemoryMB returns the memory for the weights of base models and adapters together.
func (e *EngineSpec) MemoryMB() float64 { return e.memoryMB }

// Bases returns the base models, the most used first.
func (e *EngineSpec) Bases() []BaseModel { return e.bases }

// AdapterCapacity returns how many adapters fit into an engine's memory besides the
// weights of a base model.
func (e *EngineSpec) AdapterCapacity(base string) int {
	for _, b := range e.bases {
		if b.name == base && b.adapterMB > 0 {
			return min(e.adapterSlots, int(max(e.memoryMB-b.weightsMB, 0)/b.adapterMB))
		}
	}
	return e.adapterSlots
}

// Service is a group of interchangeable endpoints.
type Service struct {
	name           string
	maxConnections int
	engineSpec     *EngineSpec
}

// NewService returns a service. engineSpec is nil for a service without engines.
func NewService(name string, maxConnections int, engineSpec *EngineSpec) *Service {
	return &Service{name: name, maxConnections: maxConnections, engineSpec: engineSpec}
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// MaxConnections returns the maximum number of connections that an endpoint accepts
// from all hosts together.
func (s *Service) MaxConnections() int { return s.maxConnections }

// EngineSpec returns the description of the service's engines, or nil if it has
// none.
func (s *Service) EngineSpec() *EngineSpec { return s.engineSpec }

// Limits are limits on callers. A value of zero means that the limit in the host's
// settings applies.
type Limits struct {
	bodyBytes     int64
	idleTimeout   time.Duration
	headerBytes   int
	headerTimeout time.Duration
}

// NewLimits returns limits on the length of a body in bytes and on the time between
// two calls on a connection.
func NewLimits(bodyBytes int64, idleTimeout time.Duration) Limits {
	return Limits{bodyBytes: bodyBytes, idleTimeout: idleTimeout}
}

// WithHeader returns the limits with those on the length of a header in bytes and on the
// time in which it arrives.
func (l Limits) WithHeader(bytes int, timeout time.Duration) Limits {
	l.headerBytes, l.headerTimeout = bytes, timeout
	return l
}

// HeaderBytes returns the maximum length of a header in bytes.
func (l Limits) HeaderBytes() int { return l.headerBytes }

// HeaderTimeout returns the time in which a header must arrive.
func (l Limits) HeaderTimeout() time.Duration { return l.headerTimeout }

// BodyBytes returns the maximum length of a body in bytes, or 0.
func (l Limits) BodyBytes() int64 { return l.bodyBytes }

// IdleTimeout returns the maximum time between two calls on a connection, or 0.
func (l Limits) IdleTimeout() time.Duration { return l.idleTimeout }

// TableOption sets an optional property of a Table.
type TableOption func(*Table)

// WithLimits sets the table's limits on callers.
func WithLimits(l Limits) TableOption { return func(t *Table) { t.limits = l } }

// Table is one version of the routes and services. It is immutable.
type Table struct {
	version          int64
	limits           Limits
	routes           []*Route
	routesByHost     map[string][]*Route // longest prefix first
	listedServices   []*Service
	services         map[string]*Service
	listedWorkspaces []*Workspace
	workspaces       map[string]*Workspace // nil if calls need no keys
	workspaceByKey   map[KeyHash]*Workspace
	revokedKeys      map[KeyHash]struct{} // of earlier tables
}

// NewTable returns a table of the given version.
func NewTable(version int64, routes []*Route, services []*Service, opts ...TableOption) *Table {
	t := &Table{
		version: version, routes: routes, routesByHost: make(map[string][]*Route),
		listedServices: services, services: make(map[string]*Service, len(services)),
	}
	for _, r := range routes {
		t.routesByHost[r.host] = append(t.routesByHost[r.host], r)
	}
	for _, list := range t.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	}
	for _, s := range services {
		t.services[s.name] = s
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

func (t *Table) Version() int64 { return t.version }

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.limits }

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int { return len(t.routes) }

// Routes returns the routes in the order in which they were given. The caller must not
// modify the list.
func (t *Table) Routes() []*Route { return t.routes }

// ListedServices returns the services in the order in which they were given, including
// those that a later one of the same name replaces. The caller must not modify the list.
func (t *Table) ListedServices() []*Service { return t.listedServices }

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services in no particular order.
func (t *Table) Services() []*Service {
	list := make([]*Service, 0, len(t.services))
	for _, s := range t.services {
		list = append(list, s)
	}
	return list
}

// Lookup returns the route of host with the longest prefix that matches path, or
// nil if none matches.
func (t *Table) Lookup(host, path string) *Route {
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.prefix) {
			return r
		}
	}
	return nil
}
