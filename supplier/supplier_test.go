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
	"github.com/dragonflyford/dragonflyford/estimator"
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

// engine is a fake that handles orders like the platform's engines: it refuses an
// order with an unexpected sequence, loads at most four adapters at a time, and
// its reports are reportLag old.
type engine struct {
	mu            sync.Mutex
	resident      map[connector.Model]int64
	loading       map[connector.Model]time.Time
	versions      map[connector.Model]int64 // that were ordered last
	sequence      int64
	inUse         map[connector.Model]int
	unloadPending bool // an unload waits for the adapter's jobs
	violations    []string
	loads         int
	maxConcurrent int // highest number of concurrent loads
	history       []snapshot
	loseAnswer    func() bool // decides for each order whether its answer is lost
	applyLate     bool        // orders whose answer is lost take effect two seconds later
}

type snapshot struct {
	at     time.Time
	report supplier.Report
}

func newEngine() *engine {
	return &engine{
		resident: map[connector.Model]int64{base: 1}, loading: make(map[connector.Model]time.Time),
		versions: make(map[connector.Model]int64), inUse: make(map[connector.Model]int), loseAnswer: func() bool { return false },
	}
}

func (e *engine) completeLoads() {
	for m, due := range e.loading {
		if !time.Now().Before(due) {
			delete(e.loading, m)
			e.resident[m] = max(e.versions[m], 1)
		}
	}
	e.history = append(e.history, snapshot{at: time.Now(), report: e.report()})
}

func (e *engine) report() supplier.Report {
	loading := make(map[connector.Model]int64)
	for m := range e.loading {
		loading[m] = 1
	}
	return supplier.NewReport(e.sequence, maps.Clone(e.resident), loading)
}

func (e *engine) Report(context.Context, *tracker.Endpoint) (supplier.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.completeLoads()
	answer := e.history[0].report
	for _, s := range e.history {
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
	if !e.loseAnswer() {
		return e.apply(o, expected), nil
	}
	if e.applyLate {
		time.AfterFunc(2*time.Second, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.apply(o, expected)
		})
	} else {
		e.apply(o, expected)
	}
	return nil, errors.New("no answer")
}

func (e *engine) apply(o connector.Order, expected int64) supplier.OrderResult {
	e.completeLoads()
	if expected != e.sequence || e.unloadPending {
		return supplier.Conflict{}
	}
	switch o := o.(type) {
	case connector.LoadAdapter:
		m := connector.NewModel(o.Model().Base(), o.Model().Adapter(), "")
		version, _ := strconv.ParseInt(o.Model().Version(), 10, 64) // 0 stands for the newest
		if v, ok := e.resident[m]; ok && v >= version {
			return supplier.InForce{}
		}
		if len(e.loading) >= 4 {
			return supplier.Conflict{}
		}
		if len(e.resident)-1+len(e.loading) >= slots { // a version that is replaced occupies a slot until its successor is loaded
			e.violations = append(e.violations, "ordered to load more adapters than there are slots")
		}
		e.versions[m] = max(version, 1)
		e.loading[m] = time.Now().Add(loadTime * time.Duration(1+len(e.loading)))
		e.loads++
		e.maxConcurrent = max(e.maxConcurrent, len(e.loading))
	case connector.UnloadAdapter:
		e.sequence++
		if e.inUse[o.Model()] > 0 {
			e.unloadPending = true
			return supplier.Accepted{}
		}
		delete(e.resident, o.Model())
		return supplier.InForce{}
	}
	e.sequence++
	return supplier.Accepted{}
}

type leases struct{ expired, expected, other atomic.Bool }

func (r *leases) Named(string) bool { return !r.other.Load() }

func (r *leases) Expects(string) bool { return r.expected.Load() }

func (r *leases) Lease(string) (uint64, time.Duration, bool) {
	return 7, time.Minute, !r.expired.Load()
}

func newSupplier(e *engine) (*supplier.Supplier, *tracker.Tracker, *leases) {
	fleet := tracker.New(nil)
	fleet.Upsert(tracker.NewEntry("e1", "svc", "1.1.1.1:1", "z", 8, false, 1, nil))
	spec := router.NewEngineSpec(jobs, slots, 1000, []router.BaseModel{router.NewBaseModel("base", 500, 1)})
	r := &leases{}
	speeds := estimator.New(estimator.NewEstimate(50*time.Microsecond, 14*time.Millisecond), nil)
	return supplier.New(e, r, func(string) *router.EngineSpec { return spec }, fleet, speeds, estimator.NewLoads(270*time.Millisecond), logger.Nop()), fleet, r
}

