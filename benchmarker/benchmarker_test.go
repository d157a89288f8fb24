package benchmarker_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/benchmarker"
	"github.com/dragonflyford/dragonflyford/requester"
)

// handlerTransport runs a handler in process, so that time is virtual.
type handlerTransport struct{ handler http.Handler }

// pipeResponse is the handler's side of a response.
type pipeResponse struct {
	*io.PipeWriter
	header http.Header
	status int
	sent   chan struct{}
	once   sync.Once
}

func (w *pipeResponse) Header() http.Header { return w.header }

func (w *pipeResponse) WriteHeader(status int) {
	w.once.Do(func() {
		w.status = status
		close(w.sent)
	})
}

func (w *pipeResponse) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.PipeWriter.Write(b)
}

func (p handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	reader, end := io.Pipe()
	w := &pipeResponse{PipeWriter: end, header: http.Header{}, sent: make(chan struct{})}
	go func() {
		p.handler.ServeHTTP(w, r)
		w.WriteHeader(http.StatusOK)
		_ = end.Close()
	}()
	context.AfterFunc(r.Context(), func() { _ = end.CloseWithError(r.Context().Err()) })
	select {
	case <-w.sent:
		return &http.Response{StatusCode: w.status, Header: w.header.Clone(), Body: reader, Request: r}, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// server answers generations after a stall, and calls at once.
type server struct {
	stall   func(sinceStart time.Duration) time.Duration
	adapter func(asked string) string
	tokens  int // in addition to the requested ones
	started time.Time

	mu   sync.Mutex
	keys map[string]int
}

func newServer() *server {
	return &server{
		stall:   func(time.Duration) time.Duration { return 0 },
		adapter: func(asked string) string { return asked },
		started: time.Now(),
		keys:    make(map[string]int),
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/entries":
		w.WriteHeader(http.StatusNotFound)
	case strings.HasPrefix(r.URL.Path, "/v1/services/"):
		s.mu.Lock()
		s.keys[r.Header.Get("Idempotency-Key")]++
		s.mu.Unlock()
		w.Header().Set("X-Outcome", "done")
		w.WriteHeader(http.StatusOK)
	default:
		s.generate(w, r)
	}
}

func (s *server) generate(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var model string
	var n int
	_, rest, _ := strings.Cut(string(body), `"model":"`)
	model, rest, _ = strings.Cut(rest, `"`)
	_, rest, _ = strings.Cut(rest, `"max_tokens":`)
	_, _ = fmt.Sscanf(rest, "%d", &n)
	time.Sleep(s.stall(time.Since(s.started)))
	adapter, version, _ := strings.Cut(s.adapter(model), "@")
	w.Header().Set("X-Adapter", adapter)
	w.Header().Set("X-Version", version)
	for i := range n + s.tokens {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"text\":\"t%d\"}]}\n\n", i, i); err != nil {
			return
		}
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func workload(t *testing.T, change func(d *benchmarker.Document)) *benchmarker.Document {
	t.Helper()
	d, err := benchmarker.Parse([]byte(`{"entries": ["entry:1"], "duration_s": 10, "rate": 50, "timeout_ms": 4000}`))
	is.New(t).NoErr(err)
	if change != nil {
		change(d)
	}
	return d
}

func run(t *testing.T, s *server, d *benchmarker.Document, opts ...benchmarker.Option) (*benchmarker.Benchmarker, *benchmarker.Result) {
	t.Helper()
	b := benchmarker.New(d, append(opts, benchmarker.WithTransport(func() http.RoundTripper { return handlerTransport{s} }))...)
	return b, b.Run(t.Context())
}

func onlyGenerations(d *benchmarker.Document) { d.Mix = benchmarker.MixDocument{Generation: 1} }

// Guards against coordinated omission: while a server stalls for three seconds,
// the load must not slow down, and the latencies of the requests that are due
// meanwhile must include the stall.
func TestStallShows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newServer()
		s.stall = func(at time.Duration) time.Duration {
			if at > 2*time.Second && at < 5*time.Second {
				return 5*time.Second - at
			}
			return 0
		}
		_, stalled := run(t, s, workload(t, onlyGenerations))
		_, smooth := run(t, newServer(), workload(t, onlyGenerations))
		is.Equal(stalled.Requests, smooth.Requests)
		is.Equal(stalled.Completed, stalled.Requests)
		is.True(smooth.FirstTokenMS.Max < 1)
		// The stall covers 30% of the run and is spread evenly over 0 to 3 s.
		is.True(stalled.FirstTokenMS.P50 < 1)
		is.True(stalled.FirstTokenMS.P95 > 2000)
		is.True(stalled.FirstTokenMS.Max > 2900 && stalled.FirstTokenMS.Max < 3001)
	})
}

// Guards against latencies that improve when slow requests fail instead of
// being answered.
func TestFailuresShow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newServer()
		s.stall = func(time.Duration) time.Duration { return time.Hour }
		_, r := run(t, s, workload(t, onlyGenerations))
		is.Equal(r.Completed, 0)
		is.True(r.FirstTokenMS.P50 > 3999)
		time.Sleep(time.Hour) // lets the handlers end
	})
}

