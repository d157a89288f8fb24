package replicator_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/enroller"
	"github.com/dragonflyford/dragonflyford/logger"
	"github.com/dragonflyford/dragonflyford/replicator"
	"github.com/dragonflyford/dragonflyford/storer"
)

// Guards against a host that starts and asks all others at a time which records they have
// sent to it, and against one that sends the record of a stream to a number of hosts that
// grows with the deployment.
func TestFewHostsAreAsked(t *testing.T) {
	for _, n := range []int{30, 300, 3000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := &cluster{
					table: &table{rows: make(map[string]storer.Change)}, members: make(map[int]*enroller.Enroller),
					hosts: make(map[string]*replicator.Replicator), down: make(map[string]bool),
				}
				ctx, cancel := context.WithCancel(t.Context())
				for i := 1; i < n; i++ { // rows of hosts that do not answer
					name := fmt.Sprintf("10.0.%d.%d", i/250+1, i%250)
					e := enroller.New(enroller.NewLocalHost(name, "", name+":9000", "z", "r", 0),
						enroller.NewTiming(time.Hour, time.Hour, time.Hour, time.Hour, lostAfter), c.table, logger.Nop())
					go e.Run(ctx) // writes the row
					c.down[name+":9000"] = true
				}
				synctest.Wait()
				cancel()
				h := c.start(t, 0, coverage{started: time.Now(), behind: true})
				is.Equal(len(c.members[0].View().Serving()), n)
				before := c.count()
				_, ok := h.CatchUp(t.Context())
				is.True(!ok)
				is.True(c.count()-before <= 32)
				before = c.count()
				<-h.Replicate(replicator.NewRecord("s", "first", "v1"))
				synctest.Wait()
				is.True(c.count()-before <= 4)
				h.Close()
			})
		})
	}
}
