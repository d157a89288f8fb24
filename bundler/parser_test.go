package bundler_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/bundler"
)

func example(t testing.TB) string {
	t.Helper()
	text, err := os.ReadFile("../docs/bundle.example.json")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Guards against a documented example that the parser does not accept.
func TestParseExample(t *testing.T) {
	is := is.New(t)
	doc, err := bundler.Parse([]byte(example(t)))
	is.NoErr(err)
	is.Equal(len(doc.Adapters), 2)
	is.Equal(doc.Limits.StoreLoadsInFlight, 8)
}

// unmark removes the « marks from text and returns the line and column of each.
func unmark(text string) (string, []string) {
	var positions []string
	pieces := strings.Split(text, "«")
	before := ""
	for _, piece := range pieces[:len(pieces)-1] {
		before += piece
		line := strings.Count(before, "\n") + 1
		column := len(before) - strings.LastIndex(before, "\n")
		positions = append(positions, fmt.Sprintf("%d:%d: ", line, column))
	}
	return before + pieces[len(pieces)-1], positions
}

// Guards against accepting an invalid bundle, and against reporting a fault
// without its position, value or rule.
func TestParseFaults(t *testing.T) {
	cases := []struct {
		name     string
		old, new string   // « marks the start of a fault
		faults   []string // prefixes of the faults, in order, without position
	}{
		{"unknown field", `"format": 1,`, `"format": 1, «"colour": 2,`, []string{`colour: value "colour" is not allowed; must be one of the fields adapters,`}},
		{"field given twice", `"format": 1,`, `"format": 1, «"format": 1,`, []string{`format: value "format" is not allowed; must be given once`}},
		{"missing field", "{\n  \"format\": 1,", `«{`, []string{`format: value (none) is not allowed; must be present`}},
		{"wrong type", `"format": 1,`, `"format": «"1",`, []string{`format: value "1" is not allowed; must be an integer`}},
		{"integer with a fraction", `"batch": 16,`, `"batch": «1.5,`, []string{`endpoints[0].batch: value 1.5 is not allowed; must be an integer`}},
		{"null", `"retry_share": 0.1`, `"retry_share": «null`, []string{`limits.retry_share: value null is not allowed; must be a number`}},
		{"object for array", `[{"name": "cheque-base"}]`, `«{"name": "cheque-base"}`, []string{`bases: value { is not allowed; must be an array`}},
		{"other format", `"format": 1,`, `"format": «2,`, []string{`format: value 2 is not allowed; must be 1`}},
		{"syntax", "1,\n  \"version\"", "1\n  «\"version\"", []string{`bundle: value (none) is not allowed; must be well-formed JSON: `}},
		{"syntax in a value", `"format": 1,`, `"format": t«x,`, []string{`format: value (none) is not allowed; must be well-formed JSON: `}},
		{"text after the end", "]\n}", "]\n} «{}", []string{`bundle: value (none) is not allowed; must be a single JSON object`}},
		{"invalid UTF-8", `"2026-12-04.1"`, "\"«\xff\"", []string{`bundle: value (none) is not allowed; must be UTF-8 text`}},
		{"name with @", `"name": "signature-reading"`, `"name": «"signature@reading"`, []string{`adapters[1].name: value "signature@reading" is not allowed; must be a name`}},
		{"adapter twice", `"name": "signature-reading"`, `"name": «"amount-reading"`, []string{`adapters[1].name: value "amount-reading" is not allowed; must be unique`}},
		{"unknown base", `"base": "cheque-base", "versions": ["v3"]`, `"base": «"other", "versions": ["v3"]`, []string{`adapters[1].base: value "other" is not allowed; must be a declared base: "cheque-base"`}},
		{"unknown region", `["lj", "mb"]`, `["lj", «"xx"]`, []string{`adapters[1].regions[1]: value "xx" is not allowed; must be a declared region: "kp", "lj", "mb"`}},
		{"no version", `["v3"]`, `«[]`, []string{`adapters[1].versions: value [] is not allowed; must be at least one version`}},
		{"unknown service", `"service": "ledger"`, `"service": «"other"`, []string{`endpoints[2].service: value "other" is not allowed; must be a declared service: "ledger"`}},
		{"other kind", `"kind": "service"`, `"kind": «"plain"`, []string{`endpoints[2].kind: value "plain" is not allowed; must be "engine" or "service"`}},
		{"no slots", `"data_centre": "mb1", "slots": 4`, `"data_centre": "mb1", "slots": «0`, []string{`endpoints[1].slots: value 0 is not allowed; must be an integer from 1 to 1024`}},
		{"data centre of another region", `"data_centre": "mb1", "slots"`, `"data_centre": «"lj1", "slots"`, []string{`endpoints[1].data_centre: value "lj1" is not allowed; must be a data centre of region "mb"`}},
		{"region without data centre", `["kp1"]`, `«[]`, []string{`regions[2].data_centres: value [] is not allowed; must be at least one data centre`}},
		{"data centre in two regions", `["kp1"]`, `[«"lj1"]`, []string{`regions[2].data_centres[0]: value "lj1" is not allowed; must be unique`}},
		{"address", `"10.0.2.1:8000"`, `«"10.0.2.1"`, []string{`endpoints[1].address: value "10.0.2.1" is not allowed; must be host:port`}},
		{"overlapping paths", `"method": "POST", "path": "/postings"`, `"method": "GET", "path": «"/balances/all"`, []string{`services[0].calls[1].path: value "/balances/all" is not allowed; must be a path that does not overlap with calls[0] GET /balances/{account}`}},
		{"open brace", `"/balances/{account}"`, `«"/balances/{account"`, []string{`services[0].calls[0].path: `}},
		{"method", `"method": "POST"`, `"method": «"post"`, []string{`services[0].calls[1].method: value "post" is not allowed; must be one of DELETE,`}},
		{"negative weight", `"load_stall": 3`, `"load_stall": «-3`, []string{`weights.load_stall: value -3 is not allowed; must be from 0 to 1e+06`}},
		{"rate of zero", `"store_loads_per_second": 2`, `"store_loads_per_second": «0`, []string{`limits.store_loads_per_second: value 0 is not allowed; must be above 0`}},
		{"number too large", `"store_loads_per_second": 2`, `"store_loads_per_second": «1e999`, []string{`limits.store_loads_per_second: value 1e999 is not allowed`}},
		{"retry share", `"retry_share": 0.1`, `"retry_share": «1.1`, []string{`limits.retry_share: value 1.1 is not allowed; must be from 0 to 1`}},
		{"objective", `"objective": 0.95`, `"objective": «1`, []string{`service_levels[0].objective: value 1 is not allowed; must be above 0 and below 1`}},
		{"share of a version not offered", `{"version": "v2", "weight": 5}`, `{"version": «"v9", "weight": 5}`, []string{`traffic[0].shares[1].version: value "v9" is not allowed; must be an offered version: v1, v2`}},
		{"weight of zero", `{"version": "v2", "weight": 5}`, `{"version": "v2", "weight": «0}`, []string{`traffic[0].shares[1].weight: value 0 is not allowed`}},
		{"traffic of no adapter", `"adapter": "amount-reading"`, `"adapter": «"other"`, []string{`traffic[0].adapter: value "other" is not allowed; must be a declared adapter`}},
		{"several at once", `"retry_share": 0.1`, `"retry_share": «true, «"burst": 1`, []string{`limits.retry_share: value true`, `limits.burst: value "burst"`}},
	}
	text := example(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(text, c.old)) // the case changes the example
			changed, positions := unmark(strings.Replace(text, c.old, c.new, 1))
			_, err := bundler.Parse([]byte(changed))
			var parse *bundler.ParseError
			is.True(errors.As(err, &parse))
			is.Equal(len(parse.Faults()), len(c.faults))
			for i, f := range parse.Faults() {
				if want := positions[i] + c.faults[i]; !strings.HasPrefix(f.String(), want) {
					t.Errorf("fault %d is %q, want prefix %q", i, f, want)
				}
			}
		})
	}
}

// Guards against input that makes the parser panic, and against a document that
// parses but cannot be split, joined or built into a snapshot.
func FuzzParse(f *testing.F) {
	f.Add([]byte(example(f)))
	f.Add([]byte(`{"adapters": [{}], "a": [[[{"b": null}]]], "a": 1}`))
	f.Add([]byte(`{"format"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := bundler.Parse(data)
		if err != nil {
			var parse *bundler.ParseError
			if !errors.As(err, &parse) || len(parse.Faults()) == 0 {
				t.Fatal("error without faults: ", err)
			}
			return
		}
		if n := bundler.NewSnapshot(1, doc).AdapterCount(); n != len(doc.Adapters) {
			t.Fatalf("snapshot has %d adapters, document %d", n, len(doc.Adapters))
		}
		content, err := bundler.Split(doc)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := bundler.Join(content.Manifest(), content.Part); err != nil {
			t.Fatal(err)
		}
	})
}
