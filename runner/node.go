package runner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/admitter"
	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/breaker"
	"github.com/dragonflyford/dragonflyford/budgeter"
	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/claimer"
	"github.com/dragonflyford/dragonflyford/configurer"
	"github.com/dragonflyford/dragonflyford/dispatcher"
	"github.com/dragonflyford/dragonflyford/drainer"
	"github.com/dragonflyford/dragonflyford/forwarder"
	"github.com/dragonflyford/dragonflyford/leaser"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/placer"
	"github.com/dragonflyford/dragonflyford/publisher"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/recorder"
	"github.com/dragonflyford/dragonflyford/reporter"
	"github.com/dragonflyford/dragonflyford/resolver"
	"github.com/dragonflyford/dragonflyford/scheduler"
	"github.com/dragonflyford/dragonflyford/verifier"
	"github.com/dragonflyford/dragonflyford/viewer"
	"github.com/dragonflyford/dragonflyford/watcher"
)

// options are the optional properties of a node.
type options struct {
	asserts *asserter.Asserter
	log     *logger.Logger
	policy  placer.Policy
	seed    uint64
	stalls  func(time.Duration)
}

// Option sets an optional property of a node.
type Option func(*options)

// WithAsserter counts checks and violations in a. Without it the node logs
// violations.
func WithAsserter(a *asserter.Asserter) Option { return func(o *options) { o.asserts = a } }

// WithLogger sets where the node logs to; the default is nowhere.
func WithLogger(l *logger.Logger) Option { return func(o *options) { o.log = l } }

// WithPolicy sets how engines are chosen.
func WithPolicy(p placer.Policy) Option { return func(o *options) { o.policy = p } }

// WithSeed fixes the node's random choices.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithLoadWaits passes the time that each job waited for its adapter to record.
func WithLoadWaits(record func(time.Duration)) Option { return func(o *options) { o.stalls = record } }

// Node is one process of the system. It works from New to Close; Serve adds the
// listeners.
type Node struct {
	settings *configurer.Node
	options

	bundles    *publisher.Publisher
	views      *viewer.Viewer
	journal    *journal
	recorder   *recorder.Recorder
	peers      *peers
	leaser     *leaser.Leaser
	watcher    *watcher.Watcher
	drainer    *drainer.Drainer
	gossiper   *gossiper
	owners     *owners
	endpoints  *endpoints
	breaker    *breaker.Breaker
	budget     *budgeter.Budgeter
	admitter   *admitter.Admitter
	claimer    *claimer.Claimer
	dispatcher *dispatcher.Dispatcher
	verifier   *verifier.Verifier
	reporter   *reporter.Reporter
	pipeline   Pipeline

	draining   atomic.Bool
	yielded    atomic.Bool   // the node owns no engine any more
	drained    atomic.Bool   // a planned stop has waited for everything in flight
	drainAsked chan struct{} // receives when an operator drains the node
	ctx        context.Context
	cancel     context.CancelFunc
	work       sync.WaitGroup
	closeOnce  sync.Once
}

