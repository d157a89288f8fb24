package leaser_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/leaser"
	"github.com/dragonflyford/dragonflyford/storer"
)

const (
	lease = leaser.DefaultLease
	guard = leaser.DefaultGuard
	tick  = 50 * time.Millisecond // interval between checks of the fencing tokens
)

// cluster holds the nodes of one data centre and the table that they share.
type cluster struct {
	t       *testing.T
	table   *emulator.Table
	hosts   *emulator.HostList
	cancel  context.CancelFunc
	watcher sync.WaitGroup

	mu      sync.Mutex
	engines leaser.Engines
	nodes   []*node // every process ever started, including killed ones

	checkMu    sync.Mutex // guards tokens and violations; never held during a wait
	tokens     map[string]uint64
	violations []string
}

// node is one process of the cluster.
type node struct {
	*leaser.Leaser
	cluster      *cluster
	name         string
	networkFault *emulator.NetworkFault
	gate         *gate

	began    time.Time
	mu       sync.Mutex
	isolated bool // no peer can reach it
	killed   bool
}

func newCluster(t *testing.T, engines int, names ...string) *cluster {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{
		t: t, cancel: cancel, tokens: make(map[string]uint64),
		table: emulator.NewTable(emulator.WithLatency(5 * time.Millisecond)),
		hosts: emulator.NewHostList(emulator.WithLag(time.Second)),
	}
	var list []string
	for i := range engines {
		list = append(list, fmt.Sprintf("e%d", i))
	}
	c.engines = leaser.NewEngines(1, list)
	for _, name := range names {
		c.start(name)
	}
	c.watcher.Go(func() { c.watch(ctx) })
	return c
}

func (c *cluster) start(name string) *node {
	n := &node{cluster: c, name: name, networkFault: emulator.NewNetworkFault(), gate: newGate(), began: time.Now()}
	c.hosts.Set(name, emulator.HostLive)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes = append(c.nodes, n)
	id := leaser.NewIdentity(name, name+":1", name+":2", "lj", "lj1")
	n.Leaser = leaser.New(id, gatedTable{n.gate, n.networkFault.Table(c.table)}, gatedHosts{n.gate, n.networkFault.Hosts(c.hosts)},
		leaser.WithEngines(c.engineList), leaser.WithPeers(n), leaser.WithInstance(fmt.Sprint(len(c.nodes))))
	n.SetEpochs(1, 1)
	return n
}

func (c *cluster) engineList() leaser.Engines {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.engines
}

// close stops all nodes and fails the test for each recorded violation.
func (c *cluster) close() {
	for _, v := range c.stop() {
		c.t.Error(v)
	}
}

// stop stops all nodes and returns the recorded violations.
func (c *cluster) stop() []string {
	c.cancel()
	c.watcher.Wait()
	for _, n := range c.all() {
		n.gate.open()
		n.Abandon()
	}
	return c.violations
}

func (c *cluster) addViolation(format string, args ...any) {
	c.checkMu.Lock()
	defer c.checkMu.Unlock()
	c.recordViolation(format, args...)
}

func (c *cluster) all() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*node(nil), c.nodes...)
}

func (c *cluster) watch(ctx context.Context) {
	for {
		c.check()
		select {
		case <-time.After(tick):
		case <-ctx.Done():
			return
		}
	}
}

// check records a violation for each engine that two nodes may send orders to and
// for each token that decreases. Both the watching goroutine and the tests call
// it.
func (c *cluster) check() {
	nodes := c.all()
	c.checkMu.Lock()
	defer c.checkMu.Unlock()
	for _, engine := range engineNames() {
		holder := ""
		for _, n := range nodes {
			f, err := n.fence(engine)
			if err != nil {
				continue
			}
			if holder != "" {
				c.recordViolation("%s holds %s with token %d, and so does %s", n.ID(), engine, f, holder)
			}
			if f < c.tokens[engine] {
				c.recordViolation("%s holds %s with token %d after token %d", n.ID(), engine, f, c.tokens[engine])
			}
			holder, c.tokens[engine] = n.ID(), f
		}
	}
}

// recordViolation keeps the first three violations. The caller must hold checkMu.
func (c *cluster) recordViolation(format string, args ...any) {
	if len(c.violations) < 3 {
		c.violations = append(c.violations, fmt.Sprintf(format, args...))
	}
}

