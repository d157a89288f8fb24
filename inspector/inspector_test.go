package inspector_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/dragonflyford/dragonflyford/accountant"
	"github.com/dragonflyford/dragonflyford/inspector"
	"github.com/dragonflyford/dragonflyford/router"
)

var bounds = accountant.NewBounds(8*time.Second, 0.1, 100)

func route(name, host, prefix string, targets ...router.Target) *router.Route {
	return router.NewRoute(name, host, prefix, router.AtMostOnce{}, 0, 0, 0, 1, targets)
}

func workspaces(list ...*router.Workspace) router.TableOption { return router.WithWorkspaces(list) }

func workspace(name string, q router.Quota, keys ...string) *router.Workspace {
	return router.NewWorkspace(name, keys, 0, q)
}

// paths returns all paths of up to length letters.
func paths(length int) []string {
	all := []string{""}
	for next := all; length > 0; length-- {
		var longer []string
		for _, p := range next {
			longer = append(longer, p+"a", p+"b")
		}
		all, next = append(all, longer...), longer
	}
	return all
}

// Guards against a route that is reported as hidden although the table gives it the calls of
// some path, and against one that gets no call and is not reported.
func TestHiddenRoutes(t *testing.T) {
	possible := paths(4)
	rapid.Check(t, func(t *rapid.T) {
		var routes []*router.Route
		for i, prefix := range rapid.SliceOfN(rapid.StringMatching("[ab]{0,3}"), 1, 6).Draw(t, "prefixes") {
			host := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "host")
			routes = append(routes, route(fmt.Sprint(i), host, prefix))
		}
		table := router.NewTable(1, routes, nil)
		reached := make(map[string]bool)
		for _, host := range []string{"x", "y"} {
			for _, path := range possible {
				if r := table.Lookup(host, path); r != nil {
					reached[r.Name()] = true
				}
			}
		}
		reported := make(map[string]bool)
		for _, f := range inspector.Inspect(table, inspector.NewDeployment(bounds)) {
			reported[f.Entry()] = true
		}
		for _, r := range routes {
			if entry := fmt.Sprintf("route %q", r.Name()); reported[entry] == reached[r.Name()] {
				t.Fatalf("%s: reported %v, reached %v", entry, reported[entry], reached[r.Name()])
			}
		}
	})
}

// Guards against a quota that is reported although it grants the largest call, or not
// reported although it never does. The accountant decides.
func TestLargestCall(t *testing.T) {
	for _, tokens := range []int{10, 279, 280, 281, 1000} { // bursts of 105 and 106 allow 279.5 and 280.6
		for _, burst := range []float64{80, 100, 105, 106, 2000} {
			t.Run(fmt.Sprintf("%d tokens, burst %v", tokens, burst), func(t *testing.T) {
				is := is.New(t)
				table := router.NewTable(1, nil, nil, workspaces(workspace("w", router.NewQuota(router.NewTokens(1), 80, burst))))
				findings := inspector.Inspect(table, inspector.NewDeployment(bounds, inspector.WithLargestCall(tokens)))
				terms := accountant.NewTerms(1, 80, burst)
				_, granted := accountant.New(bounds).Draw("w", terms, terms.Whole(), float64(tokens), time.Now()).(accountant.Granted)
				is.Equal(len(findings) == 0, granted)
			})
		}
	}
}

