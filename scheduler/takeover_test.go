package scheduler_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// Guards against a new owner that evicts an adapter that a job of an earlier owner
// still uses, and against one that never frees a slot because it waits for such a job
// forever. The old owner reports its pins in some takeovers only, and the engine may
// restart at any time.
func TestTakeover(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{
				Pause:    rapid.IntRange(0, 600).Draw(rt, "pause"),
				Event:    rapid.IntRange(0, 12).Draw(rt, "event"),
				Adapter:  rapid.IntRange(0, 4).Draw(rt, "adapter"),
				Hold:     rapid.IntRange(0, 6000).Draw(rt, "hold"),
				Deadline: rapid.IntRange(1, 9000).Draw(rt, "deadline"),
			}
		}), 1, 60).Draw(rt, "steps")
		var violations []string
		synctest.Test(t, func(t *testing.T) { violations = runTakeovers(t, steps) })
		if len(violations) > 0 {
			rt.Fatalf("violations: %v", violations)
		}
	})
}

func runTakeovers(t *testing.T, steps []step) []string {
	const slots, batch = 2, 4
	owner := newRig(t, slots, batch)
	e := owner.engine
	var requests sync.WaitGroup
	for i, s := range steps {
		time.Sleep(time.Duration(s.Pause) * time.Millisecond)
		switch s.Event {
		case 0:
			e.restart()
		case 1, 2:
			previous := owner
			previous.lease.set(true)
			previous.SetDraining(true)
			time.Sleep(time.Second) // guard time of the lease
			owner = &rig{engine: e, lease: &lease{}, crashes: &crashes{}}
			owner.start(t, slots, batch)
			if s.Event == 1 {
				owner.SetPreviousOwnerPins(previous.InUse()...)
			}
			requests.Go(func() {
				_ = previous.Drain(t.Context())
				previous.Close()
			})
		default:
			current := owner
			requests.Go(func() { current.request(t.Context(), i, s) })
		}
	}
	requests.Wait()
	time.Sleep(5 * time.Second) // no adapter counts as in use by an earlier owner any more
	var violations []string
	last := owner.run(t.Context(), job("last", "last"))
	sleep(5 * time.Second)
	select {
	case r := <-last:
		if r.err != nil {
			violations = append(violations, fmt.Sprintf("the last owner did not run its job: %v", r.err))
		} else {
			_ = r.Close()
		}
	default:
		violations = append(violations, "no slot became free for the last owner")
		owner.Close()
		<-last
	}
	owner.Close()
	e.set(func() { violations = append(violations, e.violations...) })
	return violations
}
