package leaser_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/leaser"
	"github.com/dragonflyford/dragonflyford/scheduler"
)

var _ scheduler.Lease = leaser.EngineLease{}

// settle waits until the nodes share the engines evenly.
func (r *rig) settle(engines int, names ...string) {
	r.t.Helper()
	r.until(20*time.Second, "even shares", func() bool {
		held := r.held()
		for _, name := range names {
			if held[name] < engines/len(names) {
				return false
			}
		}
		return r.allHeld(engines)()
	})
}

// Guards against engines that stay without an owner, or with two, when their
// owner fails. The limits are the lease, the guard and a scan, counted from the
// last renewal that others saw.
func TestFailover(t *testing.T) {
	expiry := lease + guard + 2*leaser.DefaultScan
	tests := []struct {
		name  string
		fail  func(*rig, *node)
		least time.Duration // no other node may hold an engine sooner
		most  time.Duration
	}{
		{"kill", func(_ *rig, n *node) { n.kill() }, lease - lease/3, expiry},
		{"pause", func(_ *rig, n *node) { n.gate.close() }, lease - lease/3, expiry},
		{"cut off", func(_ *rig, n *node) { n.cut.Refuse(); n.isolate(true) }, lease - lease/3, expiry},
		{"cut off and hanging", func(_ *rig, n *node) { n.cut.Hang(); n.isolate(true) }, lease - lease/3, expiry},
		{"cut off from the table only", func(_ *rig, n *node) { n.cut.Refuse() }, lease - lease/3, expiry},
		{"close", func(_ *rig, n *node) { _ = n.Close(context.Background()) }, 0, 2 * leaser.DefaultScan},
		{"drain", func(_ *rig, n *node) { _ = n.Drain(context.Background()) }, 0, 2 * leaser.DefaultScan},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 6, "a", "b", "c")
				defer r.close()
				r.settle(6, "a", "b", "c")
				time.Sleep(20 * time.Second)
				n := r.all()[0]
				began := time.Now()
				tt.fail(r, n)
				r.until(tt.most, "new owners", func() bool { return r.held()["b"]+r.held()["c"] == 6 })
				took := time.Since(began)
				if took < tt.least {
					t.Errorf("engines moved after %v, while their owner may still use them", took)
				}
				t.Logf("new owner after %v", took)
			})
		})
	}
}

// Guards against a process that wakes and goes on with engines that it has lost,
// and against one that never takes part again.
func TestWake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(t, 6, "a", "b")
		defer r.close()
		r.settle(6, "a", "b")
		n := r.all()[0]
		n.gate.close()
		time.Sleep(30 * time.Second)
		is.Equal(r.held(), map[string]int{"b": 6})
		is.True(r.all()[1].Gone(n.ID()))
		n.gate.open()
		_, err := n.Fence("e0") // before any of its goroutines has run
		is.True(errors.Is(err, leaser.ErrExpired) || errors.Is(err, leaser.ErrNotOwner))
		is.True(!n.LeaseValid())
		r.settle(6, "a", "b")
		is.True(n.LeaseValid())
		time.Sleep(2 * time.Second)
		is.True(!r.all()[1].Gone(n.ID())) // it goes on under its name
	})
}

// Guards against engines that stop although no node can take them over, and
// against a lease that is extended although one could.
func TestTableOutage(t *testing.T) {
	tests := []struct {
		name   string
		before func(*rig) // then 30 s of outage
		holds  bool
	}{
		{"all members answer", func(r *rig) { down(r) }, true},
		{"a member died and is gone from the host list", func(r *rig) {
			r.all()[2].kill()
			r.hosts.Set("c", emulator.HostGone)
			time.Sleep(2 * time.Second)
			down(r)
		}, true},
		{"a member died and is still listed", func(r *rig) { r.all()[2].kill(); down(r) }, false},
		{"a member does not answer", func(r *rig) { r.all()[2].isolate(true); down(r) }, false},
		{"a member reaches the table", func(r *rig) { r.all()[0].cut.Refuse(); r.all()[1].cut.Refuse() }, false},
		{"the host list is down as well", func(r *rig) {
			if err := r.hosts.Inject(emulator.Down{}); err != nil {
				r.t.Fatal(err)
			}
			down(r)
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newRig(t, 6, "a", "b", "c")
				defer r.close()
				r.settle(6, "a", "b", "c")
				time.Sleep(20 * time.Second)
				tt.before(r)
				gap := 0
				for range 300 {
					time.Sleep(100 * time.Millisecond)
					if r.held()["a"] == 0 {
						gap++
					}
				}
				is.Equal(gap == 0, tt.holds)
				r.table.Clear()
				for _, n := range r.all() {
					n.cut.Restore()
					n.isolate(false)
				}
				r.until(3*(lease+guard), "all engines held after the outage", r.allHeld(6))
			})
		})
	}
}

func down(r *rig) {
	if err := r.table.Inject(emulator.Down{}); err != nil {
		r.t.Fatal(err)
	}
}
