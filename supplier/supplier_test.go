package supplier_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/supplier"
	"github.com/dragonflyford/dragonflyford/tracker"
)

const (
	slots     = 4 // for adapters
	jobs      = 8
	loadTime  = 250 * time.Millisecond
	reportLag = 200 * time.Millisecond
)

var base = connector.NewModel("base", "", "")

func model(n int) connector.Model { return connector.NewModel("base", fmt.Sprint("a", n), "") }

// engine is a fake that carries out orders as the platform's engines do: orders
// with another sequence than expected are refused, at most four adapters are on
// their way, and reports are old.
type engine struct {
	mu       sync.Mutex
	held     map[connector.Model]int64
	coming   map[connector.Model]time.Time
	sequence int64
	using    map[connector.Model]int
	blocked  bool // an unload waits for its jobs
	broken   []string
	loads    int
	most     int // adapters on their way at the same time
	old      []snapshot
	lose     func() bool // whether an answer is lost
	late     bool        // lost orders take effect two seconds later
}

type snapshot struct {
	at     time.Time
	report supplier.Report
}

func newEngine() *engine {
	return &engine{
		held: map[connector.Model]int64{base: 1}, coming: make(map[connector.Model]time.Time),
		using: make(map[connector.Model]int), lose: func() bool { return false },
	}
}

func (e *engine) settle() {
	for m, due := range e.coming {
		if !time.Now().Before(due) {
			delete(e.coming, m)
			e.held[m] = max(e.held[m], 1)
		}
	}
	e.old = append(e.old, snapshot{at: time.Now(), report: e.report()})
}

func (e *engine) report() supplier.Report {
	coming := make(map[connector.Model]int64)
	for m := range e.coming {
		coming[m] = 1
	}
	return supplier.NewReport(e.sequence, maps.Clone(e.held), coming)
}

func (e *engine) Report(context.Context, *tracker.Endpoint) (supplier.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	answer := e.old[0].report
	for _, s := range e.old {
		if time.Since(s.at) >= reportLag {
			answer = s.report
		}
	}
	return answer, nil
}

func (e *engine) Order(ctx context.Context, _ *tracker.Endpoint, o connector.Order, expected int64) (supplier.OrderResult, error) {
	time.Sleep(time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.lose() {
		return e.carryOut(o, expected), nil
	}
	if e.late {
		time.AfterFunc(2*time.Second, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.carryOut(o, expected)
		})
	} else {
		e.carryOut(o, expected)
	}
	return nil, errors.New("no answer")
}

func (e *engine) carryOut(o connector.Order, expected int64) supplier.OrderResult {
	e.settle()
	if expected != e.sequence || e.blocked {
		return supplier.Conflict{}
	}
	switch o := o.(type) {
	case connector.LoadAdapter:
		m := connector.NewModel(o.Model().Base(), o.Model().Adapter(), "")
		version, _ := strconv.ParseInt(o.Model().Version(), 10, 64) // 0: the newest
		if v, ok := e.held[m]; ok && v >= version {
			return supplier.InForce{}
		}
		if len(e.coming) >= 4 {
			return supplier.Conflict{}
		}
		if _, replaced := e.held[m]; !replaced && len(e.held)-1+len(e.coming) >= slots {
			e.broken = append(e.broken, "ordered to load more than fits")
		}
		e.held[m] = version // a replaced version goes at once in this fake
		if version == 0 {
			delete(e.held, m)
		}
		e.coming[m] = time.Now().Add(loadTime * time.Duration(1+len(e.coming)))
		e.loads++
		e.most = max(e.most, len(e.coming))
	case connector.UnloadAdapter:
		e.sequence++
		if e.using[o.Model()] > 0 {
			e.blocked = true
			return supplier.Accepted{}
		}
		delete(e.held, o.Model())
		return supplier.InForce{}
	}
	e.sequence++
	return supplier.Accepted{}
}

type rights struct{ none atomic.Bool }

func (r *rights) Lease(string) (uint64, time.Duration, bool) { return 7, time.Minute, !r.none.Load() }

func newSupplier(e *engine) (*supplier.Supplier, *tracker.Tracker, *rights) {
	fleet := tracker.New(nil)
	fleet.Upsert(tracker.NewEntry("e1", "svc", "1.1.1.1:1", "z", 8, false, 1, nil))
	settings := router.NewEngineSpec(jobs, slots, 1000, []router.BaseModel{router.NewBaseModel("base", 500, 1)})
	r := &rights{}
	return supplier.New(e, r, func(string) *router.EngineSpec { return settings }, fleet, logger.Nop()), fleet, r
}

// withSupplier runs a test in virtual time on a supplier with one engine.
func withSupplier(t *testing.T, test func(t *testing.T, is *is.I, e *engine, s *supplier.Supplier)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e := newEngine()
		s, _, _ := newSupplier(e)
		defer s.Close()
		test(t, is.New(t), e, s)
	})
}

func want(n int, opts ...supplier.ReserveOption) supplier.ReserveRequest {
	return supplier.NewReserveRequest("e1", model(n), append(opts, supplier.WithSize(100, 0, 10*time.Second))...)
}

