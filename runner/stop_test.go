package runner_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/configurer"
	"github.com/dragonflyford/dragonflyford/deployer"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/responder"
	"github.com/dragonflyford/dragonflyford/runner"
	"github.com/dragonflyford/dragonflyford/storer"
)

const settings = `{
	"node": {"name": "lj-entry-1", "region": "lj", "data_centre": "lj1"},
	"listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2"},
	"platform": {"table": "http://127.0.0.1:3", "objects": "http://127.0.0.1:3", "hosts": "http://127.0.0.1:3"},
	"bundle": {"keys": [
		{"name": "ana", "public_key": "11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo="},
		{"name": "bor", "public_key": "PUAXw+hDiVqStwqnTRt+vJyYLM8uxJaMwM1V8Sr0Zgw="}
	]}
}`

// Guards against a planned stop that blocks until the end of an outage of the
// table, because the node retries the write that ends its lease.
func TestStopWithoutTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, err := configurer.ParseNode([]byte(settings))
		is.NoErr(err)
		networkFault := emulator.NewNetworkFault()
		node := runner.New(s, runner.NewEnvironment(
			networkFault.Table(emulator.NewTable()), networkFault.Objects(emulator.NewObjects()), networkFault.Hosts(emulator.NewHostList()),
			runner.HTTPEndpoints{}, runner.RPCNetwork{}))
		networkFault.Refuse()
		ctx := context.Background()
		is.NoErr(node.Drain(ctx))
		err = node.Close(ctx)
		is.True(errors.Is(err, storer.ErrUnavailable)) // the lease could not be ended
	})
}

// Guards against a planned stop of the last node of a data centre that fails and
// interrupts its requests because no other node can take over the engines.
func TestStopOfLastMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const tokens = 100
		d, err := emulator.NewDeployment(emulator.Clearing, emulator.WithAdapters(20))
		is.NoErr(err)
		ctx := context.Background()
		fleet, err := deployer.New(ctx, d, 1)
		is.NoErr(err)
		is.NoErr(fleet.Start(ctx))
		first, last := fleet.Hosts()[0], fleet.Hosts()[1]
		is.NoErr(first.Stop(ctx))
		time.Sleep(10 * time.Second) // until the last node has detected the stop of the first one
		is.True(len(last.Node().Owned()) > 0)

		call := receiver.NewGeneration("bank-00001@v1", "cheque", tokens, 0, receiver.WithCaller("c"))
		callCtx, cancelCall := context.WithCancel(ctx) // a call occupies its admission slot until its context ends
		defer cancelCall()
		answer, err := last.Node().Pipeline().Apply(callCtx, call)
		is.NoErr(err)
		body, ok := answer.Body().(*responder.TokenBody)
		is.True(ok)
		stopped := make(chan error, 1)
		go func() { stopped <- last.Stop(ctx) }()
		for i := range tokens {
			chunk, err := body.Stream().Next(callCtx)
			is.NoErr(err)
			is.Equal(chunk.Index(), i)
		}
		_, err = body.Stream().Next(callCtx)
		is.Equal(err, io.EOF)
		is.NoErr(body.Stream().Close())
		cancelCall()
		is.NoErr(<-stopped)
		is.NoErr(fleet.Close(ctx))
	})
}

// Guards against a planned stop that interrupts a request without a violation: a
// front end that still passes requests on after the drain must violate the
// invariant no-cut-on-drain.
func TestCutAfterDrainIsDetected(t *testing.T) {
	for _, late := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d, err := emulator.NewDeployment(emulator.Clearing, emulator.WithAdapters(20))
			is.NoErr(err)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			asserts := asserter.New(nil)
			fleet, err := deployer.New(ctx, d, 1, deployer.WithAsserter(asserts))
			is.NoErr(err)
			is.NoErr(fleet.Start(ctx))
			node := fleet.Hosts()[0].Node()
			is.NoErr(node.Drain(ctx))
			var want int64
			if late {
				want = 1
				_, err = node.Pipeline().Apply(ctx, receiver.NewGeneration("bank-00001@v1", "cheque", 100, 0, receiver.WithCaller("c")))
				is.NoErr(err)
			}
			is.NoErr(node.Close(ctx))
			is.Equal(asserts.Checks(asserter.NoCutOnDrain), int64(1))
			is.Equal(asserts.Violations(asserter.NoCutOnDrain), want)
			is.Equal(asserts.Total(), want)
			cancel()
			is.NoErr(fleet.Close(context.Background()))
		})
	}
}
