package avoider_test

import (
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
