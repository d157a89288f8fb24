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

// Sizes and times of the deployment under trial. There are more adapters than slots
// (9 engines with 4 each), so that evictions occur throughout the run.
const (
	trialAdapters = 60
	callers       = 12
	pause         = 400 * time.Millisecond // mean time between the requests of one caller
	poison        = "CRASH-THE-ENGINE"
	restartTime   = 2 * time.Second
	// inForceWithin is the time within which an accepted bundle must be in force on
	// every node: the few seconds that promise P8 allows.
	inForceWithin = 6 * time.Second
	settleTime    = 90 * time.Second
)

// trial is one run of a deployment with its callers and its injected faults.
type trial struct {
	t     *testing.T
	seed  uint64
	fleet *deployer.Fleet

	mu          sync.Mutex
	counts      map[string]int
	postings    map[string]*posting
	faultyHosts map[string]bool // names of the hosts that a fault acts on
	rollOuts    []*rollOut
	lastVersion int // version of the newest bundle that an operator created

	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
	faults sync.WaitGroup
}

// rollOut is an operator's attempt to put a bundle in force.
type rollOut struct {
	withdrawn map[string]bool
	started   time.Time
	accepted  time.Time // zero while the bundle is not known to be in force
}

func newTrial(t *testing.T, seed uint64) *trial {
	t.Helper()
	d, err := emulator.NewDeployment(emulator.Clearing,
		emulator.WithAdapters(trialAdapters), emulator.WithDeploymentSeed(seed),
		emulator.WithPlatform(emulator.WithLoadRate(8)))
	if err != nil {
		t.Fatal(err)
	}
	tr := &trial{t: t, seed: seed, counts: make(map[string]int), postings: make(map[string]*posting), faultyHosts: make(map[string]bool), lastVersion: 1}
	asserts := asserter.New(func(v asserter.Violation) { t.Errorf("seed %d: %s", seed, v) })
	tr.fleet, err = deployer.New(t.Context(), d, seed, deployer.WithAsserter(asserts))
	if err != nil {
		t.Fatal(err)
	}
	tr.ctx, tr.cancel = context.WithCancel(t.Context())
	tr.poisonEngines()
	return tr
}

func (tr *trial) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(tr.seed, stream)) }

func (tr *trial) count(name string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.counts[name]++
}

func (tr *trial) tally() []string {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var lines []string
	for name, n := range tr.counts {
		lines = append(lines, fmt.Sprintf("%s %d", name, n))
	}
	sort.Strings(lines)
	return lines
}

func (tr *trial) endpoints() []*emulator.Endpoint { return tr.fleet.Deployment().Endpoints() }

func (tr *trial) engines() []*emulator.Engine {
	var engines []*emulator.Engine
	for _, e := range tr.endpoints() {
		if e.Engine() != nil {
			engines = append(engines, e.Engine())
		}
	}
	return engines
}

// poisonEngines makes every engine crash on requests that contain poison.
func (tr *trial) poisonEngines() {
	for _, e := range tr.engines() {
		tr.inject(e, emulator.NewCrashOn(poison, restartTime))
	}
}

func (tr *trial) inject(to emulator.FaultInjector, f emulator.Fault) {
	if err := to.Inject(f); err != nil {
		tr.t.Errorf("seed %d: %v", tr.seed, err)
	}
}

// run starts the callers, injects faults for the given time and waits for the
// faults to end.
func (tr *trial) run(length time.Duration) {
	for i := range callers {
		tr.work.Go(func() { newCaller(tr, i).run() })
	}
	ctx, cancel := context.WithTimeout(tr.ctx, length)
	defer cancel()
	tr.runFaults(ctx)
	tr.faults.Wait()
}

// quiesce lets the deployment settle without faults, then stops the callers and
// waits for them.
func (tr *trial) quiesce() {
	time.Sleep(settleTime)
	tr.cancel()
	tr.work.Wait()
}

