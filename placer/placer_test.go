package placer_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/placer"
	"github.com/dragonflyford/dragonflyford/viewer"
)

var regions = []string{"lj", "mb", "kp"}

func model(i int) connector.Model {
	return connector.NewModel("base", fmt.Sprintf("adapter-%05d", i), "v1")
}

// deployment returns a snapshot with engines spread over three regions.
func deployment(adapters, engines int, w bundler.WeightsDocument) *bundler.Snapshot {
	doc := &bundler.Document{Bases: []bundler.BaseDocument{{Name: "base"}}, Weights: w}
	for i := range adapters {
		doc.Adapters = append(doc.Adapters, bundler.AdapterDocument{Name: model(i).Adapter(), Base: "base", Versions: []string{"v1"}})
	}
	for i := range engines {
		doc.Endpoints = append(doc.Endpoints, bundler.EndpointDocument{
			Name: fmt.Sprintf("engine-%d", i), Kind: bundler.KindEngine, Base: "base", Region: regions[i%len(regions)], Slots: 4, Batch: 8,
		})
	}
	return bundler.NewSnapshot(1, doc)
}

func query(s *bundler.Snapshot, i int, prompt string, excluded ...string) *placer.Query {
	a, _ := s.Adapter(model(i).Adapter())
	q := placer.NewQuery(model(i), a, prompt, 50, s.Weights(), excluded)
	return &q
}

// engineState describes one engine in a test case.
type engineState struct {
	models       map[int]viewer.Residency
	running      int
	loadCapacity int
	evictionCost float64
	age          time.Duration
	prefixes     []uint64
	rejecting    bool
}

func view(i int, s engineState) *viewer.View {
	models := make(map[connector.Model]viewer.Residency)
	for m, r := range s.models {
		models[model(m)] = r
	}
	return viewer.NewView(fmt.Sprintf("engine-%d", i), "owner", models, 4, 8, s.running, 0, time.Now().Add(-s.age), !s.rejecting,
		viewer.WithLoadCapacity(s.loadCapacity, s.evictionCost), viewer.WithPrefixes(viewer.NewPrefixes(s.prefixes)))
}

type drainingEndpoint string

func (d drainingEndpoint) Draining(endpoint string) bool { return endpoint == string(d) }

// Guards against choosing an engine with an avoidable load, cross-region hop or
// wait. The node is in region lj, as are engine 0 and engine 3.
func TestWeighted(t *testing.T) {
	resident := map[int]viewer.Residency{7: viewer.Resident}
	loading := map[int]viewer.Residency{7: viewer.Loading}
	prompt := strings.Repeat("x", 1024)
	balanced := bundler.WeightsDocument{LoadStall: 1, BatchEfficiency: 1, CrossRegion: 1}
	tests := []struct {
		name     string
		weights  bundler.WeightsDocument
		engines  []engineState
		prompt   string
		excluded []string
		draining drainingEndpoint
		want     string
	}{
		{"resident in another region beats a load in the own one", balanced, []engineState{{loadCapacity: 4}, {models: resident, running: 7}}, "", nil, "", "engine-1"},
		{"loading in another region beats a second load", balanced, []engineState{{loadCapacity: 4}, {models: loading}}, "", nil, "", "engine-1"},
		{"resident beats loading", balanced, []engineState{{models: loading}, {models: resident}}, "", nil, "", "engine-1"},
		{"a long queue justifies a second load", balanced, []engineState{{models: resident, running: 30}, {loadCapacity: 4}}, "", nil, "", "engine-1"},
		{"a short queue does not", balanced, []engineState{{models: resident, running: 8}, {loadCapacity: 4}}, "", nil, "", "engine-0"},
		{"the less used adapter is evicted", balanced, []engineState{{loadCapacity: 1, evictionCost: 2}, {loadCapacity: 1, evictionCost: 0.1}}, "", nil, "", "engine-1"},
		{"an engine without a free slot is last", balanced, []engineState{{loadCapacity: 0}, {loadCapacity: 1, evictionCost: 1}}, "", nil, "", "engine-1"},
		{"own region is cheaper", balanced, []engineState{{models: resident}, {models: resident}}, "", nil, "", "engine-0"},
		{"a high cross-region weight keeps requests in the region", bundler.WeightsDocument{CrossRegion: 5000}, []engineState{{loadCapacity: 4}, {models: resident}}, prompt, nil, "", "engine-0"},
		{"an old view is penalised", balanced, []engineState{{models: resident, age: 10 * time.Second}, {models: resident}}, "", nil, "", "engine-1"},
		{"load stall weight spreads jobs", bundler.WeightsDocument{LoadStall: 1}, []engineState{{models: resident, running: 6}, {}, {}, {models: resident}}, "", nil, "", "engine-3"},
		{"batch efficiency weight packs jobs", bundler.WeightsDocument{BatchEfficiency: 1}, []engineState{{models: resident}, {}, {}, {models: resident, running: 6}}, "", nil, "", "engine-3"},
		{"a cached prefix is preferred", balanced, []engineState{{models: resident}, {}, {}, {models: resident, prefixes: connector.PrefixHashes(model(7), prompt)}}, prompt, nil, "", "engine-3"},
		{"an excluded engine is avoided", balanced, []engineState{{models: resident}, {loadCapacity: 4}}, "", []string{"engine-0"}, "", "engine-1"},
		{"a draining engine is avoided at once", balanced, []engineState{{models: resident}, {loadCapacity: 4}}, "", nil, "engine-0", "engine-1"},
		{"an engine that takes no work is avoided", balanced, []engineState{{models: resident, rejecting: true}, {loadCapacity: 4}}, "", nil, "", "engine-1"},
		{"no engine is left", balanced, []engineState{{rejecting: true}}, "", nil, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := deployment(10, len(tt.engines), tt.weights)
				views := viewer.New()
				for i, e := range tt.engines {
					views.Update(view(i, e))
				}
				p := placer.New(views, "lj", placer.WithDrainChecker(tt.draining))
				e, _ := p.Decide(query(s, 7, tt.prompt, tt.excluded...), s.Engines("base"))
				if tt.want == "" {
					is.True(e == nil)
					return
				}
				is.Equal(e.Name(), tt.want)
			})
		})
	}
}

