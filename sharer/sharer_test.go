package sharer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/sharer"
)

var start = time.Unix(1_000_000, 0)

func workspace(n int) sharer.Workspace { return sharer.NewWorkspace(fmt.Sprint("w", n), 1) }

// engine schedules calls in the order of arrival.
type engine struct {
	shares sharer.Sharer
	slots  []time.Time // at which they are free
	calls  int
}

const (
	maxWait  = 400 * time.Millisecond
	slots    = 8
	callTime = time.Second // on average, so that the engine serves eight calls a second
	// hot is the interval between the calls of a workspace at 12 times a load of one call a
	// second.
	hot = 83 * time.Millisecond
)

// offer requests a slot for a call, and reports whether it is served.
func (e *engine) offer(now time.Time, w sharer.Workspace) bool {
	slot := 0
	for i, free := range e.slots {
		if free.Before(e.slots[slot]) {
			slot = i
		}
	}
	wait := max(e.slots[slot].Sub(now), 0)
	if wait > time.Duration(e.shares.Request(now, w)*float64(maxWait)) {
		return false
	}
	e.calls++
	took := callTime/2 + callTime*time.Duration(37*e.calls%100)/100
	e.shares.Charge(now, w, took)
	e.slots[slot] = now.Add(wait + took)
	return true
}

// run offers loads to an engine for a part of a test: one call of each workspace in each of
// its intervals. It returns the rate of served calls for each workspace and for all
// together, and the number of served calls.
func run(e *engine, from, until time.Duration, intervals ...time.Duration) (rates []float64, all float64, served int) {
	if e.slots == nil {
		e.slots = make([]time.Time, slots)
	}
	requests := 0
	rates = make([]float64, len(intervals))
	for at := from; at < until; at += time.Millisecond {
		for n, interval := range intervals {
			if at%interval != 0 {
				continue
			}
			requests++
			if e.offer(start.Add(at), workspace(n)) {
				served++
				rates[n] += float64(interval) / float64(until-from)
			}
		}
	}
	return rates, float64(served) / float64(requests), served
}

// Guards against a workspace that is served less than a quarter as often as all together,
// whether it is the one with high load or another one, and against slots that stay empty.
func TestLoadPatterns(t *testing.T) {
	// beside adds n workspaces with about one call a second, in changing order.
	beside := func(n int, intervals ...time.Duration) []time.Duration {
		for i := range n {
			intervals = append(intervals, time.Duration(990+7*i)*time.Millisecond)
		}
		return intervals
	}
	tests := []struct {
		name      string
		intervals []time.Duration
	}{
		{"one at 12 times its load", beside(6, hot)},
		{"one at 12 times its load, the others need all slots", beside(15, hot)},
		{"one at 12 times its load, the others need five times the slots", beside(40, hot)},
		{"one at 120 times its load", beside(6, 8*time.Millisecond)},
		{"two at 12 times their load", beside(6, hot, hot)},
		{"two equal ones", []time.Duration{70 * time.Millisecond, 70 * time.Millisecond}},
		{"one alone", []time.Duration{hot}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			const d = time.Minute
			rates, all, served := run(&engine{}, 0, d, tt.intervals...)
			t.Logf("rates %.2f, all %.2f", rates, all)
			for _, rate := range rates {
				is.True(rate >= 0.25*all)
			}
			is.True(served >= int(0.93*slots*d.Seconds()))
		})
	}
}

// Guards against a reduced wait of a workspace that shares the engine with nobody: it is
// alone, or those of the same priority have made no request lately.
func TestAloneIsNotReduced(t *testing.T) {
	is := is.New(t)
	var s sharer.Sharer
	request := func(at time.Duration, w sharer.Workspace) float64 {
		factor := s.Request(start.Add(at), w)
		s.Charge(start.Add(at), w, time.Second)
		return factor
	}
	first, second := workspace(1), workspace(2)
	for i := range 10 {
		is.Equal(request(time.Duration(i)*time.Millisecond, first), 1.0)
		is.Equal(request(time.Duration(i)*time.Millisecond, sharer.NewWorkspace("w1", 2)), 1.0)
		is.Equal(request(time.Duration(i)*time.Millisecond, sharer.Workspace{}), 1.0)
	}
	is.Equal(request(10*time.Millisecond, second), 1.0)
	reduced := s.Request(start.Add(10*time.Millisecond), first) // fair share 5.5 s, own 10 s
	is.True(reduced > 0.54 && reduced < 0.56)
	is.True(request(2*time.Second, first) < 1)
	is.Equal(request(2011*time.Millisecond, first), 1.0)

	// A time that is out of order does not end the share of the workspace.
	s.Request(start, first)
	is.Equal(request(2012*time.Millisecond, second), 1.0)
	s.Charge(start, second, time.Hour)
	is.True(s.Request(start.Add(2013*time.Millisecond), second) < 1)
}

