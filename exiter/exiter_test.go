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

type usageError struct{}

func (usageError) Error() string { return "wrong setting" }
func (usageError) UsageError()   {}

// Guards against exit codes that let scripts mistake a failure for success, or a
// usage error for a failure of the system.
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
		{"usage error", fmt.Errorf("read: %w", usageError{}), exiter.Usage, "", "prog: read: wrong setting\n"},
		{"failure", errors.New("store unavailable"), exiter.Failure, "", "prog: store unavailable\n"},
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
