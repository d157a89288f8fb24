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

// options holds the optional settings of a node.
type options struct {
	asserts        *asserter.Asserter
	log            *logger.Logger
	policy         placer.Policy
	seed           uint64
	recordLoadWait func(time.Duration)
}

// Option sets an option of a node.
type Option func(*options)

// WithAsserter makes the node report checks and violations of invariants to a. By
// default it logs violations.
func WithAsserter(a *asserter.Asserter) Option { return func(o *options) { o.asserts = a } }

// WithLogger sets the logger of the node. By default nothing is logged.
func WithLogger(l *logger.Logger) Option { return func(o *options) { o.log = l } }

// WithPolicy sets the placement policy.
func WithPolicy(p placer.Policy) Option { return func(o *options) { o.policy = p } }

// WithSeed sets the seed of the node's random choices.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithLoadWaits sets a function that records how long each job waited for its
// adapter to load.
func WithLoadWaits(record func(time.Duration)) Option {
	return func(o *options) { o.recordLoadWait = record }
}

// Node is one process of the serving layer. It runs from New until Close or
// Abandon; Serve accepts connections from callers, peers and operators.
type Node struct {
	settings *configurer.Node
	options

	bundles         *publisher.Publisher
	views           *viewer.Viewer
	localViews      *localViews
	recorder        *recorder.Recorder
	peers           *peers
	leaser          *leaser.Leaser
	watcher         *watcher.Watcher
	drainer         *drainer.Drainer
	viewPoller      *viewPoller
	ownedEngines    *ownedEngines
	endpointClients *endpointClients
	breaker         *breaker.Breaker
	budget          *budgeter.Budgeter
	admitter        *admitter.Admitter
	claimer         *claimer.Claimer
	dispatcher      *dispatcher.Dispatcher
	verifier        *verifier.Verifier
	reporter        *reporter.Reporter
	pipeline        Pipeline

	draining        atomic.Bool
	enginesReleased atomic.Bool   // the node must not own engines any more
	drained         atomic.Bool   // Drain has waited for all requests in flight
	drainRequested  chan struct{} // receives when an operator drains the node
	ctx             context.Context
	cancel          context.CancelFunc
	background      sync.WaitGroup
	closeOnce       sync.Once
}

// New starts a node. The caller must stop it with Close or Abandon.
func New(settings *configurer.Node, env Environment, opts ...Option) *Node {
	n := &Node{
		settings:       settings,
		options:        options{log: logger.Nop(), policy: placer.Weighted{}, recordLoadWait: func(time.Duration) {}},
		views:          viewer.New(),
		localViews:     newLocalViews(),
		recorder:       recorder.New(settings.Limits().Decisions()),
		drainRequested: make(chan struct{}, 1),
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
	n.background.Go(n.reconcileLoop)
	return n
}

// startControl starts the parts that follow the bundle, the membership and planned
// stops.
func (n *Node) startControl(env Environment) {
	s := n.settings
	n.bundles = publisher.New(publisher.WithAsserter(n.asserts), publisher.WithMaxContactAge(publisher.MaxContactAge))
	n.peers = newPeers(s.Name(), s.Region(), env.network)
	identity := leaser.NewIdentity(s.Name(), s.Advertise().Callers(), s.Advertise().Peers(), s.Region(), s.DataCentre())
	n.leaser = leaser.New(identity, env.table, env.hosts,
		leaser.WithPeers(extender{peers: n.peers}),
		leaser.WithEngines(n.engines),
		leaser.WithSettings(leaser.NewSettings(s.LeaseTime(), s.LeaseGuard(), s.LeaseRenew())),
		leaser.WithErrorHandler(func(err error) { n.log.Component("leaser").Warn("request to the table failed", logger.Err(err)) }))
	n.watcher = watcher.New(env.table, env.objects, n.peers, s.BundleKeys(), n.bundles,
		watcher.WithEpochs(n.leaser.SetEpochs),
		watcher.WithErrorHandler(func(f watcher.Failure) {
			n.log.Component("watcher").Warn("bundle could not be loaded", logger.Err(f.Err()))
		}))
	n.drainer = drainer.New(env.table, env.hosts, drainer.DefaultInterval, n.plannedStopsChanged)
	n.viewPoller = newViewPoller(n.peers, n.views, s.DataCentre())
}

// engines returns the engines of the node's data centre that are to be assigned to
// nodes.
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

// startEngines starts the parts that operate the engines that the node owns.
func (n *Node) startEngines(env Environment) {
	n.reporter = reporter.New(n.settings.Name(), n.settings.Region(), n.bundles, env.objects,
		reporter.WithRetention(n.settings.ReportRetention()), reporter.WithLogger(n.log.Component("reporter")))
	n.endpointClients = newEndpointClients(env.endpoints, n.bundles.Load)
	n.breaker = breaker.New(n.leaser.ID(), env.table, n.peers, breaker.DefaultTTL)
	n.budget = budgeter.New(env.table, n.leaser.ID(), n.limits, n.position, n.seed)
	n.ownedEngines = newOwnedEngines(n.newScheduler, n.releaseFromPrevious)
}

func (n *Node) limits() bundler.Limits {
	current := n.bundles.Load().Current()
	if current == nil {
		return bundler.Limits{}
	}
	return current.Limits()
}

// position returns the index of the node among all nodes and their number, which
// determine its share of the weight store's budget.
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
			n.localViews.put(v)
		}
	}
	return scheduler.New(e.Name(), n.settings.Name(), e.Slots(), e.Batch(), n.endpointClients.engine(e), own, n.budget, n.asserts,
		publish,
		scheduler.WithCrashSink(crashSink{breaker: n.breaker}),
		scheduler.WithGuard(n.settings.LeaseGuard()),
		scheduler.WithLoadWaits(n.loadWaited),
		scheduler.WithSeed(n.seed))
}

