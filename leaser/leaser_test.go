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

// waitEvenShares waits until the nodes share the engines evenly.
func (c *cluster) waitEvenShares(engines int, names ...string) {
	c.t.Helper()
	c.waitUntil(20*time.Second, "even shares", func() bool {
		held := c.held()
		for _, name := range names {
			if held[name] < engines/len(names) {
				return false
			}
		}
		return c.allHeld(engines)()
	})
}

// Guards against engines that have no owner for too long, or two owners, after
// their owner fails. The limits add up from the lease, the guard and two scans,
// counted from the last renewal that others read.
func TestFailover(t *testing.T) {
	expiry := lease + guard + 2*leaser.DefaultScan
	tests := []struct {
		name  string
		fail  func(*cluster, *node)
		least time.Duration // no other node may hold an engine earlier
		most  time.Duration
	}{
		{"kill", func(_ *cluster, n *node) { n.kill() }, lease - lease/3, expiry},
		{"pause", func(_ *cluster, n *node) { n.gate.close() }, lease - lease/3, expiry},
		{"isolated", func(_ *cluster, n *node) { n.networkFault.Refuse(); n.isolate(true) }, lease - lease/3, expiry},
		{"isolated and hanging", func(_ *cluster, n *node) { n.networkFault.Hang(); n.isolate(true) }, lease - lease/3, expiry},
		{"isolated from the table only", func(_ *cluster, n *node) { n.networkFault.Refuse() }, lease - lease/3, expiry},
		{"close", func(_ *cluster, n *node) { _ = n.Close(context.Background()) }, 0, 2 * leaser.DefaultScan},
		{"drain", func(_ *cluster, n *node) { _ = n.Drain(context.Background()) }, 0, 2 * leaser.DefaultScan},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 6, "a", "b", "c")
				defer c.close()
				c.waitEvenShares(6, "a", "b", "c")
				time.Sleep(20 * time.Second)
				n := c.all()[0]
				began := time.Now()
				tt.fail(c, n)
				c.waitUntil(tt.most, "new owners", func() bool { return c.held()["b"]+c.held()["c"] == 6 })
				took := time.Since(began)
				if took < tt.least {
					t.Errorf("engines moved after %v, while their owner may still use them", took)
				}
				t.Logf("new owner after %v", took)
			})
		})
	}
}

// Guards against a process that resumes after a pause and continues to use
// engines that it has lost, and against one that never becomes a member again.
func TestResumeAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 6, "a", "b")
		defer c.close()
		c.waitEvenShares(6, "a", "b")
		n := c.all()[0]
		n.gate.close()
		time.Sleep(30 * time.Second)
		is.Equal(c.held(), map[string]int{"b": 6})
		is.True(c.all()[1].Expired(n.ID()))
		n.gate.open()
		_, err := n.Fence("e0") // before any of its goroutines has run
		is.True(errors.Is(err, leaser.ErrExpired) || errors.Is(err, leaser.ErrNotOwner))
		is.True(!n.LeaseValid())
		c.waitEvenShares(6, "a", "b")
		is.True(n.LeaseValid())
		time.Sleep(2 * time.Second)
		is.True(!c.all()[1].Expired(n.ID())) // it is a member again under its name
	})
}

// Guards against engines that become unusable during a table outage although no
// node can take them over, and against a lease that is extended although a node
// could.
func TestTableOutage(t *testing.T) {
	tests := []struct {
		name   string
		before func(*cluster) // before 30 s of outage
		holds  bool
	}{
		{"all members answer", func(c *cluster) { stopTable(c) }, true},
		{"a member died and is gone from the host list", func(c *cluster) {
			c.all()[2].kill()
			c.hosts.Set("c", emulator.HostGone)
			time.Sleep(2 * time.Second)
			stopTable(c)
		}, true},
		{"a member died and is still listed", func(c *cluster) { c.all()[2].kill(); stopTable(c) }, false},
		{"a member does not answer", func(c *cluster) { c.all()[2].isolate(true); stopTable(c) }, false},
		{"a member reaches the table", func(c *cluster) { c.all()[0].networkFault.Refuse(); c.all()[1].networkFault.Refuse() }, false},
		{"the host list is down as well", func(c *cluster) {
			if err := c.hosts.Inject(emulator.Down{}); err != nil {
				c.t.Fatal(err)
			}
			stopTable(c)
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 6, "a", "b", "c")
				defer c.close()
				c.waitEvenShares(6, "a", "b", "c")
				time.Sleep(20 * time.Second)
				tt.before(c)
				gap := 0
				for range 300 {
					time.Sleep(100 * time.Millisecond)
					if c.held()["a"] == 0 {
						gap++
					}
				}
				is.Equal(gap == 0, tt.holds)
				c.table.Clear()
				for _, n := range c.all() {
					n.networkFault.Restore()
					n.isolate(false)
				}
				c.waitUntil(3*(lease+guard), "all engines held after the outage", c.allHeld(6))
			})
		})
	}
}

func stopTable(c *cluster) {
	if err := c.table.Inject(emulator.Down{}); err != nil {
		c.t.Fatal(err)
	}
}
