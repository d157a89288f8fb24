package drainer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/drainer"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/storer"
)

// Guards against a planned stop that is lost in an outage of the table, or that is not
// detected within two polls.
func TestStops(t *testing.T) {
	tests := []struct {
		name         string
		change       func(*testing.T, *emulator.Table, *emulator.HostList)
		wantNode     bool
		wantEndpoint bool
	}{
		{name: "nothing drained", change: func(*testing.T, *emulator.Table, *emulator.HostList) {}},
		{
			name: "node row",
			change: func(t *testing.T, table *emulator.Table, _ *emulator.HostList) {
				put(t, table, drainer.Key(drainer.KindNode, "a"))
			},
			wantNode: true,
		},
		{
			name: "endpoint row, then outage",
			change: func(t *testing.T, table *emulator.Table, _ *emulator.HostList) {
				put(t, table, drainer.Key(drainer.KindEndpoint, "a"))
				time.Sleep(2 * drainer.DefaultInterval)
				if err := table.Inject(emulator.Down{}); err != nil {
					t.Fatal(err)
				}
			},
			wantEndpoint: true,
		},
		{
			name: "leaving host",
			change: func(_ *testing.T, _ *emulator.Table, hosts *emulator.HostList) {
				hosts.Set("a", emulator.HostLeaving)
			},
			wantEndpoint: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table, hosts := emulator.NewTable(), emulator.NewHostList()
				d := drainer.New(table, hosts, drainer.DefaultInterval, func(*drainer.PlannedStops) {})
				defer d.Close()
				tt.change(t, table, hosts)
				time.Sleep(2*drainer.DefaultInterval + time.Millisecond)
				is.Equal(d.Load().Node("a"), tt.wantNode)
				is.Equal(d.Draining("a"), tt.wantEndpoint)
			})
		})
	}
}

func put(t *testing.T, table storer.Table, key string) {
	t.Helper()
	if err := table.Commit(context.Background(), storer.NewPut(key, nil, 0)); err != nil {
		t.Fatal(err)
	}
}
