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
	report = flag.String("report", "", "file that receives the comparison of the policies")
)

// Lengths of a trace: the whole one covers a dusk and two flash crowds with the
// time between them; the short one is for CI.
const (
	wholeLength = 30 * time.Minute
	shortLength = 10 * time.Minute
)

type comparison struct {
	Deployments map[string]measured `json:"deployments"`
}

type measured struct {
	Policies map[string]result `json:"policies"`
	Bound    struct {
		StoreLoads int `json:"store_loads"`
	} `json:"bound"`
}

func compare(t *testing.T, length time.Duration) comparison {
	t.Helper()
	c := comparison{Deployments: make(map[string]measured)}
	for _, d := range deployments() {
		trace := newTrace(d, *seed, length)
		m := measured{Policies: make(map[string]result)}
		m.Bound.StoreLoads = bound(trace, d.engines*slots)
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

// The targets of section 1 of the design page.
const (
	stallShare      = 1.0 / 3
	efficiencyRatio = 1.25
	loadRatio       = 1.3
)

// Guards against a placement policy that misses the promised figures: load
// stalls on clearing, batch efficiency on tender, store loads on both.
func TestPolicies(t *testing.T) {
	length := shortLength
	if *report != "" {
		length = wholeLength
	}
	c := compare(t, length)
	if *report != "" {
		is := is.New(t)
		content, err := json.MarshalIndent(c, "", "\t")
		is.NoErr(err)
		is.NoErr(os.WriteFile(*report, append(content, '\n'), 0o644))
	}
	ours, least := placer.Weighted{}.String(), placer.LeastLoaded{}.String()
	clearing, tender := c.Deployments["clearing"].Policies, c.Deployments["tender"].Policies
	t.Run("p99 load stall on clearing", func(t *testing.T) {
		got, limit := clearing[ours].LoadStall.P99, stallShare*clearing[least].LoadStall.P99
		if got > limit {
			t.Errorf("ours has %.0f ms; the target is %.0f ms", got, limit)
		}
	})
	t.Run("batch efficiency on tender", func(t *testing.T) {
		got, limit := tender[ours].BatchEfficiency, efficiencyRatio*tender[least].BatchEfficiency
		if got < limit {
			t.Errorf("ours has %.3f; the target is %.3f", got, limit)
		}
	})
	for name, m := range c.Deployments {
		t.Run("store loads on "+name, func(t *testing.T) {
			got, limit := m.Policies[ours].StoreLoads, int(loadRatio*float64(m.Bound.StoreLoads))
			if got > limit {
				t.Errorf("ours makes %d loads; the target is %d", got, limit)
			}
		})
	}
}
