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
	// localShare is the share of the rate that nodes use without the table.
	localShare = 0.2
	// localInFlight is how many of the loads in flight are reserved for loads
	// that are granted without the table.
	localInFlight = 2
	// permitTTL bounds how long the permit of a crashed node counts. A load
	// takes about 0.25 s while the store is not overloaded.
	permitTTL = 10 * time.Second
	// tableTimeout bounds one request to the table.
	tableTimeout = time.Second
	// tableRetryDelay is the longest wait after a request to the table failed.
	tableRetryDelay = time.Second
	// releaseDelay is how long releases are collected into one write.
	releaseDelay = time.Second
	// conflictDelay is the base of the exponential backoff after a write
	// conflict on the row.
	conflictDelay = 20 * time.Millisecond
	// pollInterval bounds the wait for a permit, because another node may
	// release one before its expiry.
	pollInterval = time.Second
)

// Members returns the position of this node among the nodes, and their number.
// It takes no lock.
type Members func() (position, nodes int)

// Limits returns the limits of the bundle in force. It takes no lock.
type Limits func() bundler.Limits

// Budgeter grants permits for the loads of one node.
type Budgeter struct {
	table        storer.Table
	node         string
	limits       Limits
	members      Members
	localLimiter *rate.Limiter

	cancel    context.CancelFunc
	loops     sync.WaitGroup
	queue     *queue
	wakePool  chan struct{}
	wakeLocal chan struct{}

	mu           sync.Mutex // guards the fields up to localLoading
	rand         *rand.Rand
	released     map[uint64]struct{}
	localLoading bool // a local load is in flight

	// The fields below are used by poolLoop only.
	lastNumber uint64 // number of the last permit that was added to the row
	uncertain  bool   // the write of that permit may have been applied
	conflicts  int    // in a row
}

// New returns a budgeter and starts its loops. The caller must call Close. The
// node's name must differ between processes that run at the same time.
func New(table storer.Table, node string, limits Limits, members Members, seed uint64) *Budgeter {
	ctx, cancel := context.WithCancel(context.Background())
	b := &Budgeter{
		table:        table,
		node:         node,
		limits:       limits,
		members:      members,
		localLimiter: rate.NewLimiter(0, 1),
		cancel:       cancel,
		wakePool:     make(chan struct{}, 1),
		wakeLocal:    make(chan struct{}, 1),
		rand:         rand.New(rand.NewPCG(seed, 0)),
		released:     make(map[uint64]struct{}),
	}
	// A restarted process must not use a time slot that the previous process
	// has already used, so it starts with an empty limiter.
	b.localLimiter.AllowN(time.Now(), 1)
	b.queue = newQueue(b.wakePool, b.wakeLocal)
	b.loops.Add(2)
	go b.poolLoop(ctx)
	go b.localLoop(ctx)
	return b
}

// Close stops the loops. Pending calls of Acquire then return when their
// contexts end.
func (b *Budgeter) Close() {
	b.cancel()
	b.loops.Wait()
}

// Acquire waits for a permit to start one load. Demand returns how many
// requests wait for the load; loads with a larger demand come first. The caller
// must call the returned function when the load has ended.
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

// jitter returns a random duration from d/2 to d.
func (b *Budgeter) jitter(d time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return d/2 + time.Duration(b.rand.Int64N(int64(d/2)+1))
}
