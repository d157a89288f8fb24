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
	"github.com/dragonflyford/dragonflyford/recorder"
)

// Route is the target that a request resolves to: a GenerationRoute or a
// ServiceRoute.
type Route interface{ route() }

// GenerationRoute is an adapter version with the engines that may run it.
type GenerationRoute struct {
	target  *receiver.GenerationTarget
	model   connector.Model
	adapter *bundler.Adapter
	engines []*bundler.EngineEndpoint
}

// Target returns the target that the caller requested.
func (r *GenerationRoute) Target() *receiver.GenerationTarget { return r.target }

// Model returns the adapter version.
func (r *GenerationRoute) Model() connector.Model { return r.model }

// Adapter returns the adapter's entry in the bundle.
func (r *GenerationRoute) Adapter() *bundler.Adapter { return r.adapter }

// Engines returns the engines of the base model. Some may be in a region where the
// adapter is not offered; see bundler.Adapter.OfferedIn.
func (r *GenerationRoute) Engines() []*bundler.EngineEndpoint { return r.engines }

// ServiceRoute is a call of a plain service with the instances that may run it.
type ServiceRoute struct {
	target  *receiver.ServiceTarget
	call    *bundler.ServiceCall
	service *bundler.Service
}

// Target returns the target that the caller requested.
func (r *ServiceRoute) Target() *receiver.ServiceTarget { return r.target }

// Call returns the call's entry in the bundle.
func (r *ServiceRoute) Call() *bundler.ServiceCall { return r.call }

// Service returns the service's entry in the bundle.
func (r *ServiceRoute) Service() *bundler.Service { return r.service }

func (*GenerationRoute) route() {}
func (*ServiceRoute) route()    {}

// Resolved is a request bound to a bundle epoch, which does not change until the
// request ends.
type Resolved struct {
	*receiver.Request
	snapshot *bundler.Snapshot
	route    Route
	// Route points to one of these, so that a request needs one allocation only.
	generation GenerationRoute
	service    ServiceRoute
}

// Snapshot returns the bundle that the request is bound to.
func (r *Resolved) Snapshot() *bundler.Snapshot { return r.snapshot }

// Route returns the route of the request.
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

// Source returns the bundle in force with a single atomic load.
type Source interface {
	Load() *publisher.State
}

// Resolver is the second stage of the request pipeline.
type Resolver struct {
	source Source
}

// New returns a resolver.
func New(source Source) *Resolver { return &Resolver{source: source} }

// retryWithoutBundle is how long a caller should wait for a node that has no bundle
// yet or cannot determine which one is in force.
const retryWithoutBundle = time.Second

// Apply binds a request to the bundle in force.
func (r *Resolver) Apply(ctx context.Context, req *receiver.Request) (*Resolved, error) {
	trail := recorder.From(ctx)
	resolved, err := r.resolve(trail, req)
	if err != nil {
		trail.Note(recorder.StageResolver, "refused", err.Error())
		return nil, err
	}
	return resolved, nil
}

func (r *Resolver) resolve(trail *recorder.Trail, req *receiver.Request) (*Resolved, error) {
	state := r.source.Load()
	current := state.Current()
	if current == nil {
		return nil, classifier.NewUnavailable("no bundle is in force yet", classifier.RetryAfter(retryWithoutBundle))
	}
	trail.SetEpoch(current.Epoch())
	resolved := &Resolved{Request: req, snapshot: current}
	if err := resolved.bind(trail); err != nil {
		return nil, err
	}
	if err := withheld(state, resolved.route); err != nil {
		return nil, err
	}
	return resolved, nil
}

// withheld returns an error if a prepared bundle may already be in force and differs
// from the current one for the route.
func withheld(state *publisher.State, route Route) error {
	current, prepared := state.Current(), state.Prepared()
	if prepared == nil || state.UpToDate() || !bundler.Differs(current, prepared, subject(route)) {
		return nil
	}
	return classifier.NewWithheld(
		fmt.Sprintf("epoch %d may have replaced epoch %d, and they differ for this request", prepared.Epoch(), current.Epoch()),
		classifier.RetryAfter(retryWithoutBundle))
}

// bind sets the route from the target of the request.
func (r *Resolved) bind(trail *recorder.Trail) error {
	switch t := r.Target().(type) {
	case *receiver.GenerationTarget:
		return r.bindGeneration(trail, t)
	case *receiver.ServiceTarget:
		return r.bindService(t)
	default:
		return classifier.NewInvalid("the request has no target")
	}
}

func (r *Resolved) bindGeneration(trail *recorder.Trail, t *receiver.GenerationTarget) error {
	adapter, ok := r.snapshot.Adapter(t.Adapter())
	if !ok {
		return classifier.NewNotOffered(fmt.Sprintf("adapter %q is not offered", t.Adapter()))
	}
	version := t.Version()
	if version == "" {
		f := r.Fingerprint()
		version, ok = adapter.PickVersion(binary.BigEndian.Uint64(f[:8]))
		if !ok {
			return classifier.NewInvalid(fmt.Sprintf("model %q names no version; it must be adapter@version", t.Adapter()))
		}
	}
	if !adapter.Offers(version) {
		return classifier.NewNotOffered(fmt.Sprintf("version %q of adapter %q is not offered", version, t.Adapter()))
	}
	r.generation = GenerationRoute{
		target:  t,
		model:   connector.NewModel(adapter.Base(), adapter.Name(), version),
		adapter: adapter,
		engines: r.snapshot.Engines(adapter.Base()),
	}
	r.route = &r.generation
	trail.SetModel(&r.generation.model)
	return nil
}

func (r *Resolved) bindService(t *receiver.ServiceTarget) error {
	svc, ok := r.snapshot.Service(t.Service())
	if !ok {
		return classifier.NewNotOffered(fmt.Sprintf("service %q is not offered", t.Service()))
	}
	call, ok := svc.Call(t.Method(), t.Path())
	if !ok {
		return classifier.NewNotOffered(fmt.Sprintf("service %q has no call %s %s", t.Service(), t.Method(), t.Path()))
	}
	if !call.Idempotent() && t.Key() == "" {
		return classifier.NewKeyMissing(fmt.Sprintf("call %s %s is not idempotent and needs an idempotency key", t.Method(), t.Path()))
	}
	r.service = ServiceRoute{target: t, call: call, service: svc}
	r.route = &r.service
	return nil
}

// subject returns the part of a bundle that affects a route.
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
