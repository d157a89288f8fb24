package scheduler_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/scheduler"
	"github.com/dragonflyford/dragonflyford/viewer"
)

// Guards against losing the jobs of a crash: streams break at once and are closed
// long before the engine's report shows another instance.
func TestCrashAfterStreamsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engine := emulator.NewEngine(emulator.NewWeightStore(), emulator.WithSlots(2), emulator.WithBatch(4))
		defer engine.Close()
		sink := &crashes{}
		var loadWaits []time.Duration
		asserts := asserter.New(func(v asserter.Violation) { t.Error(v) })
		s := scheduler.New("engine-1", "node-1", 2, 4, engine, &lease{}, unlimitedBudget{}, asserts, func(*viewer.View) {},
			scheduler.WithCrashSink(sink), scheduler.WithLoadWaits(func(_ string, d time.Duration) { loadWaits = append(loadWaits, d) }))
		defer s.Close()
		time.Sleep(time.Second)

		long := connector.NewJob("a", "a", model("x"), "prompt", 100)
		stream, err := s.Run(context.Background(), long)
		is.NoErr(err)
		is.Equal(loadWaits, []time.Duration{250 * time.Millisecond}) // one load from an idle weight store
		is.NoErr(engine.Inject(emulator.NewRestartCold(2 * time.Second)))
		_, err = stream.Next(context.Background())
		is.True(errors.Is(err, connector.ErrBroken))
		is.NoErr(stream.Close())
		is.Equal(len(sink.requests()), 0)
		time.Sleep(5 * time.Second)
		is.Equal(sink.requests(), []string{"a"})
	})
}
