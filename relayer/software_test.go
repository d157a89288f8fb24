package relayer_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/pinner"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/supplier"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// setSoftware replaces the endpoints of a harness by ones that name a software version.
func (r *harness) setSoftware(versions map[string]string) {
	for id, version := range versions {
		r.fleet.Upsert(tracker.NewEntry(id, "svc", "1.1.1.1:1", "z", 8, false, 2, nil).WithSoftware(version))
	}
}

// Guards against a stream that holds events of two software versions: one that its
// endpoint broke off, and one that its caller resumes.
func TestStreamKeepsSoftware(t *testing.T) {
	tests := []struct {
		name     string
		versions map[string]string
		first    endpointFunc // of e1
		second   endpointFunc // of e2
		verdict  pinner.Verdict
		opts     []router.CallOption
		want     string // events; "refused" if the call is
		fails    bool
		recorded string
	}{
		{
			"broken off, another version is left",
			map[string]string{"e1": "v1", "e2": "v2"},
			streams(0, 1, errReset), streams(2, 3, nil), nil, nil, "01", true, "id=v1",
		},
		{
			"broken off, the same version is left",
			map[string]string{"e1": "v1", "e2": "v1"},
			streams(0, 1, errReset), streams(2, 3, nil), nil, nil, "0123", false, "id=v1",
		},
		{
			"broken off before its first event",
			map[string]string{"e1": "v1", "e2": "v2"},
			streams(0, -1, errReset), streams(0, 3, nil), nil, nil, "0123", false, "id=v2",
		},
		{
			"no version is named",
			map[string]string{"e1": "", "e2": ""},
			streams(0, 1, errReset), streams(2, 3, nil), nil, nil, "0123", false, "",
		},
		{
			"resumed by its caller",
			map[string]string{"e1": "v1", "e2": "v2"},
			streams(0, 9, nil), streams(2, 3, nil), pinner.NewOnly("v2"),
			[]router.CallOption{router.WithLastEvent("1")},
			"23", false, "",
		},
		{
			"resumed by its caller, its version is gone",
			map[string]string{"e1": "v1", "e2": "v1"},
			streams(0, 9, nil), streams(0, 9, nil), pinner.NewOnly("v2"),
			[]router.CallOption{router.WithLastEvent("1")},
			"refused", true, "",
		},
		{
			"resumed by its caller, its version is not known",
			map[string]string{"e1": "v1", "e2": "v2"},
			streams(0, 9, nil), streams(0, 9, nil),
			pinner.Undecided{},
			[]router.CallOption{router.WithLastEvent("1")},
			"refused", true, "",
		},
		{
			"resumed by its caller, one version serves",
			map[string]string{"e1": "v1", "e2": "v1"},
			streams(2, 3, nil), streams(2, 3, nil),
			pinner.Anywhere{},
			[]router.CallOption{router.WithLastEvent("1")},
			"23", false, "",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newHarness(map[string][]endpointFunc{"e1": {tt.first}, "e2": {tt.second}})
				r.setSoftware(tt.versions)
				for range 8 { // e1 is chosen first
					r.fleet.Current().Endpoint("e2").Begin()
				}
				r.verdict = tt.verdict
				a, err := r.Apply(t.Context(), screenedCall(t, router.NewStream(true), 2, connector.Model{}, tt.opts...))
				if tt.want == "refused" {
					is.True(err != nil)
					is.Equal(len(r.sent), 0)
					is.True(classifier.Of(err).RetryAfter() > 0)
					return
				}
				is.NoErr(err)
				data, err := io.ReadAll(a.Body())
				is.NoErr(a.Body().Close())
				is.Equal(err != nil, tt.fails)
				is.Equal(eventData(data), tt.want)
				is.Equal(strings.Join(r.recorded, " "), tt.recorded)
			})
		})
	}
}

// Guards against a stream that begins at a version that cannot be recorded although another
// one can take it, and against one that is refused because no other one can.
func TestAvoidedSoftware(t *testing.T) {
	tests := []struct {
		name      string
		other     string // version of the second endpoint
		beginning pinner.Beginning
		want      string // record; "refused" if the call is
	}{
		{"avoided, another version serves", "v1", pinner.Avoided{}, "id=v1"},
		{"avoided, no other version serves", "v2", pinner.Avoided{}, "id=v2"},
		{"barred, another version serves", "v1", pinner.Barred{}, "id=v1"},
		{"barred, no other version serves", "v2", pinner.Barred{}, "refused"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newHarness(map[string][]endpointFunc{"e1": {streams(0, 3, nil)}, "e2": {streams(0, 3, nil)}})
				r.setSoftware(map[string]string{"e1": "v2", "e2": tt.other})
				for range 8 { // e1 is chosen first
					r.fleet.Current().Endpoint("e2").Begin()
				}
				r.beginnings = map[string]pinner.Beginning{"v2": tt.beginning}
				a, err := r.Apply(t.Context(), screenedCall(t, router.NewStream(true), 2, connector.Model{}))
				if tt.want == "refused" {
					is.True(err != nil)
					is.Equal(len(r.sent), 0)
					return
				}
				is.NoErr(err)
				data, err := io.ReadAll(a.Body())
				is.NoErr(err)
				is.NoErr(a.Body().Close())
				is.Equal(eventData(data), "0123")
				is.Equal(strings.Join(r.recorded, " "), tt.want)
			})
		})
	}
}

// Guards against a stream that asks more engines than others because its service could have
// several software versions: each that is asked may load the model.
func TestDeclinedStream(t *testing.T) {
	for _, kind := range []router.RepeatPolicy{router.NewStream(true), router.NewStream(false)} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			script := make(map[string][]endpointFunc)
			for i := range 8 {
				script[fmt.Sprint("e", i)] = []endpointFunc{streams(0, 3, nil)}
			}
			r := newHarness(script)
			for range 8 {
				r.responses = append(r.responses, supplier.NewDeclined("no place", time.Second))
			}
			_, err := r.Apply(t.Context(), screenedCall(t, kind, 2, connector.NewModel("base", "a", "")))
			is.True(err != nil)
			is.Equal(r.reservations, 3)
		})
	}
}

// Guards against an event that goes out although the version that wrote it may be lost, and
// against a run at another version, which the record would then contradict.
func TestNotRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newHarness(map[string][]endpointFunc{"e1": {streams(0, 3, nil)}, "e2": {streams(0, 3, nil)}})
		r.setSoftware(map[string]string{"e1": "v2", "e2": "v1"})
		r.recordFault = errors.New("nobody keeps the record")
		a, err := r.Apply(t.Context(), screenedCall(t, router.NewStream(true), 2, connector.Model{}))
		is.NoErr(err)
		data, err := io.ReadAll(a.Body())
		is.True(err != nil)
		is.Equal(len(data), 0)
		is.NoErr(a.Body().Close())
		is.Equal(len(r.sent), 1)
	})
}
