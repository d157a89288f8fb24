package runner_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/admitter"
	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/claimer"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/dispatcher"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/placer"
	"github.com/dragonflyford/dragonflyford/publisher"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/resolver"
	"github.com/dragonflyford/dragonflyford/runner"
	"github.com/dragonflyford/dragonflyford/verifier"
	"github.com/dragonflyford/dragonflyford/viewer"
)

// Guards against a node without a bundle that reports a retried posting as not run
// although an earlier attempt ran it. The randomised trial found this with seeds 1
// and 34.
func TestRefusalOfRepeat(t *testing.T) {
	tests := []struct {
		name    string
		attempt int
		want    classifier.Outcome
	}{
		{"first attempt", 1, classifier.NotRun{}},
		{"repeat", 2, classifier.Unknown{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			asserts := asserter.New(func(v asserter.Violation) { t.Error(v) })
			claims := claimer.New(emulator.NewTable(), "node-1", asserts)
			defer claims.Close()
			dispatch := dispatcher.New(directory{})
			defer dispatch.Close()
			pipeline := runner.NewStages(
				receiver.New(receiver.NewLimits(10, 10, time.Minute, time.Minute)), resolver.New(publisher.New()),
				admitter.New(1), claims, placer.New(viewer.New(), "lj"), dispatch, verifier.New(asserts), 1).Join()
			_, err := pipeline.Apply(context.Background(),
				receiver.NewServiceCall("ledger", http.MethodPost, "/postings", nil, "key", tt.attempt))
			var refusal *classifier.Unavailable
			is.True(errors.As(err, &refusal))
			is.Equal(refusal.Outcome(), tt.want)
			is.True(refusal.RetryAfter() > 0)
		})
	}
}
