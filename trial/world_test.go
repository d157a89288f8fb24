package trial_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/deployer"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/roller"
)

// Make-up of the deployment under trial. There are more adapters than slots
// (9 engines with 4 each), so that evictions never stop.
const (
	worldAdapters = 60
	callers       = 12
	pause         = 400 * time.Millisecond // mean time between the requests of one caller
	poison        = "CRASH-THE-ENGINE"
	restartTime   = 2 * time.Second
	// inForceWithin is the few seconds of promise P8.
	inForceWithin = 6 * time.Second
	settleTime    = 90 * time.Second
)

// world is a deployment with its callers and its faults.
type world struct {
	t     *testing.T
	seed  uint64
	fleet *deployer.Fleet

	mu       sync.Mutex
	counts   map[string]int
	postings map[string]*posting
	busy     map[string]bool // hosts that a fault acts on
	rollOuts []*rollOut
	offered  int // version of the last bundle

	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
	faults sync.WaitGroup
}

// rollOut is a bundle that an operator put in force, or tried to.
type rollOut struct {
	withdrawn map[string]bool
	began     time.Time
	accepted  time.Time // zero while it is not known to be in force
}

func newWorld(t *testing.T, seed uint64) *world {
	t.Helper()
	d, err := emulator.NewDeployment(emulator.Clearing,
		emulator.WithAdapters(worldAdapters), emulator.WithDeploymentSeed(seed),
		emulator.WithPlatform(emulator.WithLoadRate(8)))
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, seed: seed, counts: make(map[string]int), postings: make(map[string]*posting), busy: make(map[string]bool), offered: 1}
	asserts := asserter.New(func(v asserter.Violation) { t.Errorf("seed %d: %s", seed, v) })
	w.fleet, err = deployer.New(t.Context(), d, seed, deployer.WithAsserter(asserts))
	if err != nil {
		t.Fatal(err)
	}
	w.ctx, w.cancel = context.WithCancel(t.Context())
	w.poisonEngines()
	return w
}

func (w *world) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(w.seed, stream)) }

func (w *world) count(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[what]++
}

func (w *world) tally() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var lines []string
	for what, n := range w.counts {
		lines = append(lines, fmt.Sprintf("%s %d", what, n))
	}
	sort.Strings(lines)
	return lines
}

func (w *world) endpoints() []*emulator.Endpoint { return w.fleet.Deployment().Endpoints() }

func (w *world) engines() []*emulator.Engine {
	var engines []*emulator.Engine
	for _, e := range w.endpoints() {
		if e.Engine() != nil {
			engines = append(engines, e.Engine())
		}
	}
	return engines
}

// poisonEngines makes every engine crash on requests with the marker.
func (w *world) poisonEngines() {
	for _, e := range w.engines() {
		w.inject(e, emulator.NewCrashOn(poison, restartTime))
	}
}

func (w *world) inject(to emulator.FaultInjector, f emulator.Fault) {
	if err := to.Inject(f); err != nil {
		w.t.Errorf("seed %d: %v", w.seed, err)
	}
}

// run lets callers and faults act for a while.
func (w *world) run(length time.Duration) {
	for i := range callers {
		w.work.Go(func() { newCaller(w, i).run() })
	}
	ctx, cancel := context.WithTimeout(w.ctx, length)
	defer cancel()
	w.runFaults(ctx)
	w.faults.Wait()
}

// quiesce ends the faults and lets the callers finish what they have begun.
func (w *world) quiesce() {
	time.Sleep(settleTime)
	w.cancel()
	w.work.Wait()
}

