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
	"github.com/dragonflyford/dragonflyford/quarantiner"
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
		remote.Learn(local.TakeUnsent())
		is.Equal(len(local.TakeUnsent()), 0)
		is.Equal(len(remote.TakeUnsent()), 0) // marks received from other hosts are not sent again
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

// Guards against a request that reaches endpoints again a minute after it was stopped,
// although its callers have sent it all the while and it was refused, at any host; and
// against one that is refused for ever.
func TestStoppedCallStaysStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		local, remote := screener.New(logger.Nop()), screener.New(logger.Nop())
		s, err := local.Apply(t.Context(), newRouted(t, "a", "bad"))
		is.NoErr(err)
		for _, endpoint := range []string{"e1", "e2", "e3"} {
			local.RecordCrash(screener.NewMark(s.Fingerprint(), endpoint))
		}
		remote.Learn(local.TakeUnsent())
		told := 0
		for range 59 * 60 / 5 {
			time.Sleep(5 * time.Second)
			_, err := local.Apply(t.Context(), newRouted(t, "b", "bad"))
			is.True(err != nil)
			news := local.TakeUnsent()
			told += len(news)
			remote.Learn(news)
		}
		_, err = remote.Apply(t.Context(), newRouted(t, "c", "bad"))
		is.True(err != nil)
		is.True(told <= 3*59*60/20)
		for range 30 {
			time.Sleep(5 * time.Second)
			_, err = local.Apply(t.Context(), newRouted(t, "d", "bad"))
		}
		is.NoErr(err)
	})
}

func routedWithParts(t *testing.T, parts ...router.PromptPart) *router.Routed {
	t.Helper()
	r := newRouted(t, "id", "body")
	router.WithSharedPromptParts(parts)(r.Call)
	return r
}

// Guards against calls, no two of them alike, that crash endpoints at each host because
// of one part in their prompts, and against refusing others that begin alike.
func TestFatalPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		local, remote := screener.New(logger.Nop()), screener.New(logger.Nop())
		for i, endpoint := range []string{"e1", "e2", "e3"} {
			local.RecordOutput(routedWithParts(t, "first", "second").Call)
			local.RecordCrash(screener.NewMark(screener.Fingerprint(i), endpoint, "first", "second", "dead"))
			time.Sleep(time.Second)
			local.RecordOutput(routedWithParts(t, "first", "second").Call)
		}
		time.Sleep(time.Second)
		evidence := local.TakeUnsent()
		for i, e := range evidence { // as they are decoded
			if m, ok := e.(screener.Mark); ok {
				evidence[i] = screener.NewMark(m.Call(), m.Endpoint(), m.Prompt()...).Aged(m.Age())
			}
		}
		remote.Learn(evidence) // all at once, for example after it was cut off
		for _, s := range []*screener.Screener{local, remote} {
			s.Judge()
		}
		for _, s := range []*screener.Screener{local, remote} {
			_, err := s.Apply(t.Context(), routedWithParts(t, "first", "second", "dead"))
			var stopped *classifier.Stopped
			is.True(errors.As(err, &stopped))
			is.Equal(stopped.Outcome(), classifier.NotRun{})
			is.True(stopped.RetryAfter() > 0)
			_, err = s.Apply(t.Context(), routedWithParts(t, "first", "second", "other"))
			is.NoErr(err)
		}
	})
}

func BenchmarkRecordOutput(b *testing.B) {
	s := screener.New(logger.Nop())
	call := router.NewCall("id", "POST", "h", "/x", "/x", http.Header{}, nil, router.WithSharedPromptParts([]router.PromptPart{"first", "second"}))
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s.RecordOutput(call)
		}
	})
}

// Guards against a call that is refused as a repeat of one that crashed endpoints, although
// its prompt is another one, because both have the same body.
func TestPromptsWithTheSameBody(t *testing.T) {
	is := is.New(t)
	s := screener.New(logger.Nop())
	crashing, err := s.Apply(t.Context(), routedWithParts(t, "first", "dead"))
	is.NoErr(err)
	for _, endpoint := range []string{"e1", "e2", "e3"} {
		s.RecordCrash(screener.NewMark(crashing.Fingerprint(), endpoint))
	}
	_, err = s.Apply(t.Context(), routedWithParts(t, "first", "dead"))
	is.True(err != nil)
	_, err = s.Apply(t.Context(), routedWithParts(t, "first", "other"))
	is.NoErr(err)
}

// Guards against probes of a part in quarantine that crash one endpoint after another, and
// against probes by calls that look like those that did.
func TestProbesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := screener.New(logger.Nop())
		for i, endpoint := range []string{"e1", "e2", "e3"} {
			s.RecordCrash(screener.NewMark(screener.Fingerprint(i), endpoint, "first", "dead", "last"))
			time.Sleep(1200 * time.Millisecond)
		}
		s.Judge()
		is.Equal(len(s.Holds()), 1)
		sent := 0
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			_, err := s.Apply(t.Context(), routedWithParts(t, "first", "dead", "last"))
			is.True(err != nil)
			if _, err := s.Apply(t.Context(), routedWithParts(t, "first", "other", "last")); err == nil {
				sent++
			}
		}
		is.Equal(sent, 6) // at 0, 1, 3, 7, 15 and 31 s
	})
}

// Guards against two sound parts in quarantine that keep each other there, because no call
// has only one of them.
func TestProbeOfTwoParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := screener.New(logger.Nop())
		s.Hold("first", []quarantiner.Signature{{"first", "dead"}})
		s.Hold("last", []quarantiner.Signature{{"dead", "last"}})
		time.Sleep(time.Second)
		sound := routedWithParts(t, "first", "other", "last")
		_, err := s.Apply(t.Context(), sound)
		is.NoErr(err)
		s.RecordOutput(sound.Call)
		s.Judge()
		is.Equal(len(s.Holds()), 1)
		_, err = s.Apply(t.Context(), sound)
		is.NoErr(err)
		_, err = s.Apply(t.Context(), routedWithParts(t, "first", "dead", "last"))
		is.True(err != nil)
	})
}
