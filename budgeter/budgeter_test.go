package budgeter_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/budgeter"
	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/storer"
)

func limits(rate float64) budgeter.Limits {
	l := bundler.NewSnapshot(1, &bundler.Document{
		Limits: bundler.LimitsDocument{StoreLoadsPerSecond: rate, StoreLoadsInFlight: 8},
	}).Limits()
	return func() bundler.Limits { return l }
}

func members(position, nodes int) budgeter.Members {
	return func() (int, int) { return position, nodes }
}

func one() int { return 1 }

// faultyTable is a table that adds latency, can be taken down and drops
// responses to commits.
type faultyTable struct {
	storer.Table
	mu   sync.Mutex
	rand *rand.Rand
	down bool
}

func (f *faultyTable) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *faultyTable) fault(lossRate float64) error {
	time.Sleep(5 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.down:
		return storer.ErrUnavailable
	case f.rand.Float64() < lossRate:
		return storer.ErrUncertain
	}
	return nil
}

func (f *faultyTable) Get(ctx context.Context, key string) (storer.Row, error) {
	if err := f.fault(0); err != nil {
		return storer.Row{}, err
	}
	return f.Table.Get(ctx, key)
}

func (f *faultyTable) Commit(ctx context.Context, writes ...storer.Write) error {
	lost := f.fault(0.1)
	if lost != nil && lost != storer.ErrUncertain {
		return lost
	}
	if err := f.Table.Commit(ctx, writes...); err != nil {
		return err
	}
	return lost
}

// store simulates the weight store and records the loads.
type store struct {
	mu          sync.Mutex
	starts      []time.Time
	inFlight    int
	maxInFlight int
}

func (s *store) load(d time.Duration) {
	s.mu.Lock()
	s.starts = append(s.starts, time.Now())
	s.inFlight++
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
	s.mu.Unlock()
	time.Sleep(d)
	s.mu.Lock()
	s.inFlight--
	s.mu.Unlock()
}

func (s *store) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.starts)
}

// maxWithin returns the largest number of loads that started in any window of
// length d.
func (s *store) maxWithin(d time.Duration) int {
	most, from := 0, 0
	for i, at := range s.starts {
		for at.Sub(s.starts[from]) >= d {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// Guards against nodes that together exceed the limits on the weight store's
// rate or loads in flight, and against nodes that stop loading, while processes
// crash without releasing their permits, the table is down and responses are
// lost.
func TestSharedBudget(t *testing.T) {
	for _, rate := range []float64{2, 3} {
		t.Run(fmt.Sprintf("rate=%v", rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testSharedBudget(t, rate) })
		})
	}
}

func testSharedBudget(t *testing.T, rate float64) {
	const nodes = 6
	is := is.New(t)
	table := &faultyTable{Table: emulator.NewTable(), rand: rand.New(rand.NewPCG(1, 1))}
	s := &store{}
	ctx, cancel := context.WithCancel(t.Context())
	var loads sync.WaitGroup
	for i := range nodes {
		loads.Go(func() {
			for restart := 0; ctx.Err() == nil; restart++ {
				runProcess(ctx, table, s, rate, i, nodes, restart)
			}
		})
	}
	time.Sleep(2 * time.Minute)
	before := s.count()
	table.setDown(true)
	time.Sleep(2 * time.Minute)
	during := s.count() - before
	table.setDown(false)
	time.Sleep(2 * time.Minute)
	cancel()
	loads.Wait()

	t.Logf("rate %v: %d loads in 2 min, %d with the table down, most in flight %d, most in 5 s %d, in 1 min %d, in 1 s %d", rate, before, during, s.maxInFlight, s.maxWithin(5*time.Second), s.maxWithin(time.Minute), s.maxWithin(time.Second))
	is.True(s.maxInFlight <= 8) // in flight
	// A window may contain one more local time slot than the local rate allows,
	// and a load starts up to 100 ms after its permit.
	is.True(s.maxWithin(5*time.Second-100*time.Millisecond) <= int(5*rate)+1)
	is.True(s.maxWithin(time.Minute-100*time.Millisecond) <= int(60*rate)+1)
	is.True(float64(before) >= 0.7*120*rate)          // the rate is used
	is.True(float64(during) >= 0.5*0.2*120*rate)      // also while the table is down
	is.True(float64(during) <= 0.2*120*rate+6*rate/2) // at the local rates only
}

// runProcess runs one process that loads as fast as its permits allow. It ends
// after 20 to 60 s without releasing its permits.
func runProcess(ctx context.Context, table storer.Table, s *store, rate float64, position, nodes, restart int) {
	seed := uint64(position*1000 + restart)
	random := rand.New(rand.NewPCG(seed, 1))
	ctx, cancel := context.WithTimeout(ctx, time.Duration(20+random.IntN(40))*time.Second)
	defer cancel()
	b := budgeter.New(table, fmt.Sprintf("node-%d-%d", position, restart), limits(rate), members(position, nodes), seed)
	defer b.Close()
	var workers sync.WaitGroup
	for range 4 {
		workers.Go(func() {
			for {
				release, err := b.Acquire(ctx, one)
				if err != nil {
					return
				}
				s.load(250 * time.Millisecond)
				if ctx.Err() == nil {
					release()
				}
			}
		})
	}
	workers.Wait()
}

// Guards against a load with many waiting requests that is granted after loads
// with fewer, and against starvation of a load with one request.
func TestDemandOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := budgeter.New(emulator.NewTable(), "node", limits(2), members(0, 1), 1)
		defer b.Close()
		var order []string
		var mu sync.Mutex
		var waiting sync.WaitGroup
		start := func(name string, demand int) {
			waiting.Go(func() {
				release, err := b.Acquire(t.Context(), func() int { return demand })
				is.NoErr(err)
				mu.Lock()
				order = append(order, name)
				mu.Unlock()
				release()
			})
			synctest.Wait()
		}
		for i := range 8 {
			start(fmt.Sprintf("warm-up-%d", i), 100)
		}
		start("one", 1)
		start("two", 2)
		start("nine", 9)
		for i := range 60 {
			time.Sleep(500 * time.Millisecond)
			start(fmt.Sprintf("later-%d", i), 4)
		}
		waiting.Wait()
		at := func(name string) int {
			for i, n := range order {
				if n == name {
					return i
				}
			}
			return -1
		}
		is.True(at("nine") < at("two"))
		is.True(at("two") < at("one"))
		is.True(at("one") < len(order)-1) // granted before later loads with more requests
	})
}

// Guards against a permit that leaks because its waiter was canceled.
func TestCancelledWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := budgeter.New(emulator.NewTable(), "node", limits(2), members(0, 1), 1)
		defer b.Close()
		for range 100 {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
			if release, err := b.Acquire(ctx, one); err == nil {
				release()
			}
			cancel()
		}
		start := time.Now()
		release, err := b.Acquire(t.Context(), one)
		is.NoErr(err)
		release()
		is.True(time.Since(start) < 10*time.Second)
	})
}
