package emulator_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/emulator"
)

// Guards against a deployment whose size differs from that of the users, and
// against a bundle that does not match its fakes.
func TestDeployment(t *testing.T) {
	cases := []struct {
		name     string
		engines  int
		services int
		service  string
		method   string
		path     string
	}{
		{emulator.Clearing, 9, 3, "ledger", "POST", "/postings"},
		{emulator.Tender, 12, 3, "orders", "POST", "/orders"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d, err := emulator.NewDeployment(c.name, emulator.WithEngines(emulator.WithSlots(5)))
			is.NoErr(err)
			t.Cleanup(d.Close)
			text, err := json.Marshal(d.Bundle("1", nil))
			is.NoErr(err)
			doc, err := bundler.Parse(text)
			is.NoErr(err)
			snapshot := bundler.NewSnapshot(1, doc)
			is.Equal(snapshot.AdapterCount(), 3000)
			is.Equal(len(snapshot.Engines(doc.Bases[0].Name)), c.engines)
			is.Equal(snapshot.Engines(doc.Bases[0].Name)[0].Slots(), 5)
			svc, ok := snapshot.Service(c.service)
			is.True(ok)
			is.Equal(len(svc.Endpoints()), c.services)
			call, ok := svc.Call(c.method, c.path)
			is.True(ok)
			is.True(!call.Idempotent())
			for _, e := range d.Endpoints() {
				described, ok := snapshot.Endpoint(e.Name())
				is.True(ok)
				is.Equal(described.DataCentre(), e.DataCentre())
			}
		})
	}
	_, err := emulator.NewDeployment("other")
	is.New(t).True(err != nil)
}
