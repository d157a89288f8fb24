package pinner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/pinner"
)

// Guards against streams that are refused for their lifetime after a restore of the store
// although hosts have stored again what was lost, and against a store that counts as
// complete while a record may be missing.
func TestRestate(t *testing.T) {
	const second = time.Second
	host := func(era uint64, span time.Duration, copies map[uint64]time.Duration) pinner.Restatement {
		return pinner.NewRestatement(era, map[string]time.Duration{"s": span}, copies)
	}
	lost := map[uint64]time.Duration{3: 20 * second}
	tests := []struct {
		name  string
		hosts []pinner.Restatement
		want  bool
	}{
		{"all have stored what was lost", []pinner.Restatement{host(3, 25*second, lost), host(3, 30*second, lost)}, true},
		{"one has started since, one knows the copy", []pinner.Restatement{host(3, 25*second, lost), host(3, 25*second, nil)}, true},
		{"one has not stored its records", []pinner.Restatement{host(3, 25*second, lost), host(0, 25*second, lost)}, false},
		{"one does not know of the restore", []pinner.Restatement{host(3, 25*second, lost), host(2, 25*second, nil)}, false},
		{"one lacks records", []pinner.Restatement{host(3, 25*second, lost), host(3, 15*second, lost)}, false},
		{"one does not know the service", []pinner.Restatement{host(3, 25*second, lost), pinner.NewRestatement(3, nil, lost)}, false},
		{"nobody knows the age of the copy", []pinner.Restatement{host(3, 25*second, nil)}, false},
		{"nobody knows that of the restore before", []pinner.Restatement{host(3, 25*second, map[uint64]time.Duration{2: second})}, false},
		{"no host", nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			p := pinner.New(time.Minute)
			p.Store("s", pinner.NewState("v1", true).InEra(2))
			p.ReachEra(3, now)
			now = now.Add(second)
			p.Observe("s", pinner.NewReading(now, now), now, "v1", "v2")
			is.True(p.AwaitsRestatement(now))
			p.Restate("s", tt.hosts)
			state, due := p.Plan("s", pinner.NewReading(now, now), now)
			is.Equal(due, tt.want)
			if due {
				is.Equal(state, pinner.NewState("v1", true).InEra(3))
				p.Store("s", state)
				is.True(!p.AwaitsRestatement(now))
				is.Equal(p.StoreCoverage("s", now), pinner.NewComplete(time.Minute))
			}
		})
	}
}

// Guards against a host that lacks records and does not ask for them, or that asks for ever.
func TestMayCatchUp(t *testing.T) {
	is := is.New(t)
	p := pinner.New(time.Minute)
	now := time.Unix(1000, 0)
	observe := func(versions ...string) {
		now = now.Add(time.Second)
		p.Observe("s", pinner.NewReading(now, now), now, versions...)
	}
	behind := func() bool {
		_, ok := p.MayCatchUp(now)
		return ok
	}
	is.True(!behind())
	p.Store("s", pinner.NewState("v1", true))
	observe("v1", "v2")
	is.True(behind())
	observe("v1", "v2")
	is.Equal(p.Coverage("s", now), pinner.NewComplete(time.Second))
	p.CatchUp("s", now.Add(-40*time.Second))
	is.True(!behind())
	is.Equal(p.Coverage("s", now), pinner.NewComplete(40*time.Second))
	now = now.Add(10 * time.Second) // the host stood still
	observe("v1", "v2")
	is.True(behind())
	is.Equal(p.Coverage("s", now), pinner.NewComplete(0))
	for range 61 {
		observe("v1", "v2")
	}
	is.True(!behind())
}
