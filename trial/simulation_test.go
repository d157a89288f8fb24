package trial_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/budgeter"
	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/placer"
	"github.com/dragonflyford/dragonflyford/scheduler"
	"github.com/dragonflyford/dragonflyford/viewer"
)

// simulation runs one trace through the real placer, schedulers and budgeter. Each
// region has one node that owns the region's engines and polls the views of the
// other regions once per second, as package runner does. All engines share the
// weight-store budget of one node, because a race of several nodes for the budget's
// row would make runs differ.
type simulation struct {
	deployment
	bundle  *bundler.Snapshot
	engines map[string]*engine
	owners  map[string]*scheduler.Scheduler
	placers []*placer.Placer // by region
	views   []*viewer.Viewer // by region

	mu               sync.Mutex
	loadWaits        []time.Duration
	firstToken       []time.Duration
	crossRegionBytes int
	refused          int
}

type fixedLease struct{}

func (fixedLease) Fence() (connector.Fence, error) {
	return connector.NewFence(1, time.Now().Add(time.Minute)), nil
}

func document(d deployment) *bundler.Document {
	doc := &bundler.Document{
		Bases: []bundler.BaseDocument{{Name: "base"}},
		Weights: bundler.WeightsDocument{
			LoadStall: d.loadStall, BatchEfficiency: d.batchEfficiency, CrossRegion: 1,
		},
		Limits: bundler.LimitsDocument{StoreLoadsPerSecond: d.storeRate, StoreLoadsInFlight: 8},
	}
	for i := range adapters {
		doc.Adapters = append(doc.Adapters, bundler.AdapterDocument{Name: adapterName(i), Base: "base", Versions: []string{"v1"}})
	}
	for i := range d.engines {
		doc.Endpoints = append(doc.Endpoints, bundler.EndpointDocument{
			Name: fmt.Sprintf("engine-%02d", i), Kind: bundler.KindEngine, Base: "base",
			Region: d.regions[i%len(d.regions)], Slots: slots, Batch: batch,
		})
	}
	return doc
}

func adapterName(i int) string { return fmt.Sprintf("adapter-%04d", i) }

// simulate runs a trace under a policy. It must be called in a synctest bubble.
func simulate(t *testing.T, d deployment, policy placer.Policy, seed uint64, trace []request) result {
	t.Helper()
	s := &simulation{
		deployment: d,
		bundle:     bundler.NewSnapshot(1, document(d)),
		engines:    make(map[string]*engine),
		owners:     make(map[string]*scheduler.Scheduler),
	}
	for range d.regions {
		v := viewer.New()
		s.views = append(s.views, v)
		s.placers = append(s.placers, placer.New(v, d.regions[len(s.placers)], placer.WithPolicy(policy), placer.WithSeed(seed)))
	}
	asserts := asserter.New(func(v asserter.Violation) { t.Error(v) })
	budget := budgeter.New(emulator.NewTable(), "node", s.bundle.Limits, func() (int, int) { return 0, 1 }, seed)
	defer budget.Close()
	for i, e := range s.bundle.Engines("base") {
		s.engines[e.Name()] = newEngine()
		publish := func(v *viewer.View) { s.views[i%len(d.regions)].Update(v) }
		s.owners[e.Name()] = scheduler.New(e.Name(), "node", slots, batch, s.engines[e.Name()], fixedLease{}, budget, asserts,
			publish, scheduler.WithOvercommit(0), scheduler.WithSeed(seed))
		defer s.owners[e.Name()].Close()
	}
	ctx, cancel := context.WithCancel(t.Context())
	var polls sync.WaitGroup
	for region := range d.regions {
		polls.Go(func() { s.pollViews(ctx, region) })
	}
	time.Sleep(3 * pollInterval) // until the first reports and views have arrived
	s.replay(t.Context(), trace)
	cancel()
	polls.Wait()
	return s.result()
}

// pollInterval is the interval at which a node polls the views of other regions; see
// otherDataCentreInterval in package runner.
const pollInterval = time.Second

// pollViews copies the views of other regions to one region periodically. Each region
// polls with a phase of its own that coincides with no report or view, because the
// order of events at the same instant differs between runs.
func (s *simulation) pollViews(ctx context.Context, region int) {
	time.Sleep(pollInterval * time.Duration(3*region+1) / time.Duration(3*len(s.regions)))
	for ctx.Err() == nil {
		var views []*viewer.View
		for i, e := range s.bundle.Engines("base") {
			if from := i % len(s.regions); from != region {
				if v := s.views[from].Load().Engine(e.Name()); v != nil {
					views = append(views, v)
				}
			}
		}
		time.Sleep(crossRegionTime)
		s.views[region].Update(views...)
		time.Sleep(pollInterval - crossRegionTime)
	}
}

