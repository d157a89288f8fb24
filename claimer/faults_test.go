package claimer_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/claimer"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/storer"
)

// fault is the behaviour of the table for one commit.
type fault int

const (
	healthy        fault = iota
	downBefore           // not written; the table is down from then on
	conflict             // the commit conflicts once
	answerLost           // written; the answer is lost
	writeLost            // not written; the answer is lost
	writeLate            // the answer is lost; written after lateWriteDelay
	lostAndDown          // written; the answer is lost; the table is down from then on
	writtenAndDown       // written and answered; the table is down from then on
)

// faultyTable injects a fault into the n-th commit.
type faultyTable struct {
	*emulator.Table
	mu      sync.Mutex
	down    bool
	fail    map[int]fault // by number of the commit, from 1
	commits int
	late    sync.WaitGroup
}

const (
	tableLatency   = 2 * time.Millisecond
	lateWriteDelay = 3 * time.Second
)

func newFaultyTable() *faultyTable {
	return &faultyTable{Table: emulator.NewTable(), fail: make(map[int]fault)}
}

func (t *faultyTable) setDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

func (t *faultyTable) isDown() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.down
}

func (t *faultyTable) Get(ctx context.Context, key string) (storer.Row, error) {
	time.Sleep(tableLatency)
	if t.isDown() {
		return storer.Row{}, storer.ErrUnavailable
	}
	return t.Table.Get(ctx, key)
}

func (t *faultyTable) next() fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return downBefore
	}
	t.commits++
	f := t.fail[t.commits]
	t.down = f == downBefore || f == lostAndDown || f == writtenAndDown
	return f
}

func (t *faultyTable) Commit(ctx context.Context, writes ...storer.Write) error {
	time.Sleep(tableLatency)
	switch t.next() {
	case downBefore:
		return storer.ErrUnavailable
	case conflict:
		return storer.NewConflictError(writes[0].Key())
	case writeLost:
		return storer.ErrUncertain
	case writeLate:
		t.late.Go(func() {
			time.Sleep(lateWriteDelay)
			_ = t.Table.Commit(context.Background(), writes...)
		})
		return storer.ErrUncertain
	case answerLost, lostAndDown:
		if err := t.Table.Commit(ctx, writes...); err != nil {
			return err
		}
		return storer.ErrUncertain
	default:
		return t.Table.Commit(ctx, writes...)
	}
}

// ledger counts executions per key.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]string
}

func (l *ledger) run(key, attempt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[key] = append(l.runs[key], attempt)
}

func (l *ledger) count(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs[key])
}

// leases controls the leases of the nodes of a cluster.
type leases struct {
	mu      sync.Mutex
	expired map[string]bool
	ends    map[string]time.Time // lease ends of nodes that cannot renew
}

// Timing of a lease that is renewed.
const (
	minRemaining = 4 * time.Second
	leaseGuard   = time.Second
)

func (l *leases) expire(node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expired[node] = true
}

// stall stops the renewal of a node's lease, which then ends after remaining. It
// returns false if the renewal is stopped already.
func (l *leases) stall(node string, remaining time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.ends[node]; ok {
		return false
	}
	l.ends[node] = time.Now().Add(remaining)
	return true
}

// renew gives a node a new lease that is renewed.
func (l *leases) renew(node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.ends, node)
	delete(l.expired, node)
}

func (l *leases) end(node string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if end, ok := l.ends[node]; ok {
		return end
	}
	return time.Now().Add(minRemaining)
}

func (l *leases) Expired(node string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.expired[node]
}

// nodeLiveness is the liveness as one node sees it.
type nodeLiveness struct {
	*leases
	node string
}

func (l nodeLiveness) LeaseEnd() time.Time { return l.end(l.node) }

// cluster is a group of claimers that share one table and one service.
type cluster struct {
	t        testing.TB
	table    *faultyTable
	ledger   *ledger
	leases   *leases
	asserts  *asserter.Asserter
	claimers []*claimer.Claimer
}

func newCluster(t testing.TB) *cluster {
	return &cluster{
		t:       t,
		table:   newFaultyTable(),
		ledger:  &ledger{runs: make(map[string][]string)},
		leases:  &leases{expired: make(map[string]bool), ends: make(map[string]time.Time)},
		asserts: asserter.New(func(v asserter.Violation) { t.Errorf("%s", v) }),
	}
}

// withCluster runs a test in virtual time on a new cluster.
func withCluster(t *testing.T, test func(t *testing.T, is *is.I, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		defer c.close()
		test(t, is.New(t), c)
	})
}

func (c *cluster) node(name string) *claimer.Claimer {
	n := claimer.New(c.table, name, c.asserts, claimer.WithLiveness(nodeLiveness{c.leases, name}),
		claimer.WithoutSweeper())
	c.claimers = append(c.claimers, n)
	return n
}

func (c *cluster) close() {
	for _, n := range c.claimers {
		n.Close()
	}
	c.table.late.Wait()
}

// call describes one attempt of a caller.
type call struct {
	key     string
	body    string
	attempt int
	timeout time.Duration
	pause   time.Duration // between claim and mark
	onPause func()        // called at the start of that pause
	refuse  bool          // the endpoint refuses
	dead    func() bool   // reports whether the process was killed
}

func request(t testing.TB, c call) (*receiver.Request, *receiver.ServiceTarget) {
	is := is.New(t)
	limits := receiver.NewLimits(1, 1, time.Minute, time.Minute)
	r, err := receiver.New(limits).Apply(context.Background(), receiver.NewServiceCall("ledger", "POST", "/postings",
		[]byte(c.body), c.key, max(c.attempt, 1), receiver.WithCaller("bank"), receiver.WithTimeout(c.timeout)))
	is.NoErr(err)
	target, ok := r.Target().(*receiver.ServiceTarget)
	is.True(ok)
	return r, target
}

// post acquires a claim, runs the call as the dispatcher does and returns the
// outcome.
func (c *cluster) post(n *claimer.Claimer, k call) (classifier.Outcome, error) {
	r, target := request(c.t, k)
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline())
	defer cancel()
	claim, err := n.Acquire(ctx, r, target)
	if err != nil {
		return classifier.Of(err).Outcome(), err
	}
	held, ok := claim.(*claimer.Held)
	if !ok {
		return classifier.Done{}, nil
	}
	err = claimer.Settle(ctx, claim, c.send(ctx, held, k))
	if err != nil {
		return classifier.Of(err).Outcome(), err
	}
	return classifier.Done{}, nil
}

func (c *cluster) send(ctx context.Context, held *claimer.Held, k call) error {
	if k.onPause != nil {
		k.onPause()
	}
	time.Sleep(k.pause)
	if err := held.MarkSent(ctx); err != nil {
		return err
	}
	if k.dead != nil && k.dead() {
		return classifier.NewUncertain("the process was killed")
	}
	if k.refuse {
		if err := held.Release(ctx); err != nil {
			return classifier.NewUncertain("not released", classifier.Cause(err))
		}
		return classifier.NewUnavailable("refused")
	}
	c.ledger.run(k.key, held.Attempt())
	_ = held.Finish(ctx, connector.NewReply(held.Attempt(), 200, "text/plain", []byte("ok")))
	return nil
}
