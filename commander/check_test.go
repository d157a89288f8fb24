package commander_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/commander"
	"github.com/dragonflyford/dragonflyford/exiter"
)

var update = flag.Bool("update", false, "write the golden files of check")

// runCheck runs check without a platform to connect to. An at sign stands for the directory
// of the examples.
func runCheck(t *testing.T, line string) (code int, out, errs string) {
	t.Helper()
	var o, e bytes.Buffer
	args := append([]string{"check"}, strings.Fields(strings.ReplaceAll(line, "@", "testdata/check/"))...)
	code = commander.New("1.2.3", nil, nil, &o, &e).Run(t.Context(), args)
	return code, o.String(), e.String()
}

// Guards against findings and differences that are wrong or missing, against an exit code
// that lets a script store a configuration that hosts reject, and against output that
// contains a key: those of the examples begin with "secret", or are 7654321.
func TestCheckExamples(t *testing.T) {
	tests := []struct {
		golden, line string
		code         int
	}{
		{"current", "@current.json", exiter.Success},
		{"reordered", "@reordered.json --against @current.json", exiter.Success},
		{"next", "@next.json --against @current.json", exiter.Success},
		{"rollback", "@current.json --against @next.json", exiter.Success},
		{"contradictory", "@contradictory.json", exiter.Success},
		{"contradictory-deployment", "@contradictory.json --hosts 63 --largest-call 14000", exiter.Success},
		{"malformed", "@malformed.json", exiter.Failure},
		{"numeric-key", "@numeric-key.json", exiter.Failure},
		{"no-version", "@no-version.json --against @current.json", exiter.Failure},
		{"against-malformed", "@contradictory.json --against @malformed.json", exiter.Failure},
		{"both-invalid", "@malformed.json --against @numeric-key.json", exiter.Failure},
	}
	for _, tt := range tests {
		for suffix, option := range map[string]string{".txt": "", ".json": " --json"} {
			t.Run(tt.golden+suffix, func(t *testing.T) {
				is := is.New(t)
				code, out, errs := runCheck(t, tt.line+option)
				is.Equal(code, tt.code)
				is.True(!strings.Contains(out+errs, "secret"))
				is.True(!strings.Contains(out+errs, "7654321"))
				if option != "" {
					var indented bytes.Buffer
					is.NoErr(json.Indent(&indented, []byte(out), "", "  "))
					out = indented.String()
				}
				path := "testdata/check/golden/" + tt.golden + suffix
				if *update {
					is.NoErr(os.WriteFile(path, []byte(out), 0o644))
				}
				want, err := os.ReadFile(path)
				is.NoErr(err)
				is.Equal(out, string(want))
			})
		}
	}
}

// Guards against a file that cannot be read and passes, and against options that are
// ignored.
func TestCheckOptions(t *testing.T) {
	steps := []step{
		{"no file", "", "", exiter.Usage, "", "FILE"},
		{"file that does not exist", "@none.json", "", exiter.Failure, "error: document must be a readable file", "not readable"},
		{"other file still checked", "@current.json --against @none.json", "", exiter.Failure, "current.json: errors 1, warnings 0", "not readable"},
		{"hosts below 0", "@current.json --hosts=-1", "", exiter.Usage, "", `--hosts: value "-1" is not allowed`},
		{"call below 0", "@current.json --largest-call=-1", "", exiter.Usage, "", `--largest-call: value "-1" is not allowed`},
		{"settings that are not valid", "@current.json --settings @malformed.json", "", exiter.Usage, "", "--settings: value"},
		{"bounds of the settings", "@contradictory.json --largest-call 12000 --settings @settings.json", "", exiter.Success, "costs 12000: at most 650 is granted", ""},
		{"default bounds", "@contradictory.json --largest-call 12000", "", exiter.Success, "errors 0, warnings 9", ""},
	}
	for _, s := range steps {
		t.Run(s.name, func(t *testing.T) {
			is := is.New(t)
			code, out, errs := runCheck(t, s.line)
			is.Equal(code, s.code)
			is.True(strings.Contains(out, s.out))
			is.True(strings.Contains(errs, s.errs))
		})
	}
}
