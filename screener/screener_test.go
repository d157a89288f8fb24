package screener_test

import (
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/router"
	"github.com/dragonflyford/dragonflyford/screener"
)

func routed(t *testing.T, id, body string) *router.Routed {
	t.Helper()
	r := router.New()
	r.Adopt(router.NewTable(1, []*router.Route{
		router.NewRoute("r", "h", "/", router.AtMostOnce{}, 0, 0, 0, 1, []router.Target{router.NewTarget("s", 1)}),
	}, []*router.Service{router.NewService("s", 1, nil)}))
	got, err := r.Apply(t.Context(), router.NewCall(id, "POST", "h", "/x", "/x", http.Header{}, []byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// Guards against a request that crashes one endpoint after the other, on any host,
// and against the refusal of another request.
func TestThirdCrashStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		here, there := screener.New(logger.Nop()), screener.New(logger.Nop())
		for i, endpoint := range []string{"e1", "e1", "e2", "e3"} {
			s, err := here.Apply(t.Context(), routed(t, string(rune('a'+i)), "bad"))
			is.NoErr(err) // one endpoint that breaks off twice is one piece of evidence
			here.RecordCrash(screener.NewMark(s.Fingerprint(), endpoint))
		}
		there.ApplyMarks(here.TakeUnsentMarks())
		is.Equal(len(here.TakeUnsentMarks()), 0)
		is.Equal(len(there.TakeUnsentMarks()), 0) // evidence of others is not told again
		for _, s := range []*screener.Screener{here, there} {
			_, err := s.Apply(t.Context(), routed(t, "z", "bad"))
			var stopped *classifier.Stopped
			is.True(errors.As(err, &stopped))
			is.True(stopped.RetryAfter() > 0)
			_, err = s.Apply(t.Context(), routed(t, "z", "good"))
			is.NoErr(err)
		}
		time.Sleep(2 * time.Minute)
		_, err := here.Apply(t.Context(), routed(t, "z", "bad"))
		is.NoErr(err)
	})
}