// Guards against a workspace that finds no slots when it returns after a pause, and against
// one that displaces the others then because it used nothing meanwhile.
func TestReturnAfterPause(t *testing.T) {
	is := is.New(t)
	e := &engine{}
	const interval = 70 * time.Millisecond
	run(e, 0, 5*time.Second, interval, interval)
	run(e, 5*time.Second, 20*time.Second, interval)
	rates, all, _ := run(e, 20*time.Second, 30*time.Second, interval, interval)
	is.True(min(rates[0], rates[1]) >= 0.7*all) // 35% of the slots

	// What a workspace used before a short pause counts when it returns.
	var s sharer.Sharer
	for n, at := range []time.Duration{0, 2100 * time.Millisecond} {
		s.Request(start.Add(at), workspace(n))
		s.Charge(start.Add(at), workspace(n), 10*time.Second)
	}
	at := start.Add(2200 * time.Millisecond)
	is.Equal(s.Request(at, workspace(0)), 1.0) // own use 4.7 s, fair share 7.2 s
	is.True(s.Request(at, workspace(1)) > 0.7) // own use 9.7 s
}

// Guards against an account for each workspace that ever made a call, against shares that
// depend on the order of first requests, and against a forgotten workspace that still counts.
func TestManyWorkspaces(t *testing.T) {
	is := is.New(t)
	var s sharer.Sharer
	s.Request(start, workspace(0))
	s.Charge(start, workspace(0), time.Hour)
	for n := 1; n < 5*sharer.MaxWorkspaces; n++ {
		at := start.Add(time.Duration(n) * 100 * time.Microsecond)
		is.Equal(s.Request(at, workspace(n)), 1.0)
		s.Charge(at, workspace(n), time.Second)
	}
	at := start.Add(time.Second)
	latest := workspace(5*sharer.MaxWorkspaces - 1)
	s.Charge(at, latest, time.Second)
	is.True(s.Request(at, latest) < 0.6)       // twice the use of the others
	is.Equal(s.Request(at, workspace(0)), 1.0) // forgotten with all its use
	later := at.Add(3 * time.Second)
	is.Equal(s.Request(later, latest), 1.0) // the others have no share any more
}

// Guards against a new owner that puts a workspace at a disadvantage: without history, all
// are treated equally.
func TestChangeOfOwner(t *testing.T) {
	is := is.New(t)
	e := &engine{}
	run(e, 0, 10*time.Second, hot, time.Second)
	is.True(e.shares.Request(start.Add(10*time.Second), workspace(0)) < 1)
	e.shares = sharer.Sharer{}
	is.Equal(e.shares.Request(start.Add(10*time.Second), workspace(0)), 1.0)
	is.Equal(e.shares.Request(start.Add(10*time.Second), workspace(1)), 1.0)
}

// Guards against a cost of a reservation that grows with the number of workspaces, and
// against allocations for known ones.
func BenchmarkReservation(b *testing.B) {
	for _, n := range []int{2, 64, sharer.MaxWorkspaces} {
		b.Run(fmt.Sprint(n, " workspaces"), func(b *testing.B) {
			var s sharer.Sharer
			reserve := reservations(&s, n)
			b.ReportAllocs()
			for b.Loop() {
				reserve()
			}
		})
	}
}

// Guards against allocations on the path of a call.
func TestNoAllocation(t *testing.T) {
	var s sharer.Sharer
	is.New(t).Equal(testing.AllocsPerRun(10_000, reservations(&s, sharer.MaxWorkspaces)), 0.0)
}

// reservations returns a function that makes a reservation for one of n known workspaces.
func reservations(s *sharer.Sharer, n int) func() {
	var list []sharer.Workspace
	for i := range n {
		list = append(list, workspace(i))
		s.Request(start, list[i])
	}
	i, at := 0, start
	return func() {
		i, at = i+1, at.Add(10*time.Millisecond) // some expire in between
		s.Request(at, list[i%n])
		s.Charge(at, list[i%n], time.Second)
	}
}
