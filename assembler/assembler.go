package assembler

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/awaiter"
	"github.com/dragonflyford/dragonflyford/chainer"
	"github.com/dragonflyford/dragonflyford/configurer"
	"github.com/dragonflyford/dragonflyford/enroller"
	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/follower"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/messenger"
	"github.com/dragonflyford/dragonflyford/meter"
	"github.com/dragonflyford/dragonflyford/mirrorer"
	"github.com/dragonflyford/dragonflyford/pinger"
	"github.com/dragonflyford/dragonflyford/platform"
	"github.com/dragonflyford/dragonflyford/procurer"
	"github.com/dragonflyford/dragonflyford/rationer"
	"github.com/dragonflyford/dragonflyford/referrer"
	"github.com/dragonflyford/dragonflyford/relayer"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/screener"
	"github.com/dragonflyford/dragonflyford/selector"
	"github.com/dragonflyford/dragonflyford/subscriber"
	"github.com/dragonflyford/dragonflyford/supplier"
	"github.com/dragonflyford/dragonflyford/tracker"
)

const (
	// tableFleet holds the rows of the system's own hosts.
	tableFleet = "fleet"
	// lostMargin is added to the time between two renewals of a host's row: a renewal
	// may fail once, and the feed is up to three seconds old.
	lostMargin = 4 * time.Second
	// restMargin is added to the time between the orders of two owners.
	restMargin = 500 * time.Millisecond
	// The store may hold a call back for this time while nothing changes. Every
	// host follows the configuration itself, because one that is in touch with the
	// store must not depend on another that is not. The call is held back for long;
	// should its connection go silent, the hosts of the data centre tell each other
	// their versions.
	configWait  = 20 * time.Second
	configPause = 50 * time.Millisecond
	// One host of each data centre follows these tables at the store. The waits and
	// pauses bound the age of its copy, by which the others see that it lost the
	// store.
	endpointWait   = 400 * time.Millisecond
	endpointPause  = 600 * time.Millisecond
	endpointMaxAge = 1300 * time.Millisecond
	fleetWait      = time.Second
	fleetPause     = 1200 * time.Millisecond
	fleetMaxAge    = 3 * time.Second
	// memoryShare is the part of the memory that the heap may fill. The rest is for
	// stacks, sockets and the program itself.
	memoryShare = 0.6
)

// Host is an entry host.
type Host struct {
	settings atomic.Pointer[configurer.Entry]
	log      *logger.Logger
	meter    *meter.Meter
	counts   *counts

	store     *platform.Store
	engines   *platform.EngineClient
	awaiter   *awaiter.Awaiter
	routed    func() // says that routes are known
	listed    func() // says that the endpoints are known
	router    *router.Router
	fleet     *tracker.Tracker
	members   *enroller.Enroller
	supplier  *supplier.Supplier
	messenger *messenger.Messenger
	screener  *screener.Screener
	exchanger *exchanger.Client
	referrer  *referrer.Referrer
	pinger    *pinger.Pinger
	mirrors   map[string]*mirrorer.Mirror
	front     *platform.FrontEnd
	operator  *follower.Follower
	endpoints *follower.Follower
	followers []*follower.Follower
	leaving   atomic.Bool
}

// New builds a host that is not running.
func New(settings *configurer.Entry, log *logger.Logger) (*Host, error) {
	debug.SetMemoryLimit(int64(float64(settings.MemoryMB()<<20) * memoryShare))
	h := &Host{log: log.Component("assembler")}
	h.settings.Store(settings)
	h.meter = meter.New(settings.Name(), settings.Region(), settings.DataCentre(), func(err error) {
		h.log.Error("metric-not-registered", logger.Err(err))
	})
	h.counts = newCounts(h.meter.Scope())
	log = log.Counting(h.counts.events.Inc)
	h.log = log.Component("assembler")
	h.store = platform.NewStore(settings.Store())
	h.engines = platform.NewEngineClient(settings.Address())
	var meet []func()
	h.awaiter, meet = awaiter.New(2, log)
	h.routed, h.listed = meet[0], meet[1]
	h.router = router.New()
	h.fleet = tracker.New(settings.Regions())
	own := h.store.Table(tableFleet)
	h.members = enroller.New(
		enroller.NewLocalHost(settings.Address(), settings.Callers(), settings.Peers(), settings.DataCentre(), settings.Region(), settings.LinkMbps()),
		enroller.NewTiming(settings.Renew(), settings.Lease(), settings.Guard(), settings.Turns()+restMargin, settings.Renew()+lostMargin),
		own, log)
	h.supplier = supplier.New(h.engines, rights{h.members}, h.engineSettings, h.fleet, log)
	h.screener = screener.New(log)
	var err error
	h.mirrors = map[string]*mirrorer.Mirror{
		platform.TableEndpoints: mirrorer.New(endpointReader{h}),
		tableFleet:              mirrorer.New(h.members),
	}
	if h.messenger, err = messenger.New(peers{h}); err != nil {
		return nil, fmt.Errorf("build messenger: %w", err)
	}
	h.exchanger = exchanger.New(platform.Dialect{})
	h.pinger = pinger.New(settings.Address(), h.neighbourAddresses, h.state, func() { h.operator.Refresh() }, log)
	h.referrer = referrer.New(h.members, h.pinger)
	h.front = platform.NewFrontEnd(h.path(settings, log), h.bodyBytes, h.leaving.Load, h.ended)
	h.endpoints = h.followVia(platform.TableEndpoints, endpointWait, endpointPause, endpointMaxAge, log)
	h.operator = follower.New(platform.TableOperator, h.store.Table(platform.TableOperator), operatorReader{h}, configWait, configPause, log)
	h.followers = []*follower.Follower{
		h.operator,
		h.endpoints,
		h.followVia(tableFleet, fleetWait, fleetPause, fleetMaxAge, log),
	}
	return h, nil
}

