package rationer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/rationer"
)

// Guards against more repeats in any window than the limit allows, under steady,
// bursty and no traffic.
func TestAnyWindow(t *testing.T) {
	const (
		window = 10 * time.Second
		step   = 100 * time.Millisecond
		slack  = 40.0
		ratio  = 0.2
		hosts  = 4
	)
	tests := []struct {
		name string
		rate func(step int) int
	}{
		{"steady", func(int) int { return 2 }},
		{"none", func(int) int { return 0 }},
		{"bursts", func(i int) int {
			if i%150 < 20 {
				return 20
			}
			return 0
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := rationer.New(rationer.NewLimits(ratio, slack, window), func() int { return hosts })
				var requests, repeats []int
				for i := range 600 {
					requests, repeats = append(requests, tt.rate(i)), append(repeats, 0)
					for range tt.rate(i) {
						r.RecordRequest("svc")
					}
					for range 5 {
						if r.AllowRepeat("svc") {
							repeats[i]++
						}
					}
					time.Sleep(step)
				}
				width := int(window / step)
				for end := width; end <= len(repeats); end++ {
					sent, asked, before := sum(repeats[end-width:end]), sum(requests[end-width:end]), 0
					if end >= 2*width {
						before = sum(requests[end-2*width : end-width])
					}
					is.True(float64(sent) <= ratio*float64(max(asked, before))+slack/hosts)
				}
				is.True(sum(repeats) > 0)
			})
		})
	}
}

func sum(list []int) int {
	total := 0
	for _, n := range list {
		total += n
	}
	return total
}

// Guards against one service using up the repeats of another.
func TestByService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := rationer.New(rationer.NewLimits(0, 4, time.Second), func() int { return 1 })
		is.True(r.AllowRepeat("a"))
		for r.AllowRepeat("a") {
		}
		is.True(r.AllowRepeat("b"))
	})
}
