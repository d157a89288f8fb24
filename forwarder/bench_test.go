package forwarder_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/forwarder"
	"github.com/dragonflyford/dragonflyford/viewer"
)

func benchmark(b *testing.B, run func(b *testing.B, connect transport)) {
	for name, connect := range transports {
		b.Run(name, func(b *testing.B) { run(b, connect) })
	}
}

// Measures the cost of forwarding a request with one token. For comparison: the
// design target for the p95 time to first token is 0.9 s.
func BenchmarkRequest(b *testing.B) {
	benchmark(b, func(b *testing.B, connect transport) {
		h := &stubHandler{}
		p, _ := connect(b, h)
		b.ReportAllocs()
		for b.Loop() {
			h.run = newTokenStream(1, io.EOF).start
			s, err := p.Run(b.Context(), "e", jobOf(1))
			if err == nil {
				_, err = read(b.Context(), s)
			}
			if err != io.EOF {
				b.Fatal(err)
			}
		}
	})
}

// Measures the cost per token, in time and bytes, when many tokens are ready at
// the same time.
func BenchmarkToken(b *testing.B) {
	benchmark(b, func(b *testing.B, connect transport) {
		source := newTokenStream(b.N, io.EOF)
		source.text = "word"
		p, _ := connect(b, &stubHandler{run: source.start})
		b.ReportAllocs()
		s, err := p.Run(b.Context(), "e", jobOf(b.N))
		if err == nil {
			_, err = read(b.Context(), s)
		}
		if err != io.EOF {
			b.Fatal(err)
		}
		_, received := p.Transferred()
		b.ReportMetric(float64(received)/float64(b.N), "B/token")
	})
}

// Measures the cost per token when each is sent in a message of its own, as at the
// usual time between tokens.
func BenchmarkSpacedToken(b *testing.B) {
	benchmark(b, func(b *testing.B, connect transport) {
		source := newTokenStream(1<<40, io.EOF)
		source.text, source.turn = "word", make(chan struct{})
		p, _ := connect(b, &stubHandler{run: source.start})
		go func() { source.turn <- struct{}{} }()
		s, err := p.Run(b.Context(), "e", jobOf(1))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := s.Next(b.Context()); err != nil {
			b.Fatal(err)
		}
		_, before := p.Transferred()
		b.ReportAllocs()
		b.ResetTimer()
		for range b.N {
			source.turn <- struct{}{}
			if _, err := s.Next(b.Context()); err != nil {
				b.Fatal(err)
			}
		}
		b.StopTimer()
		_, after := p.Transferred()
		b.ReportMetric(float64(after-before)/float64(b.N), "B/token")
		_ = s.Close()
	})
}

// Measures a request for the views of an owner with 20 engines of 8 adapters each.
func BenchmarkState(b *testing.B) {
	benchmark(b, func(b *testing.B, connect transport) {
		var views []*viewer.View
		for e := range 20 {
			models := make(map[connector.Model]viewer.Residency)
			for a := range 8 {
				models[connector.NewModel("base-7b", fmt.Sprintf("adapter-%05d", (e*37+a*11)%500), "v1")] = viewer.Resident
			}
			views = append(views, viewer.NewView(fmt.Sprintf("engine-%04d", e), "node-0001", models, 8, 32, 20, 3, time.Now(), true, viewer.WithLoadCapacity(1, 0.1)))
		}
		p, _ := connect(b, &stubHandler{state: forwarder.NewState(1, true, views)})
		b.ReportAllocs()
		for b.Loop() {
			if _, err := p.State(b.Context(), 0); err != nil {
				b.Fatal(err)
			}
		}
		sent, received := p.Transferred()
		b.ReportMetric(float64(sent+received)/float64(b.N), "B/call")
	})
}
