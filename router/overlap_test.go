package router_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/router"
)

// Guards against a lower limit that cuts callers which still go by the configuration before
// it, and against the limits of a replaced configuration that hold for ever.
func TestRecentLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := router.New()
		idle := func() []time.Duration {
			var list []time.Duration
			for l := range r.RecentLimits() {
				list = append(list, l.IdleTimeout())
			}
			return list
		}
		adopt := func(version int64, timeout time.Duration) {
			is.True(r.Adopt(router.NewTable(version, nil, nil, router.WithLimits(router.NewLimits(1, timeout)))))
		}
		is.Equal(len(idle()), 0)
		adopt(1, 15*time.Second)
		is.Equal(idle(), []time.Duration{15 * time.Second})
		adopt(2, 6*time.Second)
		time.Sleep(2 * time.Second)
		adopt(3, 6*time.Second) // other changes do not count
		adopt(4, 9*time.Second)
		is.Equal(idle(), []time.Duration{9 * time.Second, 6 * time.Second, 15 * time.Second})
		time.Sleep(3100 * time.Millisecond)
		is.Equal(idle(), []time.Duration{9 * time.Second, 6 * time.Second})
		time.Sleep(2 * time.Second)
		is.Equal(idle(), []time.Duration{9 * time.Second})
		for i := range 100 {
			adopt(int64(5+i), time.Duration(i+1)*time.Second)
		}
		is.True(len(idle()) <= 33)
		is.True(slices.Contains(idle(), 99*time.Second))
	})
}
