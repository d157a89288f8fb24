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

// Endpoints creates clients of endpoints. A node calls it once for each pair of
// endpoint and address and uses the client concurrently.
type Endpoints interface {
	Engine(e *bundler.EngineEndpoint) connector.Engine
	Service(e *bundler.ServiceEndpoint) connector.Service
}

// Network creates clients of other nodes.
type Network interface {
	// Peer returns a client of the node at an address.
	Peer(address string) forwarder.Peer
}

// Environment holds the external dependencies of a node.
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

// HTTPEndpoints creates HTTP clients of endpoints.
type HTTPEndpoints struct{}

// Engine implements Endpoints.
func (HTTPEndpoints) Engine(e *bundler.EngineEndpoint) connector.Engine {
	return connector.NewHTTPEngine(e.Address())
}

// Service implements Endpoints.
func (HTTPEndpoints) Service(e *bundler.ServiceEndpoint) connector.Service {
	return connector.NewHTTPService(e.Address())
}

// RPCNetwork creates drpc clients of nodes.
type RPCNetwork struct{}

// Peer implements Network.
func (RPCNetwork) Peer(address string) forwarder.Peer { return forwarder.Dial(address) }

// controlTimeout is the timeout of a control request to a peer.
const controlTimeout = 2 * time.Second

// withTimeout runs a control request with controlTimeout. what describes the
// request in its error.
func withTimeout[T any](ctx context.Context, what string, f func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	v, err := f(ctx)
	if err != nil {
		return v, fmt.Errorf("%s: %w", what, err)
	}
	return v, nil
}
