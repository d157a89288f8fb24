package scheduler_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/scheduler"
	"github.com/dragonflyford/dragonflyford/viewer"
)

func model(name string) connector.Model { return connector.NewModel("base", name, "v1") }

func job(id, adapter string, opts ...connector.JobOption) connector.Job {
	return connector.NewJob(id, id, model(adapter), "prompt", 1, opts...)
}

// rig is a scheduler with fakes of its dependencies.
type rig struct {
	*scheduler.Scheduler
	engine  *engine
	lease   *lease
	crashes *crashes
	view    atomic.Pointer[viewer.View]
}

func newRig(t *testing.T, slots, batch int, opts ...scheduler.Option) *rig {
	t.Helper()
	r := &rig{engine: newEngine(slots), lease: &lease{}, crashes: &crashes{}}
	r.start(t, slots, batch, opts...)
	return r
}

func (r *rig) start(t *testing.T, slots, batch int, opts ...scheduler.Option) {
	t.Helper()
	asserts := asserter.New(func(v asserter.Violation) { t.Error(v) })
	opts = append([]scheduler.Option{scheduler.WithCrashSink(r.crashes), scheduler.WithOvercommit(0)}, opts...)
	r.Scheduler = scheduler.New("engine-1", "node-1", slots, batch, r.engine, r.lease, unlimitedBudget{}, asserts, r.view.Store, opts...)
	synctest.Wait()
}

// run starts a job and returns the channel of its result.
func (r *rig) run(ctx context.Context, j connector.Job) <-chan result {
	c := make(chan result, 1)
	go func() {
		s, err := r.Run(ctx, j)
		c <- result{s, err}
	}()
	synctest.Wait()
	return c
}

type result struct {
	connector.Stream
	err error
}

// mustEnd returns the result of a request that must have ended.
func mustEnd(t *testing.T, c <-chan result) result {
	t.Helper()
	select {
	case r := <-c:
		return r
	default:
		t.Fatal("the request has not ended")
		return result{}
	}
}

func mustStart(t *testing.T, c <-chan result) connector.Stream {
	t.Helper()
	r := mustEnd(t, c)
	if r.err != nil {
		t.Fatal(r.err)
	}
	return r.Stream
}

func mustWait(t *testing.T, c <-chan result) {
	t.Helper()
	synctest.Wait()
	select {
	case r := <-c:
		t.Fatalf("the request ended instead of waiting: %v", r.err)
	default:
	}
}

func sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// Guards against faults in the scheduling of one engine; each case names one.
func TestScheduler(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T, is *is.I)
	}{
		{"requests for one adapter load it more than once", sharedLoad},
		{"a load fails when all slots are pinned", pinnedSlots},
		{"a canceled request still pins its adapter", canceledRequest},
		{"a later request with higher priority waits behind earlier ones", priorities},
		{"an adapter with many requests is evicted for one with few", evictLeastRequested},
		{"a failed load is retried at once or delays other loads", backoff},
		{"a restart of the engine is not detected", restart},
		{"a new owner evicts an adapter that a job of the old owner uses", possiblyInUse},
		{"a new owner ignores the pins that the old owner reports", previousPins},
		{"steady requests for resident adapters starve requests for another one", starvation},
		{"two suspect jobs run at the same time", suspects},
		{"a draining engine accepts new jobs or cuts running ones", drain},
		{"an order is sent without the lease", leaseLost},
		{"work is queued for an engine that does not report", reportsFail},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { tt.run(t, is.New(t)) })
		})
	}
}

func sharedLoad(t *testing.T, is *is.I) {
	r := newRig(t, 2, 8)
	defer r.Close()
	var waiting []<-chan result
	for i := range 5 {
		waiting = append(waiting, r.run(t.Context(), job(fmt.Sprint(i), "a")))
	}
	sleep(time.Second)
	for _, w := range waiting {
		is.NoErr(mustStart(t, w).Close())
	}
	is.Equal(r.engine.loadOrders(), []string{"a"})
	sleep(time.Second) // views are coalesced
	is.Equal(r.view.Load().Residency(model("a")), viewer.Resident)
	is.Equal(r.view.Load().LoadCapacity(), 2)
}

func pinnedSlots(t *testing.T, is *is.I) {
	r := newRig(t, 1, 8)
	defer r.Close()
	first := r.run(t.Context(), job("1", "a"))
	sleep(time.Second)
	s := mustStart(t, first)
	second := r.run(t.Context(), job("2", "b"))
	sleep(10 * time.Second)
	mustWait(t, second)
	is.Equal(r.view.Load().LoadCapacity(), 0)
	is.NoErr(s.Close())
	sleep(time.Second)
	is.NoErr(mustStart(t, second).Close())
	is.Equal(len(r.engine.violations), 0)
}