// Guards against an order for more adapters than an engine holds, which crashes it:
// with old reports, with answers that are lost, and with orders that take effect
// late.
func TestNeverTooMany(t *testing.T) {
	for _, late := range []bool{false, true} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("late %v, seed %d", late, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					random := rand.New(rand.NewPCG(seed, 1))
					e := newEngine()
					e.late = late
					losing := rand.New(rand.NewPCG(seed, 2)) // used under the fake's lock
					e.lose = func() bool { return losing.IntN(4) == 0 }
					s, _, _ := newSupplier(e)
					defer s.Close()
					granted := 0
					for range 200 {
						ctx, cancel := context.WithTimeout(t.Context(), time.Second)
						if _, ok := s.Reserve(ctx, want(random.IntN(12))).(supplier.Granted); ok {
							granted++
						}
						cancel()
						time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
					}
					e.mu.Lock()
					defer e.mu.Unlock()
					is.Equal(e.broken, nil)
					is.True(granted > 50)
				})
			})
		}
	}
}

// Guards against loads that slow each other down because they are ordered at the
// same time.
func TestOneLoadAtATime(t *testing.T) {
	withSupplier(t, func(t *testing.T, is *is.I, e *engine, s *supplier.Supplier) {
		var last time.Duration
		for n := range 3 {
			g, ok := s.Reserve(t.Context(), want(n)).(supplier.Granted)
			is.True(ok)
			is.True(g.Wait() > last)
			last = g.Wait()
		}
		time.Sleep(2 * time.Second)
		e.mu.Lock()
		defer e.mu.Unlock()
		is.Equal(e.loads, 3)
		is.Equal(e.most, 1)
	})
}

// Guards against prompts that an engine reads all at once, so that the streams on
// it pause, and against a call that waits longer than it may.
func TestTurns(t *testing.T) {
	withSupplier(t, func(t *testing.T, is *is.I, e *engine, s *supplier.Supplier) {
		e.held[model(1)] = 1
		time.Sleep(time.Second)
		ask := func(patience time.Duration) supplier.ReserveResponse {
			return s.Reserve(t.Context(), supplier.NewReserveRequest("e1", model(1), supplier.WithSize(2000, 0, patience)))
		}
		first, ok := ask(0).(supplier.Granted)
		is.True(ok)
		is.Equal(first.Wait(), time.Duration(0))
		second, ok := ask(time.Second).(supplier.Granted)
		is.True(ok)
		is.True(second.Wait() >= 100*time.Millisecond) // the time to read 2000 tokens
		declined, ok := ask(100 * time.Millisecond).(supplier.Declined)
		is.True(ok)
		is.True(declined.Wait() >= second.Wait())
	})
}

// Guards against calls that wait inside a full engine while another one is idle.
func TestSlots(t *testing.T) {
	withSupplier(t, func(t *testing.T, is *is.I, e *engine, s *supplier.Supplier) {
		e.held[model(1)] = 1
		time.Sleep(time.Second)
		ask := func() supplier.ReserveResponse {
			return s.Reserve(t.Context(), supplier.NewReserveRequest("e1", model(1), supplier.WithSize(10, 200, 500*time.Millisecond)))
		}
		for range jobs {
			g, ok := ask().(supplier.Granted)
			is.True(ok)
			is.True(g.Wait() < 300*time.Millisecond) // seven short prompts before it
		}
		_, declined := ask().(supplier.Declined)
		is.True(declined)
		time.Sleep(4 * time.Second)
		_, granted := ask().(supplier.Granted)
		is.True(granted)
	})
}

// Guards against an eviction of an adapter that another host's calls use.
func TestUsedStays(t *testing.T) {
	withSupplier(t, func(t *testing.T, is *is.I, e *engine, s *supplier.Supplier) {
		for n := range slots {
			s.Reserve(t.Context(), want(n))
			time.Sleep(time.Second)
		}
		time.Sleep(5 * time.Second)
		e.mu.Lock()
		e.using[model(0)] = 1 // the longest unused for the owner
		e.mu.Unlock()
		s.Reserve(t.Context(), want(9, supplier.WithModelsInUse([]connector.Model{model(0)})))
		time.Sleep(time.Second)
		e.mu.Lock()
		defer e.mu.Unlock()
		is.True(!e.blocked)
		_, held := e.held[model(0)]
		is.True(held)
	})
}

// Guards against calls that get an older version after a newer one was named.
func TestNewVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngine()
		e.held[model(1)] = 1
		s, fleet, _ := newSupplier(e)
		defer s.Close()
		is.Equal(s.Reserve(t.Context(), want(1)).(supplier.Granted).Version(), int64(1))
		fleet.SetNamedVersion(model(1), 2)
		g, ok := s.Reserve(t.Context(), want(1, supplier.WithMinVersion(2))).(supplier.Granted)
		is.True(ok)
		is.Equal(g.Version(), int64(2))
		time.Sleep(time.Second)
		e.mu.Lock()
		defer e.mu.Unlock()
		is.Equal(e.held[model(1)], int64(2))
	})
}

// Guards against orders from a host that lost its right, and against one that no
// longer plans the calls for what its engine holds.
func TestNoRight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngine()
		s, _, r := newSupplier(e)
		defer s.Close()
		s.Reserve(t.Context(), want(1))
		time.Sleep(time.Second)
		r.none.Store(true)
		is.Equal(s.Reserve(t.Context(), want(2)), supplier.NotOwner{})
		_, granted := s.Reserve(t.Context(), want(1)).(supplier.Granted)
		is.True(granted)
		e.mu.Lock()
		defer e.mu.Unlock()
		is.Equal(e.loads, 1)
	})
}
