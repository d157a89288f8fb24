package relayer_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/screener"
)

// workspaceCall returns a call of a workspace of priority 0 on a route of priority 3, or
// one on a keyless route.
func workspaceCall(t *testing.T, keyless bool) *screener.Screened {
	t.Helper()
	w := router.NewWorkspace("ana", []string{"k1"}, 0, router.Quota{})
	var opts []router.RouteOption
	if keyless {
		opts = append(opts, router.WithoutKey())
	}
	routes := router.New()
	routes.Adopt(router.NewTable(1, []*router.Route{
		router.NewRoute("r", "h", "/", router.NewStream(true), 5*time.Second, time.Second, 3, 2, []router.Target{router.NewTarget("svc", 1)}, opts...),
	}, []*router.Service{router.NewService("svc", 100, router.NewEngineSpec(8, 4, 100, nil))}, router.WithWorkspaces([]*router.Workspace{w})))
	call := router.NewCall("id", "POST", "h", "/x", "/x", http.Header{}, nil, router.WithKey("k1"),
		router.WithModel(connector.NewModel("base", "a1", "")), router.WithMaxWait(4*time.Second))
	routed, err := routes.Apply(t.Context(), call)
	if err != nil {
		t.Fatal(err)
	}
	if !keyless {
		routed = routed.WithWorkspace(w)
	}
	s, err := screener.New(logger.Nop()).Apply(t.Context(), routed)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against a repeat or a resumed stream that carries the caller's key to an endpoint
// or names no workspace, against a route's priority that is sent to owners and engines in
// place of the workspace's, and against a reservation that does not name the workspace.
func TestWorkspaceOfSends(t *testing.T) {
	for _, tt := range []struct {
		name      string
		keyless   bool
		workspace string
		priority  int
		maxWait   time.Duration
	}{
		{"workspace", false, "ana", 0, 450 * time.Millisecond},
		{"keyless route", true, "", 3, 150 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				steps := []endpointFunc{refuses(503), streams(0, 2, errReset), streams(3, 5, nil)}
				next := func(ctx context.Context, out *exchanger.Outbound) (*exchanger.Answer, error) {
					step := steps[0]
					steps = steps[1:]
					return step(ctx, out)
				}
				r := newHarness(map[string][]endpointFunc{"e1": {next}, "e2": {next}})
				a, err := r.Apply(t.Context(), workspaceCall(t, tt.keyless))
				is.NoErr(err)
				_, err = io.ReadAll(a.Body())
				is.NoErr(err)
				is.NoErr(a.Body().Close())
				is.Equal(len(r.outbounds), 3)
				is.Equal(r.resumed[len(r.resumed)-1], "2")
				for _, out := range r.outbounds {
					workspace, required := out.Workspace()
					is.True(required) // the key is removed
					is.Equal(workspace, tt.workspace)
					priority, sent := out.Priority()
					is.True(sent)
					is.Equal(priority, tt.priority)
				}
				for i, wait := range r.maxWaits {
					is.Equal(wait, tt.maxWait)
					is.Equal(r.workspaces[i].Name(), tt.workspace)
					is.Equal(r.workspaces[i].Priority(), 0) // not the route's
				}
			})
		})
	}
}
