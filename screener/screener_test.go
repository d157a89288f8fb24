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

func newRouted(t *testing.T, id, body string) *router.Routed {
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

// Guards against a request that crashes one endpoint after another, on any
// host, and against refusing another request for it.
func TestThirdCrashStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		local, remote := screener.New(logger.Nop()), screener.New(logger.Nop())
		for i, endpoint := range []string{"e1", "e1", "e2", "e3"} {
			s, err := local.Apply(t.Context(), newRouted(t, string(rune('a'+i)), "bad"))
			is.NoErr(err) // repeated crashes of one endpoint process count once
			local.RecordCrash(screener.NewMark(s.Fingerprint(), endpoint))
		}
		remote.ApplyMarks(local.TakeUnsentMarks())
		is.Equal(len(local.TakeUnsentMarks()), 0)
		is.Equal(len(remote.TakeUnsentMarks()), 0) // marks received from other hosts are not sent again
		for _, s := range []*screener.Screener{local, remote} {
			_, err := s.Apply(t.Context(), newRouted(t, "z", "bad"))
			var stopped *classifier.Stopped
			is.True(errors.As(err, &stopped))
			is.True(stopped.RetryAfter() > 0)
			_, err = s.Apply(t.Context(), newRouted(t, "z", "good"))
			is.NoErr(err)
		}
		time.Sleep(2 * time.Minute)
		_, err := local.Apply(t.Context(), newRouted(t, "z", "bad"))
		is.NoErr(err)
	})
}