// holder returns the node that may send orders to an engine, or nil.
func (c *cluster) holder(engine string) *node {
	for _, n := range c.all() {
		if _, err := n.fence(engine); err == nil {
			return n
		}
	}
	return nil
}

// held returns the number of engines that each node may send orders to, by node
// name.
func (c *cluster) held() map[string]int {
	held := make(map[string]int)
	for _, e := range engineNames() {
		if n := c.holder(e); n != nil {
			held[n.name]++
		}
	}
	return held
}

func engineNames() []string {
	var names []string
	for i := range 10 {
		names = append(names, fmt.Sprintf("e%d", i))
	}
	return names
}

// waitUntil waits until ok returns true, for at most limit, and returns how
// long it took.
func (c *cluster) waitUntil(limit time.Duration, condition string, ok func() bool) time.Duration {
	c.t.Helper()
	began := time.Now()
	for !ok() {
		if time.Since(began) > limit {
			c.t.Fatalf("%s: not within %v; held: %v", condition, limit, c.held())
		}
		time.Sleep(tick)
	}
	return time.Since(began)
}

// allHeld returns a condition that is true when n engines have a holder.
func (c *cluster) allHeld(n int) func() bool {
	return func() bool {
		sum := 0
		for _, count := range c.held() {
			sum += count
		}
		return sum == n
	}
}

// fence returns the token with which the node may send orders to an engine, or
// an error if the process is killed or paused.
func (n *node) fence(engine string) (uint64, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.killed || n.gate.isClosed() || n.Leaser == nil {
		return 0, errors.New("the process does not run")
	}
	f, err := n.Engine(engine).Fence()
	return f.Token(), err
}

func (n *node) kill() {
	n.mu.Lock()
	n.killed = true
	n.mu.Unlock()
	n.gate.open()
	n.Abandon()
}

// isolate disconnects the node from its peers, or reconnects it.
func (n *node) isolate(isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated = isolated
}

func (n *node) reachable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.killed && !n.isolated
}

// Extend implements leaser.Peers with a direct call of the peer.
func (n *node) Extend(ctx context.Context, m leaser.Member, from string) (leaser.Grant, error) {
	if err := n.gate.pass(ctx); err != nil {
		return leaser.Grant{}, err
	}
	for _, p := range n.cluster.all() {
		if p.name != m.Name() || !p.reachable() || !n.reachable() {
			continue
		}
		if p.gate.isClosed() {
			<-ctx.Done()
			return leaser.Grant{}, ctx.Err()
		}
		g, _ := p.GrantExtension(from)
		time.Sleep(time.Millisecond)
		return g, n.gate.pass(ctx)
	}
	return leaser.Grant{}, errors.New("no such peer")
}

// gate simulates a paused process: while it is closed, requests and answers
// wait, whatever their deadlines.
type gate struct {
	mu     sync.Mutex
	closed chan struct{} // nil while the gate is open
}

func newGate() *gate { return &gate{} }

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == nil {
		g.closed = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

func (g *gate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed != nil
}

func (g *gate) pass(ctx context.Context) error {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed != nil {
		<-closed
	}
	return ctx.Err()
}

type gatedTable struct {
	gate *gate
	storer.Table
}

func (t gatedTable) Get(ctx context.Context, key string) (storer.Row, error) {
	_ = t.gate.pass(ctx)
	row, err := t.Table.Get(ctx, key)
	_ = t.gate.pass(ctx)
	return row, err
}

func (t gatedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	_ = t.gate.pass(ctx)
	rows, err := t.Table.Scan(ctx, prefix, after, limit)
	_ = t.gate.pass(ctx)
	return rows, err
}

// Commit delivers a write even if its sender was paused past the deadline,
// because the bytes may already have been in a socket buffer.
func (t gatedTable) Commit(ctx context.Context, writes ...storer.Write) error {
	if t.gate.isClosed() {
		_ = t.gate.pass(ctx)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
	}
	err := t.Table.Commit(ctx, writes...)
	_ = t.gate.pass(ctx)
	return err
}

type gatedHosts struct {
	gate *gate
	storer.Hosts
}

func (h gatedHosts) List(ctx context.Context) ([]storer.Host, error) {
	_ = h.gate.pass(ctx)
	hosts, err := h.Hosts.List(ctx)
	_ = h.gate.pass(ctx)
	return hosts, err
}
