package sleeper_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/sleeper"
)

// Guards against a sleep that outlives its context, or that does not report the
// context's end.
func TestSleep(t *testing.T) {
	tests := []struct {
		name     string
		duration time.Duration
		timeout  time.Duration
		want     time.Duration
		err      error
	}{
		{"whole", time.Second, time.Minute, time.Second, nil},
		{"context ends first", time.Minute, time.Second, time.Second, context.DeadlineExceeded},
		{"nothing to wait for", 0, time.Second, 0, nil},
		{"nothing to wait for and context ended", 0, 0, 0, context.DeadlineExceeded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), tt.timeout)
				defer cancel()
				began := time.Now()
				is.Equal(sleeper.Sleep(ctx, tt.duration), tt.err)
				is.Equal(time.Since(began), tt.want)
			})
		})
	}
}
