package referrer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/enroller"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/referrer"
	"github.com/dragonflyford/dragonflyford/storer"
)

// liveness maps each host that has sent a heartbeat to whether it is alive.
type liveness map[string]bool

func (s liveness) Alive(host string) (alive, known bool) {
	alive, known = s[host]
	return alive, known
}

// table stores the rows that hosts write.
type table struct{ rows []storer.Change }

func (t *table) Commit(_ context.Context, writes ...storer.Write) (storer.Version, error) {
	v := storer.Version(len(t.rows) + 1)
	for _, w := range writes {
		if put, ok := w.(storer.Put); ok {
			t.rows = append(t.rows, storer.NewChange(storer.NewRow(put.Key(), put.Value(), v)))
		}
	}
	return v, nil
}

func newHost(t *table, name, dataCentre, region string) *enroller.Enroller {
	timing := enroller.NewTiming(time.Second, time.Minute, time.Second, time.Second, 5*time.Second)
	return enroller.New(enroller.NewLocalHost(name, name+":80", name+":81", dataCentre, region, 0), timing, t, logger.Nop())
}

// writeRow runs a host until it has written its row.
func writeRow(ctx context.Context, e *enroller.Enroller) {
	ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	e.Run(ctx)
}

// Guards against addresses of failed, leaving or remote hosts while near ones
// are alive, and against an empty list.
func TestRefer(t *testing.T) {
	tests := []struct {
		name               string
		liveness           liveness
		region, dataCentre string
		want               []string
	}{
		{"own data centre", liveness{"near": true, "silent": false}, "r1", "z1", []string{"near:80", "self:80"}},
		{"neighbours without heartbeats", liveness{"near": false, "silent": false}, "r1", "z1", []string{"self:80"}},
		{"another data centre", nil, "r2", "z3", []string{"far:80"}},
		{"empty data centre in the same region", liveness{"near": true}, "r1", "z9", []string{"near:80", "next:80", "self:80"}},
		{"unknown region", liveness{"near": true}, "r9", "z9", []string{"far:80", "near:80", "next:80", "self:80"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				rows := &table{}
				for _, h := range []*enroller.Enroller{
					newHost(rows, "near", "z1", "r1"), newHost(rows, "silent", "z1", "r1"), newHost(rows, "next", "z2", "r1"), newHost(rows, "far", "z3", "r2"),
				} {
					writeRow(t.Context(), h)
				}
				leaving := newHost(rows, "leaving", "z1", "r1")
				writeRow(t.Context(), leaving)
				leaving.Leave(t.Context())
				self := newHost(rows, "self", "z1", "r1")
				writeRow(t.Context(), self)
				self.Apply(rows.rows)
				time.Sleep(3 * time.Second)
				self.Contact(1, 0, 0)
				is.Equal(referrer.New(self, tt.liveness).Addresses(tt.region, tt.dataCentre), tt.want)
			})
		})
	}
}
