package router_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/router"
)

func route(name, prefix string, timeout time.Duration, targets ...router.Target) *router.Route {
	return router.NewRoute(name, "a.example", prefix, router.AtMostOnce{}, timeout, time.Second, 0, 1, targets)
}

func call(id, host, path string, opts ...router.CallOption) *router.Call {
	return router.NewCall(id, "GET", host, path, path, http.Header{}, nil, opts...)
}

func table(version int64) *router.Table {
	return router.NewTable(version, []*router.Route{
		route("short", "/a/", 0, router.NewTarget("one", 1)),
		route("long", "/a/b/", 2*time.Second, router.NewTarget("two", 1)),
		route("missing-service", "/c/", 0, router.NewTarget("three", 1)),
		route("split", "/s/", 0, router.NewTarget("one", 3), router.NewTarget("two", 1)),
	}, []*router.Service{router.NewService("one", 10, nil), router.NewService("two", 10, nil)})
}

// Guards against routing a call to the wrong service and against a wrong type of
// fault for a call that cannot be routed.
func TestRoute(t *testing.T) {
	tests := []struct {
		name, host, path, service string
		fault                     classifier.Fault
	}{
		{"longest prefix", "a.example", "/a/b/x", "two", nil},
		{"shorter prefix", "a.example", "/a/x", "one", nil},
		{"prefix without its trailing slash", "a.example", "/a", "", &classifier.NotOffered{}},
		{"other host", "b.example", "/a/x", "", &classifier.NotOffered{}},
		{"service that is not configured", "a.example", "/c/x", "", &classifier.Unavailable{}},
	}
	r := router.New()
	r.Adopt(table(1))
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got, err := r.Apply(t.Context(), call("id", tt.host, tt.path))
			if tt.fault != nil {
				is.Equal(fmt.Sprintf("%T", classifier.Of(err)), fmt.Sprintf("%T", tt.fault))
				return
			}
			is.NoErr(err)
			is.Equal(got.Service().Name(), tt.service)
		})
	}
}

// Guards against a NotOffered fault, that is status 404, from a host that has no
// routes yet. Callers do not retry after 404.
func TestNoTable(t *testing.T) {
	is := is.New(t)
	_, err := router.New().Apply(context.Background(), call("id", "a.example", "/a/x"))
	var fault *classifier.Unavailable
	is.True(errors.As(err, &fault))
	is.True(fault.RetryAfter() > 0)
}

// Guards against replacing a routing table by an older version.
func TestVersionNeverFalls(t *testing.T) {
	is := is.New(t)
	r := router.New()
	is.True(r.Adopt(table(5)))
	is.True(!r.Adopt(table(4)))
	is.True(!r.Adopt(table(5)))
	is.Equal(r.Current().Version(), int64(5))
	is.True(r.Adopt(table(6)))
}

// Guards against a traffic split that ignores its weights or routes the same call to
// two services.
func TestSplit(t *testing.T) {
	is := is.New(t)
	r := router.New()
	r.Adopt(table(1))
	count := make(map[string]int)
	for i := range 4000 {
		c := call(fmt.Sprint("id-", i), "a.example", "/s/x")
		first, err := r.Apply(t.Context(), c)
		is.NoErr(err)
		again, err := r.Apply(t.Context(), c)
		is.NoErr(err)
		is.Equal(first.Service(), again.Service())
		count[first.Service().Name()]++
	}
	is.True(count["one"] > 2800 && count["one"] < 3200)
}

// Guards against a deadline beyond the caller's or the route's limit.
func TestDeadline(t *testing.T) {
	is := is.New(t)
	r := router.New()
	r.Adopt(table(1))
	for path, want := range map[string]time.Duration{"/a/x": 10 * time.Second, "/a/b/x": 2 * time.Second} {
		got, err := r.Apply(t.Context(), call("id", "a.example", path, router.WithMaxWait(10*time.Second)))
		is.NoErr(err)
		is.Equal(got.Deadline().Sub(got.Received()), want)
	}
}

