package emulator_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/connector"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/storer"
)

const document = `{
	"seed": 1, "control": "127.0.0.1:0",
	"platform": {"address": "127.0.0.1:0", "store_load_ms": 1},
	"engines": [{"name": "engine-1", "address": "127.0.0.1:0", "base": "base", "slots": 2, "step_ms": 1, "prefill_ms": 1, "checks_fencing": true}],
	"services": [{"name": "ledger-1", "address": "127.0.0.1:0"}]
}`

// Guards against settings that are silently ignored or replaced.
func TestParseDocument(t *testing.T) {
	cases := []struct {
		name    string
		old     string
		new     string
		setting string
		message string
	}{
		{"valid", "", "", "", ""},
		{"unknown setting", `"slots"`, `"slotz"`, "", `unknown field "slotz"`},
		{"wrong type", `"slots": 2`, `"slots": "2"`, "engines.slots", "setting engines.slots is a string, allowed is a value of type int"},
		{"negative", `"slots": 2`, `"slots": -2`, "engines[0].slots", "setting engines[0].slots is -2, allowed is 0 to 1e+06"},
		{"share", `"slots": 2`, `"cache_event_gaps": 1.5`, "engines[0].cache_event_gaps", "is 1.5, allowed is 0 to 1"},
		{"port", `"127.0.0.1:0",` + "\n", `"127.0.0.1:99999",` + "\n", "control", `is "127.0.0.1:99999", allowed is host:port`},
		{"name twice", "ledger-1", "engine-1", "services[0].name", "a name other than that of engines[0].name"},
		{"reserved name", "ledger-1", "table", "services[0].name", "a name other than that of the table"},
		{"text after", "]\n}", "]\n} x", "", "text follows the document"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := emulator.ParseDocument([]byte(strings.Replace(document, c.old, c.new, 1)))
			if c.message == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.message))
			var setting *emulator.SettingError
			is.Equal(errors.As(err, &setting), c.setting != "")
			if setting != nil {
				is.Equal(setting.Setting(), c.setting)
			}
		})
	}
}

func start(t *testing.T) *emulator.Server {
	t.Helper()
	is := is.New(t)
	doc, err := emulator.ParseDocument([]byte(document))
	is.NoErr(err)
	r, err := emulator.Start(t.Context(), doc)
	is.NoErr(err)
	t.Cleanup(r.Close)
	return r
}

// control sends a request to the control interface and decodes the response.
func control(t *testing.T, r *emulator.Server, method, path, body string, response any) int {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+r.ControlAddress()+path, strings.NewReader(body))
	is.NoErr(err)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	if response != nil {
		is.NoErr(json.NewDecoder(bytes.NewReader(content)).Decode(response))
	}
	return resp.StatusCode
}

