package relayer_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/chainer"
	"github.com/dragonflyford/dragonflyford/collector"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/platform"
	"github.com/dragonflyford/dragonflyford/platform/emulator"
	"github.com/dragonflyford/dragonflyford/relayer"
	"github.com/dragonflyford/dragonflyford/reserver"
	"github.com/dragonflyford/dragonflyford/router"
)

// Guards against an answer that is ready as the time of its call ends, and that the caller
// never gets: its connection is closed in place of an answer or a refusal.
func TestAnswerAtDeadline(t *testing.T) {
	const maxWait = 50 * time.Millisecond
	late := func(f endpointFunc) endpointFunc {
		return func(ctx context.Context, out *exchanger.Outbound) (*exchanger.Answer, error) {
			time.Sleep(2 * maxWait) // the host is slow to read the answer
			return f(ctx, out)
		}
	}
	tests := []struct {
		name     string
		kind     router.RepeatPolicy
		endpoint endpointFunc
		status   int
		body     string
	}{
		{"the endpoint gives up in time", router.AtMostOnce{}, late(answers(http.StatusGatewayTimeout, "too late")), http.StatusGatewayTimeout, "too late"},
		{"the endpoint has no body to send", router.Idempotent{}, late(answers(http.StatusGatewayTimeout, "")), http.StatusGatewayTimeout, ""},
		{"the work is done", router.AtMostOnce{}, late(answers(http.StatusOK, "done")), http.StatusOK, "done"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(map[string][]endpointFunc{"e": {tt.endpoint}})
			status, body, ended := callFrontEnd(t, r, tt.kind, maxWait)
			is.Equal(status, tt.status)
			is.Equal(body, tt.body)
			is.NoErr(ended.BodyError())
		})
	}
}

// callFrontEnd sends a call through a front end and returns the answer and how the call ended.
func callFrontEnd(t *testing.T, r *harness, kind router.RepeatPolicy, maxWait time.Duration) (status int, body string, ended platform.Outcome) {
	t.Helper()
	is := is.New(t)
	path := chainer.Func[*router.Call, *relayer.Answer](func(ctx context.Context, _ *router.Call) (*relayer.Answer, error) {
		return r.Apply(ctx, screenedCall(t, kind, 1, connector.Model{}, router.WithMaxWait(maxWait)))
	})
	bodies := collector.New(reserver.New(1000, 0, 0), func() collector.Limits { return collector.NewLimits(1000, time.Minute, 0) }, func() {})
	outcomes := make(chan platform.Outcome, 1)
	server := httptest.NewServer(platform.NewFrontEnd(path, bodies, func() bool { return false }, func(o platform.Outcome) { outcomes <- o }))
	defer server.Close()
	req, err := emulator.NewCall("id", "h", "/x", "body", maxWait, "").Request(t.Context(), strings.TrimPrefix(server.URL, "http://"))
	is.NoErr(err)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	return resp.StatusCode, string(data), <-outcomes
}
