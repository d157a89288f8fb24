package trial_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dragonflyford/dragonflyford/deployer"
	"github.com/dragonflyford/dragonflyford/drainer"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/storer"
)

// faultKind is a kind of fault that the trial injects. Its inject function returns
// when the fault has ended.
type faultKind struct {
	name   string
	inject func(tr *trial, ctx context.Context, rng *rand.Rand)
}

// Mean time between injected faults and upper bound of their random duration, to
// which faultDuration adds one second.
const (
	meanFaultInterval = 4 * time.Second
	maxFaultDuration  = 25 * time.Second
)

func faultDuration(rng *rand.Rand) time.Duration {
	return time.Duration(rng.Int64N(int64(maxFaultDuration))) + time.Second
}

var faultKinds = []faultKind{
	{"kill", func(tr *trial, ctx context.Context, rng *rand.Rand) {
		tr.withHost(rng, func(h *deployer.Host) {
			h.Kill()
			sleep(ctx, faultDuration(rng)/2)
			tr.start(h)
		})
	}},
	{"freeze", func(tr *trial, ctx context.Context, rng *rand.Rand) {
		tr.withHost(rng, func(h *deployer.Host) {
			h.Freeze()
			tr.forEachPeer(h, func(f networkFault) { f.Hang() })
			sleep(ctx, faultDuration(rng))
			tr.forEachPeer(h, func(f networkFault) { f.Restore() })
			h.Reconnect()
		})
	}},
	{"planned stop", func(tr *trial, ctx context.Context, rng *rand.Rand) {
		tr.withHost(rng, func(h *deployer.Host) {
			stopping, cancel := context.WithTimeout(tr.ctx, time.Minute)
			defer cancel()
			if err := h.Stop(stopping); err != nil {
				tr.count("planned stop failed")
			}
			sleep(ctx, faultDuration(rng)/4)
			tr.start(h)
		})
	}},
	{"table down", func(tr *trial, ctx context.Context, rng *rand.Rand) {
		tr.platformFault(ctx, rng, tr.fleet.Deployment().Table(), emulator.Down{})
	}},
	{"table slow", func(tr *trial, ctx context.Context, rng *rand.Rand) {
		tr.platformFault(ctx, rng, tr.fleet.Deployment().Table(), emulator.NewSlow(time.Duration(rng.IntN(1500))*time.Millisecond))
	}},
	{"table answers lost", func(tr *trial, ctx context.Context, rng *rand.Rand) {
		tr.platformFault(ctx, rng, tr.fleet.Deployment().Table(), emulator.NewAnswerLost(0, 0.3))
	}},
	{"objects down", func(tr *trial, ctx context.Context, rng *rand.Rand) {
		tr.platformFault(ctx, rng, tr.fleet.Deployment().Objects(), emulator.Down{})
	}},
	{"host list late", func(tr *trial, ctx context.Context, rng *rand.Rand) {
		tr.platformFault(ctx, rng, tr.fleet.Deployment().Hosts(), emulator.NewLag(20*time.Second))
	}},
	{"loads fail", func(tr *trial, ctx context.Context, rng *rand.Rand) {
		tr.platformFault(ctx, rng, tr.fleet.Deployment().Weights(), emulator.NewLoadFails(0, 0.5))
	}},
	{"engine restart", func(tr *trial, _ context.Context, rng *rand.Rand) {
		tr.inject(tr.anyEngine(rng), emulator.NewRestartCold(restartTime))
	}},
	{"engine down", func(tr *trial, ctx context.Context, rng *rand.Rand) {
		tr.engineFault(ctx, rng, emulator.Down{})
	}},
	{"engine answers crossed", func(tr *trial, ctx context.Context, rng *rand.Rand) {
		tr.engineFault(ctx, rng, emulator.NewCrossed(0, 0.2))
	}},
	{"engine answers lost", func(tr *trial, ctx context.Context, rng *rand.Rand) {
		tr.engineFault(ctx, rng, emulator.NewAnswerLost(0, 0.2))
	}},
	{"service answers lost", func(tr *trial, ctx context.Context, rng *rand.Rand) {
		tr.serviceFault(ctx, rng, emulator.NewAnswerLost(0, 0.3))
	}},
	{"service answers crossed", func(tr *trial, ctx context.Context, rng *rand.Rand) {
		tr.serviceFault(ctx, rng, emulator.NewCrossed(0, 0.3))
	}},
	{"service down", func(tr *trial, ctx context.Context, rng *rand.Rand) {
		tr.serviceFault(ctx, rng, emulator.Down{})
	}},
	{"region isolated", func(tr *trial, ctx context.Context, rng *rand.Rand) { tr.isolateRegion(ctx, rng, true) }},
	{"region isolated from other regions", func(tr *trial, ctx context.Context, rng *rand.Rand) { tr.isolateRegion(ctx, rng, false) }},
	{"endpoint drained", func(tr *trial, ctx context.Context, rng *rand.Rand) { tr.drainEndpoint(ctx, rng) }},
	{"two operators", func(tr *trial, ctx context.Context, rng *rand.Rand) {
		first, second := tr.anyAdapter(rng), tr.anyAdapter(rng)
		tr.faults.Go(func() { tr.rollOut(ctx, "operator-1", first) })
		tr.rollOut(ctx, "operator-2", second)
	}},
}