// followVia returns a follower of a table that one host of each data centre
// follows at the store.
func (h *Host) followVia(table string, wait, pause, maxAge time.Duration, log *logger.Logger) *follower.Follower {
	feed := subscriber.New(table, h.store.Table(table), h.messenger, subscriber.NewPeer(h.members.Self(), "", h.settings.Load().LinkMbps()), h.neighbours, maxAge, log)
	return follower.New(table, feed, h.mirrors[table], wait, pause, log)
}

// state is what this host tells the others of its data centre.
func (h *Host) state() pinger.State {
	var version int64
	if t := h.router.Current(); t != nil {
		version = t.Version()
	}
	return pinger.NewState(h.leaving.Load(), version)
}

// path joins the stages of a call.
func (h *Host) path(settings *configurer.Entry, log *logger.Logger) chainer.Filter[*router.Call, *relayer.Answer] {
	hosts := func() int { return h.members.View().LiveCount() }
	ration := rationer.New(rationer.NewLimits(settings.RepeatRatio(), settings.RepeatSlack(), settings.RepeatWindow()), hosts)
	relay := relayer.New(
		selector.New(h.fleet, settings.DataCentre(), settings.Region()),
		procurer.New(h.supplier, h.messenger, h.members),
		h.exchanger, ration, h.screener, hosts, log)
	routed := chainer.Join[*router.Call, *router.Call, *router.Routed](h.awaiter, h.router)
	screened := chainer.Join[*router.Call, *router.Routed, *screener.Screened](routed, h.screener)
	return chainer.Join[*router.Call, *screener.Screened, *relayer.Answer](screened, relay)
}

func (h *Host) engineSettings(service string) *router.EngineSpec {
	t := h.router.Current()
	if t == nil {
		return nil
	}
	if s := t.Service(service); s != nil {
		return s.EngineSpec()
	}
	return nil
}

// bodyBytes returns the longest body of a call: that of the configuration, else
// that of the settings.
func (h *Host) bodyBytes() int64 {
	if t := h.router.Current(); t != nil && t.Limits().BodyBytes() > 0 {
		return t.Limits().BodyBytes()
	}
	return h.settings.Load().BodyBytes()
}

// idleTime returns how long a caller's connection may be without a call.
func (h *Host) idleTime() time.Duration {
	if t := h.router.Current(); t != nil && t.Limits().IdleTimeout() > 0 {
		return t.Limits().IdleTimeout()
	}
	return h.settings.Load().IdleTimeout()
}

// ready reports whether the host can serve calls.
func (h *Host) ready() bool { return !h.leaving.Load() && h.awaiter.Ready() }

// rights gives the supplier the right to send orders.
type rights struct{ members *enroller.Enroller }

func (r rights) Lease(engine string) (uint64, time.Duration, bool) {
	o, ok := r.members.Owns(engine)
	return o.Token(), o.Remaining(), ok
}

// peers answers other hosts.
type peers struct{ host *Host }

func (p peers) Reserve(ctx context.Context, w supplier.ReserveRequest) supplier.ReserveResponse {
	return p.host.supplier.Reserve(ctx, w)
}

func (p peers) ApplyMarks(marks []screener.Mark) { p.host.screener.ApplyMarks(marks) }

func (p peers) Mirror(table string) *mirrorer.Mirror { return p.host.mirrors[table] }