// Guards against a key that opens another workspace, and against a quota that counts a call
// by less than its tokens.
func TestWorkspaces(t *testing.T) {
	is := is.New(t)
	tokens := router.NewQuota(router.NewTokens(200), 1000, 500)
	first := router.NewWorkspace("first", []string{"k1", "k2"}, 1, tokens)
	second := router.NewWorkspace("second", []string{"k3", ""}, 0, router.Quota{})
	table := router.NewTable(1, nil, nil, router.WithWorkspaces([]*router.Workspace{first, second}))
	is.True(table.HasWorkspaces())
	for key, want := range map[string]*router.Workspace{
		"k1": first, "k2": first, "k3": second, "": nil, "k": nil, "k1\x00": nil, string(make([]byte, 300)): nil,
	} {
		is.Equal(table.WorkspaceByKey(key), want)
	}
	is.True(!router.NewTable(1, nil, nil).HasWorkspaces())

	is.Equal(tokens.Cost(call("a", "h", "/", router.WithCountedTokens(1171))), 1171.0)
	is.Equal(tokens.Cost(call("a", "h", "/")), 200.0)
	is.Equal(router.NewQuota(router.Requests{}, 5, 1).Cost(call("a", "h", "/", router.WithCountedTokens(1171))), 1.0)
	is.True(!second.Quota().Limited())
}

// Guards against keys that change their positions because an earlier one cannot be used, and
// against a call that is taken for one with such a key.
func TestKeyPositions(t *testing.T) {
	is := is.New(t)
	w := router.NewWorkspace("w", []string{"", "k", strings.Repeat("k", router.MaxKeyLength+1)}, 0, router.Quota{})
	table := router.NewTable(1, nil, nil, router.WithWorkspaces([]*router.Workspace{w}))
	for i, usable := range []bool{false, true, false} {
		is.Equal(w.Keys()[i].IsUsable(), usable)
		is.Equal(table.WorkspaceByHash(w.Keys()[i]) == w, usable)
	}
}

// Guards against a revoked key that counts as one that the host has not read yet, and against a
// key that stays revoked although a later table has it again.
func TestRevokedKeys(t *testing.T) {
	is := is.New(t)
	r := router.New()
	adopt := func(version int64, keys ...string) {
		w := router.NewWorkspace("w", keys, 0, router.Quota{})
		is.True(r.Adopt(router.NewTable(version, nil, nil, router.WithWorkspaces([]*router.Workspace{w}))))
	}
	adopt(1, "k1", "k2")
	is.True(!r.Current().KeyRevoked("k1"))
	adopt(2, "k2")
	is.True(r.Current().KeyRevoked("k1"))
	is.True(!r.Current().KeyRevoked("k3")) // never known
	adopt(3, "k2", "k3")
	is.True(r.Current().KeyRevoked("k1"))
	adopt(4, "k1")
	is.True(!r.Current().KeyRevoked("k1"))
	is.True(r.Current().WorkspaceByKey("k1") != nil)
	is.True(r.Current().KeyRevoked("k2"))
	is.True(r.Adopt(router.NewTable(5, nil, nil))) // without workspaces
	is.True(r.Current().KeyRevoked("k2"))
}

// The look-up of a key is on the path of each call.
func BenchmarkWorkspaceByKey(b *testing.B) {
	const workspaces = 100_000
	list := make([]*router.Workspace, workspaces)
	for i := range list {
		list[i] = router.NewWorkspace(fmt.Sprint("w", i), []string{fmt.Sprintf("key-%020d", i)}, 1, router.Quota{})
	}
	table := router.NewTable(1, nil, nil, router.WithWorkspaces(list))
	key := fmt.Sprintf("key-%020d", workspaces/2)
	b.ReportAllocs()
	for b.Loop() {
		if table.WorkspaceByKey(key) == nil {
			b.Fatal("key is not known")
		}
	}
}