// loadWaited records how long one job waited for its adapter to load.
func (n *Node) loadWaited(adapter string, d time.Duration) {
	n.recordLoadWait(d)
	n.reporter.ObserveLoadWait(adapter, d)
}

// startRequests builds the request pipeline.
func (n *Node) startRequests(env Environment) {
	limits := n.settings.Limits()
	receive := receiver.New(receiver.NewLimits(limits.MaxTokens(), limits.PromptBytes(), limits.DefaultTimeout(), limits.MaxTimeout()))
	n.admitter = admitter.New(limits.Running(), admitter.WithQueue(limits.Waiting()), admitter.WithScreen(n.breaker))
	n.claimer = claimer.New(env.table, n.leaser.ID(), n.asserts, claimer.WithLiveness(n.leaser))
	place := placer.New(n.views, n.settings.Region(), placer.WithPolicy(n.policy), placer.WithDrainChecker(n.drainer), placer.WithSeed(n.seed))
	n.dispatcher = dispatcher.New(
		&directory{nodeName: n.settings.Name(), ownedEngines: n.ownedEngines, peers: n.peers, endpoints: n.endpointClients},
		dispatcher.WithCrashTracker(n.breaker))
	n.verifier = verifier.New(n.asserts)
	pipeline := NewStages(receive, resolver.New(n.bundles), n.admitter, n.claimer, place, n.dispatcher, n.verifier, limits.Attempts()).Join()
	n.pipeline = n.reporter.Instrument(pipeline)
}

// reconcileInterval is the maximum delay until a change of the bundle, which is not
// signaled, reaches the schedulers.
const reconcileInterval = 500 * time.Millisecond

// reconcileLoop calls reconcile whenever the membership or the assignment changes,
// and at least once per reconcileInterval.
func (n *Node) reconcileLoop() {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		n.reconcile()
		select {
		case <-n.leaser.Changed():
		case <-ticker.C:
		case <-n.ctx.Done():
			return
		}
	}
}

// reconcile updates peers, intervals, schedulers and views to match the current
// membership, assignment and bundle.
func (n *Node) reconcile() {
	members := n.leaser.Membership().Members()
	n.peers.update(members)
	n.claimer.SetInterval(claimInterval(len(members)))
	n.claimer.SetSweepInterval(sweepInterval(len(members)))
	n.drainer.SetInterval(drainInterval(len(members)))
	var owned []Ownership
	for _, e := range n.leaser.Owned() {
		if n.enginesReleased.Load() {
			break // without a successor, the lease still holds the engines until Close
		}
		owned = append(owned, ownership{EngineLease: n.leaser.Engine(e.Engine()), entry: e})
	}
	n.ownedEngines.reconcile(owned, n.bundles.Load().Current(), n.drainer.Draining)
	n.removeStaleViews()
}

// removeStaleViews removes the views of engines that the node no longer owns.
func (n *Node) removeStaleViews() {
	for _, engine := range n.localViews.engines() {
		if _, err := n.ownedEngines.find(engine); err == nil {
			continue
		}
		n.localViews.remove(engine)
		if v := n.views.Load().Engine(engine); v != nil && v.Owner() == n.settings.Name() {
			n.views.Remove(engine)
		}
	}
}

// maxClaimCommitsPerSecond is the share of the table's writes per second for the
// claims of all nodes. Leases, assignments, permits and bundles use the rest.
const maxClaimCommitsPerSecond = 200

// claimInterval returns the minimum interval of claim commits of one node.
func claimInterval(nodes int) time.Duration {
	return time.Duration(max(nodes, 1)) * time.Second / maxClaimCommitsPerSecond
}

const (
	minSweepInterval         = 5 * time.Second // applies up to maxSweepersAtMinInterval nodes
	maxSweepersAtMinInterval = 140             // 28 pages or 14,000 rows per second in total
	largeFleet               = 128             // nodes; see drainInterval
)

