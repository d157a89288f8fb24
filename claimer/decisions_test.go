package claimer_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/claimer"
	"github.com/dragonflyford/dragonflyford/recorder"
)

// Guards against calls that wait or are refused without a recorded decision that
// explains it to the operator.
func TestDecisionsAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		defer c.close()
		// An attempt releases its claim when its context ends.
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		r := recorder.New(100)
		acquire := func(n *claimer.Claimer, id string, k call) string {
			req, target := request(t, k)
			traced, _ := recorder.StartTrail(ctx, r, id)
			_, _ = n.Acquire(traced, req, target)
			var decisions []string
			for _, d := range r.Explain(id) {
				is.Equal(d.Stage(), recorder.StageClaimer)
				decisions = append(decisions, d.Decision())
			}
			return strings.Join(decisions, " ")
		}
		a, b := c.node("a"), c.node("b")
		is.Equal(acquire(a, "first", call{key: "k", timeout: 5 * time.Second}), "claimed")
		is.Equal(acquire(b, "second", call{key: "k", attempt: 2, timeout: time.Second}), "waiting refused")
		_, err := c.post(a, call{key: "other", timeout: time.Second})
		is.NoErr(err)
		is.Equal(acquire(b, "third", call{key: "other", attempt: 2, timeout: time.Second}), "replayed")
	})
}
