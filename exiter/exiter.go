package exiter

import (
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
)

// Exit codes of all programs.
const (
	Success = 0
	Failure = 1
	Usage   = 2
)

// UsageError is an error in the command line or the settings, which the user can
// correct.
type UsageError interface {
	error
	// UsageError is a marker method.
	UsageError()
}

// Report prints err, if it is not nil, and returns the exit code. Requested help
// is written to out, everything else to errs.
func Report(program string, err error, out, errs io.Writer) int {
	if err == nil {
		return Success
	}
	var parse *flags.Error
	if errors.As(err, &parse) && parse.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(out, parse.Message)
		return Success
	}
	_, _ = fmt.Fprintln(errs, program+": "+err.Error())
	var usage UsageError
	if parse != nil || errors.As(err, &usage) {
		return Usage
	}
	return Failure
}

// Commands returns the names of the top-level commands of a parser.
func Commands(parser *flags.Parser) []string {
	var names []string
	for _, c := range parser.Commands() {
		names = append(names, c.Name)
	}
	return names
}

// Version returns the module version that the program was built from, or
// "(unknown)".
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "(unknown)"
	}
	return info.Main.Version
}
