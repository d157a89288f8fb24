package requester_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/requester"
)

// receivedRequest holds the headers of a request that the server received.
type receivedRequest struct {
	lastEventID string // Last-Event-ID
	id          string
	key         string
	attempt     string
	timeout     string
}

// scriptedServer handles the n-th request with the n-th handler, and later ones
// with the last. It returns no entry addresses.
type scriptedServer struct {
	handlers []http.HandlerFunc
	mu       sync.Mutex
	requests []receivedRequest
}

func (s *scriptedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/entries" {
		http.NotFound(w, r)
		return
	}
	s.mu.Lock()
	n := min(len(s.requests), len(s.handlers)-1)
	s.requests = append(s.requests, receivedRequest{
		lastEventID: r.Header.Get("Last-Event-ID"),
		id:          r.Header.Get("X-Request-Id"),
		key:         r.Header.Get("Idempotency-Key"),
		attempt:     r.Header.Get("Idempotency-Attempt"),
		timeout:     r.Header.Get("X-Timeout-Ms"),
	})
	s.mu.Unlock()
	s.handlers[n](w, r)
}

func (s *scriptedServer) all() []receivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requests)
}

func start(t *testing.T, handlers ...http.HandlerFunc) (*scriptedServer, *requester.Requester) {
	t.Helper()
	s := &scriptedServer{handlers: handlers}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	r := requester.New("ana", []string{strings.TrimPrefix(server.URL, "http://")}, 1)
	t.Cleanup(r.Close)
	return s, r
}

// stream sends the tokens from one index up to another, and then an end.
func stream(model string, from, to int, end string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		adapter, version, _ := strings.Cut(model, "@")
		w.Header().Set("X-Adapter", adapter)
		w.Header().Set("X-Version", version)
		w.Header().Set("X-Outcome", "done")
		for i := from; i < to; i++ {
			fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"text\":\"t%d\"}]}\n\n", i, i)
		}
		_, _ = fmt.Fprint(w, end)
	}
}

const (
	done      = "data: [DONE]\n\n"
	truncated = ""
	failed    = "event: error\ndata: {\"type\":\"uncertain\",\"detail\":\"gone\",\"status\":502}\n\n"
)

func fault(status int, outcome, retryAfter string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Outcome", outcome)
		if retryAfter != "" {
			w.Header().Set("Retry-After", retryAfter)
		}
		w.WriteHeader(status)
		_, _ = fmt.Fprintf(w, `{"type":"fault-%d","detail":"reason","status":%d}`, status, status)
	}
}

// Guards against tokens that are lost or duplicated when a stream breaks, and
// against retries that cannot succeed.
func TestGenerate(t *testing.T) {
	tests := []struct {
		name     string
		handlers []http.HandlerFunc
		outcome  classifier.Outcome
		tokens   int
		resumes  int
		last     []string // Last-Event-ID of each exchange
		mixed    bool
	}{
		{"complete", []http.HandlerFunc{stream("a@v", 0, 3, done)}, classifier.Done{}, 3, 0, []string{""}, false},
		{"truncated and resumed", []http.HandlerFunc{stream("a@v", 0, 2, truncated), stream("a@v", 2, 3, done)}, classifier.Done{}, 3, 1, []string{"", "1"}, false},
		{"error event and resumed", []http.HandlerFunc{stream("a@v", 0, 1, failed), stream("a@v", 1, 3, done)}, classifier.Done{}, 3, 1, []string{"", "0"}, false},
		{"truncated before the first token", []http.HandlerFunc{stream("a@v", 0, 0, truncated), stream("a@v", 0, 3, done)}, classifier.Done{}, 3, 0, []string{"", ""}, false},
		{"resumed too early", []http.HandlerFunc{stream("a@v", 0, 2, truncated), stream("a@v", 1, 3, done), stream("a@v", 2, 3, done)}, classifier.Done{}, 3, 1, []string{"", "1", "1"}, false},
		{"resumed too late", []http.HandlerFunc{stream("a@v", 0, 1, truncated), stream("a@v", 2, 3, done), stream("a@v", 1, 3, done)}, classifier.Done{}, 3, 1, []string{"", "0", "0"}, false},
		{"resumed by another version", []http.HandlerFunc{stream("a@v", 0, 1, truncated), stream("a@w", 1, 3, done)}, classifier.Unknown{}, 1, 1, []string{"", "0", "0", "0"}, true},
		{"overloaded, then done", []http.HandlerFunc{fault(503, "not-run", "0.001"), stream("a@v", 0, 3, done)}, classifier.Done{}, 3, 0, []string{"", ""}, false},
		{"refused for good", []http.HandlerFunc{fault(404, "not-run", "")}, classifier.NotRun{}, 0, 0, []string{""}, false},
		{"out of attempts", []http.HandlerFunc{stream("a@v", 0, 0, truncated)}, classifier.Unknown{}, 0, 0, []string{"", "", "", ""}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, r := start(t, tt.handlers...)
			text := r.Generate(t.Context(), requester.NewGeneration("a@v", "p", 3, "r-1", 0))
			is.Equal(text.Outcome(), tt.outcome)
			is.Equal(text.Resumes(), tt.resumes)
			is.Equal(text.VersionChanged(), tt.mixed)
			is.Equal(len(text.Tokens()), tt.tokens)
			is.Equal(len(text.Timing().Gaps()), max(tt.tokens-1, 0))
			for i, token := range text.Tokens() {
				is.Equal(token, "t"+strconv.Itoa(i))
			}
			var last []string
			for _, request := range s.all() {
				last = append(last, request.lastEventID)
				is.Equal(request.id, "r-1")
			}
			is.Equal(last, tt.last)
		})
	}
}

