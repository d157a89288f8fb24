package commander_test

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/commander"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/exiter"
	"github.com/dragonflyford/dragonflyford/roller"
)

// environment holds a directory with keys, settings and bundle files, and an
// in-process platform.
type environment struct {
	t        *testing.T
	dir      string
	platform *commander.Platform
	table    *emulator.Table
	objects  *emulator.Objects
	prepared uint64
}

// List implements roller.Nodes. Each node reports the prepared epoch that the
// test sets, by default one that covers every roll-out.
func (d *environment) List(context.Context) ([]roller.Node, error) {
	var nodes []roller.Node
	for _, region := range []string{"lj", "mb", "kp"} {
		nodes = append(nodes, roller.NewNode(region+"-1", region, d.prepared, 1, true))
	}
	return nodes, nil
}

func newEnvironment(t *testing.T) *environment {
	t.Helper()
	is := is.New(t)
	d := &environment{t: t, dir: t.TempDir(), prepared: math.MaxUint64, table: emulator.NewTable(), objects: emulator.NewObjects()}
	d.platform = commander.NewPlatform(d.table, d.objects, d)
	public := map[string]string{}
	for _, name := range []string{"ana", "bor"} {
		code, out, _ := d.run("", "key", "new", "--out", d.path(name+".key"), "--json")
		is.Equal(code, exiter.Success)
		var key struct{ Public string }
		is.NoErr(json.Unmarshal([]byte(out), &key))
		public[name] = key.Public
	}
	for name := range public {
		d.writeJSON(name+".json", map[string]any{
			"operator": name, "table": "127.0.0.1:1", "objects": "127.0.0.1:2", "key_file": d.path(name + ".key"), "keys": public, "revoked": []string{},
		})
	}
	text, err := os.ReadFile("../docs/bundle.example.json")
	is.NoErr(err)
	for name, text := range map[string]string{
		"1.json":    strings.Replace(string(text), "2026-12-04.1", "1", 1),
		"2.json":    strings.Replace(strings.Replace(string(text), "2026-12-04.1", "2", 1), `["v3"]`, `["v4"]`, 1),
		"bad.json":  strings.Replace(string(text), `"retry_share": 0.1`, `"retry_share": 1.1`, 1),
		"text.json": "text",
	} {
		is.NoErr(os.WriteFile(d.path(name), []byte(text), 0o600))
	}
	d.writeJSON("unknown.json", map[string]any{"operater": "ana"})
	d.writeJSON("keys.json", map[string]any{"operator": "ana", "table": "", "objects": "x", "keys": map[string]string{"ana": "short"}, "revoked": []string{"zoe"}})
	return d
}

func (d *environment) path(name string) string { return filepath.Join(d.dir, name) }

func (d *environment) writeJSON(name string, v any) {
	d.t.Helper()
	b, err := json.Marshal(v)
	if err != nil {
		d.t.Fatal(err)
	}
	if err := os.WriteFile(d.path(name), b, 0o600); err != nil {
		d.t.Fatal(err)
	}
}

func (d *environment) run(input string, args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	connect := func(s *commander.Settings) (*commander.Platform, error) {
		if s.Table() != "127.0.0.1:1" {
			return nil, eris.New("wrong address")
		}
		return d.platform, nil
	}
	code = commander.New("1.2.3", connect, strings.NewReader(input), &o, &e).Run(d.t.Context(), args)
	return code, o.String(), e.String()
}

// step is one command line, its expected exit code and expected parts of its
// output.
type step struct {
	name  string
	line  string // @NAME is a file in the directory; *NAME stands for --config NAME.json
	input string
	code  int
	out   string // part of the output
	errs  string // part of the error output
}

