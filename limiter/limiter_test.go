package limiter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/limiter"
)

// window, excess and slack are the stated bound on the requests of all hosts: excess
// times what the rate allows in any window, and slack more.
const (
	window = 4 * time.Second
	excess = 1.5
	slack  = 5
)

// Guards against more requests than a named rate allows, and against an endpoint that
// is hardly used, for patterns of demand and with two limiters at once for a while, as
// when hosts disagree on which of them spaces the requests.
func TestRates(t *testing.T) {
	tests := []struct {
		name    string
		rate    float64
		demand  func(at time.Duration) float64 // a second
		overlap time.Duration                  // time for which a second limiter grants turns
	}{
		{"steady overload", 4, func(time.Duration) float64 { return 50 }, 0},
		{"fraction of a request a second", 0.4, func(time.Duration) float64 { return 20 }, 0},
		{"high rate", 200, func(time.Duration) float64 { return 1000 }, 0},
		{"demand as high as the rate", 5, func(time.Duration) float64 { return 5 }, 0},
		{"pauses and storms", 4, func(at time.Duration) float64 {
			if at%(3*time.Second) < 2*time.Second {
				return 0
			}
			return 100
		}, 0},
		{"two limiters for two seconds", 4, func(time.Duration) float64 { return 50 }, 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(0, 0)
			limiters := []*limiter.Limiter{limiter.New(), limiter.New()}
			var sent []time.Time
			asked := 0.0
			const step = time.Millisecond
			for at := time.Duration(0); at < 20*time.Second; at += step {
				now := start.Add(at)
				for asked += tt.demand(at) * step.Seconds(); asked >= 1; asked-- {
					l := limiters[0]
					if at > 8*time.Second && at < 8*time.Second+tt.overlap {
						l = limiters[int(asked*7+at.Seconds()*1000)%2]
					}
					if g, ok := l.Admit("e", tt.rate, 200*time.Millisecond, now).(limiter.Granted); ok {
						sent = append(sent, now.Add(g.Wait()))
					}
				}
			}
			bound := int(excess*tt.rate*window.Seconds()) + slack
			for i := range sent {
				n := 0
				for _, other := range sent[i:] {
					if other.Sub(sent[i]) <= window {
						n++
					}
				}
				is.True(n <= bound)
			}
			if tt.demand(0) >= tt.rate {
				is.True(float64(len(sent)) >= 0.75*tt.rate*20)
			}
		})
	}
}

// Guards against state that grows with every endpoint that ever named a rate, against
// requests to an endpoint that takes none, and against a first request that is sent at
// once by each of many hosts.
func TestEdges(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	l := limiter.New()
	_, declined := l.Admit("e", 0, time.Second, now).(limiter.Declined)
	is.True(declined)
	for i := range 10_000 {
		now = now.Add(time.Second)
		_, granted := l.Admit(fmt.Sprint("e", i), 1, 0, now).(limiter.Granted)
		is.True(granted)
	}
	is.True(l.Endpoints() < 200)

	first := limiter.New(limiter.WithFirstWait())
	d, declined := first.Admit("e", 0.1, time.Second, now).(limiter.Declined)
	is.True(declined)
	is.True(d.Wait() > 10*time.Second)
	_, granted := first.Admit("e", 0.1, time.Second, now.Add(d.Wait())).(limiter.Granted)
	is.True(granted)
}
