package trial_test

import (
	"context"
	"flag"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/deployer"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/leaser"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/responder"
	"github.com/dragonflyford/dragonflyford/storer"
)

var slopes = flag.Bool("slopes", false, "measure control costs against the number of nodes, up to 48 nodes")

const (
	slopeTime     = 30 * time.Second // virtual
	discoveryTime = 5 * time.Second  // until nodes have discovered each other
	slopeRate     = 5                // requests per second and node under load
	slopeTokens   = 20               // tokens per request
	slopeAdapters = 300
)

// Size of the design target, and limits of the control traffic at that size. The
// table allows 2,000 reads and 500 writes per second for 560 nodes; claims need 200
// of the writes.
const (
	targetNodes       = 560
	targetRegions     = 8
	targetDataCentres = 29
	readsPerSecond    = 2000.0
	writesPerSecond   = 500.0 - 200.0
	controlBytes      = 7000.0 // per second and node
)

// cost is the load that one node causes, per second except for heap.
type cost struct {
	reads, commits, rowsRead, bytesRead, peerBytes, cpu float64
	heap                                                float64 // bytes, at the end of the run
}

func (c cost) values() []float64 {
	return []float64{c.reads, c.commits, c.rowsRead, c.bytesRead, c.peerBytes, c.cpu * 1e6, c.heap / 1e3}
}

var costNames = []string{"table reads/s", "table commits/s", "rows read/s", "table B read/s", "peer B/s", "processor µs/s", "heap kB"}

func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// measureNodes runs a deployment in virtual time and returns the mean cost of a node.
// Phantoms are simulated members that only renew their lease rows, in data centres
// of their own; requests to them reach a real node.
func measureNodes(t *testing.T, perRegion, phantoms int, load bool) cost {
	t.Helper()
	var c cost
	before := heapBytes()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		d, err := emulator.NewDeployment(emulator.Clearing, emulator.WithAdapters(slopeAdapters))
		is.NoErr(err)
		asserts := asserter.New(func(v asserter.Violation) { t.Error(v) })
		f, err := deployer.New(ctx, d, 1, deployer.WithAsserter(asserts), deployer.WithNodesPerRegion(perRegion))
		is.NoErr(err)
		is.NoErr(f.Start(ctx))
		renewed := startPhantoms(t, d.Table(), phantoms)
		time.Sleep(discoveryTime)
		renewals := renewed.Load()
		table, peers, processor := d.Table().Counters(), peerTraffic(f), processorTime(t)
		if load {
			sendLoad(ctx, t, f)
		} else {
			time.Sleep(slopeTime)
		}
		after := d.Table().Counters()
		n := float64(len(f.Hosts()))
		perNode := func(total float64) float64 { return total / n / slopeTime.Seconds() }
		c = cost{
			reads:     perNode(float64(after.Reads() - table.Reads())),
			commits:   perNode(float64(after.Commits()-table.Commits()) - float64(renewed.Load()-renewals)),
			rowsRead:  perNode(float64(after.RowsRead() - table.RowsRead())),
			bytesRead: perNode(float64(after.BytesRead() - table.BytesRead())),
			peerBytes: perNode(float64(peerTraffic(f) - peers)),
			cpu:       perNode((processorTime(t) - processor).Seconds()),
		}
		c.heap = (heapBytes() - before) / n
		// The nodes are killed because a planned stop of all nodes of a data centre
		// finds no node to hand the engines over to.
		for _, h := range f.Hosts() {
			h.Kill()
		}
		is.NoErr(f.Close(ctx))
	})
	return c
}

// Keys of the lease row fields that a phantom's row changes or omits.
const (
	rowInstance   = 1
	rowRegion     = 6
	rowDataCentre = 7
	rowAssignment = 12
)

