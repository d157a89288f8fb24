package tracker_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/pacer"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// pacedEndpoint returns an endpoint with 4 slots and an adaptive limit, for a number of hosts.
func pacedEndpoint(tr *tracker.Tracker, born int64) *tracker.Endpoint {
	tr.Upsert(entry("e1", "1.1.1.1:1", false, born, nil))
	return tr.Current().Endpoint("e1")
}

func limitOf(e *tracker.Endpoint) float64 {
	limit, _ := e.AdaptiveLimit(time.Now())
	return limit
}

// Guards against a limit that signs of overload leave as it was, and against one that
// outlives the process.
func TestLimitFollowsSigns(t *testing.T) {
	signs := map[string]func(e *tracker.Endpoint){
		"refusal":           func(e *tracker.Endpoint) { e.RecordAnswer(time.Now(), true, pacer.Load{}) },
		"time-out":          func(e *tracker.Endpoint) { e.TimedOut(time.Now()) },
		"failed connection": func(e *tracker.Endpoint) { e.ConnectionFailed() },
		"broken connection": func(e *tracker.Endpoint) { e.ConnectionBroken() },
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tr := tracker.New(nil, tracker.WithAdaptiveLimits(func() int { return 1 }, false))
				e := pacedEndpoint(tr, 1)
				is.Equal(limitOf(e), 4.0)
				sign(e)
				is.True(limitOf(e) < 4)
				is.Equal(limitOf(pacedEndpoint(tr, 2)), 4.0) // a new process
			})
		})
	}
}

// Guards against limits at services whose endpoints do not report how long work takes, and
// against a new endpoint of a service that does without a limit.
func TestLimitsIfReported(t *testing.T) {
	is := is.New(t)
	tr := tracker.New(nil, tracker.WithAdaptiveLimits(func() int { return 1 }, true))
	e := pacedEndpoint(tr, 1)
	e.RecordAnswer(time.Now(), false, pacer.NewLoad(1, 0))
	is.True(!e.Paced())
	e.RecordAnswer(time.Now(), false, pacer.NewLoad(1, 0).WithPace(1))
	is.True(e.Paced())
	is.True(pacedEndpoint(tr, 2).Paced())
}

// Guards against deployments without adaptive limits that get one.
func TestNoAdaptiveLimits(t *testing.T) {
	is := is.New(t)
	e := pacedEndpoint(tracker.New(nil), 1)
	e.RecordAnswer(time.Now(), true, pacer.NewLoad(4, 4).WithPace(6))
	e.Completed(time.Second)
	e.TimedOut(time.Now())
	is.True(!e.Paced())
	is.Equal(e.Pace(time.Now()), 1.0)
	is.Equal(e.ReportedPace(time.Now()), 1.0)
	_, ok := e.AdaptiveLimit(time.Now())
	is.True(!ok)
	_, fallen := e.AnnounceLimit(time.Now())
	is.True(!fallen)
}

// Guards against a line in the log for each refusal, and against a limit that falls without
// one.
func TestAnnounceLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := pacedEndpoint(tracker.New(nil, tracker.WithAdaptiveLimits(func() int { return 1 }, false)), 1)
		announced := 0
		for range 40 {
			e.RecordAnswer(time.Now(), true, pacer.Load{})
			if _, fallen := e.AnnounceLimit(time.Now()); fallen {
				announced++
			}
			time.Sleep(100 * time.Millisecond)
		}
		is.True(announced >= 1 && announced <= 4)
	})
}

// Guards against a call with little time left whose end counts as overload.
func TestShortCallsAreNoOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := pacedEndpoint(tracker.New(nil, tracker.WithAdaptiveLimits(func() int { return 1 }, false)), 1)
		e.Completed(100 * time.Millisecond)
		sent := time.Now()
		time.Sleep(50 * time.Millisecond)
		e.TimedOut(sent)
		is.Equal(limitOf(e), 4.0)
		time.Sleep(time.Second)
		e.TimedOut(sent)
		is.True(limitOf(e) < 4)
	})
}

// Guards against an endpoint that all hosts know already and that a host which starts does
// not use for seconds.
func TestFirstCallOfAHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const hosts = 62
		atOnce := 0
		for range 10 * hosts {
			tr := tracker.New(nil, tracker.WithAdaptiveLimits(func() int { return hosts }, false))
			_, ok := pacedEndpoint(tr, 1).Room(time.Now(), time.Second)
			is.True(ok)
			e := pacedEndpoint(tr, time.Now().UnixMilli()) // all hosts find this one at the same time
			if _, ok = e.Room(time.Now(), time.Second); ok {
				atOnce++
			}
			_, ok = e.Room(time.Now().Add(4*time.Second), time.Second)
			is.True(ok)
		}
		is.True(atOnce > 10 && atOnce < 10*12) // some 7 of 62 hosts
	})
}
