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

// Length (virtual) and seeds of the runs in CI.
const ciLength = 90 * time.Second

var ciSeeds = []uint64{1, 2, 3, 4}

// TestRandomised runs whole deployments under random faults. It guards against the
// violation of every invariant: an answer by another adapter, the eviction of an
// adapter in use, another caller's answer, a call that runs although it was reported
// as not run, a call that runs twice, work for a draining endpoint, a planned stop
// that interrupts a request, and an epoch that decreases.
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
		tr := newTrial(t, seed)
		is.NoErr(tr.fleet.Start(t.Context()))
		tr.run(length)
		tr.quiesce()
		tr.check()
		t.Logf("seed %d: %s", seed, strings.Join(tr.tally(), ", "))
		is.NoErr(tr.fleet.Close(t.Context()))
	})
}
