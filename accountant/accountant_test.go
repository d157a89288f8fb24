package accountant_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/accountant"
)

// The stated bound: in any window, what is granted and not returned costs at most
// (rate * window + burst) * (1 + over) + slack.
const (
	window = 8 * time.Second
	over   = 0.1
	slack  = 11_000
)

var (
	start  = time.Unix(0, 0)
	bounds = accountant.NewBounds(window, over, slack)
)

func bound(t accountant.Terms) float64 {
	return (t.Rate()*window.Seconds()+t.Burst())*(1+over) + slack
}

func granted(v accountant.Verdict) bool {
	_, ok := v.(accountant.Granted)
	return ok
}

func wait(v accountant.Verdict) time.Duration {
	exceeded, _ := v.(accountant.Exceeded)
	return exceeded.Wait()
}

// Guards against grants that exceed the bound in some window, for patterns of demand, and
// against refusals of demand that stays under the quota.
func TestWindows(t *testing.T) {
	terms := accountant.NewTerms(1, 70_000, 70_000)
	tests := []struct {
		name    string
		demand  func(at time.Duration) float64 // tokens a second
		cost    float64
		refuses bool
	}{
		{"below the rate", func(time.Duration) float64 { return 0.9 * 70_000 }, 1600, false},
		{"twelve times the usual from one second to the next", func(at time.Duration) float64 {
			if at < 5*time.Second {
				return 35_000
			}
			return 12 * 35_000
		}, 1600, true},
		{"storms after pauses", func(at time.Duration) float64 {
			if at%(3*time.Second) < 2*time.Second {
				return 0
			}
			return 1_000_000
		}, 300, true},
		{"calls larger than the burst", func(time.Duration) float64 { return 100_000 }, 80_000, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := accountant.New(bounds)
			var times []time.Duration
			asked, refused := 0.0, false
			for at := time.Duration(0); at < 24*time.Second; at += time.Millisecond {
				for asked += tt.demand(at) / 1000; asked >= tt.cost; asked -= tt.cost {
					if granted(a.Draw("w", terms, terms.Whole(), tt.cost, start.Add(at))) {
						times = append(times, at)
					} else {
						refused = true
					}
				}
			}
			for i, first := range times {
				n := len(times[i:])
				if end := slices.IndexFunc(times[i:], func(at time.Duration) bool { return at > first+window }); end >= 0 {
					n = end
				}
				is.True(float64(n)*tt.cost <= bound(terms)) // too much in a window
			}
			is.Equal(refused, tt.refuses)
			is.True(len(times) > 0)
		})
	}
}

// Guards against a change of the quota that takes effect late, against a bucket above the new
// burst, and against terms of an older version.
func TestTerms(t *testing.T) {
	is := is.New(t)
	a, now := accountant.New(bounds), start
	before, after := accountant.NewTerms(1, 1000, 5000), accountant.NewTerms(2, 10, 100)
	draw := func(terms accountant.Terms, cost float64) accountant.Verdict {
		return a.Draw("w", terms, terms.Whole(), cost, now)
	}
	is.True(granted(draw(before, 1000)))
	now = now.Add(time.Millisecond)
	is.True(granted(draw(after, 101))) // larger than the burst, from a full bucket
	is.True(!granted(draw(after, 50)))
	is.True(!granted(draw(before, 50))) // the older terms are over
	now = now.Add(20 * time.Second)
	is.True(granted(draw(before, 100)))
	is.True(!granted(draw(before, 1)))
	raised := accountant.NewTerms(3, 1000, 5000)
	is.True(!granted(draw(raised, 1000)))
	now = now.Add(time.Second)
	is.True(granted(draw(raised, 1000)))
}

// Guards against a call with an absurd token count that empties the bucket for years.
func TestLargeCalls(t *testing.T) {
	is := is.New(t)
	a := accountant.New(bounds)
	terms := accountant.NewTerms(1, 1000, 1000)
	is.Equal(a.Draw("w", terms, terms.Whole(), 1e18, start), accountant.NewExceeded(accountant.MaxWait, accountant.NewBalance(1000)))
	is.True(granted(a.Draw("w", terms, terms.Whole(), 11_000, start))) // the slack is meant for it
	is.True(!granted(a.Draw("w", terms, terms.Whole(), 1, start.Add(9*time.Second))))
	is.True(granted(a.Draw("w", terms, terms.Whole(), 1, start.Add(11*time.Second))))
}

// Guards against callers that all get the same time for their retry, against waits that
// grow without end, and against a wait before the tokens are there.
func TestWaits(t *testing.T) {
	is := is.New(t)
	a := accountant.New(bounds)
	terms := accountant.NewTerms(1, 1000, 1000)
	is.True(granted(a.Draw("w", terms, terms.Whole(), 1000, start)))
	var waits []time.Duration
	for range 200 {
		waits = append(waits, wait(a.Draw("w", terms, terms.Whole(), 100, start)))
	}
	is.Equal(waits[0], 100*time.Millisecond) // when its tokens are there
	perSecond := make(map[time.Duration]int)
	for _, w := range waits {
		is.True(w <= accountant.MaxWait)
		perSecond[w/time.Second]++
	}
	for second, n := range perSecond {
		if n > 40 { // 200 waits over 8 s at least, with the rate of 10 calls a second
			t.Errorf("%d calls are to be retried in second %d", n, second)
		}
	}
	is.True(granted(a.Draw("w", terms, terms.Whole(), 100, start.Add(waits[0]))))
}

