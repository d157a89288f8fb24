package deployer_test

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/deployer"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/responder"
)

// Guards against parts of a node that do not work together: six nodes in three
// regions apply a bundle, divide the engines among themselves and answer
// requests.
func TestFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		d, err := emulator.NewDeployment(emulator.Clearing, emulator.WithAdapters(50))
		is.NoErr(err)
		asserts := asserter.New(func(v asserter.Violation) { t.Error(v) })
		f, err := deployer.New(ctx, d, 1, deployer.WithAsserter(asserts))
		is.NoErr(err)
		began := time.Now()
		is.NoErr(f.Start(ctx))
		t.Logf("in force with all engines owned after %v", time.Since(began))

		ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
		defer cancel()
		for _, h := range f.Hosts() {
			call := receiver.NewGeneration("bank-00001@v1", "cheque", 5, 0, receiver.WithCaller("c"))
			answer, err := h.Node().Pipeline().Apply(ctx, call)
			is.NoErr(err)
			tokens, ok := answer.Body().(*responder.TokenBody)
			is.True(ok)
			for i := 0; ; i++ {
				chunk, err := tokens.Stream().Next(ctx)
				if err == io.EOF {
					is.Equal(i, 5)
					break
				}
				is.NoErr(err)
				is.Equal(chunk.Index(), i)
			}
			is.NoErr(tokens.Stream().Close())
		}
		cancel()
		is.NoErr(f.Close(context.Background()))
	})
}

// Guards against a deployment that cannot be closed after one of its nodes
// failed to listen because its address was in use.
func TestAddressTaken(t *testing.T) {
	is := is.New(t)
	d, err := emulator.NewDeployment(emulator.Clearing, emulator.WithAdapters(5))
	is.NoErr(err)
	f, err := deployer.New(t.Context(), d, 1, deployer.WithSockets())
	is.NoErr(err)
	taken, err := net.Listen("tcp", f.Hosts()[1].Address())
	is.NoErr(err)
	defer func() { _ = taken.Close() }()
	is.True(f.Start(t.Context()) != nil)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_ = f.Close(ctx) // the first node has no peer to hand its engines to
}