// withSupplier runs a test on a supplier with one engine, in virtual time.
func withSupplier(t *testing.T, test func(t *testing.T, is *is.I, e *engine, s *supplier.Supplier)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e := newEngine()
		s, _, _ := newSupplier(e)
		defer s.Close()
		test(t, is.New(t), e, s)
	})
}

func request(n int, opts ...supplier.ReserveOption) supplier.ReserveRequest {
	return supplier.NewReserveRequest("e1", model(n), append(opts, supplier.WithSize(100, 0, 10*time.Second), supplier.WithMaxLoadWait(900*time.Millisecond))...)
}

// Guards against loading more adapters than an engine has slots, which crashes it,
// because reports lag, answers are lost or orders take effect late.
func TestSlotLimitNotExceeded(t *testing.T) {
	for _, late := range []bool{false, true} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("late %v, seed %d", late, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					random := rand.New(rand.NewPCG(seed, 1))
					e := newEngine()
					e.applyLate = late
					losing := rand.New(rand.NewPCG(seed, 2)) // used under the fake's lock
					e.loseAnswer = func() bool { return losing.IntN(4) == 0 }
					s, _, _ := newSupplier(e)
					defer s.Close()
					granted := 0
					for range 200 {
						ctx, cancel := context.WithTimeout(t.Context(), time.Second)
						if _, ok := s.Reserve(ctx, request(random.IntN(12))).(supplier.Granted); ok {
							granted++
						}
						cancel()
						time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
					}
					e.mu.Lock()
					defer e.mu.Unlock()
					is.Equal(e.violations, nil)
					is.True(granted > 50)
				})
			})
		}
	}
}

// Guards against concurrent loads from the weight store, which slow each other
// down.
func TestLoadsAreSequential(t *testing.T) {
	withSupplier(t, func(t *testing.T, is *is.I, e *engine, s *supplier.Supplier) {
		var last time.Duration
		for n := range 3 {
			g, ok := s.Reserve(t.Context(), request(n)).(supplier.Granted)
			is.True(ok)
			is.True(g.Wait() > last)
			last = g.Wait()
		}
		time.Sleep(2 * time.Second)
		e.mu.Lock()
		defer e.mu.Unlock()
		is.Equal(e.loads, 3)
		is.Equal(e.maxConcurrent, 1)
	})
}

// Guards against overlapping prefills, which stall the streams of an engine, and
// against a call that waits longer than its maximum wait.
func TestPrefillsDoNotOverlap(t *testing.T) {
	withSupplier(t, func(t *testing.T, is *is.I, e *engine, s *supplier.Supplier) {
		e.resident[model(1)] = 1
		time.Sleep(time.Second)
		reserve := func(maxWait time.Duration) supplier.ReserveResponse {
			return s.Reserve(t.Context(), supplier.NewReserveRequest("e1", model(1), supplier.WithSize(2000, 0, maxWait)))
		}
		first, ok := reserve(0).(supplier.Granted)
		is.True(ok)
		is.Equal(first.Wait(), time.Duration(0))
		second, ok := reserve(time.Second).(supplier.Granted)
		is.True(ok)
		is.True(second.Wait() >= 100*time.Millisecond) // prefill of 2000 tokens
		declined, ok := reserve(100 * time.Millisecond).(supplier.Declined)
		is.True(ok)
		is.True(declined.Wait() >= second.Wait())
	})
}

// Guards against calls that queue inside a full engine while another one is idle.
func TestFullEngineDeclines(t *testing.T) {
	withSupplier(t, func(t *testing.T, is *is.I, e *engine, s *supplier.Supplier) {
		e.resident[model(1)] = 1
		time.Sleep(time.Second)
		reserve := func() supplier.ReserveResponse {
			return s.Reserve(t.Context(), supplier.NewReserveRequest("e1", model(1), supplier.WithSize(10, 200, 500*time.Millisecond)))
		}
		for range jobs {
			g, ok := reserve().(supplier.Granted)
			is.True(ok)
			is.True(g.Wait() < 300*time.Millisecond) // after seven short prefills
		}
		_, declined := reserve().(supplier.Declined)
		is.True(declined)
		time.Sleep(4 * time.Second)
		_, granted := reserve().(supplier.Granted)
		is.True(granted)
	})
}

