package assembler

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/acceptor"
	"github.com/dragonflyford/dragonflyford/accountant"
	"github.com/dragonflyford/dragonflyford/allotter"
	"github.com/dragonflyford/dragonflyford/archiver"
	"github.com/dragonflyford/dragonflyford/authenticator"
	"github.com/dragonflyford/dragonflyford/awaiter"
	"github.com/dragonflyford/dragonflyford/broadcaster"
	"github.com/dragonflyford/dragonflyford/chainer"
	"github.com/dragonflyford/dragonflyford/collector"
	"github.com/dragonflyford/dragonflyford/configurer"
	"github.com/dragonflyford/dragonflyford/confirmer"
	"github.com/dragonflyford/dragonflyford/elector"
	"github.com/dragonflyford/dragonflyford/enroller"
	"github.com/dragonflyford/dragonflyford/estimator"
	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/follower"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/messenger"
	"github.com/dragonflyford/dragonflyford/meter"
	"github.com/dragonflyford/dragonflyford/mirrorer"
	"github.com/dragonflyford/dragonflyford/permitter"
	"github.com/dragonflyford/dragonflyford/pinger"
	"github.com/dragonflyford/dragonflyford/pinner"
	"github.com/dragonflyford/dragonflyford/platform"
	"github.com/dragonflyford/dragonflyford/poller"
	"github.com/dragonflyford/dragonflyford/procurer"
	"github.com/dragonflyford/dragonflyford/rationer"
	"github.com/dragonflyford/dragonflyford/referrer"
	"github.com/dragonflyford/dragonflyford/registrar"
	"github.com/dragonflyford/dragonflyford/relayer"
	"github.com/dragonflyford/dragonflyford/replicator"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/screener"
	"github.com/dragonflyford/dragonflyford/selector"
	"github.com/dragonflyford/dragonflyford/subscriber"
	"github.com/dragonflyford/dragonflyford/supplier"
	"github.com/dragonflyford/dragonflyford/tracker"
)

const (
	// tableFleet holds the rows of the system's own hosts, of the owners of engines, and
	// of prompt parts in quarantine.
	tableFleet = "fleet"
	// lossMargin is added to the interval between renewals of a host's row to
	// get the time after which the host counts as lost. It allows for one
	// failed renewal and for a feed that is up to three seconds old.
	lossMargin = 4 * time.Second
	// handoverMargin is added to the minimum time between the orders of two
	// successive owners of an engine.
	handoverMargin = 500 * time.Millisecond
	// configWait is how long the store may hold a long poll of the operator's table
	// while nothing changes, unless the host checks the table for its data centre.
	// Every host follows the table itself, because a host that can reach the store
	// must not depend on one that cannot.
	configWait  = 20 * time.Second
	configPause = 50 * time.Millisecond
	// One host of each data centre follows these tables at the store, and the
	// others read its copy. The waits and pauses bound the age of the copy, by
	// which the others detect that it has lost the store.
	endpointWait   = 400 * time.Millisecond
	endpointPause  = 600 * time.Millisecond
	endpointMaxAge = 1300 * time.Millisecond
	fleetWait      = time.Second
	fleetPause     = 1200 * time.Millisecond
	fleetMaxAge    = 3 * time.Second
	// memoryLimitShare is the fraction of the configured memory that is set as
	// the memory limit of the Go runtime, which counts all memory of the runtime,
	// stacks included. The rest is for what the runtime does not count: the
	// program's own image and the kernel's socket buffers.
	memoryLimitShare = 0.6
)

