package runner_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dragonflyford/dragonflyford/admitter"
	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/claimer"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/dispatcher"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/forwarder"
	"github.com/dragonflyford/dragonflyford/placer"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/resolver"
	"github.com/dragonflyford/dragonflyford/runner"
	"github.com/dragonflyford/dragonflyford/server"
	"github.com/dragonflyford/dragonflyford/verifier"
	"github.com/dragonflyford/dragonflyford/viewer"
)

// instantHandler is an engine that produces tokens without delay, so that a
// benchmark measures only the cost of the node.
type instantHandler struct {
	forwarder.Handler
}

func (instantHandler) Run(_ context.Context, _ string, job connector.Job) (connector.Stream, error) {
	return &instantStream{job: job}, nil
}

type instantStream struct {
	job  connector.Job
	next int
}

func (s *instantStream) Next(context.Context) (connector.Chunk, error) {
	if s.next == s.job.MaxTokens() {
		return connector.Chunk{}, io.EOF
	}
	s.next++
	return connector.NewChunk(s.job.Attempt(), s.job.Model(), s.next-1, "token", s.next == s.job.MaxTokens()), nil
}

func (*instantStream) Close() error { return nil }

// engineExecutor runs jobs on an instantHandler, directly or through a peer.
type engineExecutor struct {
	handler interface {
		Run(ctx context.Context, engine string, job connector.Job) (connector.Stream, error)
	}
}

func (e engineExecutor) Run(ctx context.Context, job connector.Job) (connector.Stream, error) {
	return e.handler.Run(ctx, "engine-1", job)
}

func newBenchNode(b *testing.B, e dispatcher.Executor) runner.Pipeline {
	b.Helper()
	asserts := asserter.New(func(v asserter.Violation) { b.Error(v) })
	views := viewer.New()
	resident := map[connector.Model]viewer.Residency{connector.NewModel("base", "reading", "v1"): viewer.Resident}
	views.Update(viewer.NewView("engine-1", "node-1", resident, 2, 64, 0, 0, time.Now(), true))
	claim := claimer.New(emulator.NewTable(), "node-1", asserts)
	b.Cleanup(claim.Close)
	dispatch := dispatcher.New(directory{executor: e, service: emulator.NewService()})
	b.Cleanup(dispatch.Close)
	return runner.NewStages(
		receiver.New(receiver.NewLimits(10_000, 10_000, time.Minute, time.Minute)),
		resolver.New(publish(b)), admitter.New(100), claim, placer.New(views, "lj"), dispatch, verifier.New(asserts), 3).Join()
}

// executors returns an engine of the same node and one that is reached through
// drpc over loopback.
func executors(b *testing.B) map[string]dispatcher.Executor {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := forwarder.NewServer(instantHandler{})
	served := make(chan error, 1)
	go func() { served <- s.Serve(context.Background(), l) }()
	peer := forwarder.Dial(l.Addr().String())
	b.Cleanup(func() {
		_ = peer.Close()
		_ = s.Close()
		<-served
	})
	return map[string]dispatcher.Executor{"own": engineExecutor{handler: instantHandler{}}, "peer": engineExecutor{handler: peer}}
}

const benchTokens = 256

// Measures the cost per token of the pipeline and the HTTP front end, without a
// socket.
func BenchmarkToken(b *testing.B) {
	for name, executor := range executors(b) {
		b.Run(name, func(b *testing.B) {
			h := server.New(newBenchNode(b, executor)).Handler()
			body := `{"model":"reading@v1","prompt":"cheque","max_tokens":256,"stream":true}`
			b.ReportAllocs()
			for b.Loop() {
				h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body)))
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*benchTokens), "ns/token")
		})
	}
}

// Measures the time to the first token over loopback HTTP with an engine that
// produces tokens without delay, so that all of it is added by the node. The target
// is less than 1 ms at the 99th percentile. The case bare is an HTTP handler without
// a node, which shows the share of HTTP and of the machine's load.
func BenchmarkFirstToken(b *testing.B) {
	handlers := map[string]func(b *testing.B) http.Handler{"bare": func(*testing.B) http.Handler { return http.HandlerFunc(bare) }}
	for name, executor := range executors(b) {
		handlers[name] = func(b *testing.B) http.Handler { return server.New(newBenchNode(b, executor)).Handler() }
	}
	for name, handler := range handlers {
		b.Run(name, func(b *testing.B) {
			srv := httptest.NewServer(handler(b))
			defer srv.Close()
			took := make([]time.Duration, 0, b.N)
			b.ReportAllocs()
			for b.Loop() {
				took = append(took, firstToken(b, srv.URL))
			}
			slices.Sort(took)
			quantile := func(q float64) float64 { return float64(took[int(q*float64(len(took)-1))].Microseconds()) }
			b.ReportMetric(quantile(0.5), "p50-µs")
			b.ReportMetric(quantile(0.99), "p99-µs")
		})
	}
}

func bare(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, "data: token\n\n")
	_ = http.NewResponseController(w).Flush()
}

func firstToken(b *testing.B, url string) time.Duration {
	b.Helper()
	body := []byte(`{"model":"reading@v1","prompt":"cheque","max_tokens":4,"stream":true}`)
	began := time.Now()
	resp, err := http.Post(url+"/v1/completions", "application/json", bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	r := bufio.NewReader(resp.Body)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			b.Fatalf("status %d: %v", resp.StatusCode, err)
		}
		if strings.HasPrefix(line, "data:") {
			break
		}
	}
	took := time.Since(began)
	_, _ = io.Copy(io.Discard, r)
	return took
}
