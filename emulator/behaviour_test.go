package emulator_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/storer"
)

// Guards against a weight store whose loads take the wrong time, which would
// distort all measurements of load waits.
func TestWeightStoreTime(t *testing.T) {
	cases := []struct {
		name  string
		loads int
		rate  float64
		peak  int
		want  time.Duration
	}{
		{"one", 1, 0, 1, 250 * time.Millisecond},
		{"full speed", 8, 0, 8, 250 * time.Millisecond},
		{"twice as many", 16, 0, 16, 500 * time.Millisecond},
		{"limited rate", 3, 2, 1, 1250 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := emulator.NewWeightStore(emulator.WithLoadRate(c.rate))
				start := time.Now()
				var wg sync.WaitGroup
				for range c.loads {
					wg.Go(func() {
						if err := store.Load(t.Context(), reading); err != nil {
							t.Error(err)
						}
					})
				}
				wg.Wait()
				is.Equal(time.Since(start).Round(time.Millisecond), c.want)
				is.Equal(store.Loads(), c.loads)
				is.Equal(store.PeakInFlight(), c.peak)
			})
		})
	}
}

// Guards against an engine that exceeds its batch size or ignores priorities.
func TestEngineBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngine(t, emulator.WithBatch(2), emulator.WithStepTime(10*time.Millisecond), emulator.WithPrefill(0, 0))
		load(t, e, 1, reading)
		start := time.Now()
		var wg sync.WaitGroup
		ended := make(map[string]time.Duration)
		var mu sync.Mutex
		for _, j := range []struct {
			name     string
			priority int
		}{{"a", 0}, {"b", 0}, {"late", 0}, {"urgent", 5}} {
			job := connector.NewJob(j.name, "r", reading, "p", 10, connector.WithPriority(j.priority))
			s, err := e.Generate(t.Context(), job)
			is.NoErr(err)
			wg.Go(func() {
				if err := drain(t, s); !errors.Is(err, io.EOF) {
					t.Error(err)
				}
				mu.Lock()
				defer mu.Unlock()
				ended[j.name] = time.Since(start)
			})
		}
		r, err := e.Report(t.Context())
		is.NoErr(err)
		is.Equal(r.Running(reading), 2)
		is.Equal(r.Queued(), 2)
		wg.Wait()
		is.Equal(ended["a"], 100*time.Millisecond)
		is.Equal(ended["urgent"], 200*time.Millisecond)
		is.Equal(e.Counters().Tokens(), 40)
		is.Equal(e.Counters().Steps(), 20)
		is.Equal(e.Counters().BatchEfficiency(), 1.0)
	})
}

// Guards against a prefix cache that does not shorten the prefill, or that
// exceeds its limit.
func TestPrefixCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngine(t, emulator.WithStepTime(time.Millisecond), emulator.WithPrefill(0, 10*time.Millisecond),
			emulator.WithCacheBlocks(4), emulator.WithCacheEvents(time.Second, 0))
		load(t, e, 1, reading)
		firstToken := func(prompt string) time.Duration {
			start := time.Now()
			s, err := e.Generate(t.Context(), connector.NewJob("a", "r", reading, prompt, 1))
			is.NoErr(err)
			_, err = s.Next(t.Context())
			is.NoErr(err)
			return time.Since(start)
		}
		long := strings.Repeat("x", 4*connector.PrefixBlockSize)
		other := strings.Repeat("y", 4*connector.PrefixBlockSize)
		is.Equal(firstToken(long), 40*time.Millisecond)
		is.Equal(firstToken(long), time.Millisecond)
		r, err := e.Report(t.Context())
		is.NoErr(err)
		is.Equal(len(r.PrefixHashes()), 0) // events are not published yet
		time.Sleep(time.Second)
		r, err = e.Report(t.Context())
		is.NoErr(err)
		is.Equal(len(r.PrefixHashes()), 4)
		is.Equal(firstToken(other), 40*time.Millisecond)
		is.Equal(firstToken(long), 40*time.Millisecond) // evicted by the other prompt
	})
}

// Guards against an engine that publishes all cache events. Real engines lose
// some.
func TestCacheEventGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngine(t, emulator.WithCacheEvents(0, 0.5), emulator.WithSeed(1))
		load(t, e, 1, reading)
		const blocks = 100
		prompt := strings.Repeat("x", blocks*connector.PrefixBlockSize)
		s, err := e.Generate(t.Context(), connector.NewJob("a", "r", reading, prompt, 1))
		is.NoErr(err)
		is.True(errors.Is(drain(t, s), io.EOF))
		r, err := e.Report(t.Context())
		is.NoErr(err)
		is.True(len(r.PrefixHashes()) > 0 && len(r.PrefixHashes()) < blocks)
	})
}