// Guards against limits that are reported although they are met exactly or not known, and
// against ones that are exceeded and not reported.
func TestLimits(t *testing.T) {
	timed := func(timeout, objective time.Duration) *router.Table {
		r := router.NewRoute("r", "h", "/", router.Idempotent{}, timeout, objective, 0, 1, nil)
		return router.NewTable(1, []*router.Route{r}, nil)
	}
	connections := func(n int) *router.Table {
		return router.NewTable(1, nil, []*router.Service{router.NewService("s", n, nil)})
	}
	quota := func(rate, burst float64) *router.Table {
		return router.NewTable(1, nil, nil, workspaces(workspace("w", router.NewQuota(router.Requests{}, rate, burst))))
	}
	tests := []struct {
		name  string
		table *router.Table
		hosts int
		want  string // part of the only finding; "" for none
	}{
		{"objective of the timeout", timed(time.Second, time.Second), 0, ""},
		{"objective above the timeout", timed(time.Second, 1001*time.Millisecond), 0, "at most the timeout of 1s"},
		{"objective without a timeout", timed(0, time.Second), 0, ""},
		{"a connection for each host", connections(63), 63, ""},
		{"fewer connections than hosts", connections(62), 63, "at least 63"},
		{"hosts not known", connections(1), 0, ""},
		{"connections not known", connections(0), 63, ""},
		{"burst of a second", quota(5, 5), 0, ""},
		{"burst below a second", quota(5, 4.5), 0, "at least 5, one second"},
		{"no quota", quota(0, 0), 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			findings := inspector.Inspect(tt.table, inspector.NewDeployment(bounds, inspector.WithHosts(tt.hosts)))
			if tt.want == "" {
				is.Equal(len(findings), 0)
				return
			}
			is.Equal(len(findings), 1)
			is.True(strings.Contains(findings[0].String(), tt.want))
		})
	}
}

// Guards against a difference without an effect on callers, against one that is not listed,
// and against an effect that the tables contradict.
func TestCompare(t *testing.T) {
	first, second := route("first", "h", "/a/"), route("second", "h", "/a/")
	none := router.Quota{}
	tests := []struct {
		name          string
		before, after *router.Table
		want          []string
	}{
		{"version only", router.NewTable(1, nil, nil), router.NewTable(2, nil, nil), nil},
		{
			"order that does not matter",
			router.NewTable(1, []*router.Route{first, route("b", "h", "/b/")}, nil),
			router.NewTable(2, []*router.Route{route("b", "h", "/b/"), first}, nil), nil,
		},
		{
			"order that decides", router.NewTable(1, []*router.Route{first, second}, nil), router.NewTable(2, []*router.Route{second, first}, nil),
			[]string{
				`~ route "second": hidden by route "first" -> none; the route gets the calls that match it`,
				`~ route "first": hidden by none -> route "second"; the other route gets the calls`,
			},
		},
		{
			"hidden route", router.NewTable(1, []*router.Route{first, second}, nil), router.NewTable(2, []*router.Route{first}, nil),
			[]string{`- route "second": path h/a/, hidden by route "first", repeat policy at most once, priority 0, attempts 1, key required; no calls leave, because route "first" got them`},
		},
		{
			"key moved", router.NewTable(1, nil, nil, workspaces(workspace("v", none, "k", "l"), workspace("w", none, "m"))),
			router.NewTable(2, nil, nil, workspaces(workspace("v", none, "l"), workspace("w", none, "m", "k"))),
			[]string{`~ workspace "w", key 2: holder workspace "v" -> workspace "w"; calls with it now belong to workspace "w"`},
		},
		{
			"key revoked but held by another", router.NewTable(1, nil, nil, workspaces(workspace("v", none, "k"), workspace("w", none, "k"))),
			router.NewTable(2, nil, nil, workspaces(workspace("v", none, "k"), workspace("w", none))),
			[]string{`~ workspace "v", key 1: holder workspace "w" -> workspace "v"; calls with it now belong to workspace "v"`},
		},
		{
			"workspaces given up", router.NewTable(1, nil, nil, workspaces(workspace("v", none, "k"))), router.NewTable(2, nil, nil),
			[]string{
				`~ workspaces: keys required -> not required; calls need no key and have no quota`,
				`- workspace "v": keys 1, priority 0, unit calls, burst 0; its calls are served without a key and without a quota`,
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			difference := inspector.Compare(tt.before, tt.after)
			var got []string
			for _, c := range difference.Changes() {
				got = append(got, c.String())
			}
			is.Equal(got, tt.want)
			is.Equal(len(difference.Findings()), 0)
			back := inspector.Compare(tt.after, tt.before)
			is.Equal(len(back.Findings()) > 0, len(tt.want) > 0) // hosts ignore the lower version
			is.Equal(len(back.Changes()) > 0, len(tt.want) > 0)
		})
	}
}