// check looks at what must hold once nothing fails any more.
func (w *world) check() {
	executions := w.fleet.Deployment().Executions()
	for key, p := range w.postings {
		p.checkEnd(w, executions[key])
	}
	for key, n := range executions {
		if n > 1 && w.postings[key] != nil {
			w.t.Errorf("seed %d: posting %s ran %d times", w.seed, key, n)
		}
	}
	crashes := 0
	for i, e := range w.engines() {
		c := e.Counters()
		crashes += c.Crashes()
		if n := c.BrokenByUnload(); n > 0 {
			w.t.Errorf("seed %d: engine %d lost %d requests to evictions", w.seed, i, n)
		}
	}
	w.counts["crashes"] = crashes
	if !w.fleet.AllEnginesOwned() {
		w.t.Errorf("seed %d: an engine has no owner after %v without faults", w.seed, settleTime)
	}
	w.checkAlive()
}

// checkAlive sends one request through every node.
func (w *world) checkAlive() {
	for _, h := range w.fleet.Hosts() {
		ctx, cancel := context.WithTimeout(w.t.Context(), time.Minute)
		if err := newCaller(w, callers).generateAt(ctx, h, w.fleet.Deployment().Models()[1], "after the faults"); err != nil {
			w.t.Errorf("seed %d: node %s does not answer after the faults: %v", w.seed, h.Name(), err)
		}
		cancel()
	}
}

// document returns the bundle of a version with some adapters withdrawn.
func (w *world) document(version string, withdrawn map[string]bool) *bundler.Document {
	doc := w.fleet.Deployment().Bundle(version, nil)
	var kept []bundler.AdapterDocument
	for _, a := range doc.Adapters {
		if !withdrawn[a.Name] {
			kept = append(kept, a)
		}
	}
	doc.Adapters = kept
	return doc
}

// rollOut puts a bundle in force that withdraws one adapter, and later offers
// the adapter again.
func (w *world) rollOut(ctx context.Context, operator, adapter string) {
	if !w.accept(ctx, operator, map[string]bool{adapter: true}) {
		return
	}
	sleep(ctx, 4*inForceWithin)
	for w.ctx.Err() == nil && !w.accept(w.ctx, operator, nil) {
		sleep(w.ctx, inForceWithin)
	}
}

// accept rolls a bundle out. Without withdrawals it also takes the place of a
// roll-out that another operator left unfinished.
func (w *world) accept(ctx context.Context, operator string, withdrawn map[string]bool) bool {
	w.mu.Lock()
	w.offered++
	version := fmt.Sprint(w.offered)
	tried := &rollOut{withdrawn: withdrawn, began: time.Now()}
	w.rollOuts = append(w.rollOuts, tried)
	w.mu.Unlock()
	rollOut := w.fleet.Replace
	if withdrawn != nil {
		rollOut = func(ctx context.Context, operator string, doc *bundler.Document) (roller.Result, error) {
			return w.fleet.RollOut(ctx, operator, doc)
		}
	}
	result, err := rollOut(ctx, operator, w.document(version, withdrawn))
	if err != nil {
		w.count("roll-out failed")
		if testing.Verbose() {
			w.t.Logf("%v: %s: %v", time.Now().Format(time.TimeOnly), operator, err)
		}
		return false
	}
	switch result.(type) {
	case roller.Accepted:
		w.count("roll-out won")
		w.mu.Lock()
		tried.accepted = time.Now()
		w.mu.Unlock()
		return true
	default:
		w.count("roll-out not won")
		if testing.Verbose() {
			w.t.Logf("%v: %s: %v", time.Now().Format(time.TimeOnly), operator, result)
		}
		return false
	}
}

// withdrawnAt reports whether an adapter must not have been used for a request
// that started at a time: every bundle that may have been in force from then
// until now withdraws it.
func (w *world) withdrawnAt(adapter string, at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	var settled *rollOut // the last one that was in force everywhere
	for _, r := range w.rollOuts {
		if !r.accepted.IsZero() && at.Sub(r.accepted) > inForceWithin && (settled == nil || r.accepted.After(settled.accepted)) {
			settled = r
		}
	}
	if settled == nil || !settled.withdrawn[adapter] {
		return false
	}
	for _, r := range w.rollOuts {
		over := !r.accepted.IsZero() && r.accepted.Before(settled.began)
		if r != settled && !over && !r.withdrawn[adapter] {
			return false
		}
	}
	return true
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
