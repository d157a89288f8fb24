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
	tick  = 50 * time.Millisecond // between checks of the fences
)

// rig is one data centre of nodes around one table.
type rig struct {
	t       *testing.T
	table   *emulator.Table
	hosts   *emulator.HostList
	cancel  context.CancelFunc
	watcher sync.WaitGroup

	mu      sync.Mutex
	engines leaser.Engines
	nodes   []*node // every process that was ever started

	checking sync.Mutex // never held during a wait
	tokens   map[string]uint64
	faults   []string
}

// node is one process.
type node struct {
	*leaser.Leaser
	rig  *rig
	name string
	cut  *emulator.Cut
	gate *gate

	began  time.Time
	mu     sync.Mutex
	apart  bool // no peer reaches it
	killed bool
}

func newRig(t *testing.T, engines int, names ...string) *rig {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	r := &rig{
		t: t, cancel: cancel, tokens: make(map[string]uint64),
		table: emulator.NewTable(emulator.WithLatency(5 * time.Millisecond)),
		hosts: emulator.NewHostList(emulator.WithLag(time.Second)),
	}
	var list []string
	for i := range engines {
		list = append(list, fmt.Sprintf("e%d", i))
	}
	r.engines = leaser.NewEngines(1, list)
	for _, name := range names {
		r.start(name)
	}
	r.watcher.Go(func() { r.watch(ctx) })
	return r
}

func (r *rig) start(name string) *node {
	n := &node{rig: r, name: name, cut: emulator.NewCut(), gate: newGate(), began: time.Now()}
	r.hosts.Set(name, emulator.HostLive)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = append(r.nodes, n)
	id := leaser.NewIdentity(name, name+":1", name+":2", "lj", "lj1")
	n.Leaser = leaser.New(id, gatedTable{n.gate, n.cut.Table(r.table)}, gatedHosts{n.gate, n.cut.Hosts(r.hosts)},
		leaser.WithEngines(r.list), leaser.WithPeers(n), leaser.WithInstance(fmt.Sprint(len(r.nodes))))
	n.SetEpochs(1, 1)
	return n
}

func (r *rig) list() leaser.Engines {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.engines
}

// close stops all nodes, and fails the test if a fence was held twice.
func (r *rig) close() {
	for _, f := range r.stop() {
		r.t.Error(f)
	}
}

// stop ends all nodes and returns what the checks found.
func (r *rig) stop() []string {
	r.cancel()
	r.watcher.Wait()
	for _, n := range r.all() {
		n.gate.open()
		n.Abandon()
	}
	return r.faults
}

func (r *rig) note(format string, args ...any) {
	r.checking.Lock()
	defer r.checking.Unlock()
	r.fault(format, args...)
}

func (r *rig) all() []*node {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*node(nil), r.nodes...)
}

func (r *rig) watch(ctx context.Context) {
	for {
		r.check()
		select {
		case <-time.After(tick):
		case <-ctx.Done():
			return
		}
	}
}

// check notes engines with two holders and tokens that fall. The watching
// goroutine and the test both call it.
func (r *rig) check() {
	nodes := r.all()
	r.checking.Lock()
	defer r.checking.Unlock()
	for _, engine := range engineNames() {
		holder := ""
		for _, n := range nodes {
			f, err := n.fence(engine)
			if err != nil {
				continue
			}
			if holder != "" {
				r.fault("%s holds %s with token %d, and so does %s", n.ID(), engine, f, holder)
			}
			if f < r.tokens[engine] {
				r.fault("%s holds %s with token %d after token %d", n.ID(), engine, f, r.tokens[engine])
			}
			holder, r.tokens[engine] = n.ID(), f
		}
	}
}

// fault records a finding. The caller holds checking.
func (r *rig) fault(format string, args ...any) {
	if len(r.faults) < 3 {
		r.faults = append(r.faults, fmt.Sprintf(format, args...))
	}
}

// holder returns the node that may order an engine.
func (r *rig) holder(engine string) *node {
	for _, n := range r.all() {
		if _, err := n.fence(engine); err == nil {
			return n
		}
	}
	return nil
}

// held returns how many engines each node may order.
func (r *rig) held() map[string]int {
	held := make(map[string]int)
	for _, e := range engineNames() {
		if n := r.holder(e); n != nil {
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

// until waits for a condition and returns how long it took.
func (r *rig) until(limit time.Duration, what string, ok func() bool) time.Duration {
	r.t.Helper()
	began := time.Now()
	for !ok() {
		if time.Since(began) > limit {
			r.t.Fatalf("%s: not within %v; held: %v", what, limit, r.held())
		}
		time.Sleep(tick)
	}
	return time.Since(began)
}

// allHeld reports whether every one of n engines has a holder.
func (r *rig) allHeld(n int) func() bool {
	return func() bool {
		sum := 0
		for _, count := range r.held() {
			sum += count
		}
		return sum == n
	}
}

// fence returns the token with which a running process may order an engine.
func (n *node) fence(engine string) (uint64, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.killed || n.gate.isShut() || n.Leaser == nil {
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

// isolate cuts the node off from its peers, or ends that.
func (n *node) isolate(apart bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.apart = apart
}

func (n *node) reachable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.killed && !n.apart
}

// Extend implements leaser.Peers over the address of the node.
func (n *node) Extend(ctx context.Context, m leaser.Member, from string) (leaser.Grant, error) {
	if err := n.gate.pass(ctx); err != nil {
		return leaser.Grant{}, err
	}
	for _, p := range n.rig.all() {
		if p.name != m.Name() || !p.reachable() || !n.reachable() {
			continue
		}
		if p.gate.isShut() {
			<-ctx.Done()
			return leaser.Grant{}, ctx.Err()
		}
		g, _ := p.GrantExtension(from)
		time.Sleep(time.Millisecond)
		return g, n.gate.pass(ctx)
	}
	return leaser.Grant{}, errors.New("no such peer")
}

// gate holds a paused process: requests and answers wait for its end, whatever
// their deadlines.
type gate struct {
	mu   sync.Mutex
	shut chan struct{} // nil while open
}

func newGate() *gate { return &gate{} }

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut == nil {
		g.shut = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut != nil {
		close(g.shut)
		g.shut = nil
	}
}

func (g *gate) isShut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut != nil
}

func (g *gate) pass(ctx context.Context) error {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut != nil {
		<-shut
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
// because the bytes may have been in a socket buffer.
func (t gatedTable) Commit(ctx context.Context, writes ...storer.Write) error {
	if t.gate.isShut() {
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
