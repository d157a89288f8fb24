package launcher_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/exampler"
	"github.com/dragonflyford/dragonflyford/exiter"
	"github.com/dragonflyford/dragonflyford/launcher"
)

// run runs a command line and returns its exit code, output and error output.
func run(ctx context.Context, args ...string) (int, string, string) {
	var out, errs strings.Builder
	code := launcher.New("v1.2.3", &out, &errs).Run(ctx, args)
	return code, out.String(), errs.String()
}

// writeSettings writes valid and invalid settings files and returns their
// directory.
func writeSettings(t *testing.T) (dir string) {
	t.Helper()
	is := is.New(t)
	dir = t.TempDir()
	is.NoErr(exampler.Write(emulator.Clearing, dir))
	node, err := os.ReadFile(filepath.Join(dir, "lj-entry-1.json"))
	is.NoErr(err)
	for name, text := range map[string]string{
		"field.json":    strings.Replace(string(node), `"entries"`, `"entrys"`, 1),
		"value.json":    strings.Replace(string(node), `"127.0.0.1:17201"`, `"here"`, 1),
		"text.json":     "text",
		"fakes.json":    `{"control": "127.0.0.1:0", "platform": {"address": "127.0.0.1:0", "latency_ms": -1}}`,
		"occupied.json": `{"control": "127.0.0.1:0", "platform": {"address": "192.0.2.1:1"}}`,
	} {
		is.NoErr(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	return dir
}

// Guards against wrong exit codes, and against errors that do not name the
// setting, its value and the allowed values.
func TestCommandLines(t *testing.T) {
	dir := writeSettings(t)
	path := func(name string) string { return filepath.Join(dir, name) }
	cases := []struct {
		name string
		args []string
		code int
		out  []string // parts of the output
		errs []string // parts of the error output
	}{
		{"help", []string{"--help"}, exiter.Success, []string{"serve", "check", "emulate", "demo", "example"}, nil},
		{"help of a command", []string{"demo", "--help"}, exiter.Success, []string{"--deployment", "--for", "--seed"}, nil},
		{"version", []string{"--version"}, exiter.Success, []string{"dragonflyford v1.2.3\n"}, nil},
		{"no command", nil, exiter.Usage, nil, []string{"no command given", "--help"}},
		{"unknown command", []string{"server"}, exiter.Usage, nil, []string{`"server"`, "allowed are serve, entry, check, emulate, demo, example"}},
		{"unknown option", []string{"demo", "--four", "2s"}, exiter.Usage, nil, []string{"four"}},
		{"argument", []string{"demo", "fast"}, exiter.Usage, nil, []string{`"fast"`, "options only"}},
		{"check without settings", []string{"check"}, exiter.Usage, nil, []string{"--config"}},
		{"check", []string{"check", "--config", path("lj-entry-1.json")}, exiter.Success, []string{"lj-entry-1", "valid"}, nil},
		{"check a missing file", []string{"check", "--config", path("none.json")}, exiter.Usage, nil, []string{"none.json"}},
		{"check an unknown field", []string{"check", "--config", path("field.json")}, exiter.Usage, nil, []string{"entrys"}},
		{"check an invalid value", []string{"check", "--config", path("value.json")}, exiter.Usage, nil, []string{"listen.peers", `"here"`, "allowed is"}},
		{"check a file without JSON", []string{"check", "--config", path("text.json")}, exiter.Usage, nil, []string{"text.json"}},
		{"serve with an invalid value", []string{"serve", "--config", path("value.json")}, exiter.Usage, nil, []string{"listen.peers", `"here"`, "allowed is"}},
		{"emulate without a file name", []string{"emulate", "--config", ""}, exiter.Usage, nil, []string{"--config", "JSON file"}},
		{"emulate a missing file", []string{"emulate", "--config", path("none.json")}, exiter.Usage, nil, []string{"--config", "none.json"}},
		{"emulate an invalid value", []string{"emulate", "--config", path("fakes.json")}, exiter.Usage, nil, []string{"platform.latency_ms", "-1", "allowed is 0"}},
		{"emulate on an address of another host", []string{"emulate", "--config", path("occupied.json")}, exiter.Failure, nil, []string{"192.0.2.1:1"}},
		{"demo of an unknown deployment", []string{"demo", "--deployment", "other"}, exiter.Usage, nil, []string{"deployment", "other", "clearing", "tender"}},
		{"demo with an invalid duration", []string{"demo", "--for", "long"}, exiter.Usage, nil, []string{"--for", `"long"`, "allowed is"}},
		{"demo with a duration of zero", []string{"demo", "--for", "0s"}, exiter.Usage, nil, []string{"--for", `"0s"`, "allowed is"}},
		{"demo with a rate of zero", []string{"demo", "--rate", "0"}, exiter.Usage, nil, []string{"--rate", "0", "allowed is"}},
		{"demo with a rate of NaN", []string{"demo", "--rate", "NaN"}, exiter.Usage, nil, []string{"--rate", "NaN", "allowed is"}},
		{"example", []string{"example", "--deployment", "tender", "--out", path("new/tender")}, exiter.Success, []string{"tender"}, nil},
		{"example without a directory", []string{"example", "--out", ""}, exiter.Usage, nil, []string{"--out", "directory"}},
		{"example with a file as directory", []string{"example", "--out", path("text.json")}, exiter.Failure, nil, []string{"text.json"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			code, out, errs := run(t.Context(), c.args...)
			is.Equal(code, c.code)
			is.Equal(out == "", len(c.out) == 0)   // output
			is.Equal(errs == "", len(c.errs) == 0) // errors
			for _, part := range c.out {
				is.True(strings.Contains(out, part)) // output lacks a part
			}
			for _, part := range c.errs {
				is.True(strings.Contains(errs, part)) // errors lack a part
			}
		})
	}
}

// writerFunc is an io.Writer that calls a function.
type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// Guards against fakes that keep running after an interrupt.
func TestEmulateInterrupted(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "fakes.json")
	is.NoErr(os.WriteFile(path, []byte(`{"control": "127.0.0.1:0", "platform": {"address": "127.0.0.1:0"}}`), 0o600))
	ctx, interrupt := context.WithCancel(t.Context())
	listening := writerFunc(func(p []byte) (int, error) {
		interrupt()
		return len(p), nil
	})
	code := launcher.New("v1.2.3", listening, os.Stderr).Run(ctx, []string{"emulate", "--config", path})
	is.Equal(code, exiter.Success)
	is.True(ctx.Err() != nil) // the fakes were listening
}
