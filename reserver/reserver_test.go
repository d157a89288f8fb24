package reserver_test

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/reserver"
)

// Guards against large shares that leave nothing for small ones, and against bytes that
// are not returned.
func TestReservedPart(t *testing.T) {
	is := is.New(t)
	r := reserver.New(100, 30, 10)
	large, second, small := r.NewShare(), r.NewShare(), r.NewShare()
	is.True(large.Grow(70))
	is.True(!large.Grow(1))
	is.True(!second.Grow(11))
	is.True(small.Grow(10))
	is.True(!small.Grow(1)) // no longer small
	is.Equal(r.Held(), int64(80))
	large.Release()
	large.Release()
	is.Equal(r.Held(), int64(10))
	is.True(second.Grow(60))
}

// Guards against concurrent shares that together exceed the budget.
func TestConcurrentShares(t *testing.T) {
	is := is.New(t)
	r := reserver.New(1000, 0, 0)
	var running sync.WaitGroup
	for range 8 {
		running.Go(func() {
			for range 1000 {
				s := r.NewShare()
				for s.Grow(100) {
					if r.Held() > 1000 {
						t.Error("the shares exceed the budget")
					}
				}
				s.Release()
			}
		})
	}
	running.Wait()
	is.Equal(r.Held(), int64(0))
}
