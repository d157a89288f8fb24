package allotter_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflyford/dragonflyford/accountant"
	"github.com/dragonflyford/dragonflyford/allotter"
	"github.com/dragonflyford/dragonflyford/chainer"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/enroller"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/storer"
)

// The stated bound: in any window, the calls of a workspace that ran cost at most
// (rate * window + burst) * (1 + over) + slack, over all hosts.
const (
	window = 8 * time.Second
	over   = 0.1
	slack  = 11_000
)

const (
	regionCount   = 3
	nearLatency   = 2 * time.Millisecond // one way, within a region
	farLatency    = 20 * time.Millisecond
	storeLag      = 400 * time.Millisecond // until another host reads a row
	callerTimeout = 6 * time.Second        // of callers
)

var errCut = errors.New("the other host is cut off")

// cluster is a set of hosts with a store.
type cluster struct {
	t       testing.TB
	began   time.Time
	mu      sync.Mutex
	rand    *rand.Rand
	table   *router.Table
	rows    map[string]storer.Change
	version storer.Version
	hosts   map[string]*host // that run
	order   []*host          // the same, in the order of their starts
	group   map[string]int   // hosts of different groups are cut off from each other
	cutOff  map[string]bool  // from the store
	loss    float64          // share of the messages between hosts that get no answer
	ran     map[string][]run
	offered map[string]int
	lost    map[string]int // calls that were refused for good
	sources map[allotter.Source]int
	fault   error // of the rest of the pipeline
}

// run is a call that an endpoint ran.
type run struct {
	at   time.Time
	cost float64
}

type host struct {
	name    string
	region  int
	members *enroller.Enroller
	router  *router.Router
	quotas  *allotter.Allotter
	stage   chainer.Filter[*router.Routed, struct{}]
	stop    context.CancelFunc
	cluster *cluster
}

func newCluster(t testing.TB, n int, workspaces ...*router.Workspace) *cluster {
	t.Helper()
	c := &cluster{
		t: t, began: time.Now(), rand: rand.New(rand.NewPCG(1, 2)), rows: make(map[string]storer.Change),
		hosts: make(map[string]*host), group: make(map[string]int), cutOff: make(map[string]bool),
		ran: make(map[string][]run), offered: make(map[string]int), lost: make(map[string]int), sources: make(map[allotter.Source]int),
	}
	c.configure(1, workspaces...)
	for i := range n {
		c.start(i)
	}
	go c.contact()
	t.Cleanup(func() {
		for _, h := range c.running() {
			h.stop()
		}
		// Messages on their way end, and callers, which wait for up to a third of this time
		// and then find that the test is over.
		time.Sleep(callerTimeout)
	})
	return c
}

// configure puts a configuration into force on all hosts that reach the store.
func (c *cluster) configure(version int64, workspaces ...*router.Workspace) {
	route := router.NewRoute("r", "", "/", router.Idempotent{}, 0, time.Second, 0, 2, []router.Target{router.NewTarget("s", 1)})
	table := router.NewTable(version, []*router.Route{route}, []*router.Service{router.NewService("s", 0, nil)}, router.WithWorkspaces(workspaces))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table = table
	for name, h := range c.hosts {
		if !c.cutOff[name] {
			h.router.Adopt(table)
		}
	}
}

func hostName(i int) string { return fmt.Sprintf("10.0.0.%d", i) }

// start starts the process of a host.
func (c *cluster) start(i int) *host {
	name, region := hostName(i), i%regionCount
	timing := enroller.NewTiming(6*time.Second, 12*time.Second, time.Second, time.Second, 10*time.Second)
	place := fmt.Sprint("region-", region)
	h := &host{name: name, region: region, router: router.New(), cluster: c}
	h.members = enroller.New(enroller.NewLocalHost(name, name, name, place, place, 0), timing, store{c, name}, logger.Nop(),
		enroller.WithClock(func() time.Duration { return time.Since(c.began) }))
	h.quotas = allotter.New(remote{c, h}, h.members, h.router, c, accountant.NewBounds(window, over, slack), logger.Nop())
	h.stage = allotter.Wrap[struct{}](h.quotas, h)
	ctx, cancel := context.WithCancel(c.t.Context())
	h.stop = cancel
	c.mu.Lock()
	c.hosts[name], c.order = h, append(c.order, h)
	rows, table, version := maps.Clone(c.rows), c.table, c.version
	c.mu.Unlock()
	h.router.Adopt(table)
	h.members.Apply(slices.Collect(maps.Values(rows)))
	h.members.Contact(version, c.clock(), 0)
	go h.members.Run(ctx)
	go h.quotas.Run(ctx)
	return h
}

