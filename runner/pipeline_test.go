package runner_test

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/admitter"
	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/claimer"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/dispatcher"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/placer"
	"github.com/dragonflyford/dragonflyford/publisher"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/resolver"
	"github.com/dragonflyford/dragonflyford/runner"
	"github.com/dragonflyford/dragonflyford/scheduler"
	"github.com/dragonflyford/dragonflyford/server"
	"github.com/dragonflyford/dragonflyford/validator"
	"github.com/dragonflyford/dragonflyford/verifier"
	"github.com/dragonflyford/dragonflyford/viewer"
)

// The bundle of a deployment with one engine and one ledger.
const document = `{
	"format": 1, "version": "1",
	"regions": [{"name": "lj", "data_centres": ["lj1"]}],
	"bases": [{"name": "base"}],
	"adapters": [{"name": "reading", "base": "base", "versions": ["v1"]}],
	"services": [{"name": "ledger", "calls": [{"method": "POST", "path": "/postings"}]}],
	"endpoints": [
		{"name": "engine-1", "kind": "engine", "base": "base", "address": "127.0.0.1:1", "region": "lj", "data_centre": "lj1", "slots": 2, "batch": 4},
		{"name": "ledger-1", "kind": "service", "service": "ledger", "address": "127.0.0.1:2", "region": "lj", "data_centre": "lj1"}
	],
	"weights": {"load_stall": 1, "batch_efficiency": 1, "cross_region": 1},
	"limits": {"store_loads_per_second": 2, "store_loads_in_flight": 8, "retry_share": 0.1}
}`

// directory implements dispatcher.Directory for one engine and one service.
type directory struct {
	executor dispatcher.Executor
	service  connector.Service
}

func (d directory) Executor(string, string) (dispatcher.Executor, error) { return d.executor, nil }
func (d directory) Service(string) (connector.Service, error)            { return d.service, nil }

type lease struct{}

func (lease) Fence() (connector.Fence, error) {
	return connector.NewFence(1, time.Now().Add(time.Minute)), nil
}

type budget struct{}

func (budget) Acquire(context.Context, func() int) (func(), error) { return func() {}, nil }

func split(t testing.TB) *bundler.Content {
	t.Helper()
	is := is.New(t)
	doc, err := bundler.Parse([]byte(document))
	is.NoErr(err)
	content, err := bundler.Split(doc)
	is.NoErr(err)
	return content
}

func publish(t testing.TB) *publisher.Publisher {
	t.Helper()
	is := is.New(t)
	authorKey, author, err := ed25519.GenerateKey(nil)
	is.NoErr(err)
	reviewerKey, reviewer, err := ed25519.GenerateKey(nil)
	is.NoErr(err)
	content := split(t)
	m := content.Manifest()
	signed := bundler.NewSigned(m,
		bundler.Sign(bundler.RoleAuthor, "a", author, m),
		bundler.Sign(bundler.RoleReviewer, "r", reviewer, m))
	keys := bundler.NewKeys(map[string]ed25519.PublicKey{"a": authorKey, "r": reviewerKey})
	verified, err := validator.New(keys).
		Apply(context.Background(), validator.NewCandidate(1, true, signed, content.Part, nil))
	is.NoErr(err)
	p := publisher.New()
	is.True(p.Publish(verified.Snapshot()))
	return p
}