// Guards against sending all requests between two views to one engine, and
// against sending a prompt to another engine than its cached prefix while the
// engine has not yet published that prefix.
func TestRecentPlacementsAndPrefixHistory(t *testing.T) {
	is := is.New(t)
	s := deployment(10, 6, bundler.WeightsDocument{LoadStall: 1})
	views := viewer.New()
	for i := range 6 {
		views.Update(view(i, engineState{models: map[int]viewer.Residency{7: viewer.Resident}}))
	}
	p := placer.New(views, "lj")
	count := make(map[string]int)
	for range 16 {
		e, _ := p.Decide(query(s, 7, ""), s.Engines("base"))
		count[e.Name()]++
	}
	for _, n := range count {
		is.True(n <= 8) // no engine gets more than its batch while others are empty
	}
	is.True(count["engine-0"] > count["engine-1"]) // own region first
	is.True(count["engine-3"] > count["engine-4"])

	prompt := strings.Repeat("y", 1024)
	p = placer.New(views, "lj")
	first, _ := p.Decide(query(s, 7, prompt), s.Engines("base"))
	again, _ := p.Decide(query(s, 7, prompt+"more"), s.Engines("base"))
	is.Equal(again.Name(), first.Name())
}

// Guards against a policy that settings cannot name, and against one that does not
// implement its documented rule.
func TestPolicies(t *testing.T) {
	s := deployment(100, 6, bundler.WeightsDocument{})
	for _, policy := range placer.Policies() {
		t.Run(policy.String(), func(t *testing.T) {
			is := is.New(t)
			parsed, err := placer.ParsePolicy(policy.String())
			is.NoErr(err)
			is.Equal(parsed, policy)
			views := viewer.New()
			for i := range 6 {
				views.Update(view(i, engineState{loadCapacity: 4, running: 5 - i}))
			}
			p := placer.New(views, "lj", placer.WithPolicy(policy), placer.WithSeed(1))
			chosen := make(map[string]bool)
			for i := range 100 {
				e, _ := p.Decide(query(s, i, ""), s.Engines("base"))
				chosen[e.Name()] = true
				if i == 0 && policy == (placer.LeastLoaded{}) {
					is.Equal(e.Name(), "engine-5")
				}
				if policy == (placer.AdapterHash{}) {
					same, _ := p.Decide(query(s, i, ""), s.Engines("base"))
					is.Equal(same.Name(), e.Name())
				}
			}
			is.Equal(len(chosen), 6)
		})
	}
	_, err := placer.ParsePolicy("best")
	if err == nil {
		t.Error("an unknown policy is accepted")
	}
}

// Guards against a decision that takes more than 2 µs or allocates on the request
// path of a deployment with 29,000 adapters.
func BenchmarkDecide(b *testing.B) {
	for _, engines := range []int{12, 3700} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			s := deployment(29_000, engines, bundler.WeightsDocument{LoadStall: 1, BatchEfficiency: 1, CrossRegion: 1})
			views := viewer.New()
			var all []*viewer.View
			for i := range engines {
				has := map[int]viewer.Residency{i: viewer.Resident, 100 + i: viewer.Resident, 200 + i: viewer.Resident, 300 + i: viewer.Loading}
				all = append(all, view(i, engineState{models: has, running: i % 8, loadCapacity: 1, evictionCost: 0.1}))
			}
			views.Update(all...)
			p := placer.New(views, "lj")
			q := query(s, 205, strings.Repeat("prompt ", 50))
			b.ReportAllocs()
			for b.Loop() {
				p.Decide(q, s.Engines("base"))
			}
		})
	}
}

// Guards against an allocation per decision.
func TestDecideAllocatesNothing(t *testing.T) {
	is := is.New(t)
	s := deployment(100, 12, bundler.WeightsDocument{})
	views := viewer.New()
	for i := range 12 {
		views.Update(view(i, engineState{models: map[int]viewer.Residency{i: viewer.Resident}, loadCapacity: 1}))
	}
	p := placer.New(views, "lj")
	q := query(s, 5, strings.Repeat("prompt ", 50))
	is.Equal(testing.AllocsPerRun(100, func() { p.Decide(q, s.Engines("base")) }), 0.0)
}