func canceledRequest(t *testing.T, is *is.I) {
	r := newRig(t, 1, 1)
	defer r.Close()
	first := r.run(t.Context(), job("1", "a"))
	sleep(time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	second := r.run(ctx, job("2", "a"))
	sleep(2 * time.Second)
	var expired *classifier.Expired
	is.True(errors.As(mustEnd(t, second).err, &expired))
	is.NoErr(mustStart(t, first).Close())
	third := r.run(t.Context(), job("3", "b"))
	sleep(time.Second)
	is.NoErr(mustStart(t, third).Close())
}

func priorities(t *testing.T, is *is.I) {
	r := newRig(t, 1, 1)
	defer r.Close()
	first := r.run(t.Context(), job("first", "a"))
	sleep(time.Second)
	low := r.run(t.Context(), job("low", "a"))
	soon, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	urgent := r.run(soon, job("deadline", "a"))
	high := r.run(t.Context(), job("high", "a", connector.WithPriority(1)))
	for _, w := range []<-chan result{first, high, urgent, low} {
		is.NoErr(mustStart(t, w).Close())
		synctest.Wait()
	}
	is.Equal(r.engine.startedJobs(), []string{"first", "high", "deadline", "low"})
}

func evictLeastRequested(t *testing.T, is *is.I) {
	r := newRig(t, 2, 8)
	defer r.Close()
	for i, adapter := range []string{"popular", "popular", "popular", "rare", "other", "popular"} {
		w := r.run(t.Context(), job(fmt.Sprint(i), adapter))
		sleep(time.Second)
		is.NoErr(mustStart(t, w).Close())
	}
	is.Equal(r.engine.loadOrders(), []string{"popular", "rare", "other"})
}

func backoff(t *testing.T, is *is.I) {
	r := newRig(t, 2, 8)
	defer r.Close()
	r.engine.set(func() { r.engine.failLoads[model("bad")] = true })
	var last time.Duration
	for range 4 {
		w := r.run(t.Context(), job("1", "bad"))
		sleep(time.Second)
		var fault *classifier.Unavailable
		is.True(errors.As(mustEnd(t, w).err, &fault))
		is.Equal(fault.Outcome(), classifier.NotRun{})
		is.True(fault.RetryAfter() > last) // doubles, with a jitter of a quarter
		last = fault.RetryAfter()
		again := r.run(t.Context(), job("2", "bad"))
		if last > time.Second {
			is.True(mustEnd(t, again).err != nil) // refused at once
		}
		good := r.run(t.Context(), job("3", "good"))
		sleep(time.Second)
		is.NoErr(mustStart(t, good).Close())
		sleep(last)
	}
	r.engine.set(func() { r.engine.failLoads[model("bad")] = false })
	sleep(time.Minute)
	w := r.run(t.Context(), job("4", "bad"))
	sleep(time.Second)
	is.NoErr(mustStart(t, w).Close())
}

func restart(t *testing.T, is *is.I) {
	r := newRig(t, 2, 8)
	defer r.Close()
	first := r.run(t.Context(), job("1", "a"))
	sleep(time.Second)
	s := mustStart(t, first)
	r.engine.restart()
	sleep(time.Second)
	is.Equal(r.crashes.jobs, []string{"1"})
	is.Equal(r.view.Load().Residency(model("a")), viewer.Absent)
	is.NoErr(s.Close())
	second := r.run(t.Context(), job("2", "a"))
	sleep(time.Second)
	is.NoErr(mustStart(t, second).Close())
	is.Equal(r.engine.loadOrders(), []string{"a", "a"})
}

func possiblyInUse(t *testing.T, is *is.I) {
	r := &rig{engine: newEngine(1), lease: &lease{}, crashes: &crashes{}}
	r.engine.resident[model("old")] = true
	r.engine.previousJobs[model("old")] = 1
	r.start(t, 1, 8)
	defer r.Close()
	is.Equal(r.PossiblyInUse(), []connector.Model{model("old")})
	use := r.run(t.Context(), job("1", "old"))
	is.NoErr(mustStart(t, use).Close()) // jobs may use it
	w := r.run(t.Context(), job("2", "new"))
	sleep(time.Minute)
	mustWait(t, w)
	r.engine.set(func() { r.engine.previousJobs[model("old")] = 0 })
	sleep(time.Second)
	is.NoErr(mustStart(t, w).Close())
	is.Equal(len(r.engine.violations), 0)
}

func previousPins(t *testing.T, is *is.I) {
	r := &rig{engine: newEngine(2), lease: &lease{}, crashes: &crashes{}}
	r.engine.resident[model("free")] = true
	r.engine.resident[model("held")] = true
	r.engine.set(func() { r.engine.reportsFail = true })
	r.start(t, 2, 8)
	defer r.Close()
	r.SetPreviousOwnerPins(model("held"))
	r.engine.set(func() { r.engine.reportsFail = false })
	sleep(500 * time.Millisecond)
	is.Equal(r.PossiblyInUse(), []connector.Model{model("held")})
	w := r.run(t.Context(), job("1", "new"))
	sleep(300 * time.Millisecond)
	is.NoErr(mustStart(t, w).Close())
	is.Equal(r.view.Load().Residency(model("held")), viewer.Resident)
}

func starvation(t *testing.T, is *is.I) {
	r := newRig(t, 1, 8)
	defer r.Close()
	var steady sync.WaitGroup
	defer steady.Wait()
	for i := range 40 {
		steady.Go(func() {
			time.Sleep(time.Duration(i) * time.Second)
			if s, err := r.Run(t.Context(), job(fmt.Sprint(i), "steady")); err == nil {
				time.Sleep(2 * time.Second)
				_ = s.Close()
			}
		})
	}
	sleep(10 * time.Second)
	w := r.run(t.Context(), job("other", "other"))
	sleep(10 * time.Second)
	is.NoErr(mustStart(t, w).Close())
	sleep(10 * time.Second)
	is.Equal(r.view.Load().Residency(model("steady")), viewer.Resident) // the drained adapter is loaded again
	is.Equal(len(r.engine.violations), 0)
}

func suspects(t *testing.T, is *is.I) {
	r := newRig(t, 1, 8)
	defer r.Close()
	first := r.run(t.Context(), job("1", "a", connector.Suspect()))
	second := r.run(t.Context(), job("2", "a", connector.Suspect()))
	other := r.run(t.Context(), job("3", "a"))
	sleep(time.Second)
	s := mustStart(t, first)
	is.NoErr(mustStart(t, other).Close())
	mustWait(t, second)
	is.NoErr(s.Close())
	synctest.Wait()
	is.NoErr(mustStart(t, second).Close())
	is.Equal(len(r.engine.violations), 0)
}

func drain(t *testing.T, is *is.I) {
	r := newRig(t, 1, 1)
	defer r.Close()
	first := r.run(t.Context(), job("1", "a"))
	sleep(time.Second)
	queued := r.run(t.Context(), job("2", "a"))
	drained := make(chan error, 1)
	go func() { drained <- r.Drain(t.Context()) }()
	sleep(time.Minute)
	is.True(mustEnd(t, queued).err != nil)
	is.True(mustEnd(t, r.run(t.Context(), job("3", "a"))).err != nil)
	is.Equal(len(drained), 0)
	is.True(!r.view.Load().Accepts())
	is.NoErr(mustStart(t, first).Close())
	is.NoErr(<-drained)
}

func leaseLost(t *testing.T, is *is.I) {
	r := newRig(t, 1, 8)
	defer r.Close()
	first := r.run(t.Context(), job("1", "a"))
	sleep(time.Second)
	is.NoErr(mustStart(t, first).Close())
	r.lease.set(true)
	resident := r.run(t.Context(), job("2", "a"))
	is.True(mustEnd(t, resident).err != nil)
	missing := r.run(t.Context(), job("3", "b"))
	is.True(mustEnd(t, missing).err != nil)
	is.Equal(r.engine.loadOrders(), []string{"a"})
	is.Equal(r.engine.startedJobs(), []string{"1"})
	r.lease.set(false)
	again := r.run(t.Context(), job("4", "b"))
	sleep(time.Second)
	is.NoErr(mustStart(t, again).Close())
}

func reportsFail(t *testing.T, is *is.I) {
	r := newRig(t, 1, 8)
	defer r.Close()
	r.engine.set(func() { r.engine.reportsFail = true })
	sleep(5 * time.Second)
	is.True(!r.view.Load().Accepts())
	is.True(mustEnd(t, r.run(t.Context(), job("1", "a"))).err != nil)
	r.engine.set(func() { r.engine.reportsFail = false })
	sleep(time.Second)
	is.True(r.view.Load().Accepts())
}