func newNode(t *testing.T) (*httptest.Server, *emulator.Service) {
	t.Helper()
	asserts := asserter.New(func(v asserter.Violation) { t.Error(v) })
	views := viewer.New()
	engine := emulator.NewEngine(emulator.NewWeightStore(emulator.WithLoadTime(time.Millisecond, 8)),
		emulator.WithSlots(2), emulator.WithBatch(4), emulator.WithStepTime(time.Millisecond),
		emulator.WithPrefill(time.Millisecond, 0))
	t.Cleanup(engine.Close)
	sched := scheduler.New("engine-1", "node-1", 2, 4, engine, lease{}, budget{}, asserts,
		func(v *viewer.View) { views.Update(v) })
	t.Cleanup(sched.Close)
	ledger := emulator.NewService()
	table := emulator.NewTable()
	claim := claimer.New(table, "node-1", asserts)
	t.Cleanup(claim.Close)
	dispatch := dispatcher.New(directory{executor: sched, service: ledger})
	t.Cleanup(dispatch.Close)
	stages := runner.NewStages(
		receiver.New(receiver.NewLimits(100, 1000, time.Minute, time.Minute)),
		resolver.New(publish(t)), admitter.New(10), claim, placer.New(views, "lj"), dispatch, verifier.New(asserts), 3)
	srv := httptest.NewServer(server.New(stages.Join()).Handler())
	t.Cleanup(srv.Close)
	return srv, ledger
}

func post(t *testing.T, url, key, body string) (*http.Response, string) {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	is.NoErr(err)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	return resp, string(content)
}

// Guards against pipeline stages that do not fit together: one generation passes
// through all of them.
func TestGeneration(t *testing.T) {
	is := is.New(t)
	srv, _ := newNode(t)
	resp, body := post(t, srv.URL+"/v1/completions", "", `{"model":"reading@v1","prompt":"cheque","max_tokens":3}`)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(resp.Header.Get("X-Outcome"), "done")
	is.Equal(resp.Header.Get("X-Adapter"), "reading")
	is.Equal(resp.Header.Get("X-Version"), "v1")
	is.Equal(resp.Header.Get("X-Bundle-Epoch"), "1")

	var answer struct {
		Choices []struct{ Text string }
	}
	is.NoErr(json.Unmarshal([]byte(body), &answer))
	var want string
	for i := range 3 {
		want += emulator.Token(connector.NewModel("base", "reading", "v1"), "cheque",
			dispatcher.Seed(resp.Header.Get("X-Request-Id")), i)
	}
	is.Equal(answer.Choices[0].Text, want)
}

// Guards against executing a posting twice for the same idempotency key.
func TestPostingOnce(t *testing.T) {
	is := is.New(t)
	srv, ledger := newNode(t)
	first, body := post(t, srv.URL+"/v1/services/ledger/postings", "k1", `{"amount":1}`)
	is.Equal(first.StatusCode, http.StatusOK)
	second, again := post(t, srv.URL+"/v1/services/ledger/postings", "k1", `{"amount":1}`)
	is.Equal(second.StatusCode, http.StatusOK)
	is.Equal(body, again)
	total := 0
	for _, n := range ledger.Executions() {
		total += n
	}
	is.Equal(total, 1)
}

// Guards against a response that differs after the caller resumes it at another
// node: the seed must depend only on the request ID.
func TestResumeAtAnotherNode(t *testing.T) {
	is := is.New(t)
	stream := func(lastEvent string) string {
		srv, _ := newNode(t)
		req, err := http.NewRequest(http.MethodPost, srv.URL+"/v1/completions",
			strings.NewReader(`{"model":"reading@v1","prompt":"cheque","max_tokens":5,"stream":true}`))
		is.NoErr(err)
		req.Header.Set("X-Request-Id", "r-1")
		req.Header.Set("Last-Event-ID", lastEvent)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(resp.Header.Get("X-Request-Id"), "r-1")
		_, text, _ := strings.Cut(string(body), "id: ")
		return text
	}
	whole := stream("")
	is.True(strings.HasSuffix(whole, "data: [DONE]\n\n"))
	_, rest, _ := strings.Cut(whole, "id: 3\n")
	_, resumed, _ := strings.Cut(stream("2"), "\n")
	text := func(events string) string {
		var b strings.Builder
		for _, part := range strings.Split(events, `"text":"`)[1:] {
			token, _, _ := strings.Cut(part, `"`)
			b.WriteString(token)
		}
		return b.String()
	}
	is.True(text(rest) != "")
	is.Equal(text(resumed), text(rest))
}
