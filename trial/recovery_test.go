package trial_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/emulator"
)

// recoverWithin is the time in which the deployment must have repaired itself: a
// lease of 6 s and its guard, the scans that notice it, and a cold load.
const recoverWithin = 15 * time.Second

// Guards against a failure that needs an operator: each case measures the time
// until every engine has an owner again, or until a request of each living node
// is answered.
func TestRecovery(t *testing.T) {
	tests := []struct {
		name string
		fail func(w *world)
	}{
		{"node killed", func(w *world) { w.fleet.Hosts()[0].Kill() }},
		{"engine restarts cold", func(w *world) { w.inject(w.engines()[0], emulator.NewRestartCold(restartTime)) }},
		{"all engines restart cold", func(w *world) {
			for _, e := range w.engines() {
				w.inject(e, emulator.NewRestartCold(restartTime))
			}
		}},
		{"data centre dark", func(w *world) {
			hosts := w.fleet.Hosts()
			hosts[0].Kill()
			hosts[1].Kill()
			for _, e := range w.endpoints() {
				if e.Region() != hosts[0].Region() {
					continue
				}
				if e.Engine() != nil {
					w.inject(e.Engine(), emulator.Down{})
				} else {
					w.inject(e.Service(), emulator.Down{})
				}
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, 1)
				is.NoErr(w.fleet.Start(t.Context()))
				w.checkAlive()
				tt.fail(w)
				failed := time.Now()
				for !w.recovered() {
					if time.Since(failed) > 4*recoverWithin {
						t.Fatalf("no recovery within %v", time.Since(failed))
					}
					time.Sleep(100 * time.Millisecond)
				}
				took := time.Since(failed)
				t.Logf("recovered after %v", took)
				is.True(took <= recoverWithin)
				w.cancel()
				is.NoErr(w.fleet.Close(t.Context()))
			})
		})
	}
}

// recovered reports whether every engine of a data centre with living nodes has
// an owner and each living node answers at the first try.
func (w *world) recovered() bool {
	alive, owned := map[string]bool{}, 0
	for _, h := range w.fleet.Hosts() {
		if node := h.Node(); node != nil {
			alive[h.Region()] = true
			owned += len(node.Owned())
		}
	}
	for _, e := range w.endpoints() {
		if e.Engine() != nil && alive[e.Region()] {
			owned--
		}
	}
	if owned != 0 {
		return false
	}
	c := newCaller(w, callers)
	for _, h := range w.fleet.Hosts() {
		if h.Node() == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(w.t.Context(), 10*time.Second)
		err := c.generateAt(ctx, h, w.fleet.Deployment().Models()[1], "after the failure")
		cancel()
		if err != nil {
			return false
		}
	}
	return true
}