func (s *simulation) replay(ctx context.Context, trace []request) {
	start := time.Now()
	var requests sync.WaitGroup
	for i, r := range trace {
		time.Sleep(time.Until(start.Add(r.at)))
		requests.Go(func() { s.sendRequest(ctx, i, r) })
	}
	requests.Wait()
}

// maxAttempts is the number of engines that a request tries before it is refused.
const maxAttempts = 3

// sendRequest simulates one request from its caller to the end of its answer.
func (s *simulation) sendRequest(ctx context.Context, i int, r request) {
	ctx, cancel := context.WithTimeout(ctx, s.deadline)
	defer cancel()
	arrived := time.Now()
	time.Sleep(s.callerTime)
	adapter, _ := s.bundle.Adapter(adapterName(r.adapter))
	m := connector.NewModel("base", adapter.Name(), "v1")
	prompt := strings.Repeat(fmt.Sprintf("session %08d. ", r.session), 20)
	var excluded []string
	for try := range maxAttempts {
		q := placer.NewQuery(m, adapter, prompt, r.tokens, s.bundle.Weights(), slices.Clone(excluded))
		engine, _ := s.placers[r.region].Decide(&q, s.bundle.Engines("base"))
		if engine == nil {
			break
		}
		job := connector.NewJob(fmt.Sprintf("%d.%d", i, try), fmt.Sprint(i), m, prompt, r.tokens)
		if s.attempt(ctx, engine, &q, job, r, arrived) {
			return
		}
		excluded = append(excluded, engine.Name())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused++
	s.loadWaits = append(s.loadWaits, time.Since(arrived))
}

// attempt runs a job on one engine and reports whether it was served.
func (s *simulation) attempt(ctx context.Context, e *bundler.EngineEndpoint, q *placer.Query, job connector.Job, r request, arrived time.Time) bool {
	remote := e.Region() != s.regions[r.region]
	if remote {
		time.Sleep(crossRegionTime)
	}
	st, err := s.owners[e.Name()].Run(ctx, job)
	if err != nil {
		return false
	}
	since := s.engines[e.Name()].loadedAt(job.Model())
	_, _ = st.Next(ctx)
	first := time.Since(arrived) + s.callerTime
	if remote {
		first += crossRegionTime
	}
	_, _ = st.Next(ctx)
	_ = st.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadWaits = append(s.loadWaits, max(0, since.Sub(arrived)))
	s.firstToken = append(s.firstToken, first)
	if remote {
		s.crossRegionBytes += q.Bytes()
	}
	return true
}

const crossRegionTime = 20 * time.Millisecond // one way

// result holds the measurements of one policy on a trace.
type result struct {
	LoadStall        percentiles `json:"load_stall_ms"`
	BatchEfficiency  float64     `json:"batch_efficiency"`
	StoreLoads       int         `json:"store_loads"`
	Evictions        int         `json:"evictions"`
	CrossRegionBytes int         `json:"cross_region_bytes"`
	Refused          int         `json:"refused"`
	FirstToken       percentiles `json:"first_token_ms"`
}

type percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

func (s *simulation) result() result {
	r := result{
		LoadStall:        percentilesOf(s.loadWaits),
		FirstToken:       percentilesOf(s.firstToken),
		CrossRegionBytes: s.crossRegionBytes,
		Refused:          s.refused,
	}
	var jobs, busy time.Duration
	for _, e := range s.engines {
		e.mu.Lock()
		e.integrate(0)
		jobs += e.jobTime
		busy += e.busyTime
		r.StoreLoads += e.loads
		r.Evictions += e.evictions
		e.mu.Unlock()
	}
	r.BatchEfficiency = jobs.Seconds() / (batch * busy.Seconds())
	return r
}

func percentilesOf(all []time.Duration) percentiles {
	if len(all) == 0 {
		return percentiles{}
	}
	slices.Sort(all)
	at := func(p float64) float64 {
		return float64(all[min(len(all)-1, int(p*float64(len(all))))]) / float64(time.Millisecond)
	}
	return percentiles{P50: at(0.5), P95: at(0.95), P99: at(0.99)}
}
