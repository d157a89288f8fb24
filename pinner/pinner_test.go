package pinner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/pinner"
)

const lifetime = time.Minute

// Guards against a stream that goes on at another software version than the one that began
// it, and against one that is not resumed although its version is known.
func TestDecide(t *testing.T) {
	start := time.Unix(1000, 0)
	observe := func(versions ...string) func(p *pinner.Pinner) {
		return func(p *pinner.Pinner) { p.Observe("s", pinner.NewReading(start, start), start, versions...) }
	}
	mixed := observe("v1", "v2")
	tests := []struct {
		name   string
		state  *pinner.State
		serve  func(p *pinner.Pinner)
		after  time.Duration
		record pinner.Record
		want   string
	}{
		{"one version serves", new(pinner.NewState("v1", false)), observe("v1"), 0, pinner.Unrecorded{}, "anywhere"},
		{"one version serves and the store is away", new(pinner.NewState("v1", false)), observe("v1"), 0, pinner.Unread{}, "anywhere"},
		{"the state is not read yet", nil, observe("v2"), 0, pinner.Unread{}, "undecided"},
		{"release under way, recorded", new(pinner.NewState("v1", true)), mixed, 0, pinner.NewRecorded("v2"), "v2"},
		{"release under way, begun before it", new(pinner.NewState("v1", true)), mixed, 0, pinner.Unrecorded{}, "v1"},
		{"release under way, seen here only", new(pinner.NewState("v1", false)), mixed, 0, pinner.Unrecorded{}, "v1"},
		{"release under way and the store is away", new(pinner.NewState("v1", true)), mixed, 0, pinner.Unread{}, "undecided"},
		{"the old version has just left", new(pinner.NewState("v1", true)), observe("v2"), 0, pinner.Unrecorded{}, "v1"},
		{"the old version left long ago", new(pinner.NewState("v2", false)), mixed, 2 * lifetime, pinner.Unrecorded{}, "anywhere"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := pinner.New(lifetime)
			if tt.state != nil {
				p.Store("s", *tt.state)
			}
			tt.serve(p)
			now := start.Add(tt.after)
			if got := fmt.Sprint(p.Decide("s", tt.record, pinner.NewReading(now, now), now)); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// Guards against records for each stream although one version serves, and against a
// stream at another version than the base version that has none.
func TestRecording(t *testing.T) {
	is := is.New(t)
	p := pinner.New(lifetime)
	now := time.Unix(1000, 0)
	is.Equal(p.Recording("s", "v1", now), pinner.Stored{})    // the state is not known
	is.Equal(p.Recording("s", "", now), pinner.NotRecorded{}) // the endpoint names no version
	p.Store("s", pinner.NewState("v1", false))
	is.Equal(p.Recording("s", "v1", now), pinner.NotRecorded{})
	is.Equal(p.Recording("s", "v2", now), pinner.Stored{})
	p.Forget("s")
	is.Equal(p.Recording("s", "v1", now), pinner.Stored{})
}

// Guards against a base version that changes while a stream without a record may go on,
// and against one that never changes, so that each stream is recorded for ever.
func TestPlan(t *testing.T) {
	is := is.New(t)
	p := pinner.New(lifetime)
	now := time.Unix(1000, 0)
	_, due := p.Plan("s", pinner.NewReading(now, now), now)
	is.True(!due) // nothing serves
	step := func(d time.Duration, versions ...string) string {
		for end := now.Add(d); now.Before(end); { // without a gap
			now = now.Add(min(time.Second, end.Sub(now)))
			p.Observe("s", pinner.NewReading(now, now), now, versions...)
		}
		p.Observe("s", pinner.NewReading(now, now), now, versions...)
		state, due := p.Plan("s", pinner.NewReading(now, now), now)
		if !due {
			return ""
		}
		p.Store("s", state)
		return fmt.Sprint(state.Base(), " ", state.Mixed())
	}
	is.Equal(step(0, "v1"), "v1 false")
	is.Equal(step(time.Second, "v1"), "")
	is.Equal(step(time.Second, "v1", "v2"), "v1 true")
	is.Equal(step(time.Second, "v2"), "")
	is.Equal(step(lifetime/2, "v2"), "") // a stream of v1 may go on
	is.Equal(step(lifetime, "v2"), "v2 false")
	is.Equal(step(time.Second, "v2"), "")
	is.Equal(step(time.Second, "v2", "v1"), "v2 true") // rolled back
}

func ExamplePinner_Decide() {
	p := pinner.New(time.Minute)
	p.Store("chat", pinner.NewState("v1", true))
	now := time.Unix(0, 0)
	reading := pinner.NewReading(now, now) // of the tables
	p.Observe("chat", reading, now, "v1", "v2")
	fmt.Println(fmt.Sprint(p.Decide("chat", pinner.NewRecorded("v2"), reading, now)))
	fmt.Println(fmt.Sprint(p.Decide("chat", pinner.Unrecorded{}, reading, now)))
	// Output:
	// v2
	// v1
}
