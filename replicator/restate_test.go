package replicator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/storer"
)

// restore restores the table of the hosts from a copy without the rows of some of them, and
// passes its rows to all.
func (c *cluster) restore(lost ...int) {
	c.table.mu.Lock()
	c.table.version = storer.NewVersion(c.table.version.Era()+1, c.table.version.Number())
	for _, h := range lost {
		delete(c.table.rows, rowKey(h))
	}
	c.table.mu.Unlock()
	for _, e := range c.members {
		e.Restored()
	}
	c.publish()
}

// Guards against a host that takes the records of streams for complete while another host may
// hold some: one whose row a restore of the store has lost, also if no other row is left, and
// one that does not reach the store but answers; and against a lone host that never does.
func TestRestatementsAfterLostRows(t *testing.T) {
	tests := []struct {
		name  string
		hosts int
		lost  []int // hosts without a row in the copy
		then  func(t *testing.T, c *cluster)
		says  []bool // whether the first host gets restatements: at once, then, and a minute later
	}{
		{"no row lost", 3, nil, func(*testing.T, *cluster) {}, []bool{true, true, true}},
		{"one row lost, renewed", 3, []int{1}, func(t *testing.T, c *cluster) { c.renew(t, 1) }, []bool{false, true, true}},
		{"one row lost, started again", 3, []int{1}, func(t *testing.T, c *cluster) {
			run(t, c.start(t, 1, coverage{}))
			c.renew(t, 1)
		}, []bool{false, true, true}},
		{"one row lost, terminated", 3, []int{1}, func(_ *testing.T, c *cluster) { c.setDown(true, 1) }, []bool{false, false, true}},
		{"one row lost, cut off from the store", 3, []int{1}, func(*testing.T, *cluster) {}, []bool{false, false, false}},
		{"all rows lost, one renewed", 3, []int{1, 2}, func(t *testing.T, c *cluster) { c.renew(t, 1) }, []bool{false, false, false}},
		{"all rows lost, renewed", 3, []int{1, 2}, func(t *testing.T, c *cluster) {
			c.renew(t, 1)
			c.renew(t, 2)
		}, []bool{false, true, true}},
		{"lone host", 1, nil, func(*testing.T, *cluster) {}, []bool{false, false, true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c, hosts := newCluster(t, tt.hosts)
				for _, h := range hosts {
					run(t, h)
				}
				time.Sleep(time.Second)
				says := func() bool {
					time.Sleep(time.Second) // the hosts look at their views
					_, ok := hosts[0].Restatements(t.Context())
					return ok
				}
				c.restore(tt.lost...)
				got := []bool{says()}
				tt.then(t, c)
				got = append(got, says())
				for range 12 {
					time.Sleep(5 * time.Second)
					c.publish()
				}
				is.Equal(append(got, says()), tt.says)
			})
		})
	}
}

// Guards against a host that starts and takes the records of streams for complete because it
// has not read a row of another host yet.
func TestRestatementsOfHostThatStartsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, hosts := newCluster(t, 1)
		run(t, hosts[0])
		time.Sleep(time.Second)
		_, ok := hosts[0].Restatements(t.Context())
		is.True(!ok)
		run(t, c.start(t, 1, coverage{}))
		time.Sleep(time.Second)
		_, ok = hosts[0].Restatements(t.Context())
		is.True(ok)
	})
}
