package scheduler_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyford/dragonflyford/connector"
)

// step is a random event after a pause.
type step struct {
	Pause    int // milliseconds
	Event    int
	Adapter  int
	Hold     int // milliseconds
	Deadline int // milliseconds
	Priority int
}

// Guards against eviction of an adapter in use, use of one slot by two adapters,
// concurrent suspect jobs and requests that never end. The steps are random requests,
// restarts, failed loads, failed reports and lost leases.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 3).Draw(rt, "slots")
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{
				Pause:    rapid.IntRange(0, 400).Draw(rt, "pause"),
				Event:    rapid.IntRange(0, 19).Draw(rt, "event"),
				Adapter:  rapid.IntRange(0, 5).Draw(rt, "adapter"),
				Hold:     rapid.IntRange(0, 2000).Draw(rt, "hold"),
				Deadline: rapid.IntRange(1, 5000).Draw(rt, "deadline"),
				Priority: rapid.IntRange(0, 2).Draw(rt, "priority"),
			}
		}), 1, 60).Draw(rt, "steps")
		var violations []string
		synctest.Test(t, func(t *testing.T) { violations = runSteps(t, slots, steps) })
		if len(violations) > 0 {
			rt.Fatalf("violations: %v", violations)
		}
	})
}

func runSteps(t *testing.T, slots int, steps []step) []string {
	r := newRig(t, slots, 2)
	var requests sync.WaitGroup
	for i, s := range steps {
		time.Sleep(time.Duration(s.Pause) * time.Millisecond)
		switch s.Event {
		case 0:
			r.engine.restart()
		case 1:
			r.lease.set(!r.lease.lost)
		case 2:
			m := model(fmt.Sprint(s.Adapter))
			r.engine.set(func() { r.engine.failLoads[m] = !r.engine.failLoads[m] })
		case 3:
			r.engine.set(func() { r.engine.reportsFail = !r.engine.reportsFail })
		default:
			requests.Go(func() { r.request(t.Context(), i, s) })
		}
	}
	finished := make(chan struct{})
	go func() { requests.Wait(); close(finished) }()
	violations := []string{}
	select {
	case <-finished:
	case <-time.After(time.Minute): // deadlines are at most 5 s, jobs 2 s
		violations = append(violations, "a request did not end within a minute")
	}
	sleep(time.Second) // views are coalesced
	if v := r.view.Load(); v.Queued() != 0 && len(violations) == 0 {
		violations = append(violations, fmt.Sprintf("%d requests are still counted as queued", v.Queued()))
	}
	r.Close()
	r.engine.set(func() { violations = append(violations, r.engine.violations...) })
	return violations
}

// request runs one job with a deadline and holds its stream for a while.
func (r *rig) request(ctx context.Context, i int, s step) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.Deadline)*time.Millisecond)
	defer cancel()
	opts := []connector.JobOption{connector.WithPriority(s.Priority)}
	if s.Event < 7 {
		opts = append(opts, connector.Suspect())
	}
	stream, err := r.Run(ctx, job(fmt.Sprint(i), fmt.Sprint(s.Adapter), opts...))
	if err != nil {
		return
	}
	time.Sleep(time.Duration(s.Hold) * time.Millisecond)
	_ = stream.Close()
}
