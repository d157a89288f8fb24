package deployer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/forwarder"
	"github.com/dragonflyford/dragonflyford/runner"
	"github.com/dragonflyford/dragonflyford/sleeper"
)

// localNetwork connects nodes in the same process.
type localNetwork struct {
	fleet *Fleet
	from  *Host
}

// Peer returns a client of the node that runs at an address at the time of each
// request.
func (n localNetwork) Peer(address string) forwarder.Peer {
	to := n.fleet.hostAt(address)
	if to == nil {
		return forwarder.NewLocal(absent{})
	}
	return forwarder.NewLocal(currentNode{host: to},
		forwarder.WithLatency(n.fleet.latency(n.from.region, to.region)),
		forwarder.WithNetworkFault(n.fleet.faultBetween(n.from, to)))
}

// currentNode forwards requests to the node that currently runs on a host.
type currentNode struct {
	host *Host
}

func (c currentNode) handler() forwarder.Handler {
	if node := c.host.node.Load(); node != nil {
		return node.Handler()
	}
	return absent{}
}

func (c currentNode) Run(ctx context.Context, engine string, job connector.Job) (connector.Stream, error) {
	s, err := c.handler().Run(ctx, engine, job)
	if err != nil {
		return nil, err
	}
	return &hostStream{Stream: s, process: c.host.processContext()}, nil
}

// hostStream is a stream that breaks when the process at its other end is killed.
type hostStream struct {
	connector.Stream
	process context.Context
}

// Next returns the next chunk. It fails once the process is killed.
func (h *hostStream) Next(ctx context.Context) (connector.Chunk, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(h.process, cancel)
	defer stop()
	c, err := h.Stream.Next(ctx)
	if h.process.Err() != nil {
		return connector.Chunk{}, fmt.Errorf("node was killed: %w: %w", connector.ErrBroken, connector.ErrOwnerLost)
	}
	return c, err
}

func (c currentNode) State(ctx context.Context, since uint64) (forwarder.State, error) {
	return c.handler().State(ctx, since)
}

func (c currentNode) Extend(ctx context.Context, from string) (forwarder.Extension, error) {
	return c.handler().Extend(ctx, from)
}

func (c currentNode) ReleaseEngine(ctx context.Context, engine string, token uint64) ([]connector.Model, error) {
	return c.handler().ReleaseEngine(ctx, engine, token)
}

func (c currentNode) LatestBundles(ctx context.Context) ([]byte, error) {
	return c.handler().LatestBundles(ctx)
}

func (c currentNode) BundlePart(ctx context.Context, hash []byte) ([]byte, error) {
	return c.handler().BundlePart(ctx, hash)
}

func (c currentNode) ApplyMarks(ctx context.Context, marks []byte) error {
	return c.handler().ApplyMarks(ctx, marks)
}

// absent refuses all requests, like a host on which no node runs.
type absent struct{}

func (absent) Run(context.Context, string, connector.Job) (connector.Stream, error) {
	return nil, connector.ErrRefused
}

func (absent) State(context.Context, uint64) (forwarder.State, error) {
	return forwarder.State{}, connector.ErrRefused
}

func (absent) Extend(context.Context, string) (forwarder.Extension, error) {
	return forwarder.Extension{}, connector.ErrRefused
}

func (absent) ReleaseEngine(context.Context, string, uint64) ([]connector.Model, error) {
	return nil, connector.ErrRefused
}

func (absent) LatestBundles(context.Context) ([]byte, error) { return nil, connector.ErrRefused }

func (absent) BundlePart(context.Context, []byte) ([]byte, error) { return nil, connector.ErrRefused }
func (absent) ApplyMarks(context.Context, []byte) error           { return connector.ErrRefused }

// socketNetwork connects nodes over loopback sockets and adds the latency
// between regions.
type socketNetwork struct {
	fleet *Fleet
	from  *Host
}

// Peer returns a drpc client with the latency between the regions.
func (n socketNetwork) Peer(address string) forwarder.Peer {
	p := forwarder.Dial(address)
	to := n.fleet.hostAt(address)
	if to == nil {
		return p
	}
	return &delayedPeer{Peer: p, latency: n.fleet.latency(n.from.region, to.region)}
}

// delayedPeer adds a one-way latency to jobs and to the start of their streams.
// Control messages are not delayed: they are not on the path of a request.
type delayedPeer struct {
	forwarder.Peer
	latency time.Duration
}

// Run starts a job after the latency.
func (d *delayedPeer) Run(ctx context.Context, engine string, job connector.Job) (connector.Stream, error) {
	if err := wait(ctx, d.latency); err != nil {
		return nil, err
	}
	s, err := d.Peer.Run(ctx, engine, job)
	if err != nil {
		return nil, err
	}
	return &delayedStream{Stream: s, latency: d.latency}, nil
}

// delayedStream is a stream whose first chunk is delayed.
type delayedStream struct {
	connector.Stream
	latency time.Duration
	begun   bool
}

// Next returns the next chunk.
func (l *delayedStream) Next(ctx context.Context) (connector.Chunk, error) {
	c, err := l.Stream.Next(ctx)
	if err == nil && !l.begun {
		l.begun = true
		err = wait(ctx, l.latency)
	}
	return c, err
}

func wait(ctx context.Context, d time.Duration) error {
	if err := sleeper.Sleep(ctx, d); err != nil {
		return fmt.Errorf("wait for the link latency: %w", err)
	}
	return nil
}

// endpoints connects a host to the fakes, with the latency between regions and
// the simulated network faults of the host.
type endpoints struct {
	fleet *Fleet
	from  *Host
}

// Engine returns a client of an engine.
func (e endpoints) Engine(of *bundler.EngineEndpoint) connector.Engine {
	var engine connector.Engine
	if e.fleet.server != nil {
		engine = connector.NewHTTPEngine(of.Address())
	} else {
		engine = e.fleet.deployment.Endpoint(of.Name()).Engine()
	}
	return e.from.endpointFault(of.Name()).Engine(e.delay(of.Region()).Engine(engine))
}

// Service returns a client of an instance of a service.
func (e endpoints) Service(of *bundler.ServiceEndpoint) connector.Service {
	var service connector.Service
	if e.fleet.server != nil {
		service = connector.NewHTTPService(of.Address())
	} else {
		service = e.fleet.deployment.Endpoint(of.Name()).Service()
	}
	return e.from.endpointFault(of.Name()).Service(e.delay(of.Region()).Service(service))
}

func (e endpoints) delay(region string) emulator.Delay {
	return e.fleet.deployment.Delay(e.from.region, region)
}

var _ runner.Endpoints = endpoints{}

// networkFaults holds the simulated network fault of each pair of hosts.
type networkFaults struct {
	mu    sync.Mutex
	pairs map[[2]string]*forwarder.NetworkFault
}

func (c *networkFaults) between(a, b string) *forwarder.NetworkFault {
	if a > b {
		a, b = b, a
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pairs[[2]string{a, b}] == nil {
		c.pairs[[2]string{a, b}] = forwarder.NewNetworkFault()
	}
	return c.pairs[[2]string{a, b}]
}
