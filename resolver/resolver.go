package resolver

import (
	"context"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/publisher"
	"github.com/dragonflyford/dragonflyford/receiver"
)

// Route is what a request resolves to: a GenerationRoute or a ServiceRoute.
type Route interface{ route() }

// GenerationRoute is an adapter version with the engines that may run it.
type GenerationRoute struct {
	target  *receiver.GenerationTarget
	model   connector.Model
	adapter *bundler.Adapter
	engines []*bundler.EngineEndpoint
}

// Target returns what the caller asked for.
func (r *GenerationRoute) Target() *receiver.GenerationTarget { return r.target }

// Model returns the adapter version.
func (r *GenerationRoute) Model() connector.Model { return r.model }

// Adapter returns the adapter's entry in the bundle.
func (r *GenerationRoute) Adapter() *bundler.Adapter { return r.adapter }

// Engines returns the engines of the base model. Not all of them stand in a
// region where the adapter is offered; see bundler.Adapter.OfferedIn.
func (r *GenerationRoute) Engines() []*bundler.EngineEndpoint { return r.engines }

// ServiceRoute is a call of a plain service with the instances that may run it.
type ServiceRoute struct {
	target  *receiver.ServiceTarget
	call    *bundler.ServiceCall
	service *bundler.Service
}

// Target returns what the caller asked for.
func (r *ServiceRoute) Target() *receiver.ServiceTarget { return r.target }

// Call returns the call's entry in the bundle.
func (r *ServiceRoute) Call() *bundler.ServiceCall { return r.call }

// Service returns the service's entry in the bundle.
func (r *ServiceRoute) Service() *bundler.Service { return r.service }

func (*GenerationRoute) route() {}
func (*ServiceRoute) route()    {}

// Resolved is a request bound to a bundle epoch. It keeps that epoch to its end.
type Resolved struct {
	*receiver.Request
	snapshot *bundler.Snapshot
	route    Route
}

// Snapshot returns the bundle that the request is bound to.
func (r *Resolved) Snapshot() *bundler.Snapshot { return r.snapshot }

// Route returns what the request resolved to.
func (r *Resolved) Route() Route { return r.route }

// Idempotent reports whether the request's work may run more than once.
func (r *Resolved) Idempotent() bool {
	switch route := r.route.(type) {
	case *ServiceRoute:
		return route.call.Idempotent()
	default:
		return true
	}
}

// Source gives the bundle in force by one atomic load.
type Source interface {
	Load() *publisher.State
}

// Resolver is the second stage of the request pipeline.
type Resolver struct {
	source Source
}

// New returns a resolver.
func New(source Source) *Resolver { return &Resolver{source: source} }

// retryWithoutBundle is how long a caller should wait for a node that has no
// bundle yet or does not know which one is in force.
const retryWithoutBundle = time.Second

// Apply binds a request to the bundle in force.
func (r *Resolver) Apply(_ context.Context, req *receiver.Request) (*Resolved, error) {
	state := r.source.Load()
	current := state.Current()
	if current == nil {
		return nil, classifier.NewUnavailable("no bundle is in force yet", classifier.RetryAfter(retryWithoutBundle))
	}
	route, err := resolve(current, req)
	if err != nil {
		return nil, err
	}
	if prepared := state.Prepared(); prepared != nil && !state.Informed() {
		if bundler.Differs(current, prepared, subject(route)) {
			return nil, classifier.NewWithheld(
				fmt.Sprintf("epoch %d may have replaced epoch %d, and they differ for this request", prepared.Epoch(), current.Epoch()),
				classifier.RetryAfter(retryWithoutBundle))
		}
	}
	return &Resolved{Request: req, snapshot: current, route: route}, nil
}

func resolve(s *bundler.Snapshot, req *receiver.Request) (Route, error) {
	switch t := req.Target().(type) {
	case *receiver.GenerationTarget:
		return resolveGeneration(s, req, t)
	case *receiver.ServiceTarget:
		return resolveService(s, t)
	default:
		return nil, classifier.NewInvalid("the request has no target")
	}
}

func resolveGeneration(s *bundler.Snapshot, req *receiver.Request, t *receiver.GenerationTarget) (Route, error) {
	adapter, ok := s.Adapter(t.Adapter())
	if !ok {
		return nil, classifier.NewNotOffered(fmt.Sprintf("adapter %q is not offered", t.Adapter()))
	}
	version := t.Version()
	if version == "" {
		f := req.Fingerprint()
		version, ok = adapter.Split(binary.BigEndian.Uint64(f[:8]))
		if !ok {
			return nil, classifier.NewInvalid(fmt.Sprintf("model %q names no version; it must be adapter@version", t.Adapter()))
		}
	}
	if !adapter.Offers(version) {
		return nil, classifier.NewNotOffered(fmt.Sprintf("version %q of adapter %q is not offered", version, t.Adapter()))
	}
	return &GenerationRoute{
		target:  t,
		model:   connector.NewModel(adapter.Base(), adapter.Name(), version),
		adapter: adapter,
		engines: s.Engines(adapter.Base()),
	}, nil
}

func resolveService(s *bundler.Snapshot, t *receiver.ServiceTarget) (Route, error) {
	svc, ok := s.Service(t.Service())
	if !ok {
		return nil, classifier.NewNotOffered(fmt.Sprintf("service %q is not offered", t.Service()))
	}
	call, ok := svc.Call(t.Method(), t.Path())
	if !ok {
		return nil, classifier.NewNotOffered(fmt.Sprintf("service %q has no call %s %s", t.Service(), t.Method(), t.Path()))
	}
	if !call.Idempotent() && t.Key() == "" {
		return nil, classifier.NewKeyMissing(fmt.Sprintf("call %s %s is not idempotent and needs an idempotency key", t.Method(), t.Path()))
	}
	return &ServiceRoute{target: t, call: call, service: svc}, nil
}

// subject names what bundles may state differently for a route.
func subject(r Route) bundler.Subject {
	switch r := r.(type) {
	case *GenerationRoute:
		return bundler.NewAdapterSubject(r.model.Adapter())
	case *ServiceRoute:
		return bundler.NewServiceSubject(r.service.Name())
	default:
		return nil
	}
}