// kill ends the process of a host.
func (c *cluster) kill(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[name].stop()
	c.order = slices.DeleteFunc(c.order, func(h *host) bool { return h.name == name })
	delete(c.hosts, name)
}

func (c *cluster) clock() time.Duration { return time.Hour + time.Since(c.began) }

func (c *cluster) running() map[string]*host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.hosts)
}

// cut puts hosts into a group, and cuts them off from the store if so wanted.
func (c *cluster) cut(group int, fromStore bool, hosts ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range hosts {
		c.group[name], c.cutOff[name] = group, fromStore
	}
}

// contact reports to each host once a second that the store answers.
func (c *cluster) contact() {
	for c.t.Context().Err() == nil {
		for name, h := range c.running() {
			c.mu.Lock()
			cut, version, rows, table := c.cutOff[name], c.version, maps.Clone(c.rows), c.table
			c.mu.Unlock()
			if cut {
				continue
			}
			h.members.Apply(slices.Collect(maps.Values(rows)))
			h.members.Contact(version, c.clock(), 0)
			h.router.Adopt(table)
		}
		time.Sleep(time.Second)
	}
}

// store is the store as a host reaches it.
type store struct {
	cluster *cluster
	host    string
}

// Commit implements storer.Committer.
func (s store) Commit(_ context.Context, writes ...storer.Write) (storer.Version, error) {
	c := s.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cutOff[s.host] {
		return 0, errCut
	}
	c.version++
	for _, w := range writes {
		if put, ok := w.(storer.Put); ok {
			change := storer.NewChange(storer.NewRow(put.Key(), put.Value(), c.version))
			c.rows[put.Key()] = change
			time.AfterFunc(storeLag, func() { c.deliver(change) })
		}
	}
	return c.version, nil
}

func (c *cluster) deliver(change storer.Change) {
	for name, h := range c.running() {
		c.mu.Lock()
		cut := c.cutOff[name]
		c.mu.Unlock()
		if !cut {
			h.members.Apply([]storer.Change{change})
		}
	}
}

// remote sends messages of one host to the others.
type remote struct {
	cluster *cluster
	from    *host
}

// reach waits for the latency of a message and returns its recipient.
func (r remote) reach(ctx context.Context, address string) (*host, error) {
	c := r.cluster
	c.mu.Lock()
	to, cut := c.hosts[address], c.group[address] != c.group[r.from.name] || c.rand.Float64() < c.loss
	c.mu.Unlock()
	switch {
	case cut:
		<-ctx.Done()
		return nil, errCut
	case to == nil:
		time.Sleep(2 * nearLatency)
		return nil, allotter.ErrEnded
	case to.region == r.from.region:
		time.Sleep(nearLatency)
	default:
		time.Sleep(farLatency)
	}
	return to, nil
}

// Draw implements allotter.Remote.
func (r remote) Draw(ctx context.Context, address string, request allotter.Request) (accountant.Verdict, error) {
	to, err := r.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	verdict, err := to.quotas.Grant(request)
	if to.region == r.from.region {
		time.Sleep(nearLatency)
	} else {
		time.Sleep(farLatency)
	}
	return verdict, err
}

// SendDelegation implements allotter.Remote.
func (r remote) SendDelegation(ctx context.Context, address string, d allotter.Delegation) error {
	to, err := r.reach(ctx, address)
	if err != nil {
		return err
	}
	return to.quotas.RecordDelegation(d)
}