// runFaults injects faults at random intervals until ctx ends. Faults may overlap,
// and those that have not ended yet are waited for with tr.faults.
func (tr *trial) runFaults(ctx context.Context) {
	rng := tr.random(1)
	for ctx.Err() == nil {
		kind := faultKinds[rng.IntN(len(faultKinds))]
		faultRNG := rand.New(rand.NewPCG(rng.Uint64(), 2))
		tr.count("fault " + kind.name)
		tr.faults.Go(func() { kind.inject(tr, ctx, faultRNG) })
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(meanFaultInterval)))
	}
}

// withHost calls act with a random host, unless another fault is active on that
// host.
func (tr *trial) withHost(rng *rand.Rand, act func(*deployer.Host)) {
	hosts := tr.fleet.Hosts()
	h := hosts[rng.IntN(len(hosts))]
	tr.mu.Lock()
	busy := tr.faultyHosts[h.Name()]
	tr.faultyHosts[h.Name()] = true
	tr.mu.Unlock()
	if busy {
		return
	}
	act(h)
	tr.mu.Lock()
	tr.faultyHosts[h.Name()] = false
	tr.mu.Unlock()
}

func (tr *trial) start(h *deployer.Host) {
	if err := h.Start(tr.t.Context()); err != nil {
		tr.t.Errorf("seed %d: start %s: %v", tr.seed, h.Name(), err)
	}
}

// networkFault interrupts and restores the connections between two parties.
type networkFault interface {
	Refuse()
	Hang()
	Restore()
}

func (tr *trial) forEachPeer(h *deployer.Host, do func(networkFault)) {
	for _, other := range tr.fleet.Hosts() {
		if other != h {
			do(tr.fleet.NetworkFault(h, other))
		}
	}
}

// clearable is a fake whose faults can be cleared.
type clearable interface {
	emulator.FaultInjector
	Clear()
}

func (tr *trial) platformFault(ctx context.Context, rng *rand.Rand, on clearable, f emulator.Fault) {
	tr.inject(on, f)
	sleep(ctx, faultDuration(rng))
	on.Clear()
}

func (tr *trial) anyEngine(rng *rand.Rand) *emulator.Engine {
	engines := tr.engines()
	return engines[rng.IntN(len(engines))]
}

func (tr *trial) anyAdapter(rng *rand.Rand) string {
	models := tr.fleet.Deployment().Models()
	return models[rng.IntN(len(models))].Adapter()
}

func (tr *trial) engineFault(ctx context.Context, rng *rand.Rand, f emulator.Fault) {
	e := tr.anyEngine(rng)
	tr.inject(e, f)
	sleep(ctx, faultDuration(rng))
	e.Clear()
	tr.inject(e, emulator.NewCrashOn(poison, restartTime))
}

func (tr *trial) serviceFault(ctx context.Context, rng *rand.Rand, f emulator.Fault) {
	var services []*emulator.Service
	for _, e := range tr.endpoints() {
		if e.Service() != nil {
			services = append(services, e.Service())
		}
	}
	s := services[rng.IntN(len(services))]
	tr.inject(s, f)
	sleep(ctx, faultDuration(rng))
	s.Clear()
}

// isolateRegion partitions the nodes of a random region from the nodes of all other
// regions, and from the platform too if platform is set.
func (tr *trial) isolateRegion(ctx context.Context, rng *rand.Rand, platform bool) {
	regions := tr.fleet.Deployment().Regions()
	region := regions[rng.IntN(len(regions))]
	forEachLink := func(do func(networkFault)) {
		for _, a := range tr.fleet.Hosts() {
			if a.Region() != region {
				continue
			}
			if platform {
				do(a.PlatformFault())
			}
			for _, b := range tr.fleet.Hosts() {
				if b.Region() != region {
					do(tr.fleet.NetworkFault(a, b))
				}
			}
		}
	}
	forEachLink(func(f networkFault) { f.Refuse() })
	sleep(ctx, faultDuration(rng))
	forEachLink(func(f networkFault) { f.Restore() })
}

// drainEndpoint puts the drain row of a random endpoint, which requests its planned
// stop, and later deletes the row.
func (tr *trial) drainEndpoint(ctx context.Context, rng *rand.Rand) {
	all := tr.endpoints()
	key := drainer.Key(drainer.KindEndpoint, all[rng.IntN(len(all))].Name())
	table := tr.fleet.Deployment().Table()
	err := table.Commit(tr.t.Context(), storer.NewPut(key, nil, 0))
	if err != nil && !errors.Is(err, storer.ErrUncertain) {
		return
	}
	sleep(ctx, faultDuration(rng))
	for tr.ctx.Err() == nil {
		row, err := table.Get(tr.t.Context(), key)
		if err == nil {
			err = table.Commit(tr.t.Context(), storer.NewDelete(key, row.Version()))
		}
		if err == nil || errors.Is(err, storer.ErrNotFound) {
			return // the row is gone also if the response to an earlier delete was lost
		}
		sleep(tr.ctx, time.Second)
	}
	tr.t.Error(fmt.Errorf("seed %d: drain row %s was not deleted", tr.seed, key))
}
