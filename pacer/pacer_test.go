package pacer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/pacer"
)

const (
	hosts = 60
	// seeds is the number of runs of a scenario. A slow endpoint completes some 60 calls in
	// the time that is measured, so that the share of one run varies by several percent.
	seeds = 3
)

// scenario changes a site that has run for some seconds. The checks start two seconds after
// it returns.
type scenario struct {
	name string
	run  func(s *site)
}

var scenarios = []scenario{
	{"new endpoint", func(s *site) { s.restart() }},
	{"back from a crash as a new process", func(s *site) {
		s.fail(time.Second)
		s.restart()
	}},
	{"connections lost for a second", func(s *site) { s.fail(time.Second) }},
	{"six times slower", func(s *site) { s.endpoint.pace = 6 }},
	{"usual speed after ten slow seconds", func(s *site) {
		s.endpoint.pace = 6
		s.run(10 * time.Second)
		s.endpoint.pace = 1
	}},
	{"flapping", func(s *site) {
		for range 4 {
			s.fail(500 * time.Millisecond)
			s.restart()
			s.run(500 * time.Millisecond)
		}
	}},
	{"replaced while calls queue up", func(s *site) {
		s.restart()
		for i := range s.pending {
			s.pending[i] = 20
		}
	}},
	{"a limit that rises", func(s *site) {
		s.endpoint.slots, s.endpoint.queue, s.rate = 3*s.endpoint.slots, 3*s.endpoint.queue, 3*s.rate
	}},
}

// endpointKind is an endpoint with the bounds that hold for it.
type endpointKind struct {
	name         string
	endpoint     endpoint
	used         float64 // least share of the endpoint's rate
	refusedShare float64 // highest share of the calls that it refuses
}

var endpointKinds = []endpointKind{
	{"6 slots", endpoint{slots: 6, queue: 12, work: 50 * time.Millisecond, pace: 1}, 0.9, 0.1},
	{"32 slots", endpoint{slots: 32, queue: 32, work: 200 * time.Millisecond, pace: 1}, 0.9, 0.1},
	{"6 slots, load without slots and pace", endpoint{slots: 6, queue: 12, work: 50 * time.Millisecond, pace: 1, report: loadOnly}, 0.8, 0.2},
	{"6 slots without load", endpoint{slots: 6, queue: 12, work: 50 * time.Millisecond, pace: 1, report: noReport}, 0.8, 0.2},
}

// Guards against hosts that overload an endpoint whose state has changed, or leave it idle:
// two seconds after the change it never gets a tenth more than its slots and queue hold, and
// from the third second on most of its rate is used. Without a load in the answers, the
// bounds on the use and on refusals are wider.
func TestScenarios(t *testing.T) {
	for _, kind := range endpointKinds {
		for _, sc := range scenarios {
			t.Run(kind.name+"/"+sc.name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				used, refused, sent := 0.0, 0, 0
				for seed := range uint64(seeds) {
					e := kind.endpoint
					s := newSite(seed, hosts, &e, 1.5*float64(e.slots)/e.work.Seconds())
					s.run(4 * time.Second)
					sc.run(s)
					s.run(2 * time.Second)
					s.run(time.Second)
					is.True(float64(s.peak) <= 1.1*float64(e.slots+e.queue))
					s.run(3 * time.Second)
					is.True(float64(s.peak) <= 1.1*float64(e.slots+e.queue))
					used += float64(s.done) / e.capacity(3*time.Second) / seeds
					refused, sent = refused+s.refused, sent+s.sent
				}
				t.Logf("used %.2f, refused %d of %d", used, refused, sent)
				is.True(used >= kind.used)
				is.True(float64(refused) <= kind.refusedShare*float64(sent))
			})
		}
	}
}

// Guards against limits that keep to an endpoint's capacity only because it refuses calls.
func TestWithoutRefusals(t *testing.T) {
	for _, work := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(work.String(), func(t *testing.T) {
			is := is.New(t)
			e := endpoint{slots: 32, queue: 32, work: work, pace: 1, lenient: true}
			s := newSite(2, hosts, &e, 2*float64(e.slots)/e.work.Seconds())
			s.run(2 * time.Second)
			s.run(4 * time.Second)
			is.True(float64(s.peak) <= 1.1*float64(e.slots+e.queue))
			is.True(float64(s.done) >= 0.9*e.capacity(4*time.Second))
		})
	}
}

// Guards against an endpoint that stays idle because its calls come to one host only, whose
// equal share is a small part of it.
func TestOneBusyHost(t *testing.T) {
	is := is.New(t)
	e := endpoint{slots: 6, queue: 12, work: 50 * time.Millisecond, pace: 1}
	s := newSite(3, hosts, &e, 1.2*float64(e.slots)/e.work.Seconds())
	s.skew = 1
	s.run(3 * time.Second)
	s.run(3 * time.Second)
	is.True(float64(s.done) >= 0.9*e.capacity(3*time.Second))
}

