package awaiter_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/awaiter"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/router"
)

func call(patience time.Duration) *router.Call {
	return router.NewCall("id", "POST", "h", "/x", "/x", http.Header{}, nil, router.WithMaxWait(patience))
}

// Guards against calls that are refused because they come in the moment between the
// start of a host and its first answer of the store, and against calls that are held
// for longer than they can spare.
func TestHeld(t *testing.T) {
	tests := []struct {
		name     string
		patience time.Duration
		met      time.Duration // after the call came
		waits    time.Duration
	}{
		{"met before", 4 * time.Second, -time.Second, 0},
		{"met soon", 4 * time.Second, 100 * time.Millisecond, 100 * time.Millisecond},
		{"met late", 4 * time.Second, 2 * time.Second, 500 * time.Millisecond},
		{"short patience", 600 * time.Millisecond, 2 * time.Second, 300 * time.Millisecond},
		{"no patience named", 0, 2 * time.Second, 500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a, meet := awaiter.New(2, logger.Nop())
				meet[0]()
				meet[0]()
				is.True(!a.Ready())
				var meeting sync.WaitGroup
				meeting.Go(func() {
					time.Sleep(max(tt.met, 0))
					meet[1]()
				})
				if tt.met < 0 {
					meeting.Wait()
				}
				began := time.Now()
				c := call(tt.patience)
				out, err := a.Apply(t.Context(), c)
				is.NoErr(err)
				is.Equal(out, c)
				is.Equal(time.Since(began), tt.waits)
				meeting.Wait()
				is.True(a.Ready())
			})
		})
	}
}

// Guards against a flood of calls that fills the memory of a host that waits.
func TestFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, _ := awaiter.New(1, logger.Nop())
		var passed atomic.Int64
		var calls sync.WaitGroup
		for range 1000 {
			calls.Go(func() {
				_, _ = a.Apply(t.Context(), call(time.Second))
				passed.Add(1)
			})
		}
		synctest.Wait()
		is.Equal(passed.Load(), int64(1000-256))
		calls.Wait()
	})
}

// Guards against a call that stays when its caller has gone.
func TestCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, _ := awaiter.New(1, logger.Nop())
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err := a.Apply(ctx, call(time.Second))
		is.NoErr(err)
		is.Equal(time.Since(began), 50*time.Millisecond)
	})
}