// runSteps runs command lines in order and passes all their output to check.
func (d *environment) runSteps(steps []step, check func(t *testing.T, out, errs string)) {
	for _, s := range steps {
		d.t.Run(s.name, func(t *testing.T) {
			var args []string
			for _, word := range strings.Fields(s.line) {
				if name, ok := strings.CutPrefix(word, "*"); ok {
					args = append(args, "--config", d.path(name+".json"))
					continue
				}
				if name, ok := strings.CutPrefix(word, "@"); ok {
					word = d.path(name)
				}
				args = append(args, word)
			}
			code, out, errs := d.run(s.input, args...)
			if code != s.code || !strings.Contains(out, s.out) || !strings.Contains(errs, s.errs) || (s.errs == "" && errs != "") {
				t.Errorf("exit %d, want %d\nout:  %s\nwant: %s\nerrs: %s\nwant: %s", code, s.code, out, s.out, errs, s.errs)
			}
			check(t, out, errs)
		})
	}
}

// Guards against commands with wrong output, wrong exit codes, and errors that do
// not name the faulty setting. The steps run in order in one environment.
func TestCommands(t *testing.T) {
	steps := []step{
		{"version", "--version", "", 0, "dragonflyctl 1.2.3", ""},
		{"help", "--help", "", 0, "roll out bundles", ""},
		{"help of a command", "bundle roll-out --help", "", 0, "--exclude=REGION", ""},
		{"no command", "", "", 2, "", "no command given"},
		{"command that does not exist", "bundel", "", 2, "", `command: value "bundel" is not allowed; must be one of key, bundle`},
		{"unknown command", "bundle paint", "", 2, "", "Unknown command `paint'"},
		{"unknown option", "bundle check --colour @1.json", "", 2, "", "unknown flag `colour'"},
		{"missing file argument", "bundle check", "", 2, "", "FILE"},
		{"argument too many", "bundle check @1.json x", "", 2, "", `argument: value "x" is not allowed; must be absent`},
		{"key exists", "key new --out @ana.key", "", 2, "", "must be a file that does not exist"},
		{"check", "bundle check @1.json", "", 0, `bundle "1" has no faults`, ""},
		{"check a faulty bundle", "bundle check @bad.json", "", 1, "", "bad.json:29:86: limits.retry_share: value 1.1 is not allowed; must be from 0 to 1"},
		{"check as JSON", "bundle check @bad.json --json", "", 1, `"faults":[{"line":29,"column":86,"field":"limits.retry_share","value":"1.1","allowed":"from 0 to 1"}]`, "bad.json:29:86: limits.retry_share"},
		{"check no JSON", "bundle check @text.json", "", 1, "", "text.json:1:2: bundle: value (none) is not allowed; must be well-formed JSON"},
		{"no such file", "bundle check @none.json", "", 2, "", "must be a readable bundle file"},
		{"no settings", "bundle status", "", 2, "", `--config: value "" is not allowed; must be the path of a settings file`},
		{"unknown setting", "--config @unknown.json bundle status", "", 2, "", `unknown field "operater"`},
		{"all faults of settings", "--config @keys.json bundle status", "", 2, "", `table: value "" is not allowed`},
		{"faulty key", "--config @keys.json bundle status", "", 2, "", `keys.ana: value "short" is not allowed; must be 32 bytes in base64`},
		{"unknown revoked key", "--config @keys.json bundle status", "", 2, "", `revoked[0]: value "zoe" is not allowed`},
		{"status before the first bundle", "*ana bundle status", "", 0, "no bundle is in force", ""},
		{"history before the first bundle", "*ana bundle history --json", "", 0, "[]", ""},
		{"roll-out unsigned", "*ana bundle roll-out @1.json", "", 1, "", "author of"},
		{"sign", "*ana bundle sign @1.json", "", 0, `bundle "1" signed by author "ana"`, ""},
		{"roll-out without review", "*ana bundle roll-out @1.json", "", 1, "", "reviewer of"},
		{"review by the author", "*ana bundle review --yes @1.json", "", 1, "", "author and reviewer are the same key"},
		{"review declined", "*bor bundle review @1.json", "n\n", 1, `+ adapter "amount-reading"`, "nothing was signed"},
		{"still without review", "*ana bundle roll-out @1.json", "", 1, "", "signature is missing"},
		{"review", "*bor bundle review @1.json", "y\n", 0, `signed by reviewer "bor"`, "Sign bundle"},
		{"roll-out", "*ana bundle roll-out @1.json", "", 0, `bundle "1" is in force as epoch 1`, ""},
		{"same roll-out again", "*bor bundle roll-out @1.json --json", "", 0, `{"result":"already-in-force","record":{"epoch":1,`, ""},
		{"sign the next", "*bor bundle sign @2.json", "", 0, "", ""},
		{"review shows the change", "*ana bundle review @2.json --yes", "", 0, `~ adapter "signature-reading"`, ""},
		{"excluded region unknown", "*bor bundle roll-out @2.json --exclude xx", "", 1, "", `excluded region "xx"`},
		{"patience", "*bor bundle roll-out @2.json --patience 0s", "", 2, "", `--patience: value "0s" is not allowed`},
		{"next roll-out", "*bor bundle roll-out @2.json --exclude kp", "", 0, "regions not waited for", ""},
		{"status as JSON", "*ana bundle status --json", "", 0, `"everywhere":false`, ""},
		{"status", "*ana bundle status", "", 0, "region kp\n  kp-1  in force 1", ""},
		{"history", "*ana bundle history --limit 1", "", 0, "epoch 2  version 2  operator bor", ""},
		{"history limit", "*ana bundle history --limit 0", "", 2, "", `--limit: value "0" is not allowed`},
		{"roll-back", "*ana bundle roll-back --to 1", "", 0, `bundle "1" is in force as epoch 3`, ""},
		{"roll-back to nothing", "*ana bundle roll-back --to 9", "", 1, "", `version "9"`},
		{"roll-back without version", "*ana bundle roll-back", "", 2, "", "`--to' was not specified"},
		{"drain", "*ana drain node n1", "", 0, `node "n1" is draining`, ""},
		{"drain again", "*ana drain node n1 --json", "", 0, `{"kind":"node","name":"n1","draining":true}`, ""},
		{"undrain", "*ana undrain node n1", "", 0, `node "n1" is not draining`, ""},
		{"undrain again", "*ana undrain node n1", "", 0, `node "n1" is not draining`, ""},
		{"drain another kind", "*ana drain shelf n1", "", 2, "", "Unknown command `shelf'"},
		{"drain a bad name", "*ana drain endpoint @", "", 2, "", "NAME: value"},
	}
	newEnvironment(t).runSteps(steps, func(*testing.T, string, string) {})
}

