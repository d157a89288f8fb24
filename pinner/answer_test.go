package pinner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/pinner"
)

// Guards against the absence of a record that counts as proof although the sources that say
// so may lack it, and against one that does not count although they cannot.
func TestAssess(t *testing.T) {
	complete := pinner.NewAbsent(pinner.NewComplete(lifetime))
	young := pinner.NewAbsent(pinner.NewComplete(lifetime / 2))
	incomplete := pinner.NewAbsent(pinner.Incomplete{})
	silent := pinner.NewAbsent(pinner.Unknown{})
	found := pinner.NewFound("v2")
	recorded, unrecorded, unread := pinner.NewRecorded("v2"), pinner.Unrecorded{}, pinner.Unread{}
	tests := []struct {
		name  string
		hosts []pinner.Answer
		store pinner.Answer
		want  pinner.Record
	}{
		{"one host has it", []pinner.Answer{complete, complete, found, complete, complete}, complete, recorded},
		{"the store has it", []pinner.Answer{incomplete, silent, silent, silent, silent}, found, recorded},
		{"the store has it, the hosts do not", []pinner.Answer{complete, complete, complete, complete, complete}, found, recorded},
		{"no host has it and the store is away", []pinner.Answer{complete, complete, complete, silent, silent}, silent, unrecorded},
		{"too few hosts answer and the store is away", []pinner.Answer{complete, complete, silent, silent, silent}, silent, unread},
		{"hosts have just started and the store is away", []pinner.Answer{young, young, young, young, young}, silent, unread},
		{"hosts have just started and the store is complete", []pinner.Answer{young, young, incomplete, silent, silent}, complete, unrecorded},
		{"all hosts have just started after a restore", []pinner.Answer{young, young, incomplete, incomplete, incomplete}, young, unread},
		{"after a restore", []pinner.Answer{complete, complete, complete, incomplete, silent}, incomplete, unrecorded},
		{"hosts may hold what the store lacks", []pinner.Answer{incomplete, silent, silent, silent, silent}, complete, unread},
		{"two hosts, the other one is gone", []pinner.Answer{complete, silent}, silent, unrecorded},
		{"one host", []pinner.Answer{complete}, silent, unrecorded},
		{"one host that has just started", []pinner.Answer{incomplete}, silent, unread},
		{"no host is known", nil, silent, unread},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(pinner.New(lifetime).Assess(tt.hosts, tt.store), tt.want)
		})
	}
}

// Guards against a host that takes any stream for one that may go on anywhere although it
// may have missed that another version serves.
func TestOutOfStep(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name    string
		reading pinner.Reading // at start
		look    bool
	}{
		{"tables are current", pinner.NewReading(start, start), false},
		{"never read", pinner.Reading{}, true},
		{"endpoints are old", pinner.NewReading(start.Add(-4*time.Second), start), true},
		{"states are old", pinner.NewReading(start, start.Add(-7*time.Second)), true},
		{"another host told of a version", pinner.NewReading(start, start), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := pinner.New(lifetime)
			p.ReachEra(0, start)
			p.Store("s", pinner.NewState("v1", false))
			p.Observe("s", pinner.NewReading(start, start), start, "v1")
			if tt.name == "another host told of a version" {
				p.Learn("s", "v2", start, start)
			}
			is.Equal(p.NeedsLookup("s", tt.reading, start), tt.look)
		})
	}
}

