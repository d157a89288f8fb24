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

// signs are the hosts that were heard of; false stands for a silent one.
type signs map[string]bool

func (s signs) Alive(host string) (alive, known bool) {
	alive, known = s[host]
	return alive, known
}

// table keeps the rows that hosts write.
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

func host(t *table, name, zone, region string) *enroller.Enroller {
	times := enroller.NewTiming(time.Second, time.Minute, time.Second, time.Second, 5*time.Second)
	return enroller.New(enroller.NewLocalHost(name, name+":80", name+":81", zone, region, 0), times, t, logger.Nop())
}

// write makes a host write its row.
func write(ctx context.Context, e *enroller.Enroller) {
	ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	e.Run(ctx)
}

// Guards against a directory that names dead, leaving or far hosts while near ones
// live, or none at all.
func TestRefer(t *testing.T) {
	tests := []struct {
		name         string
		signs        signs
		region, zone string
		want         []string
	}{
		{"own data centre", signs{"near": true, "silent": false}, "r1", "z1", []string{"near:80", "self:80"}},
		{"silent neighbours", signs{"near": false, "silent": false}, "r1", "z1", []string{"self:80"}},
		{"another data centre", nil, "r2", "z3", []string{"far:80"}},
		{"empty data centre of the own region", signs{"near": true}, "r1", "z9", []string{"near:80", "next:80", "self:80"}},
		{"unknown region", signs{"near": true}, "r9", "z9", []string{"far:80", "near:80", "next:80", "self:80"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				rows := &table{}
				for _, h := range []*enroller.Enroller{
					host(rows, "near", "z1", "r1"), host(rows, "silent", "z1", "r1"), host(rows, "next", "z2", "r1"), host(rows, "far", "z3", "r2"),
				} {
					write(t.Context(), h)
				}
				leaving := host(rows, "leaving", "z1", "r1")
				write(t.Context(), leaving)
				leaving.Leave(t.Context())
				self := host(rows, "self", "z1", "r1")
				write(t.Context(), self)
				self.Apply(rows.rows)
				time.Sleep(3 * time.Second)
				self.Contact(1, 0)
				is.Equal(referrer.New(self, tt.signs).Addresses(tt.region, tt.zone), tt.want)
			})
		})
	}
}
