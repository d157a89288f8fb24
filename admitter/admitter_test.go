package admitter_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dragonflyford/dragonflyford/admitter"
	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/publisher"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/resolver"
)

// resolved returns a resolved request of a caller with the given timeout.
func resolved(t interface{ Fatal(...any) }, caller string, priority int, timeout time.Duration) *resolver.Resolved {
	bundles := publisher.New()
	bundles.Publish(bundler.NewSnapshot(1, &bundler.Document{
		Adapters: []bundler.AdapterDocument{{Name: "a", Base: "base", Versions: []string{"v1"}}},
	}))
	ctx := context.Background()
	req, err := receiver.New(receiver.NewLimits(10, 10, time.Hour, time.Hour)).Apply(ctx, receiver.NewGeneration("a@v1", "p", 1, 0,
		receiver.WithCaller(caller), receiver.WithPriority(priority), receiver.WithTimeout(timeout)))
	if err != nil {
		t.Fatal(err)
	}
	r, err := resolver.New(bundles).Apply(ctx, req)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// hold admits a request and keeps its slot for the duration held.
func hold(a *admitter.Admitter, r *resolver.Resolved, held time.Duration) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if _, err := a.Apply(ctx, r); err != nil {
		return err
	}
	time.Sleep(held)
	return nil
}

// Guards against a slot that is leaked or granted twice. For random callers,
// deadlines and cancellations, no more requests run than the limit allows, and at
// the end none runs or waits.
func TestSlots(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(rt, "limit")
		slots := rapid.IntRange(0, 8).Draw(rt, "slots")
		a := admitter.New(limit, admitter.WithQueue(slots))
		type step struct {
			caller                           string
			priority                         int
			arrives, timeout, held, canceled int
		}
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{
				caller:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"),
				priority: rapid.IntRange(0, 9).Draw(t, "priority"),
				arrives:  rapid.IntRange(0, 50).Draw(t, "arrives"),
				timeout:  rapid.IntRange(1, 100).Draw(t, "timeout"),
				held:     rapid.IntRange(0, 40).Draw(t, "held"),
				canceled: rapid.IntRange(1, 100).Draw(t, "canceled"),
			}
		}), 1, 40).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			var running, peak int
			var mu sync.Mutex
			count := func(change int) {
				mu.Lock()
				defer mu.Unlock()
				running += change
				peak = max(peak, running)
			}
			var wg sync.WaitGroup
			for _, s := range steps {
				wg.Go(func() {
					time.Sleep(time.Duration(s.arrives) * time.Millisecond)
					ctx, cancel := context.WithCancel(context.Background())
					defer cancel()
					cancelTimer := time.AfterFunc(time.Duration(s.canceled)*time.Millisecond, cancel)
					if _, err := a.Apply(ctx, resolved(t, s.caller, s.priority, time.Duration(s.timeout)*time.Millisecond)); err != nil {
						return
					}
					if !cancelTimer.Stop() { // the canceled context releases the slot
						return
					}
					count(1)
					time.Sleep(time.Duration(s.held) * time.Millisecond)
					count(-1)
				})
			}
			wg.Wait()
			synctest.Wait()
			if peak > limit {
				t.Errorf("%d requests ran; the limit is %d", peak, limit)
			}
			if a.Running() != 0 || a.Waiting() != 0 {
				t.Errorf("%d requests run and %d wait at the end", a.Running(), a.Waiting())
			}
		})
		if t.Failed() {
			rt.Fatal("see above")
		}
	})
}

// Guards against a caller with many requests that starves one with few, and against
// requests of high priority that starve one of low priority of the same caller.
func TestFairness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := admitter.New(1, admitter.WithQueue(100))
		var mu sync.Mutex
		var order []string
		var wg sync.WaitGroup
		run := func(name, caller string, priority int) {
			r := resolved(t, caller, priority, time.Hour)
			wg.Go(func() {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if _, err := a.Apply(ctx, r); err != nil {
					t.Error(name, err)
				}
				mu.Lock()
				order = append(order, name)
				mu.Unlock()
				time.Sleep(time.Second)
			})
			synctest.Wait()
		}
		run("first", "many", 0)
		for i := range 5 {
			run(fmt.Sprintf("many-%d", i), "many", 0)
		}
		run("urgent", "many", 9)
		run("few", "few", 0)
		time.Sleep(10 * time.Second)
		wg.Wait()
		is.Equal(order, []string{"first", "urgent", "few", "many-0", "many-1", "many-2", "many-3", "many-4"})

		// A request of priority 0 waits while requests of priority 2 keep arriving.
		order = nil
		run("first", "one", 0)
		run("low", "one", 0)
		for i := range 6 {
			run(fmt.Sprintf("high-%d", i), "one", 2)
			time.Sleep(time.Second)
		}
		wg.Wait()
		is.Equal(order[3], "low") // overtaken only by requests that arrived in the first two seconds
	})
}

