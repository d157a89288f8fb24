package relayer_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/limiter"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// Guards against a call that is sent to an endpoint without a turn there, that is refused
// although another endpoint has one, or that waits although it cannot be served in time.
func TestLimitedEndpoints(t *testing.T) {
	soon, late := limiter.NewGranted(100*time.Millisecond), limiter.NewDeclined(time.Minute)
	tests := []struct {
		name  string
		turns map[string]limiter.Verdict
		sent  int
		took  time.Duration
	}{
		{"a turn soon", map[string]limiter.Verdict{"e1": soon, "e2": soon}, 1, 100 * time.Millisecond},
		{"another endpoint has a turn", map[string]limiter.Verdict{"e1": soon, "e2": late}, 1, 100 * time.Millisecond},
		{"the other one has a turn", map[string]limiter.Verdict{"e1": late, "e2": soon}, 1, 100 * time.Millisecond},
		{"no endpoint has a turn", map[string]limiter.Verdict{"e1": late, "e2": late}, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				answer := answers(200, "ok")
				r := newHarness(map[string][]endpointFunc{"e1": {answer}, "e2": {answer}})
				r.turns = tt.turns
				for _, e := range r.fleet.Current().All() {
					e.RecordLimit(tracker.NewLimit(1, time.Now()))
				}
				began := time.Now()
				a, err := r.Apply(t.Context(), screenedCall(t, router.Idempotent{}, 2, connector.Model{}))
				is.Equal(time.Since(began), tt.took)
				is.Equal(len(r.sent), tt.sent)
				if tt.sent > 0 {
					is.NoErr(err)
					is.Equal(a.Status(), http.StatusOK)
					is.NoErr(a.Body().Close())
					return
				}
				is.Equal(classifier.Of(err).Outcome(), classifier.NotRun{})
				is.True(classifier.Of(err).RetryAfter() > 0)
			})
		})
	}
}
