package deployer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"github.com/dragonflyford/dragonflyford/configurer"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/runner"
)

// Host is an entry host, on which one node at a time runs.
type Host struct {
	fleet         *Fleet
	name          string
	region        string
	callers       string
	peers         string
	platformFault *emulator.NetworkFault

	mu             sync.Mutex
	endpointFaults map[string]*emulator.NetworkFault
	process        context.Context // done when the node's process ends
	cancelProcess  context.CancelFunc
	serveErr       chan error // result of the node's Serve; only with sockets
	stopServe      context.CancelFunc

	node atomic.Pointer[runner.Node]
}

// Name returns the name of the host, which is also that of its node.
func (h *Host) Name() string { return h.name }

// Region returns the host's region.
func (h *Host) Region() string { return h.region }

// Address returns the address for callers.
func (h *Host) Address() string { return h.callers }

// Node returns the node that runs on the host, or nil.
func (h *Host) Node() *runner.Node { return h.node.Load() }

// PlatformFault returns the simulated network fault between the host and the
// platform.
func (h *Host) PlatformFault() *emulator.NetworkFault { return h.platformFault }

// processContext returns a context that ends when the node's process is killed.
func (h *Host) processContext() context.Context {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// ProcessContext returns a context that ends when the node's process is killed.
// Requests of callers that are connected to the node end with it.
func (h *Host) ProcessContext() context.Context { return h.processContext() }

// endpointFault returns the simulated network fault between the host and an
// endpoint.
func (h *Host) endpointFault(name string) *emulator.NetworkFault {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.endpointFaults[name] == nil {
		h.endpointFaults[name] = emulator.NewNetworkFault()
	}
	return h.endpointFaults[name]
}

// settings returns the settings of the host's node.
func (h *Host) settings() (*configurer.Node, error) {
	type object = map[string]any
	author, reviewer := h.fleet.operators.encodedKeys()
	src, err := json.Marshal(object{
		"node":     object{"name": h.name, "region": h.region, "data_centre": emulator.DataCentre(h.region)},
		"listen":   object{"callers": h.callers, "peers": h.peers},
		"platform": object{"table": h.fleet.platformURL, "objects": h.fleet.platformURL, "hosts": h.fleet.platformURL},
		"bundle": object{"keys": []object{
			{"name": authorKey, "public_key": author},
			{"name": reviewerKey, "public_key": reviewer},
		}},
		"entries": object{"ttl": "1s", "drain_grace": "2s"},
	})
	if err != nil {
		return nil, fmt.Errorf("encode settings of %s: %w", h.name, err)
	}
	s, err := configurer.ParseNode(src)
	if err != nil {
		return nil, fmt.Errorf("settings of %s: %w", h.name, err)
	}
	return s, nil
}

func (h *Host) environment() runner.Environment {
	d := h.fleet.deployment
	var network runner.Network = localNetwork{fleet: h.fleet, from: h}
	if h.fleet.server != nil {
		network = socketNetwork{fleet: h.fleet, from: h}
	}
	delay := emulator.NewDelay(platformLatency)
	return runner.NewEnvironment(
		h.platformFault.Table(delay.Table(d.Table())),
		h.platformFault.Objects(delay.Objects(d.Objects())),
		h.platformFault.Hosts(d.Hosts()),
		endpoints{fleet: h.fleet, from: h},
		network)
}

// Start starts a node on the host.
func (h *Host) Start(ctx context.Context) error {
	settings, err := h.settings()
	if err != nil {
		return err
	}
	h.fleet.deployment.Hosts().Set(h.name, emulator.HostLive)
	process, cancel := context.WithCancel(context.WithoutCancel(ctx))
	node := runner.New(settings, h.environment(), h.fleet.nodeOptions(h.name)...)
	h.mu.Lock()
	h.process, h.cancelProcess = process, cancel
	h.mu.Unlock()
	if h.fleet.server != nil {
		if err := h.serve(process, node, settings); err != nil {
			cancel()
			return err
		}
	}
	h.node.Store(node)
	return nil
}

// serve runs the node's listeners until the node is stopped.
func (h *Host) serve(process context.Context, node *runner.Node, settings *configurer.Node) error {
	l, err := runner.Listen(process, settings.Listen())
	if err != nil {
		node.Abandon()
		return fmt.Errorf("start %s: %w", h.name, err)
	}
	ctx, stop := context.WithCancel(process)
	served := make(chan error, 1)
	h.mu.Lock()
	h.stopServe, h.serveErr = stop, served
	h.mu.Unlock()
	go func() { served <- node.Serve(ctx, l) }()
	return nil
}

// Stop drains and stops the host's node.
func (h *Host) Stop(ctx context.Context) error {
	node := h.node.Load()
	if node == nil {
		return nil
	}
	err := h.drain(ctx, node)
	h.node.Store(nil)
	h.cancelProcess()
	if err != nil {
		node.Abandon() // otherwise it would go on renewing its lease
	}
	h.fleet.keepCounters(node)
	if err != nil {
		return fmt.Errorf("stop %s: %w", h.name, err)
	}
	return nil
}

func (h *Host) drain(ctx context.Context, node *runner.Node) error {
	if h.fleet.server != nil {
		h.stopServe()
		select {
		case err := <-h.serveErr:
			return err
		case <-ctx.Done():
			return fmt.Errorf("wait for the node: %w", ctx.Err())
		}
	}
	if err := node.Drain(ctx); err != nil {
		return err
	}
	return node.Close(ctx)
}

// Kill ends the host's node at once: its connections break, and its engines are
// not handed over. It returns when the node's goroutines have ended.
func (h *Host) Kill() {
	node := h.node.Swap(nil)
	if node == nil {
		return
	}
	h.Isolate()
	h.cancelProcess()
	node.Abandon()
	h.fleet.keepCounters(node)
	h.Reconnect()
}

// Isolate makes requests from the host to the platform and to all endpoints
// fail.
func (h *Host) Isolate() { h.eachFault((*emulator.NetworkFault).Refuse) }

// Freeze makes requests from the host to the platform and to all endpoints hang
// without an error, as those of a paused process do.
func (h *Host) Freeze() { h.eachFault((*emulator.NetworkFault).Hang) }

// Reconnect ends Isolate and Freeze.
func (h *Host) Reconnect() { h.eachFault((*emulator.NetworkFault).Restore) }

func (h *Host) eachFault(do func(*emulator.NetworkFault)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	do(h.platformFault)
	for _, f := range h.endpointFaults {
		do(f)
	}
}

// The ports of nodes are below those that the kernel assigns to outgoing
// connections, one of which could otherwise take a free port before the node
// listens.
const (
	firstPort = 22000
	portCount = 10000
)

var nextPort atomic.Uint32

// freePort returns a loopback address that is currently free. Each call returns
// another one, and different processes start at different ports.
func freePort(ctx context.Context) (string, error) {
	var lc net.ListenConfig
	var last error
	for range portCount {
		offset := (uint32(os.Getpid())*portSpacing + nextPort.Add(1)) % portCount
		l, err := lc.Listen(ctx, "tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+offset))
		if err != nil {
			last = err
			continue
		}
		address := l.Addr().String()
		if err := l.Close(); err != nil {
			return "", fmt.Errorf("free port %s: %w", address, err)
		}
		return address, nil
	}
	return "", fmt.Errorf("find a free port: %w", last)
}

// portSpacing is the distance between the first ports of processes with
// adjacent ids.
const portSpacing = 101