// Guards against a process that has just started, or stood still, and says that a stream has
// no record although it was not told of it, and against one that never says so.
func TestCoverage(t *testing.T) {
	is := is.New(t)
	p := pinner.New(lifetime)
	now := time.Unix(1000, 0)
	covers := func() bool {
		c, ok := p.Coverage("s", now).(pinner.Complete)
		return ok && c.Span() >= lifetime
	}
	observe := func(d time.Duration, versions ...string) {
		for end := now.Add(d); now.Before(end); now = now.Add(time.Second) {
			p.Observe("s", pinner.NewReading(now, now), now, versions...)
		}
		p.Observe("s", pinner.NewReading(now, now), now, versions...)
	}
	is.Equal(p.Coverage("s", now), pinner.Incomplete{})
	p.ReachEra(0, now)
	p.Store("s", pinner.NewState("v1", true))
	observe(lifetime/2, "v1", "v2")
	is.True(!covers()) // started during a release
	observe(lifetime, "v1", "v2")
	is.True(covers())
	now = now.Add(6 * time.Second)
	is.Equal(p.Coverage("s", now), pinner.Incomplete{}) // stands still
	observe(time.Second, "v1", "v2")
	is.True(!covers()) // missed records meanwhile

	p.Store("s", pinner.NewState("v1", false))
	observe(lifetime, "v1")
	p.ReachEra(1, now)
	now = now.Add(6 * time.Second)
	observe(time.Second, "v1")
	is.True(!covers()) // the state may be older than a release
	p.Store("s", pinner.NewState("v1", false).InEra(1))
	observe(time.Second, "v1")
	is.True(covers()) // one version has served, so there are no records
}

// Guards against a host that no longer proves that a stream has no record because all
// endpoints of the service were gone for a while, although it has run all the time.
func TestCoverageWithoutEndpoints(t *testing.T) {
	is := is.New(t)
	p := pinner.New(lifetime)
	now := time.Unix(1000, 0)
	p.ReachEra(0, now)
	p.Store("s", pinner.NewState("v1", true))
	for i := range 61 {
		versions := []string{"v1", "v2"}
		if i > 20 && i < 40 {
			versions = nil
		}
		p.Observe("s", pinner.NewReading(now, now), now, versions...)
		now = now.Add(time.Second)
	}
	c, ok := p.Coverage("s", now).(pinner.Complete)
	is.True(ok)
	is.True(c.Span() >= lifetime)
}

// Guards against a stream that begins at a version which other hosts do not know yet, and
// against streams that nobody is told of although their hosts cannot prove that they have
// no record.
func TestBegin(t *testing.T) {
	is := is.New(t)
	p := pinner.New(lifetime)
	now := time.Unix(1000, 0)
	p.ReachEra(0, now)
	p.Store("s", pinner.NewState("v1", true))
	p.Observe("s", pinner.NewReading(now, now), now, "v1", "v2")
	is.True(p.Young("s", "v2", now))
	is.True(!p.Young("s", "v1", now)) // needs no record
	is.Equal(p.Recording("s", "v1", now), pinner.Shared{})
	for range 60 {
		now = now.Add(time.Second)
		p.Observe("s", pinner.NewReading(now, now), now, "v1", "v2")
	}
	is.True(!p.Young("s", "v2", now))
	is.Equal(p.Recording("s", "v1", now), pinner.NotRecorded{})
}

// Guards against a base version that changes although the host that decides so has not read
// the tables all the while, and against a state of a new era that stands in for lost records.
func TestPlanInDoubt(t *testing.T) {
	is := is.New(t)
	p := pinner.New(lifetime)
	start := time.Unix(1000, 0)
	now := start
	p.ReachEra(0, now)
	p.Store("s", pinner.NewState("v1", true))
	observe := func(d time.Duration, current bool) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(time.Second)
			reading := pinner.NewReading(now, now)
			if !current {
				reading = pinner.NewReading(start, start)
			}
			p.Observe("s", reading, now, "v2")
		}
	}
	plan := func() string {
		state, due := p.Plan("s", pinner.NewReading(now, now), now)
		if !due {
			return ""
		}
		return fmt.Sprint(state.Base(), " ", state.Mixed(), " ", state.Era())
	}
	observe(10*time.Second, true)
	observe(lifetime, false)
	_, due := p.Plan("s", pinner.NewReading(start, start), now)
	is.True(!due)
	observe(lifetime-time.Second, true)
	is.Equal(plan(), "") // another version may have served while the tables were not read
	p.ReachEra(1, now)
	is.Equal(plan(), "") // records may be lost
	observe(lifetime+time.Second, true)
	is.Equal(plan(), "v2 false 1")
}
