package trial_test

import (
	"encoding/json"
	"flag"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/placer"
)

var (
	seed   = flag.Uint64("seed", 1, "seed of the traces")
	report = flag.String("report", "", "file to write the comparison of the policies to")
)

// Lengths of a trace. The full one leaves time between the popularity shift and
// the two flash crowds; the short one is for CI.
const (
	fullLength  = 30 * time.Minute
	shortLength = 10 * time.Minute
)

type comparison struct {
	Deployments map[string]deploymentResult `json:"deployments"`
}

type deploymentResult struct {
	Policies map[string]result `json:"policies"`
	Bound    struct {
		StoreLoads int `json:"store_loads"`
	} `json:"bound"`
}

func compare(t *testing.T, length time.Duration) comparison {
	t.Helper()
	c := comparison{Deployments: make(map[string]deploymentResult)}
	for _, d := range deployments() {
		trace := newTrace(d, *seed, length)
		m := deploymentResult{Policies: make(map[string]result)}
		m.Bound.StoreLoads = beladyLoads(trace, d.engines*slots)
		for _, p := range placer.Policies() {
			synctest.Test(t, func(t *testing.T) {
				m.Policies[p.String()] = simulate(t, d, p, *seed, trace)
			})
			r := m.Policies[p.String()]
			t.Logf("%s %-12s stall %+v efficiency %.3f loads %d (bound %d) first token %+v refused %d of %d, %d kB",
				d.name, p, r.LoadStall, r.BatchEfficiency, r.StoreLoads, m.Bound.StoreLoads, r.FirstToken, r.Refused, len(trace), r.CrossRegionBytes/1000)
		}
		c.Deployments[d.name] = m
	}
	return c
}

// Targets from section 1 of the design page: our p99 load stall and our batch
// efficiency relative to those of the least-loaded policy, and our store loads
// relative to Belady's bound.
const (
	maxStallRatio      = 1.0 / 3
	minEfficiencyRatio = 1.25
	maxLoadRatio       = 1.3
)

// Guards against a placement policy that misses its targets: the load stall on the
// clearing deployment, batch efficiency on tender, and store loads on both.
func TestPolicies(t *testing.T) {
	length := shortLength
	if *report != "" {
		length = fullLength
	}
	c := compare(t, length)
	if *report != "" {
		is := is.New(t)
		content, err := json.MarshalIndent(c, "", "\t")
		is.NoErr(err)
		is.NoErr(os.WriteFile(*report, append(content, '\n'), 0o644))
	}
	ours, leastLoaded := placer.Weighted{}.String(), placer.LeastLoaded{}.String()
	clearing, tender := c.Deployments["clearing"].Policies, c.Deployments["tender"].Policies
	t.Run("p99 load stall on clearing", func(t *testing.T) {
		got, limit := clearing[ours].LoadStall.P99, maxStallRatio*clearing[leastLoaded].LoadStall.P99
		if got > limit {
			t.Errorf("p99 load stall is %.0f ms; the target is at most %.0f ms", got, limit)
		}
	})
	t.Run("batch efficiency on tender", func(t *testing.T) {
		got, limit := tender[ours].BatchEfficiency, minEfficiencyRatio*tender[leastLoaded].BatchEfficiency
		if got < limit {
			t.Errorf("batch efficiency is %.3f; the target is at least %.3f", got, limit)
		}
	})
	for name, m := range c.Deployments {
		t.Run("store loads on "+name, func(t *testing.T) {
			got, limit := m.Policies[ours].StoreLoads, int(maxLoadRatio*float64(m.Bound.StoreLoads))
			if got > limit {
				t.Errorf("policy makes %d store loads; the target is at most %d", got, limit)
			}
		})
	}
}