// startPhantoms adds n phantoms and renews all their rows in one commit per
// interval until the test ends. The returned counter holds the number of commits.
func startPhantoms(t *testing.T, table *emulator.Table, n int) *atomic.Int64 {
	t.Helper()
	var commits atomic.Int64
	if n == 0 {
		return &commits
	}
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	rows, err := storer.GetAll(ctx, table, "node/")
	is.NoErr(err)
	var fields map[int]any
	is.NoErr(cbor.Unmarshal(rows[0].Value(), &fields))
	delete(fields, rowAssignment)
	renew := func(version storer.Version) error {
		writes := make([]storer.Write, 0, n)
		for i := range n {
			dc := i % targetDataCentres
			fields[rowInstance] = fmt.Sprintf("phantom-%d", i)
			fields[rowRegion], fields[rowDataCentre] = fmt.Sprintf("r%d", dc%targetRegions), fmt.Sprintf("dc%d", dc)
			value, err := cbor.Marshal(fields)
			if err != nil {
				return err
			}
			writes = append(writes, storer.NewPut(leaser.NodeKey(fmt.Sprintf("dc%d", dc), fmt.Sprintf("phantom-%03d", i)), value, version))
		}
		commits.Add(1)
		return table.Commit(ctx, writes...)
	}
	is.NoErr(renew(0))
	done := make(chan struct{})
	go func() {
		defer close(done)
		for version := storer.Version(1); ; version++ {
			select {
			case <-time.After(leaser.DefaultLease / 3):
			case <-ctx.Done():
				return
			}
			if err := renew(version); err != nil {
				return
			}
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return &commits
}

// peerTraffic returns the bytes that nodes exchanged, counted at the requesting node.
func peerTraffic(f *deployer.Fleet) int64 {
	var total int64
	for _, h := range f.Hosts() {
		all, _ := h.Node().Transferred()
		total += all
	}
	return total
}

// sendLoad sends generations to every node for slopeTime.
func sendLoad(ctx context.Context, t *testing.T, f *deployer.Fleet) {
	t.Helper()
	var requests sync.WaitGroup
	for second := range int(slopeTime.Seconds()) {
		for i := range slopeRate {
			for j, h := range f.Hosts() {
				requests.Go(func() {
					adapter := (second*slopeRate + i + j) % 10 // few, so that adapter loads do not dominate
					generate(ctx, h, fmt.Sprintf("bank-%05d@v1", adapter))
				})
			}
			time.Sleep(time.Second / slopeRate)
		}
	}
	requests.Wait()
}

// generate requests one generation and reads the answer. It ignores errors, because
// other trials check refusals under load.
func generate(ctx context.Context, h *deployer.Host, model string) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	answer, err := h.Node().Pipeline().Apply(ctx, receiver.NewGeneration(model, "cheque", slopeTokens, 0, receiver.WithCaller("c")))
	if err != nil {
		return
	}
	tokens, ok := answer.Body().(*responder.TokenBody)
	if !ok {
		return
	}
	defer func() { _ = tokens.Stream().Close() }()
	for {
		if _, err := tokens.Stream().Next(ctx); err != nil {
			return
		}
	}
}

// fitLine returns the least-squares line through the points and its coefficient of
// determination.
func fitLine(x, y []float64) (intercept, slope, r2 float64) {
	n := float64(len(x))
	var sx, sy, sxx, sxy, syy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
		syy += y[i] * y[i]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	intercept = (sy - slope*sx) / n
	if spread := syy - sy*sy/n; spread > 1e-9*syy {
		r2 = slope * (sxy - sx*sy/n) / spread
	}
	return intercept, slope, r2
}

var (
	measureOnce sync.Once
	atTarget    cost
)

// idleAtTarget returns the cost of an idle node in a deployment with as many members
// as the design target.
func idleAtTarget(t *testing.T) cost {
	t.Helper()
	measureOnce.Do(func() { atTarget = measureNodes(t, 4, targetNodes-12, false) })
	return atTarget
}

// Guards against an idle node that uses more than its share of the table's rates, or
// exchanges more with its peers than the control budget, at the design target. With
// -slopes it also measures idle and loaded deployments of up to 48 nodes and prints
// the fitted lines.
func TestSlopes(t *testing.T) {
	t.Run("share", func(t *testing.T) {
		is := is.New(t)
		c := idleAtTarget(t)
		t.Logf("12 idle nodes among %d members, each: %+v", targetNodes, c)
		is.True(c.reads <= readsPerSecond/targetNodes)
		is.True(c.commits <= writesPerSecond/targetNodes)
		is.True(c.peerBytes <= controlBytes)
	})
	if !*slopes {
		return
	}
	for _, load := range []bool{false, true} {
		t.Run(fmt.Sprintf("load=%t", load), func(t *testing.T) { printSlopes(t, load) })
	}
}

// Guards against control traffic above the budget of an idle node at the design
// target. It counts keys and values read from the table and messages to peers,
// without their encoding.
func TestControlBytes(t *testing.T) {
	is := is.New(t)
	c := idleAtTarget(t)
	t.Logf("%.0f B/s from the table, %.0f B/s with peers", c.bytesRead, c.peerBytes)
	is.True(c.bytesRead+c.peerBytes <= controlBytes)
}

func printSlopes(t *testing.T, load bool) {
	t.Helper()
	var nodes []float64
	values := make([][]float64, len(costNames))
	for _, perRegion := range []int{2, 4, 8, 12, 16} {
		nodes = append(nodes, float64(3*perRegion))
		for i, v := range measureNodes(t, perRegion, 0, load).values() {
			values[i] = append(values[i], v)
		}
	}
	t.Logf("%-16s %v nodes: intercept + slope·nodes (r²), at %d nodes", "per node", nodes, targetNodes)
	for i, name := range costNames {
		a, b, r2 := fitLine(nodes, values[i])
		t.Logf("%-16s %9.2f: %9.2f + %8.3f·n (%.3f), %10.1f", name, values[i], a, b, r2, a+b*targetNodes)
	}
}
