package server_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/recorder"
	"github.com/dragonflyford/dragonflyford/responder"
	"github.com/dragonflyford/dragonflyford/server"
)

var model = connector.NewModel("base", "reading", "v1")

// fakePipeline replaces the request pipeline behind the receiver. Like those of
// engines, its tokens depend on the request id and the index.
type fakePipeline struct {
	fault    error         // returned in place of an answer
	breaksAt int           // the stream fails before this token; 0 means never
	pause    time.Duration // delay before each token
	status   int           // status of replies; 0 means 200
	closed   atomic.Int64
	request  atomic.Pointer[receiver.Request]
}

func (p *fakePipeline) Apply(ctx context.Context, call *receiver.Call) (*responder.Answer, error) {
	r, err := receiver.New(receiver.NewLimits(300, 1000, time.Minute, time.Hour)).Apply(ctx, call)
	if err != nil {
		return nil, err
	}
	p.request.Store(r)
	trail := recorder.From(ctx)
	trail.SetEpoch(7)
	trail.Note(recorder.StagePlacer, "engine-1", "resident")
	switch t := r.Target().(type) {
	case *receiver.GenerationTarget:
		trail.SetModel(&model)
		if p.fault != nil {
			return nil, p.fault
		}
		return responder.NewAnswer(r.ID(), model, 7, responder.NewTokenBody(&fakeStream{pipeline: p, request: r, target: t, index: t.NextToken()})), nil
	case *receiver.ServiceTarget:
		if p.fault != nil {
			return nil, p.fault
		}
		body := fmt.Sprintf("%s %s %s %s %s %d", t.Service(), t.Method(), t.Path(), t.Body(), t.Key(), t.KeyAttempt())
		reply := connector.NewReply("a", max(p.status, 200), "text/plain", []byte(body))
		return responder.NewAnswer(r.ID(), connector.Model{}, 7, responder.NewReplyBody(reply, t.KeyAttempt() > 1)), nil
	}
	return nil, classifier.NewInvalid("no target")
}

type fakeStream struct {
	pipeline *fakePipeline
	request  *receiver.Request
	target   *receiver.GenerationTarget
	index    int
}

func (t *fakeStream) Next(ctx context.Context) (connector.Chunk, error) {
	if t.index >= t.target.MaxTokens() {
		return connector.Chunk{}, io.EOF
	}
	if t.pipeline.breaksAt > 0 && t.index == t.pipeline.breaksAt {
		return connector.Chunk{}, classifier.NewUncertain("the engine disconnected")
	}
	select {
	case <-ctx.Done():
		return connector.Chunk{}, ctx.Err()
	case <-time.After(t.pipeline.pause):
	}
	text := fmt.Sprintf("%s-%d ", t.request.ID(), t.index)
	c := connector.NewChunk("a", model, t.index, text, t.index == t.target.MaxTokens()-1)
	t.index++
	return c, nil
}

func (t *fakeStream) Close() error {
	t.pipeline.closed.Add(1)
	return nil
}

// newTestServer starts a server for callers and returns it.
func newTestServer(t *testing.T, p *fakePipeline, opts ...server.Option) *httptest.Server {
	t.Helper()
	srv := httptest.NewServer(server.New(p, opts...).Handler())
	t.Cleanup(srv.Close)
	return srv
}

// send sends a request with headers given as "Name: value".
func send(t testing.TB, method, url, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for _, h := range headers {
		if name, value, ok := strings.Cut(h, ": "); ok {
			req.Header.Set(name, value)
		}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(content)
}
