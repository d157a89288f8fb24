package allotter_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflyford/dragonflyford/router"
)

const (
	hostCount = 62
	rate      = 70_000.0 // tokens a second
	burst     = 70_000.0
)

func workspace(name string, rate, burst float64) *router.Workspace {
	return router.NewWorkspace(name, []string{"key-" + name}, 0, router.NewQuota(router.NewTokens(500), rate, burst))
}

// constant returns a load that does not change.
func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Guards against a workspace that exceeds its quota when its load rises at once, and against
// refusals of workspaces that stay under theirs beside it.
func TestSuddenLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var list []*router.Workspace
		for i := range 16 {
			list = append(list, workspace(fmt.Sprint("w", i), rate, burst))
		}
		c := newCluster(t, hostCount, list...)
		settle()
		began := time.Now()
		const duration = 20 * time.Second
		go c.load("w0", duration, func(at time.Duration) float64 {
			if at < 5*time.Second {
				return rate / 2
			}
			return 12 * rate / 2
		}, nil)
		go c.load("w1", duration, constant(0.9*rate), nil)
		for i := 2; i < 16; i++ {
			go c.load(fmt.Sprint("w", i), duration, constant(rate/2), nil)
		}
		time.Sleep(duration + patience)
		for i := range 16 {
			name := fmt.Sprint("w", i)
			c.checkBound(name, rate, burst, began)
			if i > 0 && len(c.lost[name]) > 0 {
				t.Errorf("workspace %s: %d calls lost", name, len(c.lost[name]))
			}
		}
	})
}

// inRegion returns whether a host is in a region.
func inRegion(region int) func(*host) bool { return func(h *host) bool { return h.region == region } }

// names returns the names of the first hosts that are wanted.
func (c *cluster) names(wanted func(*host) bool) []string {
	var list []string
	for name, h := range c.running() {
		if wanted(h) {
			list = append(list, name)
		}
	}
	return list
}

// owner returns the name of the quota owner of a workspace.
func (c *cluster) owner(workspace string) string {
	return c.anyHost(nil).members.View().Ranking(workspace).Hosts()[0].Name()
}

func everyone(*host) bool { return true }

var failures = []struct {
	name  string
	event func(c *cluster)
}{
	{"the quota owner ends", func(c *cluster) { c.kill(c.owner("w")) }},
	{"the quota owner is cut off from hosts and store", func(c *cluster) { c.cut(1, true, c.owner("w")) }},
	{"the quota owner is cut off from hosts only", func(c *cluster) { c.cut(1, false, c.owner("w")) }},
	{"the region of the quota owner is cut off", func(c *cluster) {
		region := c.hosts[c.owner("w")].region
		c.cut(1, true, c.names(inRegion(region))...)
	}},
	{"the region of the quota owner is cut off from hosts only", func(c *cluster) {
		region := c.hosts[c.owner("w")].region
		c.cut(1, false, c.names(inRegion(region))...)
	}},
	{"another region is cut off", func(c *cluster) {
		region := (c.hosts[c.owner("w")].region + 1) % regionCount
		c.cut(1, true, c.names(inRegion(region))...)
	}},
	{"the quota owner freezes for three seconds", func(c *cluster) {
		owner := c.owner("w")
		c.cut(1, true, owner)
		time.Sleep(3 * time.Second)
		c.cut(0, false, owner)
	}},
	{"the quota owner freezes for a second, again and again", func(c *cluster) {
		owner := c.owner("w")
		for range 4 {
			c.cut(1, true, owner)
			time.Sleep(time.Second)
			c.cut(0, false, owner)
			time.Sleep(time.Second)
		}
	}},
	{"all hosts are cut off from each other", func(c *cluster) {
		for i, name := range c.names(everyone) {
			c.cut(i, true, name)
		}
	}},
	{"hosts join", func(c *cluster) {
		for i := range 20 {
			c.start(100 + i)
			time.Sleep(100 * time.Millisecond)
		}
	}},
	{"all hosts restart at once", func(c *cluster) {
		for _, name := range c.names(everyone) {
			c.kill(name)
		}
		time.Sleep(time.Second)
		for i := range hostCount {
			c.start(i)
		}
	}},
}

// Guards against a workspace that exceeds its quota, at 12 times its load, while hosts fail or
// do not reach each other, and while a new quota owner takes over.
func TestBoundDuringFailures(t *testing.T) {
	const quarter = 8 * time.Second
	for _, tt := range failures {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, hostCount, workspace("w", rate, burst))
				settle()
				began := time.Now()
				go c.load("w", 4*quarter, constant(12*rate/2), nil)
				time.Sleep(quarter / 4)
				tt.event(c)
				time.Sleep(4*quarter - time.Since(began))
				c.checkBound("w", rate, burst, began)
				c.timeline("w", began)
			})
		})
	}
}

// timeline logs the tokens of each second.
func (c *cluster) timeline(workspace string, began time.Time) {
	sums, lost := make([]float64, 40), make([]int, 40)
	for _, r := range c.ran[workspace] {
		if i := int(r.at.Sub(began) / time.Second); i >= 0 && i < len(sums) {
			sums[i] += r.cost / rate * 100
		}
	}
	for _, at := range c.lost[workspace] {
		if i := int(at.Sub(began) / time.Second); i >= 0 && i < len(lost) {
			lost[i]++
		}
	}
	c.t.Logf("%.0f", sums)
	c.t.Log(lost)
}

// Guards against refusals of workspaces under their quota while hosts fail.
func TestUnderQuotaDuringFailures(t *testing.T) {
	for _, tt := range failures {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, hostCount, workspace("w", rate, burst), workspace("half", rate, burst))
				settle()
				began := time.Now()
				go c.load("w", 30*time.Second, constant(.9*rate), nil)
				go c.load("half", 30*time.Second, constant(.5*rate), nil)
				time.Sleep(4 * time.Second)
				tt.event(c)
				time.Sleep(32*time.Second - time.Since(began))
				c.checkBound("w", rate, burst, began)
				c.timeline("w", began)
				c.checkBound("half", rate, burst, began)
				c.timeline("half", began)
			})
		})
	}
}