// Guards against a run that accepts the answer of another adapter, or an
// incomplete answer, as correct.
func TestWrongAnswers(t *testing.T) {
	token := func(_ requester.Generation, i int) string { return fmt.Sprint("t", i) }
	tests := []struct {
		name   string
		change func(s *server)
		expect benchmarker.Expectation
		wrong  bool
	}{
		{"correct", func(*server) {}, token, false},
		{"token differs", func(*server) {}, func(_ requester.Generation, i int) string { return fmt.Sprint("u", i) }, true},
		{"other adapter", func(s *server) { s.adapter = func(string) string { return "other@v1" } }, nil, true},
		{"other version", func(s *server) { s.adapter = func(asked string) string { return asked + "2" } }, nil, true},
		{"no adapter named", func(s *server) { s.adapter = func(string) string { return "" } }, nil, true},
		{"too many tokens", func(s *server) { s.tokens = 1 }, nil, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newServer()
				tt.change(s)
				_, r := run(t, s, workload(t, onlyGenerations), benchmarker.WithExpectation(tt.expect))
				is.True(r.Requests > 0)
				want := 0
				if tt.wrong {
					want = r.Requests
				}
				is.Equal(r.WrongAnswers, want)
			})
		})
	}
}

// Guards against runs that differ with the same seed, and against postings that
// share a key.
func TestSeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newServer()
		b, first := run(t, s, workload(t, nil))
		_, same := run(t, newServer(), workload(t, nil))
		_, other := run(t, newServer(), workload(t, func(d *benchmarker.Document) { d.Seed = 2 }))
		is.Equal(*first, *same)
		is.True(first.Requests != other.Requests)
		is.True(len(b.Postings()) > 0)
		for _, p := range b.Postings() {
			is.Equal(s.keys[p.Key()], 1)
		}
		started, ended := b.Progress()
		is.Equal(started, first.Requests)
		is.Equal(ended, first.Requests)
	})
}

// Guards against a run that cannot be stopped.
func TestStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		s := newServer()
		r := benchmarker.New(workload(t, nil), benchmarker.WithTransport(func() http.RoundTripper { return handlerTransport{s} })).Run(ctx)
		is.True(r.Requests > 0)
		is.True(r.DurationS <= 1)
	})
}

// Guards against invalid settings that are accepted without an error.
func TestParse(t *testing.T) {
	tests := []struct {
		name string
		text string
		want string // part of the error; "" if there is none
	}{
		{"defaults", `{"entries": ["h:1"]}`, ""},
		{"unknown field", `{"entries": ["h:1"], "rats": 1}`, `unknown field "rats"`},
		{"text after the object", `{"entries": ["h:1"]} {}`, "text after"},
		{"no entries", `{}`, "entries"},
		{"entry without port", `{"entries": ["h"]}`, "entries is [h]; allowed is at least one address, each as host:port"},
		{"rate", `{"entries": ["h:1"], "rate": 0}`, "rate is 0"},
		{"several faults", `{"entries": ["h:1"], "rate": -1, "callers": 0}`, "callers is 0"},
		{"negative share", `{"entries": ["h:1"], "mix": {"posting": -1}}`, "no negative share"},
		{"verb for text", `{"entries": ["h:1"], "adapters": {"format": "a-%s"}}`, "adapters.format is a-%s"},
		{"two verbs", `{"entries": ["h:1"], "adapters": {"format": "a-%d-%d"}}`, "adapters.format"},
		{"lookup path with another verb", `{"entries": ["h:1"], "lookup_path": "/%d/%s"}`, "lookup_path"},
		{"prompt", `{"entries": ["h:1"], "prompt_bytes": -1}`, "prompt_bytes is -1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := benchmarker.Parse([]byte(tt.text))
			if tt.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tt.want))
		})
	}
}

func ExampleCompare() {
	before, _ := benchmarker.ParseResult([]byte(`{"requests": 100, "completed": 90, "first_token_ms": {"p50": 10, "p95": 20, "p99": 40}}`))
	after, _ := benchmarker.ParseResult([]byte(`{"requests": 100, "completed": 99, "first_token_ms": {"p50": 10, "p95": 15, "p99": 20}}`))
	var table bytes.Buffer
	_ = benchmarker.Compare(&table, before, after)
	for _, line := range strings.Split(table.String(), "\n")[1:9] {
		fmt.Println(strings.Join(strings.Fields(line), " "))
	}
	// Output:
	// requests 100.00 100.00 +0.0%
	// completed 90.00 99.00 +10.0%
	// not run 0.00 0.00 -
	// unknown 0.00 0.00 -
	// wrong answers 0.00 0.00 -
	// first token p50 ms 10.00 10.00 +0.0%
	// first token p95 ms 20.00 15.00 -25.0%
	// first token p99 ms 40.00 20.00 -50.0%
}

// Guards against accepting other documents as a result.
func TestParseResult(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "[]", `{"requests": "many"}`, `{"request": 1}`, `{} {}`} {
		_, err := benchmarker.ParseResult([]byte(text))
		is.True(err != nil)
	}
}
