package claimer_test

import (
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/claimer"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/emulator"
)

// BenchmarkPosting measures the cost of the three steps of one posting on a node,
// without the waits between commits.
func BenchmarkPosting(b *testing.B) {
	c := claimer.New(emulator.NewTable(), "a", asserter.New(nil),
		claimer.WithCommitTiming(100*time.Microsecond, time.Nanosecond), claimer.WithoutSweeper())
	defer c.Close()
	var n atomic.Int64
	reply := connector.NewReply("", 200, "application/json", []byte(`{"id":"0123456789"}`))
	b.ReportAllocs()
	b.SetParallelism(32)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r, target := request(b, call{key: strconv.FormatInt(n.Add(1), 10), timeout: time.Minute})
			claim, err := c.Acquire(b.Context(), r, target)
			if err != nil {
				b.Error(err)
				return
			}
			held, ok := claim.(*claimer.Held)
			if !ok {
				b.Errorf("claim is %T", claim)
				return
			}
			if err := held.MarkSent(b.Context()); err != nil {
				b.Error(err)
				return
			}
			if err := held.Finish(b.Context(), reply); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64(c.Rows())/float64(c.Commits()), "rows/commit")
}
