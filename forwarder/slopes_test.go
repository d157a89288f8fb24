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

// stateOf returns the views of engines with three adapters each.
func stateOf(engines int) forwarder.State {
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

// Measures a question for views over loopback, with the bytes of both
// directions.
func BenchmarkViews(b *testing.B) {
	for _, engines := range []int{0, 1, 5, 10, 20} {
		b.Run(fmt.Sprintf("changed=%d", engines), func(b *testing.B) {
			p, _ := dial(b, &node{state: stateOf(engines)}, nil, nil)
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

// Measures one hop of a generation over loopback.
func BenchmarkHop(b *testing.B) {
	for _, n := range []int{1, 64, 256} {
		b.Run(fmt.Sprintf("tokens=%d", n), func(b *testing.B) {
			h := &node{run: func(ctx context.Context, engine string, job connector.Job) (connector.Stream, error) {
				return newTokens(n, io.EOF).start(ctx, engine, job)
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

// Measures the memory of an open connection, both ends and their goroutines
// together. A node keeps one to each peer that it asks.
func BenchmarkConnection(b *testing.B) {
	const connections = 200
	for b.Loop() {
		before := memory()
		for range connections {
			p, _ := dial(b, &node{}, nil, nil)
			if _, err := p.State(context.Background(), 1); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric((memory()-before)/connections, "B/connection")
	}
}

// memory returns the bytes of heap and stacks in use.
func memory() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}
