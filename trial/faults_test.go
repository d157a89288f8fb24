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

// event is a kind of fault that the trial injects.
type event struct {
	name string
	act  func(w *world, ctx context.Context, rng *rand.Rand)
}

// Times of the faults.
const (
	meanBetweenFaults = 4 * time.Second
	longestFault      = 25 * time.Second
)

func duration(rng *rand.Rand) time.Duration {
	return time.Duration(rng.Int64N(int64(longestFault))) + time.Second
}

var events = []event{
	{"kill", func(w *world, ctx context.Context, rng *rand.Rand) {
		w.withHost(rng, func(h *deployer.Host) {
			h.Kill()
			sleep(ctx, duration(rng)/2)
			w.start(h)
		})
	}},
	{"freeze", func(w *world, ctx context.Context, rng *rand.Rand) {
		w.withHost(rng, func(h *deployer.Host) {
			h.Freeze()
			w.peersOf(h, func(c cut) { c.Hang() })
			sleep(ctx, duration(rng))
			w.peersOf(h, func(c cut) { c.Restore() })
			h.Reconnect()
		})
	}},
	{"planned stop", func(w *world, ctx context.Context, rng *rand.Rand) {
		w.withHost(rng, func(h *deployer.Host) {
			stopping, cancel := context.WithTimeout(w.ctx, time.Minute)
			defer cancel()
			if err := h.Stop(stopping); err != nil {
				w.count("planned stop failed")
			}
			sleep(ctx, duration(rng)/4)
			w.start(h)
		})
	}},
	{"table down", func(w *world, ctx context.Context, rng *rand.Rand) {
		w.platformFault(ctx, rng, w.fleet.Deployment().Table(), emulator.Down{})
	}},
	{"table slow", func(w *world, ctx context.Context, rng *rand.Rand) {
		w.platformFault(ctx, rng, w.fleet.Deployment().Table(), emulator.NewSlow(time.Duration(rng.IntN(1500))*time.Millisecond))
	}},
	{"table answers lost", func(w *world, ctx context.Context, rng *rand.Rand) {
		w.platformFault(ctx, rng, w.fleet.Deployment().Table(), emulator.NewAnswerLost(0, 0.3))
	}},
	{"objects down", func(w *world, ctx context.Context, rng *rand.Rand) {
		w.platformFault(ctx, rng, w.fleet.Deployment().Objects(), emulator.Down{})
	}},
	{"host list late", func(w *world, ctx context.Context, rng *rand.Rand) {
		w.platformFault(ctx, rng, w.fleet.Deployment().Hosts(), emulator.NewLag(20*time.Second))
	}},
	{"loads fail", func(w *world, ctx context.Context, rng *rand.Rand) {
		w.platformFault(ctx, rng, w.fleet.Deployment().Weights(), emulator.NewLoadFails(0, 0.5))
	}},
	{"engine restart", func(w *world, _ context.Context, rng *rand.Rand) {
		w.inject(w.anyEngine(rng), emulator.NewRestartCold(restartTime))
	}},
	{"engine down", func(w *world, ctx context.Context, rng *rand.Rand) {
		w.engineFault(ctx, rng, emulator.Down{})
	}},
	{"engine answers crossed", func(w *world, ctx context.Context, rng *rand.Rand) {
		w.engineFault(ctx, rng, emulator.NewCrossed(0, 0.2))
	}},
	{"engine answers lost", func(w *world, ctx context.Context, rng *rand.Rand) {
		w.engineFault(ctx, rng, emulator.NewAnswerLost(0, 0.2))
	}},
	{"service answers lost", func(w *world, ctx context.Context, rng *rand.Rand) {
		w.serviceFault(ctx, rng, emulator.NewAnswerLost(0, 0.3))
	}},
	{"service answers crossed", func(w *world, ctx context.Context, rng *rand.Rand) {
		w.serviceFault(ctx, rng, emulator.NewCrossed(0, 0.3))
	}},
	{"service down", func(w *world, ctx context.Context, rng *rand.Rand) {
		w.serviceFault(ctx, rng, emulator.Down{})
	}},
	{"region cut off", func(w *world, ctx context.Context, rng *rand.Rand) { w.cutRegion(ctx, rng, true) }},
	{"regions apart", func(w *world, ctx context.Context, rng *rand.Rand) { w.cutRegion(ctx, rng, false) }},
	{"endpoint drained", func(w *world, ctx context.Context, rng *rand.Rand) { w.drainEndpoint(ctx, rng) }},
	{"two operators", func(w *world, ctx context.Context, rng *rand.Rand) {
		first, second := w.anyAdapter(rng), w.anyAdapter(rng)
		w.faults.Go(func() { w.rollOut(ctx, "operator-1", first) })
		w.rollOut(ctx, "operator-2", second)
	}},
}

