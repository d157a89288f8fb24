package leaser_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/leaser"
)

// Guards against a renewal that succeeds after another node has taken the engines
// over: the owner comes back at every moment around the take-over, and slow
// requests hold the race open.
func TestReturnDuringTakeover(t *testing.T) {
	for returns := 5 * time.Second; returns < 10*time.Second; returns += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, 4, "a", "b")
			defer r.close()
			r.settle(4, "a", "b")
			time.Sleep(2 * lease) // until none is a newcomer
			if err := r.table.Inject(emulator.NewSlow(300 * time.Millisecond)); err != nil {
				t.Fatal(err)
			}
			n := r.all()[0]
			n.cut.Refuse()
			time.Sleep(returns)
			n.cut.Restore()
			time.Sleep(lease)
			r.until(2*lease, "owners", r.allHeld(4))
		})
	}
}

// Guards against a node that goes on using engines whose hand-over was applied
// although it has no answer: it is cut off at every moment around the write.
func TestCutDuringHandOver(t *testing.T) {
	for after := time.Millisecond; after <= 15*time.Millisecond; after += time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, 4, "a", "b")
			defer r.close()
			r.settle(4, "a", "b")
			time.Sleep(2 * lease)
			n := r.all()[0]
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = n.Drain(t.Context())
			}()
			time.Sleep(after)
			n.cut.Hang()
			time.Sleep(3 * time.Second)
			n.cut.Restore()
			<-done
			r.until(lease+guard+4*leaser.DefaultScan, "owners", func() bool { return r.held()["b"] == 4 })
		})
	}
}

// Guards against a member that reaches the table again and takes over from an
// owner that still relies on its promise.
func TestPromiseKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 4, "a", "b")
		defer r.close()
		r.settle(4, "a", "b")
		time.Sleep(2 * lease)
		a, b := r.all()[0], r.all()[1]
		a.cut.Refuse()
		b.cut.Refuse()
		time.Sleep(20 * time.Second)
		if held := r.held(); held["a"] != 2 || held["b"] != 2 {
			t.Errorf("both extend their leases, but hold %v", held)
		}
		b.cut.Restore()
		took := r.until(lease+2*guard+3*leaser.DefaultScan, "new owners", func() bool { return r.held()["b"] == 4 })
		t.Logf("new owner %v after one of two is back", took)
	})
}