// sweepInterval returns the interval at which a node sweeps the table for finished
// claims. All nodes sweep the same rows, so a larger fleet need not read more rows
// in total.
func sweepInterval(nodes int) time.Duration {
	return minSweepInterval * time.Duration(max(nodes, maxSweepersAtMinInterval)) / maxSweepersAtMinInterval
}

// drainInterval returns the interval of polls for planned stops. A large fleet
// polls half as often: new work may still reach a draining endpoint for a few
// seconds, and 560 nodes that poll every second would take 560 of the table's 2,000
// reads per second.
func drainInterval(nodes int) time.Duration {
	if nodes > largeFleet {
		return 2 * drainer.DefaultInterval
	}
	return drainer.DefaultInterval
}

// plannedStopsChanged drains the node if an operator has planned its stop.
func (n *Node) plannedStopsChanged(stops *drainer.PlannedStops) {
	if stops.Node(n.settings.Name()) {
		n.requestDrain()
	}
}

// Pipeline returns the request pipeline.
func (n *Node) Pipeline() Pipeline { return n.pipeline }

// Handler returns the handler of requests from peers.
func (n *Node) Handler() forwarder.Handler { return handler{node: n} }

// Asserter returns the asserter that checks the node's invariants.
func (n *Node) Asserter() *asserter.Asserter { return n.asserts }

// Bundles returns the publisher of the bundle that the node serves.
func (n *Node) Bundles() *publisher.Publisher { return n.bundles }

// Name returns the node's name.
func (n *Node) Name() string { return n.settings.Name() }

// Owned returns the names of the engines that the node owns.
func (n *Node) Owned() []string { return n.ownedEngines.names() }

// Entries returns the addresses of the nodes that callers may use.
func (n *Node) Entries() *leaser.Entries { return n.leaser.Entries() }

// Transferred returns the number of bytes exchanged with other nodes, and how many
// of them crossed a region boundary.
func (n *Node) Transferred() (all, crossRegion int64) { return n.peers.transferred() }

// Dropped returns the number of chunks and replies that were dropped because they
// belong to another attempt.
func (n *Node) Dropped() int64 { return n.verifier.Dropped() }

// Drain performs a planned stop: the node is no longer advertised, hands its
// engines over to other members, and waits until all requests in flight have ended.
func (n *Node) Drain(ctx context.Context) error {
	n.draining.Store(true)
	if err := n.handOver(ctx); err != nil {
		return err
	}
	n.enginesReleased.Store(true)
	n.reconcile()
	if err := n.ownedEngines.drain(ctx); err != nil {
		return err
	}
	if err := n.waitIdle(ctx); err != nil {
		return err
	}
	n.drained.Store(true)
	return nil
}

// handOverTimeout limits the wait for other members to take the engines over.
// During an outage of the table they cannot do so before the lease has expired.
const handOverTimeout = 20 * time.Second

// handOver hands the node's engines over to other members. Without a successor, or
// during an outage of the table, it only waits for the node's requests to end; the
// engines get a new owner after the lease has ended.
func (n *Node) handOver(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	err := n.leaser.Drain(bounded)
	if err == nil {
		return nil
	}
	if ctx.Err() != nil {
		return fmt.Errorf("hand over engines: %w", err)
	}
	n.log.Component("leaser").Warn("no other node has taken over the engines", logger.Err(err))
	return n.waitIdle(ctx) // the node's own requests need its engines
}

// idlePollInterval is the interval at which a draining node checks for requests in
// flight.
const idlePollInterval = 50 * time.Millisecond

func (n *Node) waitIdle(ctx context.Context) error {
	ticker := time.NewTicker(idlePollInterval)
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

// Close stops the node and ends its lease. It interrupts requests in flight unless
// Drain has been called before. During an outage of the table it does not wait
// longer than the lease lasts, because then the other nodes take over without a
// write.
func (n *Node) Close(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, n.settings.LeaseTime()+n.settings.LeaseGuard())
	defer cancel()
	if n.drained.Load() {
		running := n.admitter.Running()
		n.asserts.Check(asserter.NoCutOnDrain, running == 0, "%d requests are in flight when the drained node closes", running)
	}
	var err error
	n.end(func() { err = n.leaser.Close(ctx) })
	if err != nil {
		return fmt.Errorf("end lease: %w", err)
	}
	return nil
}

// Abandon stops the node without writing to the table, as a kill of the process
// does.
func (n *Node) Abandon() {
	n.end(n.leaser.Abandon)
}

// end stops all parts in the order of their dependencies, dependents first.
func (n *Node) end(endLease func()) {
	n.closeOnce.Do(func() {
		n.cancel()
		n.background.Wait()
		n.dispatcher.Close()
		n.claimer.Close()
		n.ownedEngines.close()
		n.reporter.Close()
		n.budget.Close()
		n.breaker.Close()
		n.drainer.Close()
		n.watcher.Close()
		endLease()
		n.viewPoller.close()
		n.peers.close()
		n.endpointClients.close()
	})
}

// errClosing is the error of a job that a peer sends to a closing node.
var errClosing = errors.New("the node is closing")