// Host is an entry host.
type Host struct {
	settings      atomic.Pointer[configurer.Entry]
	log           *logger.Logger
	meter         *meter.Meter
	callMetrics   *callMetrics
	speedMetrics  *speedMetrics
	quotaMetrics  *quotaMetrics
	paceMetrics   *paceMetrics
	clientMetrics *clientMetrics

	store             *platform.Store
	engines           *platform.EngineClient
	awaiter           *awaiter.Awaiter
	setRoutesKnown    func() // to be called once routes are known
	setEndpointsKnown func() // to be called once the endpoints are known
	setMembersKnown   func() // to be called once the hosts and the services' software versions are known
	router            *router.Router
	authenticator     *authenticator.Authenticator
	adoptMu           sync.Mutex // serialises changes of the configuration in force
	operator          *operatorTable
	elector           *elector.Elector
	poller            *poller.Poller
	fleet             *tracker.Tracker
	members           *enroller.Enroller
	speeds            *estimator.Estimator
	supplier          *supplier.Supplier
	messenger         *messenger.Messenger
	allotter          *allotter.Allotter
	procurer          *procurer.Procurer
	screener          *screener.Screener
	confirmer         *confirmer.Confirmer
	evidence          *outbox[screener.Evidence]
	pinner            *pinner.Pinner
	replicator        *replicator.Replicator
	archiver          *archiver.Archiver
	registrar         *registrar.Registrar
	permitter         *permitter.Permitter
	limits            *outbox[permitter.Report]
	exchanger         *exchanger.Client
	referrer          *referrer.Referrer
	pinger            *pinger.Pinger
	mirrors           map[string]*mirrorer.Mirror
	frontEnd          *platform.FrontEnd
	endpointFollower  *follower.Follower
	followers         []*follower.Follower
	era               atomic.Uint64 // latest era of the store that a follower has reached
	draining          atomic.Bool
	listMu            sync.Mutex
	listed            []subscriber.Peer // hosts of the data centre that the store listed at the start
	capacity          capacity
	callers           atomic.Pointer[acceptor.Acceptor]
	peerListener      atomic.Pointer[acceptor.Limited]
}

// New returns a host that is not yet running.
func New(settings *configurer.Entry, log *logger.Logger) (*Host, error) {
	debug.SetMemoryLimit(int64(float64(settings.MemoryMB()<<20) * memoryLimitShare))
	h := &Host{log: log.Component("assembler")}
	h.settings.Store(settings)
	h.capacity = newCapacity(settings)
	h.createMetrics(settings)
	log = log.WithEventCounter(h.callMetrics.events.Inc)
	h.log = log.Component("assembler")
	h.store = platform.NewStore(settings.Store())
	h.engines = platform.NewEngineClient(settings.Address())
	var markMet []func()
	h.awaiter, markMet = awaiter.New(3, log)
	h.setRoutesKnown, h.setEndpointsKnown, h.setMembersKnown = markMet[0], markMet[1], markMet[2]
	h.router = router.New()
	h.authenticator = authenticator.New(h.router, configurationReader{h}, log)
	h.fleet = tracker.New(settings.Regions(), h.trackerOptions(settings)...)
	fleetTable := h.store.Table(tableFleet)
	h.members = enroller.New(
		enroller.NewLocalHost(settings.Address(), settings.Callers(), settings.Peers(), settings.DataCentre(), settings.Region(), settings.LinkMbps()),
		enroller.NewTiming(settings.LeaseRenew(), settings.LeaseTime(), settings.LeaseGuard(), settings.TakeoverDelay()+handoverMargin, settings.LeaseRenew()+lossMargin),
		fleetTable, log, enroller.WithReportInterval(settings.ReportInterval()))
	h.speeds = estimator.New(estimator.NewEstimate(settings.PromptToken(), settings.OutputToken()), h.logSpeed)
	h.supplier = supplier.New(h.engines, leases{h.members}, h.engineSpec, h.fleet, h.speeds, estimator.NewLoads(settings.AdapterLoad()), log)
	h.screener = screener.New(log)
	h.registrar = registrar.New(h.screener, fleetTable, log)
	h.pinner = pinner.New(settings.StreamLifetime())
	var err error
	if h.messenger, err = messenger.New(peerHandler{h}); err != nil {
		return nil, fmt.Errorf("build messenger: %w", err)
	}
	h.procurer = procurer.New(h.supplier, h.messenger, h.members, h.speeds)
	h.allotter = allotter.New(h.messenger, h.members, h.router, h.quotaMetrics,
		accountant.NewBounds(settings.QuotaWindow(), settings.QuotaOver(), settings.QuotaSlack()), log)
	h.replicator = replicator.New(h.messenger, h.members, h.pinner, settings.StreamLifetime(), log)
	h.archiver = archiver.New(h.pinner, fleetTable, h.store.Table(tableStreams), h.replicator, settings.StreamLifetime(), log)
	h.createOperatorFeed(settings, log)
	h.mirrors = map[string]*mirrorer.Mirror{
		platform.TableEndpoints: mirrorer.New(endpointHandler{h}, mirrorer.WithoutRenewals(platform.SameEntry)),
		tableFleet:              mirrorer.New(follower.Handlers{h.members, h.registrar, h.archiver, memberHandler{h}}),
		platform.TableOperator:  h.operator.mirror,
	}
	h.permitter = permitter.New(h.messenger, h.members, h.fleet)
	h.createOutboxes()
	h.exchanger = exchanger.New(platform.NewDialect(platform.WithUrgency(settings.Urgency())))
	h.confirmer = confirmer.New(h.exchanger, h.fleet)
	h.pinger = pinger.New(settings.Address(), h.neighbourAddresses, h.state, h.poller.Record, log)
	h.referrer = referrer.New(h.members, h.pinger)
	h.frontEnd = platform.NewFrontEnd(h.pipeline(settings, log), collector.New(h.capacity.bodies, h.bodyLimits, h.releaseStalled), h.draining.Load, h.recordCall)
	h.endpointFollower = h.followThroughPeers(platform.TableEndpoints, endpointWait, endpointPause, endpointMaxAge, log)
	h.followers = []*follower.Follower{
		follower.New(platform.TableOperator, h.poller, h.operator, configWait, configPause, log),
		h.endpointFollower,
		h.followThroughPeers(tableFleet, fleetWait, fleetPause, fleetMaxAge, log),
	}
	return h, nil
}

