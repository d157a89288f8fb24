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

// faulty is a table that is slow, is down at times and loses responses.
type faulty struct {
	storer.Table
	mu   sync.Mutex
	rand *rand.Rand
	down bool
}

func (f *faulty) set(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *faulty) fault(lost float64) error {
	time.Sleep(5 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.down:
		return storer.ErrUnavailable
	case f.rand.Float64() < lost:
		return storer.ErrUncertain
	}
	return nil
}

func (f *faulty) Get(ctx context.Context, key string) (storer.Row, error) {
	if err := f.fault(0); err != nil {
		return storer.Row{}, err
	}
	return f.Table.Get(ctx, key)
}

func (f *faulty) Commit(ctx context.Context, writes ...storer.Write) error {
	lost := f.fault(0.1)
	if lost != nil && lost != storer.ErrUncertain {
		return lost
	}
	if err := f.Table.Commit(ctx, writes...); err != nil {
		return err
	}
	return lost
}

// store records loads.
type store struct {
	mu       sync.Mutex
	starts   []time.Time
	inFlight int
	most     int
}

func (s *store) load(d time.Duration) {
	s.mu.Lock()
	s.starts = append(s.starts, time.Now())
	s.inFlight++
	s.most = max(s.most, s.inFlight)
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

// within returns the most loads that started within any time of length d.
func (s *store) within(d time.Duration) int {
	most, from := 0, 0
	for i, at := range s.starts {
		for at.Sub(s.starts[from]) >= d {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// Guards against nodes that together exceed the weight store's rate or its loads
// in flight, or that stop using it, while nodes die with permits in hand, the
// table is down and responses are lost.
func TestSharedBudget(t *testing.T) {
	for _, rate := range []float64{2, 3} {
		t.Run(fmt.Sprintf("rate=%v", rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { shared(t, rate) })
		})
	}
}

func shared(t *testing.T, rate float64) {
	const nodes = 6
	is := is.New(t)
	table := &faulty{Table: emulator.NewTable(), rand: rand.New(rand.NewPCG(1, 1))}
	s := &store{}
	ctx, cancel := context.WithCancel(t.Context())
	var loads sync.WaitGroup
	for i := range nodes {
		loads.Go(func() {
			for life := 0; ctx.Err() == nil; life++ {
				live(ctx, table, s, rate, i, nodes, life)
			}
		})
	}
	time.Sleep(2 * time.Minute)
	before := s.count()
	table.set(true)
	time.Sleep(2 * time.Minute)
	during := s.count() - before
	table.set(false)
	time.Sleep(2 * time.Minute)
	cancel()
	loads.Wait()

	t.Logf("rate %v: %d loads in 2 min, %d with the table down, most in flight %d, most in 5 s %d, in 1 min %d, in 1 s %d", rate, before, during, s.most, s.within(5*time.Second), s.within(time.Minute), s.within(time.Second))
	is.True(s.most <= 8) // in flight
	// The private turns may fall into a window once more than their rate says,
	// and a load starts up to 100 ms after its permit.
	is.True(s.within(5*time.Second-100*time.Millisecond) <= int(5*rate)+1)
	is.True(s.within(time.Minute-100*time.Millisecond) <= int(60*rate)+1)
	is.True(float64(before) >= 0.7*120*rate)          // the store is used
	is.True(float64(during) >= 0.5*0.2*120*rate)      // also while the table is down
	is.True(float64(during) <= 0.2*120*rate+6*rate/2) // by the private rates alone
}

// live runs one process: it loads as fast as it may and dies after a while
// without giving its permits back.
func live(ctx context.Context, table storer.Table, s *store, rate float64, position, nodes, life int) {
	seed := uint64(position*1000 + life)
	random := rand.New(rand.NewPCG(seed, 1))
	ctx, cancel := context.WithTimeout(ctx, time.Duration(20+random.IntN(40))*time.Second)
	defer cancel()
	b := budgeter.New(table, fmt.Sprintf("node-%d-%d", position, life), limits(rate), members(position, nodes), seed)
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

// Guards against a load with many waiting requests standing behind loads with
// one, and against a load with one request that waits for ever.
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
		is.True(at("one") < len(order)-1) // it overtakes later loads with more requests
	})
}

// Guards against a permit that is lost because its waiter gave up.
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