func answer(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Outcome", "done")
		_, _ = fmt.Fprint(w, body)
	}
}

// abort ends the connection without a response.
func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against retries with another key or without an attempt number, which
// would run a posting twice, and against an outcome that no response reported
// or that ignores an earlier attempt without a response.
func TestCall(t *testing.T) {
	unknown, notRun, ran := classifier.Unknown{}, classifier.NotRun{}, classifier.Done{}
	tests := []struct {
		name     string
		handlers []http.HandlerFunc
		outcomes []classifier.Outcome
		kind     string // of the problem
		known    classifier.Outcome
	}{
		{"done", []http.HandlerFunc{answer("x")}, []classifier.Outcome{ran}, "", ran},
		{"response lost", []http.HandlerFunc{abort, answer("x")}, []classifier.Outcome{unknown, ran}, "", ran},
		{"unknown, then done", []http.HandlerFunc{fault(409, "unknown", "0.001"), answer("x")}, []classifier.Outcome{unknown, ran}, "", ran},
		{"not run, repeat allowed", []http.HandlerFunc{fault(503, "not-run", "0.001"), answer("x")}, []classifier.Outcome{notRun, ran}, "", ran},
		{"not run, no repeat", []http.HandlerFunc{fault(422, "not-run", "")}, []classifier.Outcome{notRun}, "fault-422", notRun},
		{"response lost, then not run", []http.HandlerFunc{abort, fault(422, "not-run", "")}, []classifier.Outcome{unknown, notRun}, "fault-422", unknown},
		{"no outcome header", []http.HandlerFunc{func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(502) }}, []classifier.Outcome{unknown, unknown, unknown, unknown}, "502", unknown},
		{"out of attempts", []http.HandlerFunc{abort}, []classifier.Outcome{unknown, unknown, unknown, unknown}, "connection", unknown},
	}
	bodies := []string{"{}", ""} // net/http resends requests without a body in more cases
	for i, tt := range append(tests, tests...) {
		body := bodies[i/len(tests)]
		t.Run(tt.name+" with body "+strconv.Quote(body), func(t *testing.T) {
			is := is.New(t)
			s, r := start(t, tt.handlers...)
			reply := r.Call(t.Context(), requester.NewCall("ledger", http.MethodPost, "/postings", "k1", []byte(body)))
			is.Equal(reply.Outcomes(), tt.outcomes)
			is.Equal(reply.Outcome(), tt.known)
			if tt.kind == "" {
				is.Equal(reply.Problem(), nil)
				is.Equal(string(reply.Body()), "x")
			} else {
				is.Equal(reply.Problem().Kind(), tt.kind)
			}
			is.Equal(len(s.all()), len(tt.outcomes))
			for i, request := range s.all() {
				is.Equal(request.key, "k1")
				is.Equal(request.attempt, strconv.Itoa(i+1))
			}
		})
	}
}

// Guards against callers that keep using an unreachable address.
func TestNextAddress(t *testing.T) {
	is := is.New(t)
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	s, _ := start(t, answer("x"))
	live := httptest.NewServer(s)
	t.Cleanup(live.Close)
	r := requester.New("ana", []string{strings.TrimPrefix(gone.URL, "http://"), strings.TrimPrefix(live.URL, "http://")}, 1)
	t.Cleanup(r.Close)
	reply := r.Call(t.Context(), requester.NewCall("ledger", http.MethodGet, "/balances/1", "", nil))
	is.Equal(reply.Outcome(), classifier.Done{})
	is.Equal(s.all()[0].attempt, "") // idempotent calls have no key
}
