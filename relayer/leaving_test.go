package relayer_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/exchanger"
	"github.com/dragonflyford/dragonflyford/router"
)

// says returns a function that responds with a status and metadata that change adds.
func says(status int, refused bool, change func(exchanger.Meta) exchanger.Meta) endpointFunc {
	return func(_ context.Context, out *exchanger.Outbound) (*exchanger.Answer, error) {
		meta := change(exchanger.NewMeta(out.Call().ID(), refused, true))
		return exchanger.NewAnswer(status, http.Header{}, meta, io.NopCloser(strings.NewReader("x")), 1), nil
	}
}

// Guards against calls to an endpoint that said in an answer that it leaves, while its
// entry in the store does not say so yet, or never.
func TestLeavingEndpoint(t *testing.T) {
	leaving := func(m exchanger.Meta) exchanger.Meta { return m.WithLeaving() }
	for _, answer := range []endpointFunc{says(200, false, leaving), says(500, false, leaving), says(503, true, leaving)} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := newHarness(map[string][]endpointFunc{"e1": {answer}})
			for range 5 {
				if a, err := r.Apply(t.Context(), screenedCall(t, router.AtMostOnce{}, 3, connector.Model{})); err == nil {
					is.NoErr(a.Body().Close())
				}
			}
			is.Equal(r.sent, []string{"e1"})
		})
	}
}

// Guards against calls to an endpoint during the time for which it asked this host for
// none, from calls that come then or that were refused, and against an endpoint that is
// not used after it.
func TestPausedEndpoint(t *testing.T) {
	for _, kind := range []router.RepeatPolicy{router.AtMostOnce{}, router.Idempotent{}, router.NewStream(true)} {
		for _, model := range []connector.Model{{}, connector.NewModel("base", "", "")} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				pause := func(m exchanger.Meta) exchanger.Meta { return m.WithPause(3 * time.Second) }
				r := newHarness(map[string][]endpointFunc{"e1": {says(503, true, pause), streams(0, 1, nil)}})
				for range 4 {
					_, err := r.Apply(t.Context(), screenedCall(t, kind, 3, model))
					is.Equal(classifier.Of(err).Outcome(), classifier.NotRun{})
					is.True(classifier.Of(err).RetryAfter() > 0)
					time.Sleep(600 * time.Millisecond)
				}
				is.Equal(len(r.sent), 1)
				time.Sleep(time.Second)
				a, err := r.Apply(t.Context(), screenedCall(t, kind, 3, model))
				is.NoErr(err)
				is.NoErr(a.Body().Close())
				is.Equal(len(r.sent), 2)
			})
		}
	}
}