// New starts a node. The caller must end it with Close or Abandon.
func New(settings *configurer.Node, env Environment, opts ...Option) *Node {
	n := &Node{
		settings:   settings,
		options:    options{log: logger.Nop(), policy: placer.Weighted{}, stalls: func(time.Duration) {}},
		views:      viewer.New(),
		journal:    newJournal(),
		recorder:   recorder.New(settings.Limits().Decisions()),
		drainAsked: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(&n.options)
	}
	if n.asserts == nil {
		n.asserts = asserter.New(func(v asserter.Violation) { n.log.Error(v.String()) })
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.startControl(env)
	n.startEngines(env)
	n.startRequests(env)
	n.work.Go(n.supervise)
	return n
}

// startControl starts what a node knows: bundles, members and planned stops.
func (n *Node) startControl(env Environment) {
	s := n.settings
	n.bundles = publisher.New(publisher.WithAsserter(n.asserts), publisher.WithMaxContactAge(publisher.MaxContactAge))
	n.peers = newPeers(s.Name(), s.Region(), env.network)
	identity := leaser.NewIdentity(s.Name(), s.Advertise().Callers(), s.Advertise().Peers(), s.Region(), s.DataCentre())
	n.leaser = leaser.New(identity, env.table, env.hosts,
		leaser.WithPeers(extender{peers: n.peers}),
		leaser.WithEngines(n.engines),
		leaser.WithSettings(leaser.NewSettings(s.LeaseTime(), s.LeaseGuard(), s.LeaseRenew())),
		leaser.WithErrorHandler(func(err error) { n.log.Component("leaser").Warn("exchange with the table failed", logger.Err(err)) }))
	n.watcher = watcher.New(env.table, env.objects, n.peers, s.BundleKeys(), n.bundles,
		watcher.WithEpochs(n.leaser.SetEpochs),
		watcher.WithErrorHandler(func(f watcher.Failure) {
			n.log.Component("watcher").Warn("bundle could not be taken over", logger.Err(f.Err()))
		}))
	n.drainer = drainer.New(env.table, env.hosts, drainer.DefaultInterval, n.stopped)
	n.gossiper = newGossiper(n.peers, n.views, s.DataCentre())
}

// engines returns the engines of the node's data centre for the assignment.
func (n *Node) engines() leaser.Engines {
	current := n.bundles.Load().Current()
	if current == nil {
		return leaser.NewEngines(0, nil)
	}
	var names []string
	for _, e := range current.EnginesIn(n.settings.DataCentre()) {
		names = append(names, e.Name())
	}
	return leaser.NewEngines(current.Epoch(), names)
}

// startEngines starts what the node does for the engines that it owns.
func (n *Node) startEngines(env Environment) {
	n.reporter = reporter.New(n.settings.Name(), n.settings.Region(), n.bundles, env.objects,
		reporter.WithRetention(n.settings.ReportRetention()), reporter.WithLogger(n.log.Component("reporter")))
	n.endpoints = newEndpoints(env.endpoints, n.bundles.Load)
	n.breaker = breaker.New(n.leaser.ID(), env.table, n.peers, breaker.DefaultTTL)
	n.budget = budgeter.New(env.table, n.leaser.ID(), n.limits, n.position, n.seed)
	n.owners = newOwners(n.newScheduler, n.askInUse)
}

func (n *Node) limits() bundler.Limits {
	current := n.bundles.Load().Current()
	if current == nil {
		return bundler.Limits{}
	}
	return current.Limits()
}

// position returns where the node stands among all nodes, for its part of the
// weight store's budget.
func (n *Node) position() (position, nodes int) {
	members := n.leaser.Membership().Members()
	for i, m := range members {
		if m.Name() == n.settings.Name() {
			return i, len(members)
		}
	}
	return len(members), len(members) + 1
}

func (n *Node) newScheduler(own Ownership, e *bundler.EngineEndpoint, retired *atomic.Bool) *scheduler.Scheduler {
	publish := func(v *viewer.View) {
		if !retired.Load() {
			n.views.Update(v)
			n.journal.put(v)
		}
	}
	return scheduler.New(e.Name(), n.settings.Name(), e.Slots(), e.Batch(), n.endpoints.engine(e), own, n.budget, n.asserts,
		publish,
		scheduler.WithCrashSink(crashSink{breaker: n.breaker}),
		scheduler.WithGuard(n.settings.LeaseGuard()),
		scheduler.WithLoadWaits(n.stalled),
		scheduler.WithSeed(n.seed))
}

// stalled counts the load stall of one job.
func (n *Node) stalled(adapter string, d time.Duration) {
	n.stalls(d)
	n.reporter.Stalled(adapter, d)
}

// startRequests joins the request pipeline.
func (n *Node) startRequests(env Environment) {
	limits := n.settings.Limits()
	receive := receiver.New(receiver.NewLimits(limits.MaxTokens(), limits.PromptBytes(), limits.DefaultTimeout(), limits.MaxTimeout()))
	n.admitter = admitter.New(limits.Running(), admitter.WithQueue(limits.Waiting()), admitter.WithScreen(n.breaker))
	n.claimer = claimer.New(env.table, n.leaser.ID(), n.asserts, claimer.WithLiveness(n.leaser))
	place := placer.New(n.views, n.settings.Region(), placer.WithPolicy(n.policy), placer.WithDrainChecker(n.drainer), placer.WithSeed(n.seed))
	n.dispatcher = dispatcher.New(
		&directory{self: n.settings.Name(), owners: n.owners, peers: n.peers, endpoints: n.endpoints},
		dispatcher.WithCrashTracker(n.breaker))
	n.verifier = verifier.New(n.asserts)
	joined := NewStages(receive, resolver.New(n.bundles), n.admitter, n.claimer, place, n.dispatcher, n.verifier, limits.Attempts()).Join()
	n.pipeline = n.reporter.Watch(joined)
}

// superviseEvery bounds how late a change of the bundle, which gives no signal,
// reaches the schedulers.
const superviseEvery = 500 * time.Millisecond

// supervise makes peers and schedulers follow what the control pipeline knows.
func (n *Node) supervise() {
	ticker := time.NewTicker(superviseEvery)
	defer ticker.Stop()
	for {
		n.follow()
		select {
		case <-n.leaser.Changed():
		case <-ticker.C:
		case <-n.ctx.Done():
			return
		}
	}
}

func (n *Node) follow() {
	members := n.leaser.Membership().Members()
	n.peers.update(members)
	n.claimer.SetInterval(claimInterval(len(members)))
	n.claimer.SetSweepInterval(sweepInterval(len(members)))
	n.drainer.SetInterval(drainInterval(len(members)))
	var owned []Ownership
	for _, e := range n.leaser.Owned() {
		if n.yielded.Load() {
			break // a stop without a successor: the lease lasts until Close
		}
		owned = append(owned, ownership{EngineLease: n.leaser.Engine(e.Engine()), entry: e})
	}
	n.owners.reconcile(owned, n.bundles.Load().Current(), n.drainer.Draining)
	n.forgetViews()
}

// forgetViews drops the views of engines that the node no longer owns.
func (n *Node) forgetViews() {
	for _, gone := range n.journal.engines() {
		if _, err := n.owners.find(gone); err == nil {
			continue
		}
		n.journal.remove(gone)
		if v := n.views.Load().Engine(gone); v != nil && v.Owner() == n.settings.Name() {
			n.views.Remove(gone)
		}
	}
}

// claimCommits is the part of the table's writes per second that claims may
// take; leases, assignments, permits and bundles share the rest.
const claimCommits = 200

// claimInterval is the shortest time between two claim commits of one node.
func claimInterval(nodes int) time.Duration {
	return time.Duration(max(nodes, 1)) * time.Second / claimCommits
}

const (
	sweepEvery = 5 * time.Second // of up to sweepers nodes
	sweepers   = 140             // 28 pages or 14,000 rows per second
	manyNodes  = 128
)

// sweepInterval returns the time between two sweeps of one node for finished
// claims. All nodes sweep the same rows, so more nodes need not read more.
func sweepInterval(nodes int) time.Duration {
	return sweepEvery * time.Duration(max(nodes, sweepers)) / sweepers
}

// drainInterval returns the time between two polls for planned stops. A leaving
// endpoint may get new work for a few seconds; 560 nodes that poll each second
// take 560 of the table's 2,000 reads.
func drainInterval(nodes int) time.Duration {
	if nodes > manyNodes {
		return 2 * drainer.DefaultInterval
	}
	return drainer.DefaultInterval
}

// stopped follows planned stops.
func (n *Node) stopped(stops *drainer.PlannedStops) {
	if stops.Node(n.settings.Name()) {
		n.askDrain()
	}
}

// Pipeline returns the request pipeline.
func (n *Node) Pipeline() Pipeline { return n.pipeline }

// Handler returns what the node answers to its peers.
func (n *Node) Handler() forwarder.Handler { return handler{node: n} }

// Asserter returns the node's invariants.
func (n *Node) Asserter() *asserter.Asserter { return n.asserts }

// Bundles returns the bundle that the node serves.
func (n *Node) Bundles() *publisher.Publisher { return n.bundles }

// Name returns the node's name.
func (n *Node) Name() string { return n.settings.Name() }

// Owned returns the engines that the node runs.
func (n *Node) Owned() []string { return n.owners.names() }

// Entries returns the addresses for callers.
func (n *Node) Entries() *leaser.Entries { return n.leaser.Entries() }

// Transferred returns the bytes exchanged with other nodes, and those of them
// that crossed a region boundary.
func (n *Node) Transferred() (all, crossed int64) { return n.peers.transferred() }

// Dropped returns how many chunks and replies were dropped because they belong
// to another attempt.
func (n *Node) Dropped() int64 { return n.verifier.Dropped() }

// Drain begins a planned stop: the node is no longer advertised, gives its
// engines to other members, and waits until everything in flight has ended.
func (n *Node) Drain(ctx context.Context) error {
	n.draining.Store(true)
	if err := n.handOver(ctx); err != nil {
		return err
	}
	n.yielded.Store(true)
	n.follow()
	if err := n.owners.drain(ctx); err != nil {
		return err
	}
	if err := n.waitIdle(ctx); err != nil {
		return err
	}
	n.drained.Store(true)
	return nil
}

// handOverTime bounds the wait for other members. With the table down they cannot
// take the engines over before the lease has expired.
const handOverTime = 20 * time.Second

// handOver gives the node's engines to other members. Without a successor, or
// with the table down, the node stops all the same once its requests have ended;
// its engines find an owner after its lease.
func (n *Node) handOver(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, handOverTime)
	defer cancel()
	err := n.leaser.Drain(bounded)
	if err == nil {
		return nil
	}
	if ctx.Err() != nil {
		return fmt.Errorf("hand engines over: %w", err)
	}
	n.log.Component("leaser").Warn("engines are left without a successor", logger.Err(err))
	return n.waitIdle(ctx) // the node's own requests need its engines
}