// Guards against a limit of at least one call for each host, with which 60 hosts overload an
// endpoint of 6 slots at the moment it appears.
func TestFirstMoment(t *testing.T) {
	is := is.New(t)
	now, admitted := time.Unix(1000, 0), 0
	for i := range hosts {
		p := pacer.New(now, 6, float64(i)/hosts)
		m := pacer.At(now, hosts, 100*time.Millisecond)
		if p.Take(m, 0) {
			admitted++
		}
		if p.Take(pacer.At(now.Add(100*time.Millisecond), hosts, 100*time.Millisecond), 0) {
			admitted++
		}
	}
	is.True(admitted >= 6 && admitted <= 18) // the slots, and two waiting calls for each
}

// Guards against slow first calls of a new process, whose caches are cold, that count as
// overload, and against a slow machine without a pace that does not.
func TestPaceFromDurations(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	at := func() pacer.Moment { return pacer.At(now, 1, 0) }
	p := pacer.New(now, 4, 1)
	for _, took := range []time.Duration{900, 700, 300, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100, 100} {
		now = now.Add(300 * time.Millisecond)
		p.Answered(at(), now.Add(-time.Millisecond), pacer.Load{})
		p.Completed(at(), took*time.Millisecond)
		is.True(p.Limit(at()) >= 4) // the share of the slots
	}
	is.True(p.Pace(at()) < 1.3)
	for range 10 {
		now = now.Add(300 * time.Millisecond)
		p.Completed(at(), 600*time.Millisecond)
	}
	is.True(p.Pace(at()) > 3)
	is.Equal(p.ReportedPace(at()), 1.0)
	now = now.Add(time.Minute)
	is.True(p.Pace(at()) < 1.1) // an old value says nothing
}

// Guards against a single noisy report that changes the pace, and against one that is
// malformed.
func TestPaceIsSmoothed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	at := func() pacer.Moment { return pacer.At(now, 1, 0) }
	p := pacer.New(now, 4, 1)
	for i := range 200 {
		now = now.Add(20 * time.Millisecond)
		p.Answered(at(), now, pacer.NewLoad(1, 0).WithPace([]float64{0.7, 1.3}[i%2]))
	}
	is.True(p.Pace(at()) > 0.95 && p.Pace(at()) < 1.05)
	now = now.Add(20 * time.Millisecond)
	p.Answered(at(), now, pacer.NewLoad(1, 0).WithPace(1e9))
	is.True(p.Pace(at()) < 2.5)
}

// Guards against a storm of refusals of calls that were sent at the same time, each of which
// lowers the limit again, and against a limit that a time-out, a broken connection or a named
// rate leaves as it was.
func TestSignsOfOverload(t *testing.T) {
	tests := []struct {
		name     string
		sign     func(p *pacer.Pacer, m pacer.Moment, sent time.Time)
		min, max float64
	}{
		{"refusals of one burst", func(p *pacer.Pacer, m pacer.Moment, sent time.Time) {
			for range 20 {
				p.Refused(m, sent, pacer.Load{})
			}
		}, 5, 6},
		{"refusal with a long queue", func(p *pacer.Pacer, m pacer.Moment, sent time.Time) {
			p.Refused(m, sent, pacer.NewLoad(8, 24))
		}, 2, 4},
		{"time-out", func(p *pacer.Pacer, m pacer.Moment, sent time.Time) { p.TimedOut(m, sent) }, 5, 6},
		{"broken connection", func(p *pacer.Pacer, m pacer.Moment, _ time.Time) { p.Broken(m) }, 2, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			p := pacer.New(now, 8, 1)
			m := pacer.At(now, 1, 0)
			is.Equal(p.Limit(m), 8.0)
			tt.sign(p, m, now.Add(-time.Millisecond))
			is.True(p.Limit(m) >= tt.min && p.Limit(m) <= tt.max)
			is.True(p.Limit(pacer.At(now.Add(time.Minute), 1, 0)) > 7.9) // no answer has come since
		})
	}
}

// Guards against more calls in flight than an endpoint that names a rate can complete, and
// against a limit that stays low once the rate rises.
func TestNamedRate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := pacer.New(now, 8, 1)
	answer := func() float64 {
		for range 30 {
			now = now.Add(100 * time.Millisecond)
			m := pacer.At(now, 1, 0)
			p.Room(m, 100)
			p.Completed(m, 100*time.Millisecond)
			p.Answered(m, now, pacer.NewLoad(int(p.Limit(m)), 0))
		}
		return p.Limit(pacer.At(now, 1, 0))
	}
	p.SetRate(20)
	is.True(answer() <= 3)
	p.SetRate(0)
	is.True(answer() >= 8)
}

// Guards against a wait that is given as zero or without bound for a host without room.
func TestExpectedWait(t *testing.T) {
	for _, own := range []int{0, 1, 2, 50} {
		t.Run(fmt.Sprint(own), func(t *testing.T) {
			is := is.New(t)
			p := pacer.New(time.Unix(1000, 0), 6, 0)
			wait, ok := p.Room(pacer.At(time.Unix(1000, 0), hosts, 100*time.Millisecond), own)
			is.True(!ok)
			is.True(wait > 0 && wait <= 3*time.Second)
		})
	}
}
