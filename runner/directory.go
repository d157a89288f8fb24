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

// directory looks up the executors of engines and the clients of service
// instances for the dispatcher.
type directory struct {
	nodeName     string
	ownedEngines *ownedEngines
	peers        *peers
	endpoints    *endpointClients
}

// Executor returns the executor of an engine: its scheduler if this node owns it,
// and otherwise a client of the owner.
func (d *directory) Executor(engine, owner string) (dispatcher.Executor, error) {
	if owner == d.nodeName {
		return d.ownedEngines.find(engine)
	}
	p, err := d.peers.find(owner)
	if err != nil {
		return nil, err
	}
	return remoteExecutor{peer: p, engine: engine}, nil
}

// Service returns the client of a service instance.
func (d *directory) Service(endpoint string) (connector.Service, error) {
	return d.endpoints.service(endpoint)
}

// remoteExecutor forwards jobs to the node that owns the engine.
type remoteExecutor struct {
	peer   *peer
	engine string
}

// Run starts a job at the owner.
func (r remoteExecutor) Run(ctx context.Context, job connector.Job) (connector.Stream, error) {
	stream, err := r.peer.Run(ctx, r.engine, job)
	if err != nil {
		return nil, fmt.Errorf("run at node %q: %w", r.peer.member.Name(), err)
	}
	return stream, nil
}

// endpointClients caches one client for each pair of endpoint and address.
type endpointClients struct {
	factory Endpoints
	bundle  func() *publisher.State
	clients sync.Map // from endpointKey to connector.Engine or connector.Service
}

type endpointKey struct {
	name    string
	address string
}

func newEndpointClients(factory Endpoints, bundle func() *publisher.State) *endpointClients {
	return &endpointClients{factory: factory, bundle: bundle}
}

func (e *endpointClients) engine(endpoint *bundler.EngineEndpoint) connector.Engine {
	return clientFor(e, endpoint, func() connector.Engine { return e.factory.Engine(endpoint) })
}

func (e *endpointClients) service(name string) (connector.Service, error) {
	if current := e.bundle().Current(); current != nil {
		if found, ok := current.Endpoint(name); ok {
			if endpoint, ok := found.(*bundler.ServiceEndpoint); ok {
				return clientFor(e, endpoint, func() connector.Service { return e.factory.Service(endpoint) }), nil
			}
		}
	}
	// A request that was resolved with an earlier bundle may still need an instance
	// that the current bundle does not contain.
	var found connector.Service
	e.clients.Range(func(key, value any) bool {
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

// clientFor returns the client of an endpoint and creates it on first use.
func clientFor[T any](e *endpointClients, endpoint bundler.Endpoint, newClient func() T) T {
	key := endpointKey{name: endpoint.Name(), address: endpoint.Address()}
	if c, ok := e.clients.Load(key); ok {
		if typed, ok := c.(T); ok {
			return typed
		}
	}
	c := newClient()
	kept, loaded := e.clients.LoadOrStore(key, c)
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

// closeClient closes a client if it has a Close method.
func closeClient(c any) {
	switch c := c.(type) {
	case io.Closer:
		_ = c.Close()
	case interface{ Close() }:
		c.Close()
	}
}

func (e *endpointClients) close() {
	e.clients.Range(func(_, value any) bool {
		closeClient(value)
		return true
	})
}
