package supplier_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/estimator"
	"github.com/dragonflyford/dragonflyford/supplier"
)

// promptEngine simulates how an engine processes prompts: one after the other in the
// order of arrival.
type promptEngine struct {
	mu        sync.Mutex
	samples   []estimator.Sample // not yet reported to the owner
	perToken  time.Duration
	busyUntil time.Time
	longest   time.Duration // wait of a prompt inside the engine
	tokens    int
}

// prefill processes a prompt that arrives now.
func (p *promptEngine) prefill(tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := time.Now()
	start := at
	if p.busyUntil.After(start) {
		start = p.busyUntil
	}
	p.longest = max(p.longest, start.Sub(at))
	p.busyUntil = start.Add(time.Duration(tokens) * p.perToken)
	p.tokens += tokens
	p.samples = append(p.samples, estimator.NewPrefill(tokens, p.busyUntil.Sub(at)))
}

// takeSamples returns the samples since the last call.
func (p *promptEngine) takeSamples() []estimator.Sample {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.samples
	p.samples = nil
	return list
}

// Guards against a calendar that grants an engine less than it can do, so that calls
// wait before an idle engine, or more, so that they queue inside it, on engines from a
// quarter to four times the assumed speed and on one that turns slow.
func TestGrantedRateFollowsEngine(t *testing.T) {
	const assumed = 50 * time.Microsecond
	tests := []struct {
		name        string
		first, then time.Duration // time of a prompt token in the two halves of the run
	}{
		{"a quarter of the assumed speed", 4 * assumed, 4 * assumed},
		{"the assumed speed", assumed, assumed},
		{"twice the assumed speed", assumed / 2, assumed / 2},
		{"four times the assumed speed", assumed / 4, assumed / 4},
		{"turns slow", assumed / 2, 3 * assumed / 2},
		{"recovers", 3 * assumed / 2, assumed / 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withSupplier(t, func(t *testing.T, is *is.I, e *engine, s *supplier.Supplier) {
				e.resident[model(1)] = 1
				time.Sleep(time.Second)
				p := &promptEngine{perToken: tt.first}
				saturate(t, s, p, 10*time.Second)
				p.perToken = tt.then
				saturate(t, s, p, 5*time.Second) // time to follow
				p.longest, p.tokens = 0, 0
				saturate(t, s, p, 10*time.Second)
				used := time.Duration(p.tokens) * p.perToken
				is.True(used >= 8500*time.Millisecond) // 85 % of ten seconds
				is.True(p.longest < 300*time.Millisecond)
			})
		})
	}
}

// saturate requests more capacity than an engine has, for a time, and sends the
// granted calls to it. Each request carries the samples of earlier calls.
func saturate(t *testing.T, s *supplier.Supplier, p *promptEngine, d time.Duration) {
	t.Helper()
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		tokens := 400 + 97*i%1200
		response := s.Reserve(t.Context(), supplier.NewReserveRequest("e1", model(1), supplier.WithSamples(p.takeSamples()),
			supplier.WithSize(tokens, 0, 200*time.Millisecond)))
		if g, ok := response.(supplier.Granted); ok {
			time.AfterFunc(g.Wait(), func() { p.prefill(tokens) })
		}
		time.Sleep(4 * time.Millisecond)
		synctest.Wait()
	}
}

// Guards against prompts that are sent to an engine while its machine is slowed down by
// other work, so that the streams on it pause for longer than planned, and against an engine
// that gets no more calls because it reports nothing without them.
func TestNoPromptsDuringSlowdown(t *testing.T) {
	withSupplier(t, func(t *testing.T, is *is.I, e *engine, s *supplier.Supplier) {
		e.resident[model(1)] = 1
		time.Sleep(time.Second)
		wait := func(factor float64) time.Duration {
			var samples []estimator.Sample
			if factor > 0 {
				samples = append(samples, estimator.NewSlowdown(factor))
			}
			granted, ok := s.Reserve(t.Context(), supplier.NewReserveRequest("e1", model(1),
				supplier.WithSamples(samples), supplier.WithSize(10, 0, 100*time.Millisecond))).(supplier.Granted)
			is.True(ok)
			time.Sleep(20 * time.Millisecond) // the engine is free again
			return granted.Wait()
		}
		is.Equal(wait(0), time.Duration(0))
		is.Equal(wait(1.1), time.Duration(0)) // as good as usual
		slow := wait(2.5)
		is.True(slow >= 100*time.Millisecond)
		is.True(wait(0) >= slow-50*time.Millisecond) // still slow
		is.Equal(wait(1), time.Duration(0))          // a later report denies it
		is.True(wait(2.5) > 0)
		time.Sleep(time.Second)
		is.Equal(wait(0), time.Duration(0)) // nothing is known any more
	})
}

// Guards against an owner that does not tell the hosts that it has too few samples,
// after its restart.
func TestUnsureOwner(t *testing.T) {
	withSupplier(t, func(t *testing.T, is *is.I, e *engine, s *supplier.Supplier) {
		e.resident[model(1)] = 1
		time.Sleep(time.Second)
		is.True(s.Reserve(t.Context(), request(1)).(supplier.Granted).Unsure())
		var samples []estimator.Sample
		for i := range 16 {
			samples = append(samples, estimator.NewPrefill(500+10*i, 10*time.Millisecond))
		}
		is.True(!s.Reserve(t.Context(), request(1, supplier.WithSamples(samples))).(supplier.Granted).Unsure())
	})
}