// RecordDraw implements allotter.Observer.
func (c *cluster) RecordDraw(s allotter.Source, _ accountant.Verdict, _ time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sources[s]++
}

// Apply runs a call that was charged.
func (h *host) Apply(_ context.Context, r *router.Routed) (struct{}, error) {
	c := h.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fault != nil {
		return struct{}{}, c.fault
	}
	w := r.Workspace()
	c.ran[w.Name()] = append(c.ran[w.Name()], run{time.Now(), w.Quota().Cost(r.Call)})
	return struct{}{}, nil
}

// try makes a call at a host once.
func (c *cluster) try(h *host, workspace string, tokens int) error {
	call := router.NewCall("id", "POST", "", "/", "/", nil, nil, router.WithCountedTokens(tokens))
	routed, err := h.router.Apply(c.t.Context(), call)
	if err != nil {
		return err
	}
	_, err = h.stage.Apply(c.t.Context(), routed.WithWorkspace(routed.Table().Workspace(workspace)))
	return err
}

// call makes a call at a host. The caller tries again, at any host, after the delay that it gets.
func (c *cluster) call(h *host, workspace string, tokens int) {
	began := time.Now()
	for {
		err := c.try(h, workspace, tokens)
		if err == nil || c.t.Context().Err() != nil {
			return
		}
		wait := classifier.Of(err).RetryAfter()
		if left := callerTimeout - time.Since(began); wait > left/3 {
			break
		}
		time.Sleep(wait)
		if h = c.anyHost(nil); h == nil {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost[workspace]++
}

// anyHost returns a random host that runs, of those that are wanted.
func (c *cluster) anyHost(wanted func(*host) bool) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.order
	if wanted != nil {
		list = slices.DeleteFunc(slices.Clone(list), func(h *host) bool { return !wanted(h) })
	}
	if len(list) == 0 {
		return nil
	}
	return list[c.rand.IntN(len(list))]
}

// meanTokens is the mean size of calls.
const meanTokens = 1600

// load makes calls of a workspace. Rate returns the tokens a second, and wanted the hosts
// that the calls arrive at.
func (c *cluster) load(workspace string, duration time.Duration, rate func(at time.Duration) float64, wanted func(h *host, at time.Duration) bool) {
	began := time.Now()
	for time.Since(began) < duration {
		at := time.Since(began)
		c.mu.Lock()
		wait := c.rand.ExpFloat64() * meanTokens / rate(at)
		tokens := meanTokens/2 + c.rand.IntN(meanTokens)
		c.offered[workspace]++
		c.mu.Unlock()
		time.Sleep(time.Duration(wait * float64(time.Second)))
		h := c.anyHost(func(h *host) bool { return wanted == nil || wanted(h, at) })
		if h != nil {
			go c.call(h, workspace, tokens)
		}
	}
}

// mostInWindow returns the highest cost of a workspace's calls in a window that begins after
// a moment.
func (c *cluster) mostInWindow(workspace string, after time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := c.ran[workspace]
	most, sum, first := 0.0, 0.0, 0
	for _, r := range runs {
		if r.at.Before(after) {
			first++
			continue
		}
		sum += r.cost
		for r.at.Sub(runs[first].at) > window {
			sum -= runs[first].cost
			first++
		}
		most = max(most, sum)
	}
	return most
}

// checkBound fails the test if a workspace exceeds its quota after a moment.
func (c *cluster) checkBound(name string, rate, burst float64, after time.Time) {
	c.t.Helper()
	bound := (rate*window.Seconds()+burst)*(1+over) + slack
	most := c.mostInWindow(name, after)
	c.t.Logf("workspace %s: %.0f in a window, at most %.0f may; %d calls offered, %d ran, %d lost", name, most, bound, c.offered[name], len(c.ran[name]), c.lost[name])
	if most > bound {
		c.t.Errorf("workspace %s: %.0f in a window, at most %.0f may", name, most, bound)
	}
}

// settle waits until all hosts know each other and have delegated their parts of the rates.
func settle() {
	time.Sleep(8 * time.Second)
	synctest.Wait()
}