func (h *Host) createMetrics(settings *configurer.Entry) {
	h.meter = meter.New(settings.Name(), settings.Region(), settings.DataCentre(), func(err error) {
		h.log.Error("metric-not-registered", logger.Err(err))
	})
	scope := h.meter.Scope()
	h.callMetrics, h.clientMetrics, h.speedMetrics = newCallMetrics(scope), newClientMetrics(scope), newSpeedMetrics(scope)
	h.quotaMetrics, h.paceMetrics = newQuotaMetrics(scope), newPaceMetrics(scope)
}

// createOperatorFeed creates what reads the operator's table.
func (h *Host) createOperatorFeed(settings *configurer.Entry, log *logger.Logger) {
	h.operator = newOperatorTable(h, func() { h.pinger.Announce() })
	h.elector = elector.New(platform.TableOperator, h.members.Self(), elector.NewTiming(settings.OperatorInForce()))
	h.poller = poller.New(platform.TableOperator, h.store.Table(platform.TableOperator), h.operator, h.elector, h.messenger, h.peerAddress, log)
}

// createOutboxes creates the queues of what is sent to all other hosts.
func (h *Host) createOutboxes() {
	h.evidence = &outbox[screener.Evidence]{
		host: h, items: broadcaster.New[screener.Evidence](screener.EvidenceLifetime),
		take: h.screener.TakeUnsent, send: h.messenger.SendEvidence, failure: "evidence-not-told",
	}
	h.limits = &outbox[permitter.Report]{
		host: h, items: broadcaster.New[permitter.Report](permitter.ReportLifetime),
		take: h.permitter.TakeUnsent, send: h.messenger.SendLimits, failure: "limit-not-told",
	}
}

// trackerOptions returns the options of the registry of endpoints.
func (h *Host) trackerOptions(settings *configurer.Entry) []tracker.Option {
	opts := []tracker.Option{tracker.WithReportInterval(settings.ReportInterval())}
	if enabled, ifReported := settings.AdaptiveLimits(); enabled {
		opts = append(opts, tracker.WithAdaptiveLimits(h.sharingHosts, ifReported))
	}
	return opts
}

// sharingHosts returns the number of hosts that share the endpoints. After a restart of all
// hosts, the rows of most are too old to count as alive until they are renewed. A host that
// counted only live rows would overload the endpoints.
func (h *Host) sharingHosts() int {
	v := h.members.View()
	return max(v.LiveCount(), v.KnownCount()/2, 1)
}

// followThroughPeers returns a follower of a table that only one host of each
// data centre reads from the store; the others read it from that host.
func (h *Host) followThroughPeers(table string, wait, pause, maxAge time.Duration, log *logger.Logger) *follower.Follower {
	feed := subscriber.New(table, h.store.Table(table), h.messenger, subscriber.NewPeer(h.members.Self(), "", h.settings.Load().LinkMbps()), h.neighbours, maxAge, log,
		subscriber.WithStartPeers(h.startNeighbours), subscriber.WithSeeds(h.seeds()))
	return follower.New(table, feed, h.mirrors[table], wait, pause, log)
}

// state returns the state that this host sends in its heartbeats.
func (h *Host) state() pinger.State {
	return pinger.NewState(h.draining.Load(), h.elector.Announce(h.operator.Latest(), time.Now()))
}

