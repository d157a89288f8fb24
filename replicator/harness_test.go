package replicator_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflyford/dragonflyford/enroller"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/pinner"
	"github.com/dragonflyford/dragonflyford/replicator"
	"github.com/dragonflyford/dragonflyford/storer"
)

const (
	lifetime  = time.Minute
	lostAfter = 40 * time.Second // the row of a host that is written once counts that long
)

// table is a fake of the table of the hosts.
type table struct {
	mu      sync.Mutex
	rows    map[string]storer.Change
	version storer.Version
}

func (t *table) Commit(_ context.Context, writes ...storer.Write) (storer.Version, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	for _, w := range writes {
		if put, ok := w.(storer.Put); ok {
			t.rows[put.Key()] = storer.NewChange(storer.NewRow(put.Key(), put.Value(), t.version))
		}
	}
	return t.version, nil
}

// cluster is a number of hosts that call each other.
type cluster struct {
	table   *table
	members map[int]*enroller.Enroller
	hosts   map[string]*replicator.Replicator // by address
	mu      sync.Mutex
	down    map[string]bool // by address
	calls   int
}

func (c *cluster) reach(address string) (*replicator.Replicator, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if c.down[address] {
		return nil, errors.New("no answer")
	}
	return c.hosts[address], nil
}

func (c *cluster) Replicate(_ context.Context, address string, records []replicator.Record) error {
	h, err := c.reach(address)
	if err == nil {
		h.Keep(records)
	}
	return err
}

func (c *cluster) Find(_ context.Context, address, service, key string) (pinner.Answer, error) {
	h, err := c.reach(address)
	if err != nil {
		return nil, err
	}
	return h.Answer(service, key), nil
}

func (c *cluster) Status(_ context.Context, address string, process uint64) (replicator.Status, error) {
	h, err := c.reach(address)
	if err != nil {
		return replicator.Status{}, err
	}
	return h.Status(process, 0), nil
}

// coverage is that of a host that lacks no record, or of one that lacks those of the time
// before it started.
type coverage struct {
	started time.Time
	behind  bool
}

func (c coverage) Coverage(string, time.Time) pinner.Coverage {
	if c.behind {
		return pinner.NewComplete(time.Since(c.started))
	}
	return pinner.NewComplete(lifetime)
}

func (coverage) Services() []string { return []string{"s"} }

func (c coverage) MayCatchUp(time.Time) (time.Time, bool) { return c.started, c.behind }

func (c *cluster) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

func (c *cluster) setDown(down bool, hosts ...int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range hosts {
		c.down[address(h)] = down
	}
}

func rowKey(host int) string { return fmt.Sprintf("host/10.0.0.%d", host) }

func address(host int) string { return fmt.Sprintf("10.0.0.%d:9000", host) }

// newCluster returns hosts that know each other and hold complete records.
func newCluster(t *testing.T, n int) (*cluster, []*replicator.Replicator) {
	t.Helper()
	c := &cluster{
		table: &table{rows: make(map[string]storer.Change)}, members: make(map[int]*enroller.Enroller),
		hosts: make(map[string]*replicator.Replicator), down: make(map[string]bool),
	}
	var list []*replicator.Replicator
	for i := range n {
		list = append(list, c.start(t, i, coverage{}))
	}
	return c, list
}

// start starts a process of a host, which knows nothing of the one before it.
func (c *cluster) start(t *testing.T, host int, covers coverage) *replicator.Replicator {
	t.Helper()
	e := enroller.New(enroller.NewLocalHost(fmt.Sprintf("10.0.0.%d", host), "", address(host), "z", "r", 0),
		enroller.NewTiming(time.Hour, time.Hour, time.Hour, time.Hour, lostAfter), c.table, logger.Nop())
	c.members[host] = e
	c.renewRow(t, host)
	r := replicator.New(c, e, covers, lifetime, logger.Nop())
	c.mu.Lock()
	c.hosts[address(host)] = r
	c.mu.Unlock()
	c.publish()
	return r
}

// renewRow makes a host write its row.
func (c *cluster) renewRow(t *testing.T, host int) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	go c.members[host].Run(ctx)
	synctest.Wait()
	cancel()
	synctest.Wait()
}

// renew makes a host write its row, and passes it to all.
func (c *cluster) renew(t *testing.T, host int) {
	t.Helper()
	c.renewRow(t, host)
	c.publish()
}

// publish passes the rows of the hosts to all.
func (c *cluster) publish() {
	rows := slices.Collect(maps.Values(c.table.rows))
	for _, e := range c.members {
		e.Replace(rows)
		e.Contact(c.table.version, 0, 0)
	}
}

// end ends a host, whose row is removed.
func (c *cluster) end(host int) {
	c.setDown(true, host)
	delete(c.members, host)
	delete(c.table.rows, rowKey(host))
	c.publish()
}

// replace ends a host and starts it again some seconds later.
func (c *cluster) replace(t *testing.T, host int, covers coverage) *replicator.Replicator {
	t.Helper()
	c.end(host)
	time.Sleep(3 * time.Second)
	c.setDown(false, host)
	return c.start(t, host, covers)
}

// find returns what hosts answer, in short.
func find(t *testing.T, r *replicator.Replicator, stream string) (found, absent int) {
	t.Helper()
	for a := range r.Find(t.Context(), "s", replicator.Key("s", stream)) {
		switch a.(type) {
		case pinner.Found:
			found++
		case pinner.Absent:
			absent++
		}
	}
	return found, absent
}

// run runs a host until the end of the test.
func run(t *testing.T, r *replicator.Replicator) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	t.Cleanup(func() {
		cancel()
		<-done
		r.Close()
	})
}
