package runner

import (
	"context"
	"fmt"
	"io"
	"sync"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/dispatcher"
	"github.com/dragonflyford/dragonflyford/publisher"
)

// directory finds schedulers, peers and service instances for the dispatcher.
type directory struct {
	self      string
	owners    *owners
	peers     *peers
	endpoints *endpoints
}

// Executor returns the way to an engine through its owner.
func (d *directory) Executor(engine, owner string) (dispatcher.Executor, error) {
	if owner == d.self {
		return d.owners.find(engine)
	}
	p, err := d.peers.find(owner)
	if err != nil {
		return nil, err
	}
	return remote{peer: p, engine: engine}, nil
}

// Service returns the way to an instance of a plain service.
func (d *directory) Service(endpoint string) (connector.Service, error) {
	return d.endpoints.service(endpoint)
}

// remote runs jobs through the node that owns the engine.
type remote struct {
	peer   *peer
	engine string
}

// Run starts a job at the owner.
func (r remote) Run(ctx context.Context, job connector.Job) (connector.Stream, error) {
	stream, err := r.peer.Run(ctx, r.engine, job)
	if err != nil {
		return nil, fmt.Errorf("run at node %q: %w", r.peer.member.Name(), err)
	}
	return stream, nil
}

// endpoints keeps one client for each endpoint and address.
type endpoints struct {
	source Endpoints
	bundle func() *publisher.State
	known  sync.Map // endpointKey to a client
}

type endpointKey struct {
	name    string
	address string
}

func newEndpoints(source Endpoints, bundle func() *publisher.State) *endpoints {
	return &endpoints{source: source, bundle: bundle}
}

func (e *endpoints) engine(of *bundler.EngineEndpoint) connector.Engine {
	return client(e, of, func() connector.Engine { return e.source.Engine(of) })
}

func (e *endpoints) service(name string) (connector.Service, error) {
	if current := e.bundle().Current(); current != nil {
		if found, ok := current.Endpoint(name); ok {
			if of, ok := found.(*bundler.ServiceEndpoint); ok {
				return client(e, of, func() connector.Service { return e.source.Service(of) }), nil
			}
		}
	}
	// A request that was resolved against an earlier bundle may still need an
	// instance that the bundle in force does not name.
	var found connector.Service
	e.known.Range(func(key, value any) bool {
		k, isKey := key.(endpointKey)
		svc, isService := value.(connector.Service)
		if isKey && isService && k.name == name {
			found = svc
		}
		return found == nil
	})
	if found == nil {
		return nil, fmt.Errorf("service endpoint %q is not in the bundle: %w", name, connector.ErrRefused)
	}
	return found, nil
}

// client returns the client of an endpoint and makes it on first use.
func client[T any](e *endpoints, of bundler.Endpoint, newClient func() T) T {
	key := endpointKey{name: of.Name(), address: of.Address()}
	if c, ok := e.known.Load(key); ok {
		if typed, ok := c.(T); ok {
			return typed
		}
	}
	c := newClient()
	kept, loaded := e.known.LoadOrStore(key, c)
	if !loaded {
		return c
	}
	closeClient(c)
	typed, ok := kept.(T)
	if !ok {
		return c
	}
	return typed
}

// closeClient drops the connections of a client that keeps any.
func closeClient(c any) {
	switch c := c.(type) {
	case io.Closer:
		_ = c.Close()
	case interface{ Close() }:
		c.Close()
	}
}

func (e *endpoints) close() {
	e.known.Range(func(_, value any) bool {
		closeClient(value)
		return true
	})
}