// idlePoll is how often a draining node looks for requests in flight.
const idlePoll = 50 * time.Millisecond

func (n *Node) waitIdle(ctx context.Context) error {
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for n.admitter.Running()+n.admitter.Waiting() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("wait for %d requests in flight: %w", n.admitter.Running(), ctx.Err())
		}
	}
	return nil
}

// Close ends the node and its lease. Requests in flight are cut; Drain first to
// avoid that. While the table is down it waits no longer than the lease lasts:
// then the others take the node for gone without being told.
func (n *Node) Close(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, n.settings.LeaseTime()+n.settings.LeaseGuard())
	defer cancel()
	if n.drained.Load() {
		running := n.admitter.Running()
		n.asserts.Check(asserter.NoCutOnDrain, running == 0, "%d requests are in flight when the drained node ends", running)
	}
	var err error
	n.end(func() { err = n.leaser.Close(ctx) })
	if err != nil {
		return fmt.Errorf("end lease: %w", err)
	}
	return nil
}

// Abandon ends the node without any further write, as a kill does.
func (n *Node) Abandon() {
	n.end(n.leaser.Abandon)
}

// end stops all parts, those that use others first.
func (n *Node) end(endLease func()) {
	n.closeOnce.Do(func() {
		n.cancel()
		n.work.Wait()
		n.dispatcher.Close()
		n.claimer.Close()
		n.owners.close()
		n.reporter.Close()
		n.budget.Close()
		n.breaker.Close()
		n.drainer.Close()
		n.watcher.Close()
		endLease()
		n.gossiper.close()
		n.peers.close()
		n.endpoints.close()
	})
}

// errClosing reports a peer's question to a node that ends.
var errClosing = errors.New("the node is closing")
