package avoider_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/avoider"
)

// Guards against calls that wait for a host which has just failed to answer, and against
// a host that is avoided for good.
func TestAvoider(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var a avoider.Avoider
		is.True(!a.Avoids("h"))
		a.RecordFailure("h")
		is.True(a.Avoids("h"))
		is.True(!a.Avoids("other"))
		time.Sleep(2 * time.Second)
		is.True(!a.Avoids("h"))
	})
}

// Guards against a host that is avoided after it has answered, and against a failure that
// counts from a failure before an answer.
func TestFailingFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := avoider.New(avoider.WithBackoff(3 * time.Second))
		request := func(err error) {
			_ = a.Do(t.Context(), "h", time.Second, func(context.Context) error { return err })
		}
		failure := errors.New("no answer")
		request(failure)
		time.Sleep(2 * time.Second)
		is.True(a.Avoids("h"))
		request(failure)
		is.Equal(a.FailingFor("h"), 2*time.Second)
		request(nil)
		is.True(!a.Avoids("h"))
		is.Equal(a.FailingFor("h"), time.Duration(0))
		time.Sleep(time.Second)
		request(failure)
		is.Equal(a.FailingFor("h"), time.Duration(0))
		time.Sleep(3 * time.Second)
		is.True(!a.Avoids("h"))

		ended, cancel := context.WithCancel(t.Context())
		cancel()
		_ = a.Do(ended, "g", time.Second, func(ctx context.Context) error { return ctx.Err() })
		is.True(!a.Avoids("g")) // the caller gave up
	})
}
