package selector_test

import (
	"fmt"
	"testing"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/selector"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// Measures the choice of an engine among those of one service, a third of which are in
// the host's own region. One in eight holds the model.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 78, 380, 3700, 11000} {
		b.Run(fmt.Sprint("engines=", n), func(b *testing.B) {
			f := tracker.New(regions)
			entries := make([]tracker.Entry, n)
			for i := range entries {
				models := map[connector.Model]int64{connector.NewModel("base", "", ""): 1}
				if i%8 == 0 {
					models[adapter] = 1
				}
				entries[i] = tracker.NewEntry(fmt.Sprint("e", i), "svc", "1.1.1.1:1", []string{"z1", "z2", "z3"}[i%3], 8, false, 1, models)
			}
			f.Upsert(entries...)
			s := selector.New(f, "z1", "r1")
			call := routeCall(b, true, adapter)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := s.Choose(call, avoidNone, false); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