// Guards against an unfair rotation: while two callers both wait, neither is served
// more than once more than the other, however many requests they have.
func TestRoundRobin(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		counts := rapid.SliceOfN(rapid.IntRange(1, 12), 2, 5).Draw(rt, "counts")
		var order []int
		synctest.Test(t, func(t *testing.T) {
			a := admitter.New(1, admitter.WithQueue(1000))
			go func() { _ = hold(a, resolved(t, "first", 0, time.Hour), time.Second) }()
			synctest.Wait()
			for caller, n := range counts {
				for range n {
					go func() {
						ctx, cancel := context.WithCancel(context.Background())
						defer cancel()
						if _, err := a.Apply(ctx, resolved(t, fmt.Sprint(caller), 0, time.Hour)); err != nil {
							t.Error(err)
							return
						}
						order = append(order, caller) // not locked: the limit is 1
						time.Sleep(time.Second)
					}()
				}
			}
			time.Sleep(time.Hour)
		})
		served := make([]int, len(counts))
		for _, caller := range order {
			served[caller]++
			for other, n := range served {
				if n < counts[other] && served[caller] > n+1 {
					rt.Fatalf("caller %d was served %d times while caller %d was served %d times: %v", caller, served[caller], other, n, order)
				}
			}
		}
		for caller, n := range served {
			if n != counts[caller] {
				rt.Fatalf("caller %d was served %d times instead of %d", caller, n, counts[caller])
			}
		}
	})
}

// Guards against a caller that fills the queue and thereby excludes the others.
func TestQueueShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := admitter.New(1, admitter.WithQueue(8))
		go func() { _ = hold(a, resolved(t, "many", 0, time.Hour), time.Second) }()
		synctest.Wait()
		refused := 0
		for range 20 {
			go func() {
				if err := hold(a, resolved(t, "many", 0, time.Hour), time.Second); err != nil {
					refused++
				}
			}()
			synctest.Wait()
		}
		is.Equal(a.Waiting(), 4)
		is.Equal(refused, 16)
		is.NoErr(hold(a, resolved(t, "few", 0, time.Hour), 0))
		time.Sleep(time.Minute)
	})
}

// Guards against a request that waits although it cannot get a slot before its
// deadline, and against a retry delay that does not match the measured rate.
func TestEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := admitter.New(2, admitter.WithQueue(100))
		is.NoErr(hold(a, resolved(t, "c", 0, time.Hour), 10*time.Second))
		synctest.Wait()
		for i := range 4 { // two run, two wait
			go func() { _ = hold(a, resolved(t, fmt.Sprint(i), 0, time.Hour), 10*time.Second) }()
		}
		synctest.Wait()
		started := time.Now()
		err := hold(a, resolved(t, "late", 0, 14*time.Second), 0)
		var overloaded *classifier.Overloaded
		is.True(errors.As(err, &overloaded))
		is.Equal(time.Since(started), time.Duration(0))
		is.Equal(overloaded.RetryAfter(), 15*time.Second) // third slot from now, at 2 per 10 s
		is.NoErr(hold(a, resolved(t, "in time", 0, 25*time.Second), 0))
		time.Sleep(time.Minute)
	})
}

// Guards against a wait that outlasts the deadline or a cancellation, and against an
// aborted wait being reported as work that may have run.
func TestWaitAborted(t *testing.T) {
	tests := []struct {
		name    string
		timeout time.Duration
		cancel  time.Duration
		want    classifier.Fault
	}{
		{"deadline", time.Second, time.Hour, &classifier.Expired{}},
		{"caller canceled", time.Minute, time.Second, &classifier.Canceled{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a := admitter.New(1)
				go func() { _ = hold(a, resolved(t, "c", 0, time.Hour), time.Minute) }()
				synctest.Wait()
				started := time.Now()
				ctx, cancel := context.WithCancel(context.Background())
				time.AfterFunc(tt.cancel, cancel)
				_, err := a.Apply(ctx, resolved(t, "c", 0, tt.timeout))
				is.Equal(fmt.Sprintf("%T", err), fmt.Sprintf("%T", tt.want))
				is.Equal(classifier.Of(err).Outcome(), classifier.NotRun{})
				is.Equal(time.Since(started), time.Second)
				is.Equal(a.Waiting(), 0)
				time.Sleep(2 * time.Hour)
			})
		})
	}
}

// screen blocks every request if err is set.
type screen struct{ err error }

func (s screen) Blocked(receiver.Fingerprint) error { return s.err }

// Guards against a request that crashed endpoints being admitted while slots are
// free.
func TestScreen(t *testing.T) {
	is := is.New(t)
	for _, err := range []error{errors.New("crashed"), classifier.NewStopped("crashed")} {
		a := admitter.New(1, admitter.WithScreen(screen{err}))
		got := hold(a, resolved(t, "c", 0, time.Minute), 0)
		var stopped *classifier.Stopped
		is.True(errors.As(got, &stopped))
		is.Equal(a.Running(), 0)
	}
	is.NoErr(hold(admitter.New(1, admitter.WithScreen(screen{})), resolved(t, "c", 0, time.Minute), 0))
}

func BenchmarkApply(b *testing.B) {
	a := admitter.New(1000)
	r := resolved(b, "c", 0, time.Hour)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_ = hold(a, r, 0)
		}
	})
}

// BenchmarkContended measures admission while thousands of requests wait.
func BenchmarkContended(b *testing.B) {
	a := admitter.New(8, admitter.WithQueue(1<<20))
	r := resolved(b, "c", 0, time.Hour)
	b.ReportAllocs()
	b.SetParallelism(1000)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_ = hold(a, r, 0)
		}
	})
}
