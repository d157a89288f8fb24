package assembler

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/dragonflyford/dragonflyford/chainer"
	"github.com/dragonflyford/dragonflyford/configurer"
	"github.com/dragonflyford/dragonflyford/enroller"
	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/follower"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/messenger"
	"github.com/dragonflyford/dragonflyford/meter"
	"github.com/dragonflyford/dragonflyford/platform"
	"github.com/dragonflyford/dragonflyford/procurer"
	"github.com/dragonflyford/dragonflyford/rationer"
	"github.com/dragonflyford/dragonflyford/referrer"
	"github.com/dragonflyford/dragonflyford/relayer"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/screener"
	"github.com/dragonflyford/dragonflyford/selector"
	"github.com/dragonflyford/dragonflyford/supplier"
	"github.com/dragonflyford/dragonflyford/tracker"
)

const (
	// tableFleet holds the rows of the system's own hosts.
	tableFleet = "fleet"
	// lostAfter is the silence after which callers are sent to other hosts: three
	// renewals and the pause of the feed.
	lostAfter = 4 * time.Second
	// restMargin is added to the time between the orders of two owners.
	restMargin = 500 * time.Millisecond
	// The store may hold a call back for this time while nothing changes.
	feedWait = 2500 * time.Millisecond
	// Pauses between two calls gather changes; the configuration rarely changes and
	// must be in force soon.
	configPause   = 50 * time.Millisecond
	endpointPause = 800 * time.Millisecond
	fleetPause    = 1200 * time.Millisecond
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
	engines   *platform.Engines
	router    *router.Router
	fleet     *tracker.Tracker
	members   *enroller.Enroller
	supplier  *supplier.Supplier
	messenger *messenger.Messenger
	screener  *screener.Screener
	exchanger *exchanger.Client
	referrer  *referrer.Referrer
	front     *platform.Front
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
	h.store = platform.NewStore(settings.Store())
	h.engines = platform.NewEngines(settings.Address())
	h.router = router.New()
	h.fleet = tracker.New(settings.Regions())
	own := h.store.Table(tableFleet)
	h.members = enroller.New(
		enroller.NewSelf(settings.Address(), settings.Callers(), settings.Peers(), settings.DataCentre(), settings.Region(), settings.Share()),
		enroller.NewTimes(settings.Renew(), settings.Lease(), settings.Guard(), settings.Turns()+restMargin, lostAfter),
		own, log)
	h.supplier = supplier.New(h.engines, rights{h.members}, h.engineSettings, h.fleet, log)
	h.screener = screener.New(log)
	var err error
	if h.messenger, err = messenger.New(peers{h.supplier, h.screener}); err != nil {
		return nil, fmt.Errorf("build messenger: %w", err)
	}
	h.exchanger = exchanger.New(platform.Dialect{})
	h.referrer = referrer.New(h.members)
	h.front = platform.NewFront(h.path(settings, log), settings.BodyBytes(), h.leaving.Load, h.ended)
	h.followers = []*follower.Follower{
		follower.New(platform.TableOperator, h.store.Table(platform.TableOperator), operatorReader{h}, feedWait, configPause, log),
		follower.New(platform.TableEndpoints, h.store.Table(platform.TableEndpoints), endpointReader{h}, feedWait, endpointPause, log),
		follower.New(tableFleet, own, h.members, feedWait, fleetPause, log),
	}
	h.endpoints = h.followers[1]
	return h, nil
}

// path joins the stages of a call.
func (h *Host) path(settings *configurer.Entry, log *logger.Logger) chainer.Filter[*router.Call, *relayer.Answer] {
	hosts := func() int { return h.members.View().Count() }
	ration := rationer.New(rationer.NewLimits(settings.RepeatRatio(), settings.RepeatSlack(), settings.RepeatWindow()), hosts)
	relay := relayer.New(
		selector.New(h.fleet, settings.DataCentre(), settings.Region()),
		procurer.New(h.supplier, h.messenger, h.members),
		h.exchanger, ration, h.screener, hosts, log)
	screened := chainer.Join[*router.Call, *router.Routed, *screener.Screened](h.router, h.screener)
	return chainer.Join[*router.Call, *screener.Screened, *relayer.Answer](screened, relay)
}

func (h *Host) engineSettings(service string) *router.Engines {
	t := h.router.Current()
	if t == nil {
		return nil
	}
	if s := t.Service(service); s != nil {
		return s.Engines()
	}
	return nil
}

// ready reports whether the host can serve calls.
func (h *Host) ready() bool { return !h.leaving.Load() && h.router.Current() != nil }

// rights gives the supplier the right to send orders.
type rights struct{ members *enroller.Enroller }

func (r rights) Right(engine string) (uint64, time.Duration, bool) {
	o, ok := r.members.Owns(engine)
	return o.Token(), o.Left(), ok
}

// peers answers other hosts.
type peers struct {
	supplier *supplier.Supplier
	screener *screener.Screener
}

func (p peers) Supply(ctx context.Context, w supplier.Want) supplier.Supply {
	return p.supplier.Supply(ctx, w)
}

func (p peers) Accuse(marks []screener.Mark) { p.screener.Learn(marks) }
