package leaser_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/leaser"
)

// Guards against a renewal that succeeds after another node has taken the
// engines over. The owner reconnects at varying times around the takeover, and
// slow requests widen the race window.
func TestReconnectDuringTakeover(t *testing.T) {
	for returns := 5 * time.Second; returns < 10*time.Second; returns += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 4, "a", "b")
			defer c.close()
			c.waitEvenShares(4, "a", "b")
			time.Sleep(2 * lease) // until no node is a new member
			if err := c.table.Inject(emulator.NewSlow(300 * time.Millisecond)); err != nil {
				t.Fatal(err)
			}
			n := c.all()[0]
			n.networkFault.Refuse()
			time.Sleep(returns)
			n.networkFault.Restore()
			time.Sleep(lease)
			c.waitUntil(2*lease, "owners", c.allHeld(4))
		})
	}
}

// Guards against a node that continues to use engines after its handover was
// applied but the answer was lost. A network fault begins at varying times around
// the write.
func TestDisconnectDuringHandover(t *testing.T) {
	for after := time.Millisecond; after <= 15*time.Millisecond; after += time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 4, "a", "b")
			defer c.close()
			c.waitEvenShares(4, "a", "b")
			time.Sleep(2 * lease)
			n := c.all()[0]
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = n.Drain(t.Context())
			}()
			time.Sleep(after)
			n.networkFault.Hang()
			time.Sleep(3 * time.Second)
			n.networkFault.Restore()
			<-done
			c.waitUntil(lease+guard+4*leaser.DefaultScan, "owners", func() bool { return c.held()["b"] == 4 })
		})
	}
}

// Guards against a member that reaches the table again and takes engines over
// from an owner while its grant to that owner is still valid.
func TestGrantKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, "a", "b")
		defer c.close()
		c.waitEvenShares(4, "a", "b")
		time.Sleep(2 * lease)
		a, b := c.all()[0], c.all()[1]
		a.networkFault.Refuse()
		b.networkFault.Refuse()
		time.Sleep(20 * time.Second)
		if held := c.held(); held["a"] != 2 || held["b"] != 2 {
			t.Errorf("both extend their leases, but hold %v", held)
		}
		b.networkFault.Restore()
		took := c.waitUntil(lease+2*guard+3*leaser.DefaultScan, "new owners", func() bool { return c.held()["b"] == 4 })
		t.Logf("new owner %v after one of two is back", took)
	})
}
