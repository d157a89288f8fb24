package dispatcher_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/admitter"
	"github.com/dragonflyford/dragonflyford/asserter"
	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/claimer"
	"github.com/dragonflyford/dragonflyford/classifier"
	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/dispatcher"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/placer"
	"github.com/dragonflyford/dragonflyford/publisher"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/resolver"
	"github.com/dragonflyford/dragonflyford/runner"
	"github.com/dragonflyford/dragonflyford/verifier"
	"github.com/dragonflyford/dragonflyford/viewer"
)

// serviceDirectory is a directory that contains a single service.
type serviceDirectory struct{ service connector.Service }

func (serviceDirectory) Executor(string, string) (dispatcher.Executor, error) {
	return nil, connector.ErrRefused
}

func (d serviceDirectory) Service(string) (connector.Service, error) { return d.service, nil }

// crossedService returns the reply of the previous call to each call.
type crossedService struct {
	connector.Service
	previous connector.Reply
}

func (c *crossedService) Call(ctx context.Context, op connector.Operation) (connector.Reply, error) {
	reply, err := c.Service.Call(ctx, op)
	crossed := c.previous
	c.previous = reply
	return crossed, err
}

// Guards against the reply of another posting being stored in the claim and then
// replayed to every repeat of the key. Found by the randomised trial with seed 3.
func TestCrossedReplyIsNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, err := emulator.NewDeployment(emulator.Clearing, emulator.WithAdapters(1))
		is.NoErr(err)
		defer d.Close()
		bundles := publisher.New()
		is.True(bundles.Publish(bundler.NewSnapshot(1, d.Bundle("1", nil))))
		asserts := asserter.New(func(v asserter.Violation) { t.Error(v) })
		claims := claimer.New(emulator.NewTable(), "node-1", asserts)
		defer claims.Close()
		dispatch := dispatcher.New(serviceDirectory{service: &crossedService{Service: emulator.NewService()}})
		defer dispatch.Close()
		pipeline := runner.NewStages(
			receiver.New(receiver.NewLimits(10, 100, time.Minute, time.Minute)), resolver.New(bundles), admitter.New(10),
			claims, placer.New(viewer.New(), "lj"), dispatch, verifier.New(asserts), 3).Join()

		for _, key := range []string{"first", "second", "second"} {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			call := receiver.NewServiceCall("ledger", http.MethodPost, "/postings", nil, key, 1)
			_, err := pipeline.Apply(ctx, call)
			cancel()
			var fault classifier.Fault
			is.True(errors.As(err, &fault))
			is.Equal(fault.Outcome(), classifier.Unknown{})
		}
	})
}
