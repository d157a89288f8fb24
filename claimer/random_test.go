package claimer_test

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/claimer"
	"github.com/dragonflyford/dragonflyford/classifier"
)

// TestMain fixes the seed of the random tests, so that their result is
// reproducible. The flag -rapid.seed sets another seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		_ = flag.Set("rapid.checks", "1000") // 100 scripts missed a repeat that ran a sent call again
	}
	_ = flag.Set("rapid.nofailfile", "true")
	m.Run()
}

// process is one run of a node.
type process struct {
	id      string
	claimer *claimer.Claimer
	mu      sync.Mutex
	dead    bool
}

func (p *process) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

// model runs a script of events on several nodes with one table. Attempts with the
// same key overlap, because callers repeat a key as soon as they give up.
type model struct {
	*cluster
	processes []*process
	started   int
	attempts  map[string]int
	calls     sync.WaitGroup

	mu         sync.Mutex
	violations []string
}

func (m *model) addViolation(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}

func (m *model) start(i int) {
	m.started++
	id := fmt.Sprintf("n%d@%d", i, m.started)
	m.processes[i] = &process{id: id, claimer: m.node(id)}
}

// kill stops a process, which then no longer reaches the table or the service, and
// starts the next one. The lease of the killed process expires 7 s later.
func (m *model) kill(i int) {
	p := m.processes[i]
	p.mu.Lock()
	p.dead = true
	p.mu.Unlock()
	p.claimer.Close()
	m.calls.Go(func() {
		time.Sleep(7 * time.Second)
		m.leases.expire(p.id)
	})
	m.start(i)
}

// expireLease lets the lease of a process end after remaining, and renews it once
// it has counted as expired for outage.
func (m *model) expireLease(p *process, remaining, outage time.Duration) {
	if !m.leases.stall(p.id, remaining) {
		return
	}
	m.calls.Go(func() {
		time.Sleep(remaining + leaseGuard)
		m.leases.expire(p.id)
		time.Sleep(outage)
		if !p.isDead() {
			m.leases.renew(p.id)
		}
	})
}

// call starts an attempt. If the attempt pauses for more than 7 s, the lease of its
// process expires.
func (m *model) call(p *process, k call) {
	if k.pause > 7*time.Second {
		k.onPause = func() { m.expireLease(p, minRemaining, time.Second) }
	}
	k.dead = p.isDead
	m.calls.Go(func() {
		outcome, _ := m.post(p.claimer, k)
		if _, ok := outcome.(classifier.NotRun); !ok || p.isDead() {
			return
		}
		if n := m.ledger.count(k.key); n > 0 {
			m.addViolation("attempt %d of key %s at %s is not-run, and the key ran %d times", k.attempt, k.key, p.id, n)
		}
	})
}

// step is one generated event. The whole script is generated before it runs,
// because rapid aborts a draw by a panic, which must not cross the boundary of a
// synctest bubble.
type step struct {
	Node, Action, Ahead int
	Fault               fault
	Key                 string
	Idle, Gap, Pause    time.Duration
	Timeout             time.Duration
	Refuse              bool
}

func drawStep(t *rapid.T) step {
	pauses := []int{0, 0, 0, 10, 1000, 4990, 5990, 6010, 7500, 12000}
	return step{
		Node:    rapid.IntRange(0, 2).Draw(t, "node"),
		Action:  rapid.IntRange(0, 9).Draw(t, "action"),
		Ahead:   rapid.IntRange(1, 4).Draw(t, "ahead"),
		Fault:   fault(rapid.IntRange(int(healthy), int(writtenAndDown)).Draw(t, "fault")),
		Key:     rapid.SampledFrom([]string{"x", "y"}).Draw(t, "key"),
		Idle:    time.Duration(rapid.IntRange(1, 8000).Draw(t, "idle")) * time.Millisecond,
		Gap:     time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond,
		Pause:   time.Duration(rapid.SampledFrom(pauses).Draw(t, "pause")) * time.Millisecond,
		Timeout: time.Duration(rapid.IntRange(1, 30).Draw(t, "timeout")) * time.Second,
		Refuse:  rapid.IntRange(0, 9).Draw(t, "refuse") == 0,
	}
}

func (m *model) step(s step) {
	switch s.Action {
	case 0:
		m.kill(s.Node)
	case 1:
		m.table.setDown(!m.table.isDown())
	case 2, 3:
		m.table.mu.Lock()
		m.table.fail[m.table.commits+s.Ahead] = s.Fault
		m.table.mu.Unlock()
	case 4:
		time.Sleep(s.Idle)
	case 5:
		m.expireLease(m.processes[s.Node], s.Idle%minRemaining, s.Pause)
	default:
		m.attempts[s.Key]++
		m.call(m.processes[s.Node], call{key: s.Key, attempt: m.attempts[s.Key], timeout: s.Timeout, pause: s.Pause, refuse: s.Refuse})
		time.Sleep(s.Gap)
	}
}

// run executes a script in virtual time and returns the violations.
func run(t *testing.T, script []step) []string {
	m := &model{cluster: newCluster(t), processes: make([]*process, 3), attempts: make(map[string]int)}
	m.asserts = asserter.New(func(v asserter.Violation) { m.addViolation("%s", v) })
	for i := range m.processes {
		m.start(i)
	}
	for _, s := range script {
		m.step(s)
	}
	m.table.setDown(false)
	m.calls.Wait()
	m.close()
	for _, key := range []string{"x", "y"} {
		if n := m.ledger.count(key); n > 1 {
			m.addViolation("key %s ran %d times", key, n)
		}
	}
	return m.violations
}

// Guards against a call that runs twice, or that is reported as not run after it
// ran, under random faults of the table, pauses, killed and replaced nodes, and
// overlapping repeats at several nodes.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Custom(drawStep), 5, 40).Draw(rt, "script")
		var violations []string
		synctest.Test(t, func(t *testing.T) { violations = run(t, script) })
		for _, v := range violations {
			rt.Error(v)
		}
	})
}
