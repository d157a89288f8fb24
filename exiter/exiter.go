package exiter

import (
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	Success = 0
	Failure = 1
	Usage   = 2
)

// UsageError is the fault of whoever wrote the command line or the settings.
type UsageError interface {
	error
	// UsageError marks the error.
	UsageError()
}

// Report prints an error of a program, if there is one, and returns the exit code.
// Help that was asked for goes to out, the rest to errs.
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
	var misuse UsageError
	if parse != nil || errors.As(err, &misuse) {
		return Usage
	}
	return Failure
}

// Commands returns the names of a parser's commands.
func Commands(parser *flags.Parser) []string {
	var names []string
	for _, c := range parser.Commands() {
		names = append(names, c.Name)
	}
	return names
}

// Version returns the version that the program was built from.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "(unknown)"
	}
	return info.Main.Version
}