// Guards against a new owner that grants a whole burst or the whole rate, and against a share
// of a rate that never serves a call larger than its burst.
func TestParts(t *testing.T) {
	is := is.New(t)
	terms := accountant.NewTerms(1, 1000, 1000)
	a := accountant.New(bounds)
	half := accountant.NewPart(0.5, 500)
	is.True(granted(a.Draw("w", terms, half, 500, start)))
	is.True(!granted(a.Draw("w", terms, half, 1, start)))
	is.True(!granted(a.Draw("w", terms, half, 501, start.Add(time.Second))))
	is.True(granted(a.Draw("w", terms, half, 500, start.Add(time.Second))))
	// The share of the whole elapsed time is the smaller one.
	is.True(!granted(a.Draw("w", terms, terms.Whole(), 501, start.Add(2*time.Second))))

	// The share of the burst is the same as that of the rate.
	small := accountant.NewPart(0.1, 0)
	is.True(granted(a.Draw("u", terms, terms.Whole(), 900, start)))
	is.True(granted(a.Draw("u", terms, small, 100, start.Add(50*time.Second))))
	is.True(!granted(a.Draw("u", terms, small, 1, start.Add(50*time.Second))))
	is.True(!granted(a.Draw("u", terms, small, 200, start.Add(80*time.Second)))) // makes the bucket larger
	is.True(!granted(a.Draw("u", terms, small, 200, start.Add(80*time.Second+900*time.Millisecond))))
	is.True(granted(a.Draw("u", terms, small, 200, start.Add(81*time.Second))))
	is.True(granted(a.Draw("u", terms, small, 100, start.Add(95*time.Second))))
	is.True(!granted(a.Draw("u", terms, small, 1, start.Add(95*time.Second))))

	// A new bucket continues with what another one had left.
	is.True(!granted(a.Draw("v", terms, terms.Whole().AtMost(40), 50, start)))
	is.True(granted(a.Draw("v", terms, terms.Whole(), 40, start)))

	// What a bucket with a part of the quota has left says little of the quota.
	_, known := a.Draw("u", terms, small, 1, start.Add(96*time.Second)).Balance().Units()
	is.True(!known)
	left, known := a.Draw("v", terms, terms.Whole(), 10, start.Add(time.Second)).Balance().Units()
	is.True(known)
	is.Equal(left, 990.0)

	own, part := accountant.New(bounds, accountant.WithOverdraft()), accountant.NewPart(0.01, -400)
	is.True(!granted(own.Draw("w", terms, part, 800, start)))
	n := 0
	for at := time.Duration(0); at < 10*time.Minute; at += 100 * time.Millisecond {
		if granted(own.Draw("w", terms, part, 800, start.Add(at))) {
			n++
		}
	}
	is.True(n >= 7 && n <= 8) // 10 a second for 600 s, in calls of 800
}

// Guards against tokens that are lost with calls that did not run, against a bucket above its
// burst, and against tokens that are granted twice when calls end long after they were
// charged.
func TestReturns(t *testing.T) {
	is := is.New(t)
	terms := accountant.NewTerms(1, 100_000, 100_000)
	a := accountant.New(bounds)
	draw := func(cost float64, now time.Time) bool { return granted(a.Draw("w", terms, terms.Whole(), cost, now)) }
	is.True(draw(100_000, start))
	a.Return("w", 100_000, start)
	is.True(draw(100_000, start))
	a.Return("w", 150_000, start)
	is.True(draw(100_000, start))
	is.True(!draw(1, start))
	a.Return("unknown", 1, start)

	// What is granted in a window and does not come back is within the bound.
	for at := time.Duration(0); at < 3*window; at += 10 * time.Millisecond {
		a.ReturnLate("w", 5000, start.Add(at)) // half of all calls end late without having run
		for draw(1000, start.Add(at)) {        // empties the bucket
		}
	}
	ran := 0.0
	for at := 3 * window; at < 4*window; at += 10 * time.Millisecond {
		a.ReturnLate("w", 5000, start.Add(at))
		for draw(1000, start.Add(at)) {
			ran += 1000
		}
	}
	is.True(ran <= bound(terms))

	now := start.Add(time.Minute)
	a.Charge("w", 60_000, now)
	is.True(!draw(50_000, now))
	is.True(draw(40_000, now))
	a.Charge("w", 60_000, now)
	is.True(!draw(1, now.Add(200*time.Millisecond)))
	is.True(draw(1, now.Add(260*time.Millisecond))) // the debt is small
	a.Limit("w", 0.5, now.Add(time.Hour))
	is.True(!draw(50_001, now.Add(time.Hour)))
	is.True(draw(50_000, now.Add(time.Hour)))
}

// Guards against state that grows with every workspace that ever made a call.
func TestIdle(t *testing.T) {
	is := is.New(t)
	a := accountant.New(bounds)
	terms := accountant.NewTerms(1, 1, 1)
	now := start
	for i := range 5000 {
		now = now.Add(time.Second)
		is.True(granted(a.Draw(fmt.Sprint("w", i), terms, terms.Whole(), 1, now)))
	}
	is.True(a.Buckets() < 200)
	slow := accountant.NewTerms(1, 0.001, 10)
	is.True(granted(a.Draw("slow", slow, slow.Whole(), 10, now)))
	is.True(!granted(a.Draw("slow", slow, slow.Whole(), 1, now.Add(5*time.Minute)))) // is not full yet
}

// BenchmarkDraw measures what a call costs the owner of a quota.
func BenchmarkDraw(b *testing.B) {
	a := accountant.New(bounds)
	terms := accountant.NewTerms(1, 1e12, 1e12)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		a.Draw("workspace", terms, terms.Whole(), 1600, now)
	}
}