// runFaults injects faults until ctx ends, several at a time, and then waits for
// their ends.
func (w *world) runFaults(ctx context.Context) {
	rng := w.random(1)
	for ctx.Err() == nil {
		e := events[rng.IntN(len(events))]
		own := rand.New(rand.NewPCG(rng.Uint64(), 2))
		w.count("fault " + e.name)
		w.faults.Go(func() { e.act(w, ctx, own) })
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(meanBetweenFaults)))
	}
}

// withHost acts on a host that no other fault acts on.
func (w *world) withHost(rng *rand.Rand, act func(*deployer.Host)) {
	hosts := w.fleet.Hosts()
	h := hosts[rng.IntN(len(hosts))]
	w.mu.Lock()
	busy := w.busy[h.Name()]
	w.busy[h.Name()] = true
	w.mu.Unlock()
	if busy {
		return
	}
	act(h)
	w.mu.Lock()
	w.busy[h.Name()] = false
	w.mu.Unlock()
}

func (w *world) start(h *deployer.Host) {
	if err := h.Start(w.t.Context()); err != nil {
		w.t.Errorf("seed %d: start %s: %v", w.seed, h.Name(), err)
	}
}

// cut is a switch between two parts.
type cut interface {
	Refuse()
	Hang()
	Restore()
}

func (w *world) peersOf(h *deployer.Host, do func(cut)) {
	for _, other := range w.fleet.Hosts() {
		if other != h {
			do(w.fleet.NetworkFault(h, other))
		}
	}
}

// clearable is a fake whose faults can be ended.
type clearable interface {
	emulator.FaultInjector
	Clear()
}

func (w *world) platformFault(ctx context.Context, rng *rand.Rand, on clearable, f emulator.Fault) {
	w.inject(on, f)
	sleep(ctx, duration(rng))
	on.Clear()
}

func (w *world) anyEngine(rng *rand.Rand) *emulator.Engine {
	engines := w.engines()
	return engines[rng.IntN(len(engines))]
}

func (w *world) anyAdapter(rng *rand.Rand) string {
	models := w.fleet.Deployment().Models()
	return models[rng.IntN(len(models))].Adapter()
}

func (w *world) engineFault(ctx context.Context, rng *rand.Rand, f emulator.Fault) {
	e := w.anyEngine(rng)
	w.inject(e, f)
	sleep(ctx, duration(rng))
	e.Clear()
	w.inject(e, emulator.NewCrashOn(poison, restartTime))
}

func (w *world) serviceFault(ctx context.Context, rng *rand.Rand, f emulator.Fault) {
	var services []*emulator.Service
	for _, e := range w.endpoints() {
		if e.Service() != nil {
			services = append(services, e.Service())
		}
	}
	s := services[rng.IntN(len(services))]
	w.inject(s, f)
	sleep(ctx, duration(rng))
	s.Clear()
}

// cutRegion parts the nodes of one region from all others, and from the platform
// as well if asked.
func (w *world) cutRegion(ctx context.Context, rng *rand.Rand, platform bool) {
	regions := w.fleet.Deployment().Regions()
	region := regions[rng.IntN(len(regions))]
	each := func(do func(cut)) {
		for _, a := range w.fleet.Hosts() {
			if a.Region() != region {
				continue
			}
			if platform {
				do(a.PlatformFault())
			}
			for _, b := range w.fleet.Hosts() {
				if b.Region() != region {
					do(w.fleet.NetworkFault(a, b))
				}
			}
		}
	}
	each(func(c cut) { c.Refuse() })
	sleep(ctx, duration(rng))
	each(func(c cut) { c.Restore() })
}

// drainEndpoint asks for a planned stop of an endpoint and withdraws it.
func (w *world) drainEndpoint(ctx context.Context, rng *rand.Rand) {
	all := w.endpoints()
	key := drainer.Key(drainer.KindEndpoint, all[rng.IntN(len(all))].Name())
	table := w.fleet.Deployment().Table()
	err := table.Commit(w.t.Context(), storer.NewPut(key, nil, 0))
	if err != nil && !errors.Is(err, storer.ErrUncertain) {
		return
	}
	sleep(ctx, duration(rng))
	for w.ctx.Err() == nil {
		row, err := table.Get(w.t.Context(), key)
		if err == nil {
			err = table.Commit(w.t.Context(), storer.NewDelete(key, row.Version()))
		}
		if err == nil || errors.Is(err, storer.ErrNotFound) {
			return // an answer that was lost shows as a row that is gone
		}
		sleep(w.ctx, time.Second)
	}
	w.t.Error(fmt.Errorf("seed %d: drain row %s could not be removed", w.seed, key))
}
