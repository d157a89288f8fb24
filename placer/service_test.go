package placer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/admitter"
	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/claimer"
	"github.com/dragonflyford/dragonflyford/placer"
	"github.com/dragonflyford/dragonflyford/publisher"
	"github.com/dragonflyford/dragonflyford/receiver"
	"github.com/dragonflyford/dragonflyford/recorder"
	"github.com/dragonflyford/dragonflyford/resolver"
	"github.com/dragonflyford/dragonflyford/viewer"
)

// Guards against calls that accumulate on one instance, leave the region without
// need, or go to an instance that is draining or excluded after a failed attempt.
func TestServices(t *testing.T) {
	is := is.New(t)
	doc := &bundler.Document{Services: []bundler.ServiceDocument{{
		Name: "ledger", Calls: []bundler.CallDocument{{Method: "GET", Path: "/balance", Idempotent: true}},
	}}}
	for i, region := range []string{"lj", "mb", "lj", "lj"} {
		doc.Endpoints = append(doc.Endpoints, bundler.EndpointDocument{
			Name: fmt.Sprintf("ledger-%d", i), Kind: bundler.KindService, Service: "ledger", Region: region,
		})
	}
	bundles := publisher.New()
	bundles.Publish(bundler.NewSnapshot(1, doc))
	request, err := receiver.New(receiver.NewLimits(1, 1, time.Minute, time.Minute)).
		Apply(t.Context(), receiver.NewServiceCall("ledger", "GET", "/balance", nil, "", 1))
	is.NoErr(err)
	resolved, err := resolver.New(bundles).Apply(t.Context(), request)
	is.NoErr(err)
	claimed := &claimer.Claimed{Admitted: &admitter.Admitted{Resolved: resolved}}

	p := placer.New(viewer.New(), "lj", placer.WithDrainChecker(drainingEndpoint("ledger-3")))
	decisions := recorder.New(100)
	ctx, _ := recorder.StartTrail(t.Context(), decisions, "r-1")
	place := func(excluded ...string) (*placer.Placed, string) {
		placed, err := p.Apply(ctx, placer.NewAttempt(claimed, "1", 0, excluded))
		if err != nil {
			return nil, ""
		}
		return placed, placed.Choice().(*placer.OnService).Endpoint().Name()
	}
	first, a := place()
	_, b := place()
	is.Equal(a, "ledger-0")
	is.Equal(b, "ledger-2") // the other local one has a call
	first.CallDone()
	_, again := place()
	is.Equal(again, "ledger-0")
	_, remote := place("ledger-0", "ledger-2")
	is.Equal(remote, "ledger-1")
	_, none := place("ledger-0", "ledger-1", "ledger-2")
	is.Equal(none, "")

	var recorded []string
	for _, d := range decisions.Explain("r-1") {
		is.Equal(d.Stage(), recorder.StagePlacer)
		recorded = append(recorded, strings.TrimPrefix(d.Decision(), "service endpoint "))
	}
	is.Equal(recorded, []string{a, b, again, remote, "none"})
}
