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

func call(maxWait time.Duration) *router.Call {
	return router.NewCall("id", "POST", "h", "/x", "/x", http.Header{}, nil, router.WithMaxWait(maxWait))
}

// Guards against refusing calls that arrive between the start of a host and the
// first response of the store, and against holding calls for longer than half of the
// time that their callers wait.
func TestHeld(t *testing.T) {
	tests := []struct {
		name       string
		maxWait    time.Duration
		readyAfter time.Duration // counted from the arrival of the call
		waits      time.Duration
	}{
		{"ready before", 4 * time.Second, -time.Second, 0},
		{"ready soon", 4 * time.Second, 100 * time.Millisecond, 100 * time.Millisecond},
		{"ready late", 4 * time.Second, 2 * time.Second, 500 * time.Millisecond},
		{"short maximum wait", 600 * time.Millisecond, 2 * time.Second, 300 * time.Millisecond},
		{"no maximum wait", 0, 2 * time.Second, 500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				a, markReady := awaiter.New(2, logger.Nop())
				markReady[0]()
				markReady[0]()
				is.True(!a.Ready())
				var marking sync.WaitGroup
				marking.Go(func() {
					time.Sleep(max(tt.readyAfter, 0))
					markReady[1]()
				})
				if tt.readyAfter < 0 {
					marking.Wait()
				}
				began := time.Now()
				c := call(tt.maxWait)
				out, err := a.Apply(t.Context(), c)
				is.NoErr(err)
				is.Equal(out, c)
				is.Equal(time.Since(began), tt.waits)
				marking.Wait()
				is.True(a.Ready())
			})
		})
	}
}

// Guards against running out of memory when many calls arrive while a host is not
// ready.
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

// Guards against holding a call after its caller has canceled it.
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
