package storer_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/storer"
)

// response is a response of the test server.
type response struct {
	status int
	body   string
	lost   bool // the connection is closed without a response
}

func newServer(t testing.TB) (address string, current *atomic.Pointer[response]) {
	current = new(atomic.Pointer[response])
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		a := current.Load()
		if a.lost {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(a.status)
		_, _ = io.WriteString(w, a.body)
	}))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String(), current
}

// Guards against a commit that may have been applied but is reported as not applied.
// A read is never reported as uncertain, because it has no side effects.
func TestErrors(t *testing.T) {
	cases := []struct {
		name     string
		response response
		write    error
		read     error
	}{
		{"no response", response{lost: true}, storer.ErrUncertain, storer.ErrUnavailable},
		{"unavailable", response{status: 503, body: `{"code":"unavailable"}`}, storer.ErrUnavailable, storer.ErrUnavailable},
		{"malformed", response{status: 400, body: `{"code":"malformed"}`}, storer.ErrUnavailable, storer.ErrUnavailable},
		{"error from another server", response{status: 503, body: `<html>`}, storer.ErrUncertain, storer.ErrUnavailable},
		{"unknown code", response{status: 500, body: `{"code":"new"}`}, storer.ErrUncertain, storer.ErrUnavailable},
		{"conflict", response{status: 409, body: `{"code":"conflict","key":"a"}`}, storer.ErrConflict, storer.ErrConflict},
		{"another row", response{status: 200, body: `{"key":"b","version":1}`}, storer.ErrUncertain, storer.ErrUnavailable},
		{"unexpected success", response{status: 200, body: `x`}, storer.ErrUncertain, storer.ErrUnavailable},
	}
	address, current := newServer(t)
	table := storer.NewHTTPTable(address)
	t.Cleanup(table.Close)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			current.Store(&c.response)
			is.True(errors.Is(table.Commit(t.Context(), storer.NewPut("a", nil, 0)), c.write))
			_, err := table.Get(t.Context(), "a")
			is.True(errors.Is(err, c.read))
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		is.NoErr(l.Close())
		down := storer.NewHTTPTable(l.Addr().String())
		is.True(errors.Is(down.Commit(t.Context(), storer.NewPut("a", nil, 0)), storer.ErrUnavailable))
		is.True(!errors.Is(down.Commit(t.Context(), storer.NewPut("a", nil, 0)), storer.ErrUncertain))
	})
}

// Guards against a response of the platform that makes a client panic, report success
// for a failed commit, or return an error other than those of package storer.
func FuzzAnswer(f *testing.F) {
	f.Add(0, `{"key":"a","value":"AA==","version":1}`)
	f.Add(0, `{"rows":[{"key":"a"}],"keys":["x"],"hosts":[{"name":"h"}]}`)
	f.Add(209, `{"code":"conflict","key":"a"}`)
	address, current := newServer(f)
	table, objects, hosts := storer.NewHTTPTable(address), storer.NewHTTPObjects(address), storer.NewHTTPHosts(address)
	f.Cleanup(func() {
		table.Close()
		objects.Close()
		hosts.Close()
	})
	f.Fuzz(func(t *testing.T, status int, body string) {
		const first, count = 200, 400 // final status codes, which excludes 1xx
		status = first + int(uint(status)%count)
		current.Store(&response{status: status, body: body})
		_, get := table.Get(t.Context(), "a")
		_, scan := table.Scan(t.Context(), "a", "", 1)
		_, list := objects.List(t.Context(), "a")
		_, live := hosts.List(t.Context())
		commit := table.Commit(t.Context(), storer.NewCheck("a", 1))
		for _, err := range []error{get, scan, list, live, commit} {
			known := err == nil || errors.Is(err, storer.ErrNotFound) || errors.Is(err, storer.ErrConflict) ||
				errors.Is(err, storer.ErrUnavailable) || errors.Is(err, storer.ErrUncertain)
			if !known {
				t.Fatal(err)
			}
		}
		if commit == nil && status != http.StatusNoContent {
			t.Fatalf("commit succeeded with status %d", status)
		}
	})
}