// Guards against calls that wait behind the loads of other models although another
// engine could load theirs at once, against loading a model on two engines because the
// first one became free in the meantime, and against a call that no engine loads for.
func TestQueuedLoadsAreDeclined(t *testing.T) {
	withSupplier(t, func(t *testing.T, is *is.I, e *engine, s *supplier.Supplier) {
		time.Sleep(time.Second)
		reserve := func(n int, opts ...supplier.ReserveOption) supplier.ReserveResponse {
			return s.Reserve(t.Context(), supplier.NewReserveRequest("e1", model(n), append(opts, supplier.WithSize(10, 0, time.Second))...))
		}
		_, granted := reserve(1).(supplier.Granted)
		is.True(granted) // the load starts at once
		declined, ok := reserve(2).(supplier.Declined)
		is.True(ok && declined.LoadsQueued())
		is.True(declined.Wait() >= loadTime)
		_, granted = reserve(1).(supplier.Granted)
		is.True(granted) // its load is on its way

		time.Sleep(time.Second) // the engine is idle again, but model 2 is probably loaded elsewhere
		declined, ok = reserve(2).(supplier.Declined)
		is.True(ok && declined.LoadsQueued())
		_, granted = reserve(2, supplier.WithLastResort(true)).(supplier.Granted)
		is.True(granted) // it is not
		time.Sleep(time.Second)
		e.mu.Lock()
		defer e.mu.Unlock()
		is.Equal(e.loads, 2)
	})
}

// Guards against a load from the cache of the engine's host that waits behind loads
// from the weight store.
func TestWarmLoadsDoNotQueue(t *testing.T) {
	withSupplier(t, func(t *testing.T, is *is.I, e *engine, s *supplier.Supplier) {
		for n := range slots + 1 { // the last one evicts the first one
			s.Reserve(t.Context(), request(n))
			time.Sleep(1500 * time.Millisecond)
		}
		_, held := e.resident[model(0)]
		is.True(!held)
		time.Sleep(2 * time.Second)
		_, granted := s.Reserve(t.Context(), request(8)).(supplier.Granted)
		is.True(granted)
		g, ok := s.Reserve(t.Context(), request(0)).(supplier.Granted)
		is.True(ok)
		is.True(g.Wait() < loadTime/2)
	})
}

// Guards against the eviction of an adapter that a call on another host uses for
// longer than the host's last request says: an unload waits for its calls, and the
// engine carries out no other order meanwhile.
func TestLongCallKeepsItsAdapter(t *testing.T) {
	withSupplier(t, func(t *testing.T, is *is.I, e *engine, s *supplier.Supplier) {
		long := supplier.NewReserveRequest("e1", model(0), supplier.WithSize(10, 1000, time.Second)) // 14 s
		_, granted := s.Reserve(t.Context(), long).(supplier.Granted)
		is.True(granted)
		e.mu.Lock()
		e.inUse[model(0)] = 1
		e.mu.Unlock()
		for n := range slots + 1 {
			s.Reserve(t.Context(), request(n+1))
			time.Sleep(1500 * time.Millisecond)
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		is.True(!e.unloadPending)
		is.True(e.resident[model(0)] > 0)
		is.Equal(fmt.Sprint(e.violations), "[]")
	})
}

// Guards against more jobs on an engine than it has slots, because the outputs are
// longer than their callers expect or the owner was restarted, and against unused slots
// because they are shorter. Calls that queue inside an engine cannot be moved to another
// one.
func TestJobsFollowReports(t *testing.T) {
	tests := []struct {
		name     string
		factor   float64 // actual by expected length of the outputs
		existing int     // jobs that an earlier owner granted
	}{
		{"as expected", 1, 0},
		{"twice as long", 2, 0},
		{"half as long", 0.5, 0},
		{"after a restart", 1, jobs / 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withSupplier(t, func(t *testing.T, is *is.I, e *engine, s *supplier.Supplier) {
				e.resident[model(1)] = 1
				time.Sleep(time.Second)
				const (
					expected = 100 // tokens; 1.4 s
					settled  = 500 // requests; 10 s
				)
				var mu sync.Mutex
				running := tt.existing
				var ended []estimator.Sample
				end := func(took time.Duration) {
					mu.Lock()
					defer mu.Unlock()
					running--
					ended = append(ended, estimator.NewGeneration(expected, took, false))
				}
				for range tt.existing {
					time.AfterFunc(time.Minute, func() { end(2 * time.Second) })
				}
				var most, sum, n int
				for i := range 2000 {
					mu.Lock()
					samples := append(ended, estimator.NewOccupancy(running))
					ended = nil
					if i > settled {
						most, sum, n = max(most, running), sum+running, n+1
					}
					mu.Unlock()
					g, ok := s.Reserve(t.Context(), supplier.NewReserveRequest("e1", model(1), supplier.WithSamples(samples),
						supplier.WithSize(10, expected, 200*time.Millisecond))).(supplier.Granted)
					if ok {
						took := time.Duration(tt.factor * expected * float64(14*time.Millisecond))
						time.AfterFunc(g.Wait(), func() {
							mu.Lock()
							defer mu.Unlock()
							running++
							time.AfterFunc(took, func() { end(took) })
						})
					}
					time.Sleep(20 * time.Millisecond)
					synctest.Wait()
				}
				time.Sleep(time.Minute) // all jobs end
				is.True(most <= jobs*5/4)
				is.True(float64(sum)/float64(n) >= 0.75*jobs)
			})
		})
	}
}
