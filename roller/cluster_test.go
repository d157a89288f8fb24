package roller_test

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/publisher"
	"github.com/dragonflyford/dragonflyford/roller"
	"github.com/dragonflyford/dragonflyford/storer"
	"github.com/dragonflyford/dragonflyford/watcher"
)

const (
	leaseTime    = 6 * time.Second
	inForceLimit = 6 * time.Second // design target for a bundle to reach all nodes
)

var regions = []string{"lj", "mb", "kp"}

// cluster is a deployment with two nodes per region that share one table and
// one object store.
type cluster struct {
	t        *testing.T
	table    *emulator.Table
	objects  *emulator.Objects
	author   ed25519.PrivateKey
	reviewer ed25519.PrivateKey
	keys     bundler.Keys
	asserts  *asserter.Asserter
	mu       sync.Mutex
	nodes    []*node
}

type node struct {
	cluster        *cluster
	name           string
	region         string
	networkFault   *emulator.NetworkFault
	disconnectedAt atomic.Pointer[time.Time]
	process        atomic.Pointer[process]
	inForce        atomic.Uint64
	prepared       atomic.Uint64
	failures       atomic.Int64
}

// process is the part of a node that a restart replaces.
type process struct {
	publisher *publisher.Publisher
	watcher   *watcher.Watcher
}

func (n *node) bundles() *publisher.Publisher { return n.process.Load().publisher }
func (n *node) watcher() *watcher.Watcher     { return n.process.Load().watcher }

func newCluster(t *testing.T) *cluster {
	t.Helper()
	authorKey, author, _ := ed25519.GenerateKey(nil)
	reviewerKey, reviewer, _ := ed25519.GenerateKey(nil)
	c := &cluster{
		t: t, table: emulator.NewTable(emulator.WithLatency(10 * time.Millisecond)),
		objects: emulator.NewObjects(emulator.WithLatency(10 * time.Millisecond)),
		author:  author, reviewer: reviewer,
		keys:    bundler.NewKeys(map[string]ed25519.PublicKey{"a": authorKey, "r": reviewerKey}),
		asserts: asserter.New(func(v asserter.Violation) { t.Error(v) }),
	}
	for _, region := range regions {
		c.start(region+"-1", region)
		c.start(region+"-2", region)
	}
	t.Cleanup(func() {
		for _, n := range c.all() {
			n.watcher().Close()
		}
	})
	return c
}

func (c *cluster) all() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*node(nil), c.nodes...)
}

// start adds a node that has no bundle.
func (c *cluster) start(name, region string) *node {
	n := &node{cluster: c, name: name, region: region, networkFault: emulator.NewNetworkFault()}
	n.run(n.networkFault.Table(c.table))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes = append(c.nodes, n)
	return n
}

func (n *node) run(table storer.Table) {
	c := n.cluster
	bundles := publisher.New(publisher.WithAsserter(c.asserts), publisher.WithMaxContactAge(publisher.MaxContactAge))
	w := watcher.New(table, n.networkFault.Objects(c.objects), peers{n}, c.keys, bundles,
		watcher.WithErrorHandler(func(watcher.Failure) { n.failures.Add(1) }),
		watcher.WithEpochs(func(inForce, prepared uint64) {
			n.inForce.Store(inForce)
			n.prepared.Store(prepared)
		}))
	n.process.Store(&process{publisher: bundles, watcher: w})
}

// restart replaces the node's process by one that has no bundle.
func (n *node) restart() {
	n.watcher().Close()
	n.inForce.Store(0)
	n.prepared.Store(0)
	n.run(n.networkFault.Table(n.cluster.table))
}

func (n *node) disconnect() {
	if n.disconnectedAt.Load() != nil {
		return
	}
	now := time.Now()
	n.disconnectedAt.Store(&now)
	n.networkFault.Refuse()
}

func (n *node) reconnect() {
	n.disconnectedAt.Store(nil)
	n.networkFault.Restore()
}

func (n *node) live() bool {
	at := n.disconnectedAt.Load()
	return at == nil || time.Since(*at) < leaseTime
}

// epoch returns the epoch that the node serves, or 0.
func (n *node) epoch() uint64 {
	if s := n.bundles().Load().Current(); s != nil {
		return s.Epoch()
	}
	return 0
}

