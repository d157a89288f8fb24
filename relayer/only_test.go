package relayer_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/router"
)

// takes returns a function that answers after a time, unless the send is canceled before.
func takes(d time.Duration, f endpointFunc) endpointFunc {
	return func(ctx context.Context, out *exchanger.Outbound) (*exchanger.Answer, error) {
		select {
		case <-time.After(d):
			return f(ctx, out)
		case <-ctx.Done():
			return nil, exchanger.NewCallError(true, context.Cause(ctx))
		}
	}
}

// Guards against giving up a call at the only endpoint that can take it: canceling work that
// would be answered before the deadline, refusing a call after one failed connection, and
// dropping the endpoint's own answer. On a loaded machine, these were the 502 and 503 of
// calls to a service with one endpoint.
func TestOnlyEndpoint(t *testing.T) {
	slow := takes(1500*time.Millisecond, answers(200, "ok")) // past the send timeout, within the deadline
	tests := []struct {
		name   string
		kind   router.RepeatPolicy
		script map[string][]endpointFunc
		sent   int
		status int
	}{
		{"slow", router.Idempotent{}, map[string][]endpointFunc{"e1": {slow}}, 1, 200},
		{"slow after the other one was unreachable", router.Idempotent{}, map[string][]endpointFunc{"e1": {unreachable, slow}, "e2": {slow}}, 2, 200},
		{"one failed connection", router.AtMostOnce{}, map[string][]endpointFunc{"e1": {unreachable, answers(200, "ok")}}, 2, 200},
		{"no connection", router.AtMostOnce{}, map[string][]endpointFunc{"e1": {unreachable}}, 2, 0},
		{"error", router.Idempotent{}, map[string][]endpointFunc{"e1": {answers(500, "no")}}, 1, 500},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newHarness(tt.script)
				for _, e := range r.fleet.Current().All() {
					if e.ID() != "e1" {
						e.Begin() // so that e1 is chosen first
					}
				}
				a, err := r.Apply(t.Context(), screenedCall(t, tt.kind, 2, connector.Model{}))
				is.Equal(len(r.sent), tt.sent)
				if tt.status == 0 {
					is.True(err != nil)
					return
				}
				is.NoErr(err)
				is.Equal(a.Status(), tt.status)
				_, err = io.ReadAll(a.Body())
				is.NoErr(err)
				is.NoErr(a.Body().Close())
			})
		})
	}
}