// Guards against listeners or control requests that do not reach their fake.
func TestStart(t *testing.T) {
	is := is.New(t)
	r := start(t)
	engine := closeAtEnd(t, connector.NewHTTPEngine(r.Address("engine-1")))
	service := closeAtEnd(t, connector.NewHTTPService(r.Address("ledger-1")))
	table := closeAtEnd(t, storer.NewHTTPTable(r.PlatformAddress()))
	hosts := closeAtEnd(t, storer.NewHTTPHosts(r.PlatformAddress()))

	load(t, engine, 1, reading)
	job := connector.NewJob("a", "r", reading, "p", 3)
	s, err := engine.Generate(t.Context(), job)
	is.NoErr(err)
	text, err := readAll(t.Context(), job, s)
	is.NoErr(err)
	is.Equal(text, tokens(job))
	is.NoErr(s.Close())

	var failed emulator.ControlErrorDocument
	op := connector.NewOperation("a", "op-1", http.MethodPost, "/postings", nil)
	is.Equal(control(t, r, http.MethodPost, "/control/faults", `{"target":"ledger-1","kind":"answer_lost","count":1}`, nil), http.StatusNoContent)
	_, err = service.Call(t.Context(), op)
	is.True(errors.Is(err, connector.ErrBroken))
	var executions emulator.ExecutionsDocument
	is.Equal(control(t, r, http.MethodGet, "/control/executions", "", &executions), http.StatusOK)
	is.Equal(executions.Operations, map[string]int{"op-1": 1})

	is.Equal(control(t, r, http.MethodPost, "/control/faults", `{"target":"table","kind":"down"}`, nil), http.StatusNoContent)
	is.True(errors.Is(table.Commit(t.Context(), storer.NewPut("a", nil, 0)), storer.ErrUnavailable))
	is.Equal(control(t, r, http.MethodDelete, "/control/faults?target=table", "", nil), http.StatusNoContent)
	is.NoErr(table.Commit(t.Context(), storer.NewPut("a", nil, 0)))

	is.Equal(control(t, r, http.MethodPut, "/control/hosts/h1", `{"state":"leaving"}`, nil), http.StatusNoContent)
	list, err := hosts.List(t.Context())
	is.NoErr(err)
	is.Equal(list, []storer.Host{storer.NewHost("h1", true)})

	var stats emulator.StatsDocument
	is.Equal(control(t, r, http.MethodGet, "/control/stats", "", &stats), http.StatusOK)
	is.Equal(stats.Engines[0].Tokens, 3)
	is.Equal(stats.Engines[0].Resident, []string{"reading@v1"})
	is.Equal(stats.Weights.Loads, 1)
	is.Equal(stats.Table.Commits, 1)

	for body, message := range map[string]string{
		`{"target":"nobody","kind":"down"}`:                      "setting target is \"nobody\", allowed is one of table,",
		`{"target":"table","kind":"up"}`:                         "setting kind is \"up\", allowed is down, slow",
		`{"target":"table","kind":"crash_on","marker":"x"}`:      "table does not support the fault",
		`{"target":"engine-1","kind":"crash_on"}`:                "setting marker is \"\"",
		`{"target":"weights","kind":"load_fails"}`:               "a positive count or share",
		`{"target":"table","kind":"answer_lost","share":2}`:      "setting share is 2, allowed is 0 to 1",
		`{"target":"table","kind":"down","extra":1}`:             `unknown field "extra"`,
		`{"target":"table","kind":"slow","by_ms":-1}`:            "setting by_ms is -1",
		`{"target":"engine-1","kind":"crash_on","marker":"x"} y`: "text follows the document",
	} {
		status := control(t, r, http.MethodPost, "/control/faults", body, &failed)
		is.True(status == http.StatusBadRequest || status == http.StatusNotFound)
		is.True(strings.Contains(failed.Message, message)) // the message names the setting
	}
}

// Guards against a Close that waits for clients, and against one after which a
// fake still responds.
func TestClose(t *testing.T) {
	is := is.New(t)
	r := start(t)
	engine := closeAtEnd(t, connector.NewHTTPEngine(r.Address("engine-1")))
	load(t, engine, 1, reading)
	s, err := engine.Generate(t.Context(), connector.NewJob("a", "r", reading, "p", 1<<30))
	is.NoErr(err)
	_, err = s.Next(t.Context())
	is.NoErr(err)
	r.Close()
	is.True(errors.Is(drain(t, s), connector.ErrBroken))
	_, err = engine.Report(t.Context())
	is.True(errors.Is(err, connector.ErrRefused))
}

// Guards against a served deployment whose bundle has addresses other than
// those of its endpoints.
func TestServeDeployment(t *testing.T) {
	is := is.New(t)
	d, err := emulator.NewDeployment(emulator.Clearing, emulator.WithAdapters(10),
		emulator.WithEngines(fastOptions()...), emulator.WithPlatform(fastOptions(emulator.WithLoadRate(0))...))
	is.NoErr(err)
	r, err := d.Serve(t.Context())
	is.NoErr(err)
	t.Cleanup(r.Close)
	for _, e := range d.Bundle("1", r.Address).Endpoints {
		if e.Kind == "engine" {
			load(t, closeAtEnd(t, connector.NewHTTPEngine(e.Address)), 1, d.Models()[0])
		}
	}
	is.Equal(d.Weights().Loads(), 9)
}