// Guards against eviction of an adapter that calls of another host use.
func TestModelInUseIsNotEvicted(t *testing.T) {
	withSupplier(t, func(t *testing.T, is *is.I, e *engine, s *supplier.Supplier) {
		for n := range slots {
			s.Reserve(t.Context(), request(n))
			time.Sleep(time.Second)
		}
		time.Sleep(5 * time.Second)
		e.mu.Lock()
		e.inUse[model(0)] = 1 // the least recently used one in the owner's own record
		e.mu.Unlock()
		s.Reserve(t.Context(), request(9, supplier.WithModelsInUse([]connector.Model{model(0)})))
		time.Sleep(time.Second)
		e.mu.Lock()
		defer e.mu.Unlock()
		is.True(!e.unloadPending)
		_, held := e.resident[model(0)]
		is.True(held)
	})
}

// Guards against granting an older version after a newer one was named.
func TestNewVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngine()
		e.resident[model(1)] = 1
		s, fleet, _ := newSupplier(e)
		defer s.Close()
		is.Equal(s.Reserve(t.Context(), request(1)).(supplier.Granted).Version(), int64(1))
		fleet.SetNamedVersion(model(1), 2)
		g, ok := s.Reserve(t.Context(), request(1, supplier.WithMinVersion(2))).(supplier.Granted)
		is.True(ok)
		is.Equal(g.Version(), int64(2))
		time.Sleep(time.Second)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.completeLoads()
		is.Equal(e.resident[model(1)], int64(2))
	})
}

// Guards against counting a version that is replaced and its successor as one
// adapter: both occupy a slot until the load has ended, so that one adapter too many
// would be ordered to a full engine, during the replacement or right after it began.
func TestSlotsDuringReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngine()
		s, fleet, _ := newSupplier(e)
		defer s.Close()
		for n := range slots {
			s.Reserve(t.Context(), request(n))
			time.Sleep(time.Second)
		}
		time.Sleep(2 * time.Second)
		s.Reserve(t.Context(), request(3)) // the others are idle
		fleet.SetNamedVersion(model(3), 2)
		granted := func(n int, version int64) bool {
			_, ok := s.Reserve(t.Context(), request(n, supplier.WithMinVersion(version))).(supplier.Granted)
			return ok
		}
		is.True(granted(3, 2))
		is.True(granted(8, 0))
		time.Sleep(2 * time.Second)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.completeLoads()
		is.Equal(e.violations, nil)
		is.Equal(e.resident[model(3)], int64(2))
		is.Equal(e.resident[model(8)], int64(1))
	})
}

// Guards against orders from a host that lost its lease, and against such a host
// refusing calls for models that the engine already holds.
func TestLeaseLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngine()
		s, _, r := newSupplier(e)
		defer s.Close()
		s.Reserve(t.Context(), request(1))
		time.Sleep(time.Second)
		r.expired.Store(true)
		is.Equal(s.Reserve(t.Context(), request(2)), supplier.NotOwner{})
		_, granted := s.Reserve(t.Context(), request(1)).(supplier.Granted)
		is.True(granted)
		e.mu.Lock()
		defer e.mu.Unlock()
		is.Equal(e.loads, 1)
	})
}

// Guards against calls that all are sent to an engine at once, because its owner has started
// while the store is away, and against orders from such a host.
func TestNoLeaseYet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngine()
		e.resident[model(1)] = 1
		s, _, r := newSupplier(e)
		defer s.Close()
		r.expired.Store(true)
		held := supplier.NewReserveRequest("e1", model(1), supplier.WithSize(100, 100, time.Second))
		granted := 0
		for range 10 * jobs {
			if _, ok := s.Reserve(t.Context(), held).(supplier.Granted); ok {
				granted++
			}
		}
		is.True(granted >= jobs)
		is.True(granted < 10*jobs)
		is.Equal(s.Reserve(t.Context(), request(2)), supplier.NotOwner{})
		is.Equal(e.loads, 0)

		another, _, named := newSupplier(e)
		defer another.Close()
		named.expired.Store(true)
		named.other.Store(true) // another host owns the engine
		is.Equal(another.Reserve(t.Context(), request(1)), supplier.NotOwner{})
	})
}

// Guards against calls that are refused while all hosts start at once, because the owner of their
// engine is about to obtain its lease.
func TestLeaseExpected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, _, leases := newSupplier(newEngine())
		defer s.Close()
		leases.expired.Store(true)
		leases.expected.Store(true)
		time.AfterFunc(400*time.Millisecond, func() {
			leases.expired.Store(false)
			leases.expected.Store(false)
		})
		_, ok := s.Reserve(t.Context(), request(1)).(supplier.Granted)
		is.True(ok)

		// A lease that does not come delays the answer for less than the request may take.
		leases.expected.Store(true)
		ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
		defer cancel()
		_ = s.Reserve(ctx, supplier.NewReserveRequest("unknown", model(1)))
		is.NoErr(ctx.Err())
	})
}
