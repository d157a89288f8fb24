package deployer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/forwarder"
	"github.com/dragonflyford/dragonflyford/roller"
	"github.com/dragonflyford/dragonflyford/runner"
)

const (
	// platformLatency is the one-way latency between nodes and the platform, as
	// to a neighbouring data centre.
	platformLatency = time.Millisecond
	// defaultNodesPerRegion gives six entry hosts in three regions.
	defaultNodesPerRegion = 2
)

// Option sets an optional property of a Fleet.
type Option func(*Fleet)

// WithSockets makes nodes and endpoints communicate over loopback sockets.
func WithSockets() Option { return func(f *Fleet) { f.sockets = true } }

// WithAsserter makes all nodes record violations of invariants in a.
func WithAsserter(a *asserter.Asserter) Option { return func(f *Fleet) { f.asserts = a } }

// WithNodeOptions adds options to each node; the function receives the node's
// name.
func WithNodeOptions(options func(name string) []runner.Option) Option {
	return func(f *Fleet) { f.options = options }
}

// WithNodesPerRegion sets the number of hosts in each region; the default is two.
func WithNodesPerRegion(n int) Option { return func(f *Fleet) { f.perRegion = n } }

// Fleet is a deployment in one process.
type Fleet struct {
	deployment  *emulator.Deployment
	perRegion   int
	sockets     bool
	server      *emulator.Server // only with sockets
	platformURL string
	asserts     *asserter.Asserter
	options     func(name string) []runner.Option
	operators   operators
	faults      networkFaults
	hosts       []*Host

	mu          sync.Mutex
	crossRegion int64 // cross-region bytes of nodes that have stopped
	dropped     int64
}

// New prepares a deployment with the same number of hosts in each region. The
// operators' keys are derived from the seed.
func New(ctx context.Context, d *emulator.Deployment, seed uint64, opts ...Option) (*Fleet, error) {
	f := &Fleet{
		deployment:  d,
		perRegion:   defaultNodesPerRegion,
		platformURL: "http://127.0.0.1:1", // not used without sockets
		asserts:     asserter.New(nil),
		options:     func(string) []runner.Option { return nil },
		operators:   newOperators(seed),
		faults:      networkFaults{pairs: make(map[[2]string]*forwarder.NetworkFault)},
	}
	for _, opt := range opts {
		opt(f)
	}
	if f.sockets {
		server, err := d.Serve(ctx)
		if err != nil {
			return nil, fmt.Errorf("serve the fakes: %w", err)
		}
		f.server, f.platformURL = server, "http://"+server.PlatformAddress()
	}
	for _, region := range d.Regions() {
		for i := range f.perRegion {
			if err := f.addHost(ctx, region, i); err != nil {
				return nil, err
			}
		}
	}
	return f, nil
}

func (f *Fleet) addHost(ctx context.Context, region string, i int) error {
	n := len(f.hosts)
	h := &Host{
		fleet:          f,
		name:           fmt.Sprintf("%s-entry-%d", region, i+1),
		region:         region,
		platformFault:  emulator.NewNetworkFault(),
		endpointFaults: make(map[string]*emulator.NetworkFault),
		callers:        fmt.Sprintf("127.0.0.1:%d", 8100+n),
		peers:          fmt.Sprintf("127.0.0.1:%d", 9100+n),
	}
	if f.sockets {
		var err error
		if h.callers, err = freePort(ctx); err != nil {
			return err
		}
		if h.peers, err = freePort(ctx); err != nil {
			return err
		}
	}
	f.hosts = append(f.hosts, h)
	return nil
}

// startTimeout limits the start of a deployment.
const startTimeout = 30 * time.Second

