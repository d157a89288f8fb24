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
	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/dispatcher"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/publisher"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/runner"
	"github.com/dragonflyford/dragonflyford/scheduler"
	"github.com/dragonflyford/dragonflyford/server"
	"github.com/dragonflyford/dragonflyford/validator"
	"github.com/dragonflyford/dragonflyford/viewer"
)

// The bundle of a deployment with one engine and one ledger.
const document = `{
	"format": 1, "version": "1",
	"bases": [{"name": "base"}],
	"adapters": [{"name": "reading", "base": "base", "versions": ["v1"]}],
	"services": [{"name": "ledger", "calls": [{"method": "POST", "path": "/postings"}]}],
	"endpoints": [
		{"name": "engine-1", "kind": "engine", "base": "base", "region": "lj", "data_centre": "lj1", "slots": 2, "batch": 4},
		{"name": "ledger-1", "kind": "service", "service": "ledger", "region": "lj", "data_centre": "lj1"}
	]
}`

// directory leads to the endpoints of one node.
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

func (budget) Acquire(context.Context) (func(), error) { return func() {}, nil }

func publish(t *testing.T) *publisher.Publisher {
	t.Helper()
	is := is.New(t)
	authorKey, author, err := ed25519.GenerateKey(nil)
	is.NoErr(err)
	reviewerKey, reviewer, err := ed25519.GenerateKey(nil)
	is.NoErr(err)
	signed := bundler.NewSigned([]byte(document),
		bundler.Sign(bundler.RoleAuthor, "a", author, []byte(document)),
		bundler.Sign(bundler.RoleReviewer, "r", reviewer, []byte(document)))
	snapshot, err := validator.New(bundler.Keys{"a": authorKey, "r": reviewerKey}).
		Apply(context.Background(), validator.NewCandidate(1, signed))
	is.NoErr(err)
	p := publisher.New()
	is.True(p.Publish(snapshot))
	return p
}

func newNode(t *testing.T) (*httptest.Server, *emulator.Service) {
	t.Helper()
	asserts := asserter.New(func(v asserter.Violation) { t.Error(v) })
	views := viewer.New()
	engine := emulator.NewEngine(2, 4, time.Millisecond, time.Millisecond)
	sched := scheduler.New("engine-1", "node-1", 2, 4, engine, lease{}, budget{}, asserts,
		func(v *viewer.View) { views.Update(v) })
	ledger := emulator.NewService()
	stages := runner.NewStages(receiver.NewLimits(100, 1000, time.Minute, time.Minute), publish(t), 10,
		emulator.NewTable(), "node-1", "lj", views, directory{executor: sched, service: ledger}, asserts, 3)
	t.Cleanup(stages.Close)
	srv := httptest.NewServer(server.New(stages.Join(), 1<<20).Handler())
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

// Guards against a stage that does not connect to the next: one generation
// passes through the whole pipeline.
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

// Guards against a repeated key running a posting twice.
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

// Guards against a bundle that was changed after its review.
func TestTamperedBundle(t *testing.T) {
	is := is.New(t)
	_, key, err := ed25519.GenerateKey(nil)
	is.NoErr(err)
	signed := bundler.NewSigned([]byte(document+" "),
		bundler.Sign(bundler.RoleAuthor, "a", key, []byte(document)),
		bundler.Sign(bundler.RoleReviewer, "r", key, []byte(document)))
	public, ok := key.Public().(ed25519.PublicKey)
	is.True(ok)
	_, err = signed.Verify(bundler.Keys{"a": public, "r": public})
	is.True(eris.Is(err, bundler.ErrSignature))
}
