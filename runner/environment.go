package runner

import (
	"context"
	"fmt"
	"time"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/forwarder"
	"github.com/dragonflyford/dragonflyford/storer"
)

// Endpoints gives the way to endpoints. It is asked once for each endpoint and
// address; what it returns is used by many requests at a time.
type Endpoints interface {
	Engine(e *bundler.EngineEndpoint) connector.Engine
	Service(e *bundler.ServiceEndpoint) connector.Service
}

// Network gives the way to other nodes.
type Network interface {
	// Peer returns the way to the node at an address.
	Peer(address string) forwarder.Peer
}

// Environment is everything outside a node that it talks to.
type Environment struct {
	table     storer.Table
	objects   storer.Objects
	hosts     storer.Hosts
	endpoints Endpoints
	network   Network
}

// NewEnvironment returns an environment.
func NewEnvironment(table storer.Table, objects storer.Objects, hosts storer.Hosts, endpoints Endpoints, network Network) Environment {
	return Environment{table: table, objects: objects, hosts: hosts, endpoints: endpoints, network: network}
}

// HTTPEndpoints reaches endpoints over HTTP.
type HTTPEndpoints struct{}

// Engine returns a client of the engine.
func (HTTPEndpoints) Engine(e *bundler.EngineEndpoint) connector.Engine {
	return connector.NewHTTPEngine(e.Address())
}

// Service returns a client of the instance.
func (HTTPEndpoints) Service(e *bundler.ServiceEndpoint) connector.Service {
	return connector.NewHTTPService(e.Address())
}

// RPCNetwork reaches nodes over drpc.
type RPCNetwork struct{}

// Peer returns a client of the node.
func (RPCNetwork) Peer(address string) forwarder.Peer { return forwarder.Dial(address) }

// platformTimeout bounds one control request to the platform or a peer.
const platformTimeout = 2 * time.Second

// within runs a control request under the platform timeout.
func within[T any](ctx context.Context, what string, f func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	v, err := f(ctx)
	if err != nil {
		return v, fmt.Errorf("%s: %w", what, err)
	}
	return v, nil
}
