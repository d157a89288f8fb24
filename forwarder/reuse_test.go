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

// Guards against a connection that goes back to the pool while the transport
// still ends its last call: the end of that call's context then closes it under
// the next call. Without the
// wait in release 40 of 120,000 calls failed here under the race detector.
func TestReuseUnderLoad(t *testing.T) {
	h := &node{run: func(ctx context.Context, engine string, job connector.Job) (connector.Stream, error) {
		return newTokens(1, io.EOF).start(ctx, engine, job)
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

// runOnce asks for views and runs a job, each under a context that ends at once.
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
