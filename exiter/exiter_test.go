package exiter_test

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/matryer/is"

	"github.com/dragonflyford/dragonflyford/exiter"
)

type misuse struct{}

func (misuse) Error() string { return "wrong setting" }
func (misuse) UsageError()   {}

// Guards against scripts that take a failure for success, or a wrong command line
// for a failure of the system.
func TestReport(t *testing.T) {
	tests := []struct {
		name      string
		err       error
		code      int
		out, errs string
	}{
		{"no error", nil, exiter.Success, "", ""},
		{"help", &flags.Error{Type: flags.ErrHelp, Message: "usage"}, exiter.Success, "usage\n", ""},
		{"unknown option", &flags.Error{Type: flags.ErrUnknownFlag, Message: "unknown"}, exiter.Usage, "", "prog: unknown\n"},
		{"misuse", fmt.Errorf("read: %w", misuse{}), exiter.Usage, "", "prog: read: wrong setting\n"},
		{"failure", errors.New("store away"), exiter.Failure, "", "prog: store away\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var out, errs bytes.Buffer
			is.Equal(exiter.Report("prog", tt.err, &out, &errs), tt.code)
			is.Equal(out.String(), tt.out)
			is.Equal(errs.String(), tt.errs)
		})
	}
}