// Guards against signatures that are accepted after the bundle was edited, and
// against an exit code that reports success although nodes did not prepare.
func TestEditedAndNotPrepared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newEnvironment(t)
		ana, bor := d.path("ana.json"), d.path("bor.json")
		for _, file := range []string{"1.json", "2.json"} {
			code, _, _ := d.run("", "--config", ana, "bundle", "sign", d.path(file))
			is.Equal(code, 0)
			code, _, _ = d.run("", "--config", bor, "bundle", "review", "--yes", d.path(file))
			is.Equal(code, 0)
		}
		d.prepared = 0 // nodes never prepare
		code, out, errs := d.run("", "--config", ana, "bundle", "roll-out", "--patience", "10s", "--json", d.path("1.json"))
		is.Equal(code, exiter.Failure)
		is.True(strings.Contains(out, `"nodes":["kp-1","lj-1","mb-1"]`))
		is.True(strings.Contains(errs, "not in force"))

		text, err := os.ReadFile(d.path("2.json"))
		is.NoErr(err)
		is.NoErr(os.WriteFile(d.path("2.json"), bytes.Replace(text, []byte(`["v4"]`), []byte(`["v5"]`), 1), 0o600))
		code, _, errs = d.run("", "--config", ana, "bundle", "roll-out", d.path("2.json"))
		is.Equal(code, exiter.Failure)
		is.True(strings.Contains(errs, "changed after it was signed"))
	})
}

// Guards against a drain that fails because the response to a successful write of
// the row was lost.
func TestDrainAnswerLost(t *testing.T) {
	is := is.New(t)
	d := newEnvironment(t)
	is.NoErr(d.table.Inject(emulator.NewAnswerLost(1, 0)))
	code, _, _ := d.run("", "--config", d.path("ana.json"), "drain", "endpoint", "reader-lj-1")
	is.Equal(code, exiter.Success)
	_, err := d.table.Get(t.Context(), "drain/endpoint/reader-lj-1")
	is.NoErr(err)
}