// Guards against reports without lag, which would hide the faults of policies
// that rely on current reports.
func TestReportLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngine(t, emulator.WithLag(time.Second))
		time.Sleep(5 * time.Second)
		load(t, e, 1, reading)
		r, err := e.Report(t.Context())
		is.NoErr(err)
		is.Equal(r.Age(), time.Second)
		is.Equal(len(r.Resident()), 0)
		time.Sleep(time.Second)
		r, err = e.Report(t.Context())
		is.NoErr(err)
		is.Equal(len(r.Resident()), 1)
		is.NoErr(e.Inject(emulator.NewRestartCold(time.Minute)))
		_, err = e.Report(t.Context())
		is.True(errors.Is(err, connector.ErrRefused))
		time.Sleep(time.Minute)
		r, err = e.Report(t.Context())
		is.NoErr(err)
		is.Equal(r.Instance(), "engine#2")
		is.Equal(len(r.Resident()), 0)
	})
}

// Guards against a table without queueing delay.
func TestTableRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := emulator.NewTable(emulator.WithRates(100, 10), emulator.WithLatency(time.Millisecond))
		start := time.Now()
		var wg sync.WaitGroup
		for i := range 5 {
			wg.Go(func() {
				if err := table.Commit(t.Context(), storer.NewPut(fmt.Sprint(i), nil, 0)); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		is.Equal(time.Since(start), 402*time.Millisecond)
		is.Equal(table.Counters().Commits(), 5)
	})
}

// Guards against a host list that shows changes at once.
func TestHostListLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hosts := emulator.NewHostList(emulator.WithLag(10 * time.Second))
		hosts.Set("a", emulator.HostLive)
		got, err := hosts.List(t.Context())
		is.NoErr(err)
		is.Equal(len(got), 0)
		time.Sleep(10 * time.Second)
		got, err = hosts.List(t.Context())
		is.NoErr(err)
		is.Equal(len(got), 1)
	})
}

// Guards against a network fault that lets requests of its client through, or
// that affects other clients.
func TestNetworkFault(t *testing.T) {
	cases := []struct {
		name   string
		inject func(*emulator.NetworkFault)
		commit error
		call   error
		wait   time.Duration
	}{
		{"refuse", (*emulator.NetworkFault).Refuse, storer.ErrUnavailable, connector.ErrRefused, 0},
		{"hang", (*emulator.NetworkFault).Hang, storer.ErrUncertain, connector.ErrBroken, time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fault := emulator.NewNetworkFault()
				fakeTable, fakeService, fakeEngine := emulator.NewTable(), emulator.NewService(), newEngine(t)
				table, svc, engine := fault.Table(fakeTable), fault.Service(fakeService), fault.Engine(fakeEngine)
				load(t, engine, 1, reading)
				s, err := engine.Generate(t.Context(), connector.NewJob("a", "r", reading, "p", 1000))
				is.NoErr(err)
				fault.Refuse()
				fault.Restore()
				is.True(errors.Is(drain(t, s), connector.ErrBroken))
				c.inject(fault)

				start := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				is.True(errors.Is(table.Commit(ctx, storer.NewPut("a", nil, 0)), c.commit))
				is.Equal(time.Since(start), c.wait)
				_, err = svc.Call(ctx, connector.NewOperation("a", "1", "POST", "/", nil))
				is.True(errors.Is(err, c.call))
				is.Equal(len(fakeService.Executions()), 0)
				is.NoErr(fakeTable.Commit(t.Context(), storer.NewPut("a", nil, 0)))
				fault.Restore()
				is.NoErr(table.Commit(t.Context(), storer.NewPut("b", nil, 0)))
				is.NoErr(s.Close())
			})
		})
	}
}

// Guards against a write that is reported as not made although only its
// response was lost.
func TestNetworkFaultDuringWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fault := emulator.NewNetworkFault()
		fake := emulator.NewTable(emulator.WithLatency(time.Second))
		time.AfterFunc(500*time.Millisecond, fault.Refuse)
		err := fault.Table(fake).Commit(t.Context(), storer.NewPut("a", nil, 0))
		is.True(errors.Is(err, storer.ErrUncertain))
		_, err = fake.Get(t.Context(), "a")
		is.NoErr(err)
	})
}

// Guards against a write that is reported as not made because its caller gave
// up. Over many seeds some of the writes are applied and others are not, and
// all are reported as uncertain.
func TestAbandonedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		applied := 0
		const seeds = 32
		for seed := range uint64(seeds) {
			table := emulator.NewTable(emulator.WithLatency(time.Second), emulator.WithSeed(seed))
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			err := table.Commit(ctx, storer.NewPut("a", nil, 0))
			cancel()
			is.True(errors.Is(err, storer.ErrUncertain))
			if _, err := table.Get(t.Context(), "a"); err == nil {
				applied++
			}
		}
		is.True(applied > 0 && applied < seeds)
	})
}

// Guards against a delay that is missing in one direction.
func TestDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := emulator.NewDelay(20 * time.Millisecond)
		start := time.Now()
		is.NoErr(d.Table(emulator.NewTable()).Commit(t.Context(), storer.NewPut("a", nil, 0)))
		is.Equal(time.Since(start), 40*time.Millisecond)

		// An order that was sent before its deadline is carried out even if it
		// arrives later.
		e := newEngine(t)
		f := connector.NewFence(1, time.Now().Add(time.Millisecond))
		is.NoErr(d.Engine(e).Order(t.Context(), connector.NewLoadAdapter(f, reading)))
	})
}
