package exampler_test

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/benchmarker"
	"github.com/dragonflyford/dragonflyford/bundler"
	"github.com/dragonflyford/dragonflyford/commander"
	"github.com/dragonflyford/dragonflyford/configurer"
	"github.com/dragonflyford/dragonflyford/emulator"
	"github.com/dragonflyford/dragonflyford/exampler"
	"github.com/dragonflyford/dragonflyford/exiter"
	"github.com/dragonflyford/dragonflyford/roller"
)

var deployments = []string{emulator.Clearing, emulator.Tender}

// committed returns the directory of the committed files.
func committed(deployment string) string { return filepath.Join("..", "examples", deployment) }

// Guards against committed files that differ from the output of the command.
func TestCommittedFiles(t *testing.T) {
	for _, deployment := range deployments {
		files, err := exampler.Files(deployment)
		is.New(t).NoErr(err)
		for _, f := range files {
			t.Run(deployment+"/"+f.Name(), func(t *testing.T) {
				is := is.New(t)
				got, err := os.ReadFile(filepath.Join(committed(deployment), f.Name()))
				is.NoErr(err)
				is.True(bytes.Equal(got, f.Content())) // go run ./cmd/dragonflyford example --deployment NAME --out examples/NAME
			})
		}
	}
}

// parse reads a file with the parser of the program that uses it.
func parse(f exampler.File) error {
	var err error
	switch name := f.Name(); {
	case name == "emulate.json":
		_, err = emulator.ParseDocument(f.Content())
	case strings.Contains(name, "-entry-"):
		_, err = configurer.ParseNode(f.Content())
	case name == "bundle.json":
		_, err = bundler.Parse(f.Content())
	case name == "load.json":
		_, err = benchmarker.Parse(f.Content())
	}
	return err
}

var socket = regexp.MustCompile(`"(?:control|address|callers|peers|operators)": "(127\.0\.0\.1:\d+)"`)

// Guards against files that their programs reject, and against two processes
// that use the same port, also across the two examples.
func TestFilesFitTogether(t *testing.T) {
	is := is.New(t)
	listeners := make(map[string]string)
	for _, deployment := range deployments {
		files, err := exampler.Files(deployment)
		is.NoErr(err)
		for _, f := range files {
			is.NoErr(parse(f))
			for _, m := range socket.FindAllSubmatch(f.Content(), -1) {
				address, place := string(m[1]), deployment+"/"+f.Name()
				is.Equal(listeners[address], "") // the port is taken
				listeners[address] = place
			}
		}
	}
	is.Equal(len(listeners), 2*(2+6*3)+(9+3)+(12+3)) // platforms, nodes and endpoints
}

// emptyMembership lists no nodes. Signing does not contact any.
type emptyMembership struct{}

func (emptyMembership) List(context.Context) ([]roller.Node, error) { return nil, nil }

// Guards against committed signatures that differ from those that the commands
// create from the committed keys and bundle.
func TestSignatures(t *testing.T) {
	for _, deployment := range deployments {
		t.Run(deployment, func(t *testing.T) {
			is := is.New(t)
			want, err := os.ReadFile(filepath.Join(committed(deployment), "bundle.json.signatures"))
			is.NoErr(err)
			dir := t.TempDir()
			is.NoErr(exampler.Write(deployment, dir))
			t.Chdir(dir) // settings name key files relative to their directory
			platform := commander.NewPlatform(emulator.NewTable(), emulator.NewObjects(), emptyMembership{})
			connect := func(*commander.Settings) (*commander.Platform, error) { return platform, nil }
			var errs strings.Builder
			c := commander.New("test", connect, strings.NewReader(""), io.Discard, &errs)
			is.Equal(c.Run(t.Context(), []string{"--config", "author.json", "bundle", "sign", "bundle.json"}), exiter.Success)
			is.Equal(c.Run(t.Context(), []string{"--config", "reviewer.json", "bundle", "review", "--yes", "bundle.json"}), exiter.Success)
			is.Equal(errs.String(), "")
			got, err := os.ReadFile("bundle.json.signatures")
			is.NoErr(err)
			is.Equal(string(got), string(want))
		})
	}
}

// Guards against accepting the name of a deployment that does not exist.
func TestUnknownDeployment(t *testing.T) {
	_, err := exampler.Files("other")
	is.New(t).True(err != nil)
}
