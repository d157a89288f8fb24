package leaser_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/leaser"
)

// Guards against live nodes of other data centres that count as expired because
// their rows are read infrequently, also after an outage of the table, and
// against dead ones that continue to count as live.
func TestInfrequentScans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const far = 130 // above fullScanRows, so that most scans skip these rows
		table := emulator.NewTable(emulator.WithLatency(5 * time.Millisecond))
		near, remote := emulator.NewNetworkFault(), emulator.NewNetworkFault()
		start := func(name, dataCentre string, networkFault *emulator.NetworkFault) *leaser.Leaser {
			return leaser.New(leaser.NewIdentity(name, name+":1", name+":2", "lj", dataCentre), networkFault.Table(table), emulator.NewHostList())
		}
		watcher, neighbour := start("watcher", "lj1", near), start("neighbour", "lj1", near)
		defer watcher.Abandon()
		others := make([]*leaser.Leaser, far)
		for i := range others {
			others[i] = start(fmt.Sprint("far-", i), "mb1", remote)
			defer others[i].Abandon()
		}
		allLive := func(others []*leaser.Leaser) {
			t.Helper()
			for _, o := range others {
				if _, live := watcher.Membership().Member(o.Self().Name()); !live || watcher.Expired(o.ID()) {
					t.Fatalf("live node %s counts as expired", o.Self().Name())
				}
			}
		}
		watch := func(others []*leaser.Leaser, seconds int) {
			t.Helper()
			for range seconds {
				time.Sleep(time.Second)
				allLive(others)
			}
		}
		outage := func(others []*leaser.Leaser, seconds int) {
			t.Helper()
			near.Refuse()
			remote.Refuse()
			watch(others, seconds)
			near.Restore() // reads the outdated rows once more
			watch(others, 3)
			remote.Restore()
		}
		time.Sleep(5 * time.Second)
		outage(others, 25) // all rows have just been read
		watch(others, 5)
		outage(others, 4)
		watch(others, 45)
		outage(others, 30)
		watch(others, 10)

		killed := others[0]
		killed.Abandon()
		neighbour.Abandon()
		watch(others[1:], 12)
		is.True(watcher.Expired(neighbour.ID())) // its row is read by every scan
		watch(others[1:], 38)
		is.True(watcher.Expired(killed.ID()))
		_, live := watcher.Membership().Member(killed.Self().Name())
		is.True(!live)
	})
}
