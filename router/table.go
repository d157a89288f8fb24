package router

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RepeatPolicy says how often the work of a route may be carried out: Idempotent,
// Once or Stream.
type RepeatPolicy interface{ repeat() }

// Idempotent work may run more than once.
type Idempotent struct{}

// AtMostOnce is work that may run at most once for each call.
type AtMostOnce struct{}

// Stream is a generation whose answer is a series of numbered events.
type Stream struct{ resumable bool }

// NewStream returns the kind of a streaming route. A resumable stream may go on
// at another endpoint after its last event.
func NewStream(resumable bool) Stream { return Stream{resumable: resumable} }

// Resumable reports whether the stream may go on at another endpoint.
func (s Stream) Resumable() bool { return s.resumable }

func (Idempotent) repeat() {}
func (AtMostOnce) repeat() {}
func (Stream) repeat()     {}

// Target is a service that a route sends a share of its calls to.
type Target struct {
	service string
	weight  int
}

// NewTarget returns a target with a weight relative to the route's others.
func NewTarget(service string, weight int) Target { return Target{service: service, weight: weight} }

// Route maps the paths under a prefix to services.
type Route struct {
	name        string
	host        string
	prefix      string
	repeat      RepeatPolicy
	timeout     time.Duration
	objective   time.Duration
	priority    int
	maxAttempts int
	targets     []Target
}

// NewRoute returns a route. Priority 0 is the most urgent.
func NewRoute(name, host, prefix string, r RepeatPolicy, timeout, objective time.Duration, priority, maxAttempts int, targets []Target) *Route {
	return &Route{
		name: name, host: host, prefix: prefix, repeat: r, timeout: timeout, objective: objective,
		priority: priority, maxAttempts: max(maxAttempts, 1), targets: targets,
	}
}

// Name returns the route's name.
func (r *Route) Name() string { return r.name }

// RepeatPolicy returns how often the work may be carried out.
func (r *Route) RepeatPolicy() RepeatPolicy { return r.repeat }

// Timeout returns how long a call may wait for its answer.
func (r *Route) Timeout() time.Duration { return r.timeout }

// Objective returns the latency within which an answer is on time.
func (r *Route) Objective() time.Duration { return r.objective }

// Priority returns the rank of the route; 0 is the most urgent.
func (r *Route) Priority() int { return r.priority }

// MaxAttempts returns how many endpoints a call may be sent to.
func (r *Route) MaxAttempts() int { return r.maxAttempts }

// service returns the service for a call; spread is a hash of the call.
func (r *Route) service(spread uint64) string {
	total := 0
	for _, t := range r.targets {
		total += t.weight
	}
	if total <= 0 {
		return ""
	}
	point := int(spread % uint64(total))
	for _, t := range r.targets {
		if point < t.weight {
			return t.service
		}
		point -= t.weight
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

// EngineSpec describes the engines of a service.
type EngineSpec struct {
	slots        int
	adapterSlots int
	memoryMB     float64
	bases        []BaseModel
}

// NewEngineSpec returns a description of engines that run slots jobs at a time and
// hold up to adapterSlots adapters and memoryMB of weights.
func NewEngineSpec(slots, adapterSlots int, memoryMB float64, bases []BaseModel) *EngineSpec {
	return &EngineSpec{slots: slots, adapterSlots: adapterSlots, memoryMB: memoryMB, bases: bases}
}

// Slots returns how many jobs an engine runs at a time.
func (e *EngineSpec) Slots() int { return e.slots }

// AdapterSlots returns how many adapters an engine holds, those on their way
// included.
func (e *EngineSpec) AdapterSlots() int { return e.adapterSlots }

// Bases returns the base models, the most used first.
func (e *EngineSpec) Bases() []BaseModel { return e.bases }

// AdapterCapacity returns how many adapters fit beside the weights of one base model.
func (e *EngineSpec) AdapterCapacity(base string) int {
	for _, b := range e.bases {
		if b.name == base && b.adapterMB > 0 {
			return min(e.adapterSlots, int(max(e.memoryMB-b.weightsMB, 0)/b.adapterMB))
		}
	}
	return e.adapterSlots
}

// Service is a group of endpoints that do the same work.
type Service struct {
	name           string
	maxConnections int
	engines        *EngineSpec
}

// NewService returns a service; engines is nil for a plain service.
func NewService(name string, maxConnections int, engines *EngineSpec) *Service {
	return &Service{name: name, maxConnections: maxConnections, engines: engines}
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// MaxConnections returns how many connections an endpoint accepts from all hosts.
func (s *Service) MaxConnections() int { return s.maxConnections }

// EngineSpec returns the description of the service's engines, or nil.
func (s *Service) EngineSpec() *EngineSpec { return s.engines }

// Limits bound what callers may send and how long they may be idle. Zero stands for
// the host's own limit.
type Limits struct {
	bodyBytes int64
	idle      time.Duration
}

// NewLimits returns limits on the length of a body and on the time between two
// calls on a connection.
func NewLimits(bodyBytes int64, idle time.Duration) Limits {
	return Limits{bodyBytes: bodyBytes, idle: idle}
}

// BodyBytes returns the longest body in bytes, or 0.
func (l Limits) BodyBytes() int64 { return l.bodyBytes }

// IdleTimeout returns how long a connection may be without a call, or 0.
func (l Limits) IdleTimeout() time.Duration { return l.idle }

// TableOption sets an optional property of a Table.
type TableOption func(*Table)

// WithLimits sets the limits on callers.
func WithLimits(l Limits) TableOption { return func(t *Table) { t.limits = l } }

// Table is one version of the routes. It never changes.
type Table struct {
	version  int64
	limits   Limits
	hosts    map[string][]*Route // longest prefix first
	services map[string]*Service
}

// NewTable returns a table.
func NewTable(version int64, routes []*Route, services []*Service, opts ...TableOption) *Table {
	t := &Table{version: version, hosts: make(map[string][]*Route), services: make(map[string]*Service, len(services))}
	for _, r := range routes {
		t.hosts[r.host] = append(t.hosts[r.host], r)
	}
	for _, list := range t.hosts {
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

// Version returns the version of the table.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.limits }

// RouteCount returns how many routes the table has.
func (t *Table) RouteCount() int {
	n := 0
	for _, list := range t.hosts {
		n += len(list)
	}
	return n
}

// Service returns a service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services.
func (t *Table) Services() []*Service {
	list := make([]*Service, 0, len(t.services))
	for _, s := range t.services {
		list = append(list, s)
	}
	return list
}

// Lookup returns the route with the longest prefix of path, or nil.
func (t *Table) Lookup(host, path string) *Route {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.prefix) {
			return r
		}
	}
	return nil
}
