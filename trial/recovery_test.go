package trial_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/emulator"
)

// maxRecoveryTime is the time within which the deployment must recover by itself. It
// covers a lease of 6 s and its guard, the scans that detect its end, and a cold
// load.
const maxRecoveryTime = 15 * time.Second

// Guards against a failure that needs an operator. Each case measures the time until
// every engine in a region with live nodes has an owner again and each live node
// answers a request.
func TestRecovery(t *testing.T) {
	tests := []struct {
		name string
		fail func(tr *trial)
	}{
		{"node killed", func(tr *trial) { tr.fleet.Hosts()[0].Kill() }},
		{"engine restarts cold", func(tr *trial) { tr.inject(tr.engines()[0], emulator.NewRestartCold(restartTime)) }},
		{"all engines restart cold", func(tr *trial) {
			for _, e := range tr.engines() {
				tr.inject(e, emulator.NewRestartCold(restartTime))
			}
		}},
		{"data centre down", func(tr *trial) {
			hosts := tr.fleet.Hosts()
			hosts[0].Kill()
			hosts[1].Kill()
			for _, e := range tr.endpoints() {
				if e.Region() != hosts[0].Region() {
					continue
				}
				if e.Engine() != nil {
					tr.inject(e.Engine(), emulator.Down{})
				} else {
					tr.inject(e.Service(), emulator.Down{})
				}
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tr := newTrial(t, 1)
				is.NoErr(tr.fleet.Start(t.Context()))
				tr.checkAlive()
				tt.fail(tr)
				failed := time.Now()
				for !tr.recovered() {
					if time.Since(failed) > 4*maxRecoveryTime {
						t.Fatalf("no recovery within %v", time.Since(failed))
					}
					time.Sleep(100 * time.Millisecond)
				}
				took := time.Since(failed)
				t.Logf("recovered after %v", took)
				is.True(took <= maxRecoveryTime)
				tr.cancel()
				is.NoErr(tr.fleet.Close(t.Context()))
			})
		})
	}
}

// recovered reports whether every engine of a region with live nodes has an owner
// and each live node answers a request within 10 s.
func (tr *trial) recovered() bool {
	alive, owned := map[string]bool{}, 0
	for _, h := range tr.fleet.Hosts() {
		if node := h.Node(); node != nil {
			alive[h.Region()] = true
			owned += len(node.Owned())
		}
	}
	for _, e := range tr.endpoints() {
		if e.Engine() != nil && alive[e.Region()] {
			owned--
		}
	}
	if owned != 0 {
		return false
	}
	c := newCaller(tr, callers)
	for _, h := range tr.fleet.Hosts() {
		if h.Node() == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(tr.t.Context(), 10*time.Second)
		err := c.generateAt(ctx, h, tr.fleet.Deployment().Models()[1], "after the failure")
		cancel()
		if err != nil {
			return false
		}
	}
	return true
}
