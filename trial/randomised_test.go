package trial_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

var hours = flag.Float64("hours", 0, "virtual hours of one randomised run; 0 runs the fixed seeds of CI")

// Lengths and seeds of the runs in CI.
const ciLength = 90 * time.Second

var ciSeeds = []uint64{1, 2, 3, 4}

// TestRandomised runs whole deployments under random faults. It guards against
// every broken promise: an answer by another adapter, an eviction beneath a
// request, another caller's answer, a call that runs although it was reported as
// not run, a call that runs twice, work for a leaving endpoint, a planned stop
// that cuts a request, and an epoch that falls.
//
//	go test ./trial -run TestRandomised -args -seed N -hours H
func TestRandomised(t *testing.T) {
	if *hours > 0 {
		randomised(t, *seed, time.Duration(*hours*float64(time.Hour)))
		return
	}
	for _, s := range ciSeeds {
		t.Run(fmt.Sprintf("seed_%d", s), func(t *testing.T) { randomised(t, s, ciLength) })
	}
}

func randomised(t *testing.T, seed uint64, length time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, seed)
		is.NoErr(w.fleet.Start(t.Context()))
		w.run(length)
		w.quiesce()
		w.check()
		t.Logf("seed %d: %s", seed, strings.Join(w.tally(), ", "))
		is.NoErr(w.fleet.Close(t.Context()))
	})
}
