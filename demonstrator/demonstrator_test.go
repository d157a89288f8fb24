package demonstrator_test

import (
	"io"
	"testing"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/demonstrator"
	"github.com/dragonflyford/dragonflyford/emulator"
)

// Guards against a demo that breaks a promise or that cannot start. It uses
// sockets and therefore takes real time.
func TestRun(t *testing.T) {
	for _, deployment := range []string{emulator.Clearing, emulator.Tender} {
		t.Run(deployment, func(t *testing.T) {
			is := is.New(t)
			plan, err := demonstrator.NewPlan(deployment, "2s", 1, 20)
			is.NoErr(err)
			s, err := demonstrator.Run(t.Context(), plan, io.Discard)
			is.NoErr(err)
			is.NoErr(s.Check())
			is.Equal(s.Violations, int64(0))
			is.True(s.Requests > 0)
			is.Equal(s.Requests, s.Completed+s.NotRun+s.Unknown)
		})
	}
}
