package confirmer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/confirmer"
	"github.com/dragonflyford/dragonflyford/screener"
	"github.com/dragonflyford/dragonflyford/tracker"
)

// prober is a Prober that counts its connections.
type prober struct {
	up    bool
	opens int
}

func (p *prober) Reachable(context.Context, *tracker.Endpoint) bool {
	p.opens++
	return p.up
}

func entry(born int64) tracker.Entry {
	return tracker.NewEntry("e", "svc", "1.1.1.1:1", "z", 8, false, born, nil)
}

// Guards against a connection that was reset and is taken for the end of the process, so
// that sound calls would be held responsible, and against a crash that is not noticed.
func TestConfirmed(t *testing.T) {
	tests := []struct {
		name  string
		up    bool
		event func(fleet *tracker.Tracker) // after a second
		want  int
	}{
		{"the process is gone", false, nil, 2},
		{"the process goes on", true, nil, 0},
		{"another process has taken its place", true, func(f *tracker.Tracker) { f.Upsert(entry(2)) }, 2},
		{"the process leaves", true, func(f *tracker.Tracker) { f.Remove(0, "e") }, 0},
		{"another process came much later", true, func(f *tracker.Tracker) { time.Sleep(10 * time.Second); f.Upsert(entry(2)) }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fleet := tracker.New(nil)
				fleet.Upsert(entry(1))
				p := &prober{up: tt.up}
				c := confirmer.New(p, fleet)
				e := fleet.Current().Endpoint("e")
				c.Record(e, screener.NewMark(1, "e/1", "part"))
				c.Record(e, screener.NewMark(2, "e/1", "part"))
				got := 0
				for i := range 40 {
					if i == 10 && tt.event != nil {
						tt.event(fleet)
					}
					got += len(c.Confirmed(t.Context()))
					time.Sleep(100 * time.Millisecond)
				}
				is.Equal(got, tt.want)
				is.True(p.opens <= 1)
			})
		})
	}
}
