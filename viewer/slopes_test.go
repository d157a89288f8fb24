package viewer_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/viewer"
)

func viewOf(i int) *viewer.View {
	models := map[connector.Model]viewer.Residency{connector.NewModel("base", fmt.Sprintf("adapter-%d", i), "v1"): viewer.Resident}
	return viewer.NewView(fmt.Sprintf("engine-superior1-%05d", i), "node-1", models, 4, 16, i%16, 0, time.Now(), true)
}

// Measures the update of one engine's view as the number of engines grows. A node
// publishes up to 50 views per second for each engine that it owns.
func BenchmarkSlope(b *testing.B) {
	for _, engines := range []int{12, 100, 1000, 11_000} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			v := viewer.New()
			all := make([]*viewer.View, 0, engines)
			for i := range engines {
				all = append(all, viewOf(i))
			}
			v.Update(all...)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				v.Update(all[i%engines])
				i++
			}
		})
	}
}

// Measures the memory that the views of 11,000 engines take. Each engine has three
// adapters, whose names are shared between engines.
func BenchmarkMemory(b *testing.B) {
	const engines = 11_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		v := viewer.New()
		all := make([]*viewer.View, 0, engines)
		for i := range engines {
			models := make(map[connector.Model]viewer.Residency)
			for j := range 3 {
				models[connector.NewModel("base", names[(i+j)%len(names)], "v1")] = viewer.Resident
			}
			all = append(all, viewer.NewView(fmt.Sprintf("engine-superior1-%05d", i), "node-1", models, 4, 16, i%16, 0, time.Now(), true))
		}
		v.Update(all...)
		clear(all)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/engines, "B/view")
		runtime.KeepAlive(v)
	}
}

var names = []string{"reading", "signature", "amounts", "notes"}