// List implements roller.Nodes with the epochs and leases of the test's nodes.
func (c *cluster) List(context.Context) ([]roller.Node, error) {
	var list []roller.Node
	for _, n := range c.all() {
		list = append(list, roller.NewNode(n.name, n.region, n.prepared.Load(), n.inForce.Load(), n.live()))
	}
	return list, nil
}

// peers gives a node's watcher access to the other nodes that it can reach.
type peers struct{ node *node }

func (p peers) reachable() []*node {
	var reachable []*node
	for _, n := range p.node.cluster.all() {
		if n != p.node && n.process.Load() != nil && n.disconnectedAt.Load() == nil && p.node.disconnectedAt.Load() == nil {
			reachable = append(reachable, n)
		}
	}
	return reachable
}

func (p peers) Latest(context.Context) ([]watcher.Latest, error) {
	var all []watcher.Latest
	for _, n := range p.reachable() {
		encoded, err := n.watcher().Latest().Encode()
		if err != nil {
			return nil, err
		}
		l, err := watcher.DecodeLatest(encoded)
		if err != nil {
			return nil, err
		}
		all = append(all, l)
	}
	return all, nil
}

func (p peers) Part(_ context.Context, h bundler.Hash) ([]byte, error) {
	for _, n := range p.reachable() {
		if b, ok := n.watcher().Part(h); ok {
			return b, nil
		}
	}
	return nil, storer.ErrNotFound
}

// document returns the example bundle with the given bundle version and the
// given version of one adapter.
func document(t *testing.T, version, adapterVersion string) *bundler.Content {
	t.Helper()
	text, err := os.ReadFile("../docs/bundle.example.json")
	if err != nil {
		t.Fatal(err)
	}
	s := strings.Replace(string(text), "2026-12-04.1", version, 1)
	s = strings.Replace(s, `["v3"]`, fmt.Sprintf("[%q]", adapterVersion), 1)
	doc, err := bundler.Parse([]byte(s))
	if err != nil {
		t.Fatal(err)
	}
	content, err := bundler.Split(doc)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

func (c *cluster) plan(version string) roller.Plan {
	content := document(c.t, version, version)
	m := content.Manifest()
	signed := bundler.NewSigned(m, bundler.Sign(bundler.RoleAuthor, "a", c.author, m), bundler.Sign(bundler.RoleReviewer, "r", c.reviewer, m))
	return roller.NewPlan(signed, content.Part)
}

func (c *cluster) operator(name string, options ...roller.Option) *roller.Roller {
	return c.operatorWithTable(c.table, name, options...)
}

func (c *cluster) operatorWithTable(table storer.Table, name string, options ...roller.Option) *roller.Roller {
	options = append([]roller.Option{roller.WithTimeout(10 * time.Second)}, options...)
	return roller.New(table, c.objects, c, c.keys, name, options...)
}

// mustRollOut rolls out a bundle and returns its record. It fails the test
// unless the bundle is accepted.
func (c *cluster) mustRollOut(version string) bundler.Record {
	c.t.Helper()
	began := time.Now()
	result, err := c.operator("ana").RollOut(c.t.Context(), c.plan(version))
	c.t.Logf("roll-out of %s took %s of virtual time", version, time.Since(began))
	accepted, ok := result.(roller.Accepted)
	if err != nil || !ok {
		c.t.Fatalf("roll-out of %s: %v, %v", version, result, err)
	}
	return accepted.Record()
}

// mustServe fails the test unless all nodes serve the epoch within the design
// target.
func (c *cluster) mustServe(epoch uint64) {
	c.t.Helper()
	began := time.Now()
	for _, n := range c.all() {
		for n.epoch() != epoch {
			if time.Since(began) > inForceLimit {
				c.t.Fatalf("node %s serves epoch %d after %s, want %d", n.name, n.epoch(), inForceLimit, epoch)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	c.t.Logf("epoch %d in force everywhere after %s of virtual time", epoch, time.Since(began))
}

// faultyTable is a table on which chosen commits fail or are delayed.
type faultyTable struct {
	storer.Table
	commits int
	faults  map[int]func(apply func() error) error // by sequence number of the commit, from 1
}

func (f *faultyTable) Commit(ctx context.Context, writes ...storer.Write) error {
	f.commits++
	apply := func() error { return f.Table.Commit(ctx, writes...) }
	if fault, ok := f.faults[f.commits]; ok {
		return fault(apply)
	}
	return apply()
}
