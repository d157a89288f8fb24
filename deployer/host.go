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

// Host is an entry host: a place where one node after the other runs.
type Host struct {
	fleet    *Fleet
	name     string
	region   string
	callers  string
	peers    string
	platform *emulator.NetworkFault

	mu        sync.Mutex
	endpoints map[string]*emulator.NetworkFault
	life      context.Context // ends with the node's process
	kill      context.CancelFunc
	served    chan error // the end of the node's Serve; only with sockets
	stop      context.CancelFunc

	node atomic.Pointer[runner.Node]
}

// Name returns the name of the host, which is also that of its node.
func (h *Host) Name() string { return h.name }

// Region returns the host's region.
func (h *Host) Region() string { return h.region }

// Address returns where callers connect to.
func (h *Host) Address() string { return h.callers }

// Node returns the node that runs on the host, or nil.
func (h *Host) Node() *runner.Node { return h.node.Load() }

// PlatformFault returns the switch between the host and the platform.
func (h *Host) PlatformFault() *emulator.NetworkFault { return h.platform }

// death returns a context that ends when the node's process is killed.
func (h *Host) death() context.Context {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.life
}

// ProcessContext returns a context that ends when the node's process is killed. Requests
// of callers that are connected to the node end with it.
func (h *Host) ProcessContext() context.Context { return h.death() }

// endpointCut returns the switch between the host and an endpoint.
func (h *Host) endpointCut(name string) *emulator.NetworkFault {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.endpoints[name] == nil {
		h.endpoints[name] = emulator.NewNetworkFault()
	}
	return h.endpoints[name]
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
	if h.fleet.running != nil {
		network = socketNetwork{fleet: h.fleet, from: h}
	}
	delay := emulator.NewDelay(platformLatency)
	return runner.NewEnvironment(
		h.platform.Table(delay.Table(d.Table())),
		h.platform.Objects(delay.Objects(d.Objects())),
		h.platform.Hosts(d.Hosts()),
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
	life, kill := context.WithCancel(context.WithoutCancel(ctx))
	node := runner.New(settings, h.environment(), h.fleet.nodeOptions(h.name)...)
	h.mu.Lock()
	h.life, h.kill = life, kill
	h.mu.Unlock()
	if h.fleet.running != nil {
		if err := h.serve(life, node, settings); err != nil {
			kill()
			return err
		}
	}
	h.node.Store(node)
	return nil
}

// serve runs the node's listeners until the node is stopped.
func (h *Host) serve(life context.Context, node *runner.Node, settings *configurer.Node) error {
	l, err := runner.Listen(life, settings.Listen())
	if err != nil {
		node.Abandon()
		return fmt.Errorf("start %s: %w", h.name, err)
	}
	ctx, stop := context.WithCancel(life)
	served := make(chan error, 1)
	h.mu.Lock()
	h.stop, h.served = stop, served
	h.mu.Unlock()
	go func() { served <- node.Serve(ctx, l) }()
	return nil
}

// Stop ends the host's node by a planned stop.
func (h *Host) Stop(ctx context.Context) error {
	node := h.node.Load()
	if node == nil {
		return nil
	}
	err := h.drain(ctx, node)
	h.node.Store(nil)
	h.kill()
	if err != nil {
		node.Abandon() // it would go on renewing its lease
	}
	h.fleet.retire(node)
	if err != nil {
		return fmt.Errorf("stop %s: %w", h.name, err)
	}
	return nil
}

func (h *Host) drain(ctx context.Context, node *runner.Node) error {
	if h.fleet.running != nil {
		h.stop()
		select {
		case err := <-h.served:
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

// Kill ends the host's node at once: its connections break, nothing is handed
// over. It returns when the process's goroutines are gone.
func (h *Host) Kill() {
	node := h.node.Swap(nil)
	if node == nil {
		return
	}
	h.Isolate()
	h.kill()
	node.Abandon()
	h.fleet.retire(node)
	h.Reconnect()
}

// Isolate cuts the host off from the platform and from all endpoints.
func (h *Host) Isolate() { h.eachCut((*emulator.NetworkFault).Refuse) }

// Freeze lets nothing through between the host and anything else, without an
// error, as a paused process does.
func (h *Host) Freeze() { h.eachCut((*emulator.NetworkFault).Hang) }

// Reconnect ends Isolate and Freeze.
func (h *Host) Reconnect() { h.eachCut((*emulator.NetworkFault).Restore) }

func (h *Host) eachCut(do func(*emulator.NetworkFault)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	do(h.platform)
	for _, c := range h.endpoints {
		do(c)
	}
}

// Ports of nodes are below those that the kernel gives to outgoing connections, one
// of which could otherwise take a free port before the node listens.
const (
	firstPort = 22000
	ports     = 10000
)

var nextPort atomic.Uint32

// freePort returns a loopback address that is free at the moment. Each call returns
// another one, and processes start at different ones.
func freePort(ctx context.Context) (string, error) {
	var lc net.ListenConfig
	var last error
	for range ports {
		offset := (uint32(os.Getpid())*spacing + nextPort.Add(1)) % ports
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

// spacing is how many ports lie between the first ones of processes with adjacent
// ids.
const spacing = 101
