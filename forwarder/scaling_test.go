package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/forwarder"
	"github.com/dragonflyford/dragonflyford/viewer"
)

// newState returns a State with views of engines with three adapters each.
func newState(engines int) forwarder.State {
	views := make([]*viewer.View, 0, engines)
	for i := range engines {
		models := make(map[connector.Model]viewer.Residency)
		for j := range 3 {
			models[connector.NewModel("base-7b", fmt.Sprintf("branch-%05d-amounts", i*3+j), "v1")] = viewer.Resident
		}
		views = append(views, viewer.NewView(fmt.Sprintf("engine-lj1-%03d", i), "node-1", models, 4, 16, i%16, i%8, time.Now(), true,
			viewer.WithLoadCapacity(1, 0.125)))
	}
	return forwarder.NewState(1, true, views)
}

// Measures a request for views over loopback, by the number of changed views, with
// the bytes of both directions.
func BenchmarkViews(b *testing.B) {
	for _, engines := range []int{0, 1, 5, 10, 20} {
		b.Run(fmt.Sprintf("changed=%d", engines), func(b *testing.B) {
			p, _ := dial(b, &stubHandler{state: newState(engines)}, nil, nil)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := p.State(context.Background(), 1); err != nil {
					b.Fatal(err)
				}
			}
			sent, received := p.Transferred()
			b.ReportMetric(float64(sent+received)/float64(b.N), "wire-B/op")
		})
	}
}

// Measures forwarding a generation over loopback, by the number of tokens.
func BenchmarkHop(b *testing.B) {
	for _, n := range []int{1, 64, 256} {
		b.Run(fmt.Sprintf("tokens=%d", n), func(b *testing.B) {
			h := &stubHandler{run: func(ctx context.Context, engine string, job connector.Job) (connector.Stream, error) {
				return newTokenStream(n, io.EOF).start(ctx, engine, job)
			}}
			p, _ := dial(b, h, nil, nil)
			b.ReportAllocs()
			for b.Loop() {
				s, err := p.Run(context.Background(), "engine-1", jobOf(n))
				if err != nil {
					b.Fatal(err)
				}
				for err == nil {
					_, err = s.Next(context.Background())
				}
				_ = s.Close()
			}
			sent, received := p.Transferred()
			b.ReportMetric(float64(sent+received)/float64(b.N), "wire-B/op")
		})
	}
}

// Measures the memory of an open connection, of both ends and their goroutines
// together. A node keeps one connection to each peer that it polls.
func BenchmarkConnection(b *testing.B) {
	const connections = 200
	for b.Loop() {
		before := memoryInUse()
		for range connections {
			p, _ := dial(b, &stubHandler{}, nil, nil)
			if _, err := p.State(context.Background(), 1); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric((memoryInUse()-before)/connections, "B/connection")
	}
}

// memoryInUse returns the size of heap and stacks in use in bytes.
func memoryInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}
