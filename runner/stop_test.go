package runner_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/configurer"
	"github.com/dragonflyford/dragonflyford/emulator"
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

// Guards against a planned stop that lasts as long as an outage of the table,
// because the node tries to end its lease until the write succeeds.
func TestStopWithoutTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, err := configurer.ParseNode([]byte(settings))
		is.NoErr(err)
		cut := emulator.NewCut()
		node := runner.New(s, runner.NewEnvironment(
			cut.Table(emulator.NewTable()), cut.Objects(emulator.NewObjects()), cut.Hosts(emulator.NewHostList()),
			runner.HTTPEndpoints{}, runner.RPCNetwork{}))
		cut.Refuse()
		ctx := context.Background()
		is.NoErr(node.Drain(ctx))
		err = node.Close(ctx)
		is.True(errors.Is(err, storer.ErrUnavailable)) // the lease could not be ended
	})
}