// check verifies the final state of the deployment after all faults have ended.
func (tr *trial) check() {
	executions := tr.fleet.Deployment().Executions()
	for key, p := range tr.postings {
		p.checkFinalOutcome(tr, executions[key])
	}
	for key, n := range executions {
		if n > 1 && tr.postings[key] != nil {
			tr.t.Errorf("seed %d: posting %s ran %d times", tr.seed, key, n)
		}
	}
	crashes := 0
	for i, e := range tr.engines() {
		c := e.Counters()
		crashes += c.Crashes()
		if n := c.BrokenByUnload(); n > 0 {
			tr.t.Errorf("seed %d: engine %d interrupted %d requests by evicting their adapter", tr.seed, i, n)
		}
	}
	tr.counts["crashes"] = crashes
	if !tr.fleet.AllEnginesOwned() {
		tr.t.Errorf("seed %d: an engine has no owner after %v without faults", tr.seed, settleTime)
	}
	tr.checkAlive()
}

// checkAlive sends one request through every node.
func (tr *trial) checkAlive() {
	for _, h := range tr.fleet.Hosts() {
		ctx, cancel := context.WithTimeout(tr.t.Context(), time.Minute)
		if err := newCaller(tr, callers).generateAt(ctx, h, tr.fleet.Deployment().Models()[1], "after the faults"); err != nil {
			tr.t.Errorf("seed %d: node %s does not answer after the faults: %v", tr.seed, h.Name(), err)
		}
		cancel()
	}
}

// document returns the document of a bundle version without the withdrawn adapters.
func (tr *trial) document(version string, withdrawn map[string]bool) *bundler.Document {
	doc := tr.fleet.Deployment().Bundle(version, nil)
	var kept []bundler.AdapterDocument
	for _, a := range doc.Adapters {
		if !withdrawn[a.Name] {
			kept = append(kept, a)
		}
	}
	doc.Adapters = kept
	return doc
}

// rollOut rolls out a bundle that withdraws one adapter, and later a bundle that
// contains it again.
func (tr *trial) rollOut(ctx context.Context, operator, adapter string) {
	if !tr.tryRollOut(ctx, operator, map[string]bool{adapter: true}) {
		return
	}
	sleep(ctx, 4*inForceWithin)
	for tr.ctx.Err() == nil && !tr.tryRollOut(tr.ctx, operator, nil) {
		sleep(tr.ctx, inForceWithin)
	}
}

// tryRollOut rolls out a bundle and reports whether it was accepted. Without
// withdrawals it also replaces a roll-out that another operator left unfinished.
func (tr *trial) tryRollOut(ctx context.Context, operator string, withdrawn map[string]bool) bool {
	tr.mu.Lock()
	tr.lastVersion++
	version := fmt.Sprint(tr.lastVersion)
	attempt := &rollOut{withdrawn: withdrawn, started: time.Now()}
	tr.rollOuts = append(tr.rollOuts, attempt)
	tr.mu.Unlock()
	apply := tr.fleet.Replace
	if withdrawn != nil {
		apply = func(ctx context.Context, operator string, doc *bundler.Document) (roller.Result, error) {
			return tr.fleet.RollOut(ctx, operator, doc)
		}
	}
	result, err := apply(ctx, operator, tr.document(version, withdrawn))
	if err != nil {
		tr.count("roll-out failed")
		if testing.Verbose() {
			tr.t.Logf("%v: %s: %v", time.Now().Format(time.TimeOnly), operator, err)
		}
		return false
	}
	switch result.(type) {
	case roller.Accepted:
		tr.count("roll-out accepted")
		tr.mu.Lock()
		attempt.accepted = time.Now()
		tr.mu.Unlock()
		return true
	default:
		tr.count("roll-out not accepted")
		if testing.Verbose() {
			tr.t.Logf("%v: %s: %v", time.Now().Format(time.TimeOnly), operator, result)
		}
		return false
	}
}

// withdrawnAt reports whether an adapter must not have answered a request that
// started at the given time, because every bundle that may have been in force since
// then withdraws the adapter.
func (tr *trial) withdrawnAt(adapter string, at time.Time) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var settled *rollOut // the last roll-out known to be in force on every node
	for _, r := range tr.rollOuts {
		if !r.accepted.IsZero() && at.Sub(r.accepted) > inForceWithin && (settled == nil || r.accepted.After(settled.accepted)) {
			settled = r
		}
	}
	if settled == nil || !settled.withdrawn[adapter] {
		return false
	}
	for _, r := range tr.rollOuts {
		superseded := !r.accepted.IsZero() && r.accepted.Before(settled.started)
		if r != settled && !superseded && !r.withdrawn[adapter] {
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