// Start starts a node on every host, rolls the first bundle out and waits until
// every node serves it and every engine has an owner.
func (f *Fleet) Start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, h := range f.hosts {
		if err := h.Start(ctx); err != nil {
			return err
		}
	}
	if err := f.waitFor(ctx, "leases", func() bool { return f.allLeased(ctx) }); err != nil {
		return err
	}
	result, err := f.RollOut(ctx, "operator-1", f.deployment.Bundle("1", f.address()))
	if err != nil {
		return fmt.Errorf("roll the first bundle out: %w", err)
	}
	if _, accepted := result.(roller.Accepted); !accepted {
		return fmt.Errorf("roll the first bundle out: %v", result)
	}
	if err := f.waitFor(ctx, "the bundle on all nodes", f.allServing); err != nil {
		return err
	}
	return f.waitFor(ctx, "owners of all engines", f.AllEnginesOwned)
}

// allServing reports whether every node has a bundle in force.
func (f *Fleet) allServing() bool {
	for _, h := range f.hosts {
		if node := h.node.Load(); node == nil || node.Bundles().Load().Current() == nil {
			return false
		}
	}
	return true
}

func (f *Fleet) address() func(string) string {
	if f.server == nil {
		return nil
	}
	return f.server.Address
}

func (f *Fleet) allLeased(ctx context.Context) bool {
	rows, err := f.deployment.Table().Scan(ctx, "node/", "", len(f.hosts))
	return err == nil && len(rows) == len(f.hosts)
}

// AllEnginesOwned reports whether every engine has an owner.
func (f *Fleet) AllEnginesOwned() bool {
	engines, owned := 0, 0
	for _, e := range f.deployment.Endpoints() {
		if e.Engine() != nil {
			engines++
		}
	}
	for _, h := range f.hosts {
		if node := h.node.Load(); node != nil {
			owned += len(node.Owned())
		}
	}
	return owned == engines
}

const pollInterval = 50 * time.Millisecond

func (f *Fleet) waitFor(ctx context.Context, what string, holds func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", what, ctx.Err())
		}
	}
	return nil
}

// Hosts returns all hosts.
func (f *Fleet) Hosts() []*Host { return slices.Clone(f.hosts) }

// Deployment returns the fakes.
func (f *Fleet) Deployment() *emulator.Deployment { return f.deployment }

// NetworkFault returns the simulated network fault between two hosts. It works
// in process only.
func (f *Fleet) NetworkFault(a, b *Host) *forwarder.NetworkFault { return f.faultBetween(a, b) }

func (f *Fleet) faultBetween(a, b *Host) *forwarder.NetworkFault {
	return f.faults.between(a.name, b.name)
}

func (f *Fleet) hostAt(address string) *Host {
	for _, h := range f.hosts {
		if h.peers == address {
			return h
		}
	}
	return nil
}

func (f *Fleet) latency(from, to string) time.Duration {
	if from == to {
		return 0
	}
	return regionLatency
}

// regionLatency is the one-way latency between regions.
const regionLatency = 20 * time.Millisecond

func (f *Fleet) nodeOptions(name string) []runner.Option {
	return append([]runner.Option{runner.WithAsserter(f.asserts)}, f.options(name)...)
}

// keepCounters adds the counters of a stopped node to those of the fleet.
func (f *Fleet) keepCounters(node *runner.Node) {
	_, crossed := node.Transferred()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crossRegion += crossed
	f.dropped += node.Dropped()
}

// CrossRegionBytes returns the bytes that nodes exchanged across regions. Each
// byte is counted at one end only.
func (f *Fleet) CrossRegionBytes() int64 {
	f.mu.Lock()
	total := f.crossRegion
	f.mu.Unlock()
	for _, h := range f.hosts {
		if node := h.node.Load(); node != nil {
			_, crossed := node.Transferred()
			total += crossed
		}
	}
	return total
}

// Close drains and stops all nodes, and then closes the fakes.
func (f *Fleet) Close(ctx context.Context) error {
	errs := make([]error, len(f.hosts))
	var stops sync.WaitGroup
	for i, h := range f.hosts {
		stops.Go(func() { errs[i] = h.Stop(ctx) })
	}
	stops.Wait()
	if f.server != nil {
		f.server.Close()
	}
	f.deployment.Close()
	return errors.Join(errs...)
}