// pipeline joins the stages that handle a call.
func (h *Host) pipeline(settings *configurer.Entry, log *logger.Logger) chainer.Filter[*router.Call, *relayer.Answer] {
	hosts := func() int { return h.members.View().LiveCount() }
	retryBudget := rationer.New(rationer.NewLimits(settings.RepeatRatio(), settings.RepeatSlack(), settings.RepeatWindow()), hosts)
	relay := relayer.New(
		selector.New(h.fleet, settings.DataCentre(), settings.Region()),
		h.permitter,
		h.procurer,
		h.exchanger, retryBudget, crashObserver{h}, h.archiver, h.speeds, hosts, log)
	routed := chainer.Join[*router.Call, *router.Call, *router.Routed](h.awaiter, h.router)
	authenticated := chainer.Join[*router.Call, *router.Routed, *router.Routed](routed, h.authenticator)
	screened := chainer.Join[*router.Routed, *screener.Screened, *relayer.Answer](h.screener, relay)
	return chainer.Join[*router.Call, *router.Routed, *relayer.Answer](authenticated, allotter.Wrap(h.allotter, screened))
}

func (h *Host) engineSpec(service string) *router.EngineSpec {
	t := h.router.Current()
	if t == nil {
		return nil
	}
	if s := t.Service(service); s != nil {
		return s.EngineSpec()
	}
	return nil
}

// ready reports whether the host can serve calls.
func (h *Host) ready() bool { return !h.draining.Load() && h.awaiter.Ready() }

// leases implements supplier.Leases for the engines that this host owns.
type leases struct{ members *enroller.Enroller }

func (r leases) Lease(engine string) (uint64, time.Duration, bool) {
	ownership, ok := r.members.Owns(engine)
	return ownership.Token(), ownership.Remaining(), ok
}

func (r leases) Named(engine string) bool {
	owner, ok := r.members.View().Owner(engine)
	return ok && owner.Host() == r.members.Self()
}

func (r leases) Expects(engine string) bool { return r.members.Expects(engine) }

// crashObserver implements relayer.CrashObserver.
type crashObserver struct{ host *Host }

// RecordCrash marks the call at once. The parts of its prompt are held responsible only
// once the crash is confirmed.
func (c crashObserver) RecordCrash(e *tracker.Endpoint, m screener.Mark) {
	c.host.screener.RecordCrash(m.WithoutPrompt())
	if len(m.Prompt()) > 0 {
		c.host.confirmer.Record(e, m)
	}
}

func (c crashObserver) RecordOutput(call *router.Call) { c.host.screener.RecordOutput(call) }

// peerHandler implements messenger.Handler.
type peerHandler struct{ host *Host }

func (p peerHandler) Reserve(ctx context.Context, request supplier.ReserveRequest) supplier.ReserveResponse {
	return p.host.supplier.Reserve(ctx, request)
}

func (p peerHandler) Learn(list []screener.Evidence) { p.host.screener.Learn(list) }

func (p peerHandler) LearnLimits(list []permitter.Report) { p.host.permitter.Learn(list) }

func (p peerHandler) Admit(request permitter.Request) permitter.Response {
	return p.host.permitter.Grant(request)
}

func (p peerHandler) Draw(request allotter.Request) (accountant.Verdict, error) {
	return p.host.allotter.Grant(request)
}

func (p peerHandler) RecordDelegation(d allotter.Delegation) error {
	return p.host.allotter.RecordDelegation(d)
}

func (p peerHandler) KeepRecords(list []replicator.Record) {
	now := time.Now()
	for _, r := range list {
		p.host.pinner.Learn(r.Service(), r.Version(), now.Add(-r.Age()), now)
	}
	p.host.replicator.Keep(list)
}

func (p peerHandler) FindRecord(service, key string) pinner.Answer {
	return p.host.replicator.Answer(service, key)
}

func (p peerHandler) RecordStatus(process uint64) replicator.Status {
	return p.host.replicator.Status(process, p.host.archiver.RestatedEra())
}

func (p peerHandler) LearnSpeed(r procurer.SpeedReport) {
	if e := p.host.fleet.Current().Endpoint(r.Engine()); e != nil {
		p.host.speeds.Learn(e.ID(), e.Service(), []estimator.Sample{r.Slowdown()}, time.Now())
	}
}

func (p peerHandler) Mirror(table string) *mirrorer.Mirror { return p.host.mirrors[table] }
