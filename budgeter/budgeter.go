package budgeter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/storer"
)

// Key is the row that holds the permits of all nodes.
const Key = "budget/weights"

const (
	// privateShare is the part of the rate that nodes use without the table.
	privateShare = 0.2
	// privateInFlight is how many of the loads in flight are left to the private
	// rates.
	privateInFlight = 2
	// expiry frees the permit of a node that died. A load takes about 0.25 s
	// while the store is not crowded.
	expiry = 10 * time.Second
	// tableTimeout bounds one request to the table.
	tableTimeout = time.Second
	// retryTable is the wait after the table failed.
	retryTable = time.Second
	// releaseAfter collects releases into one write.
	releaseAfter = time.Second
	// conflictDelay is the largest first wait after a lost race for the row.
	conflictDelay = 20 * time.Millisecond
	// pollEvery bounds the wait for a permit that another node may release
	// early.
	pollEvery = time.Second
)

// Members tells the position of this node among the nodes, and their number. It
// takes no lock.
type Members func() (position, nodes int)

// Limits returns the limits of the bundle in force. It takes no lock.
type Limits func() bundler.Limits

// Budgeter gives out permission for loads of one node.
type Budgeter struct {
	table   storer.Table
	node    string
	limits  Limits
	members Members
	private *rate.Limiter

	cancel      context.CancelFunc
	loops       sync.WaitGroup
	queue       *queue
	wakePool    chan struct{}
	wakePrivate chan struct{}

	mu       sync.Mutex // guards what follows
	rand     *rand.Rand
	released map[uint64]struct{}
	flying   bool // a private load

	// Only the pool loop uses what follows.
	number    uint64 // of the last permit that was asked for
	uncertain bool   // the write of that permit may have been applied
	conflicts int    // in a row
}

// New returns a budgeter and starts its loops. The caller must call Close. The
// node's name must differ between processes that run at the same time.
func New(table storer.Table, node string, limits Limits, members Members, seed uint64) *Budgeter {
	ctx, cancel := context.WithCancel(context.Background())
	b := &Budgeter{
		table:       table,
		node:        node,
		limits:      limits,
		members:     members,
		private:     rate.NewLimiter(0, 1),
		cancel:      cancel,
		wakePool:    make(chan struct{}, 1),
		wakePrivate: make(chan struct{}, 1),
		rand:        rand.New(rand.NewPCG(seed, 0)),
		released:    make(map[uint64]struct{}),
	}
	// A process that replaces another one may not use the turn that the other has
	// used already.
	b.private.AllowN(time.Now(), 1)
	b.queue = newQueue(b.wakePool, b.wakePrivate)
	b.loops.Add(2)
	go b.poolLoop(ctx)
	go b.privateLoop(ctx)
	return b
}

// Close ends the loops. Loads that wait go on waiting for their contexts.
func (b *Budgeter) Close() {
	b.cancel()
	b.loops.Wait()
}

// Acquire waits for permission to start one load. Demand returns how many
// requests wait for it; the load with the largest demand comes first. The
// returned function gives the permission back once the load has ended.
func (b *Budgeter) Acquire(ctx context.Context, demand func() int) (func(), error) {
	w := &waiter{demand: demand, since: time.Now(), granted: make(chan func(), 1)}
	b.queue.add(w)
	select {
	case release := <-w.granted:
		return sync.OnceFunc(release), nil
	case <-ctx.Done():
	}
	if !b.queue.remove(w) {
		(<-w.granted)()
	}
	return nil, fmt.Errorf("wait for a load permit: %w", ctx.Err())
}

// jitter returns between a half and the whole of d.
func (b *Budgeter) jitter(d time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return d/2 + time.Duration(b.rand.Int64N(int64(d/2)+1))
}
