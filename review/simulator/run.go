package simulator

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	codeHeld   = 0
	codeBroken = 1
	codeFailed = 2
)

// ErrBroken reports that the rule was broken.
var ErrBroken = errors.New("the rule was broken")

// Case runs a case with or without its disruption. It returns an error that wraps ErrBroken
// if the rule was broken, nil if it held, and another error if the case could not run.
type Case func(r *Recorder, trouble bool) error

// Main runs a case, writes record.txt in the folder of the first argument, and exits. The
// variable TROUBLE with the value 0 leaves the disruption out.
func Main(run Case) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE FOLDER")
		os.Exit(codeFailed)
	}
	r, err := NewRecorder(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(codeFailed)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		os.Exit(codeFailed) // the hosts end with this process
	}()
	err = run(r, os.Getenv("TROUBLE") != "0")
	code := codeHeld
	switch {
	case errors.Is(err, ErrBroken):
		code = codeBroken
	case err != nil:
		code = codeFailed
	}
	r.Printf("result: %v, exit code %d", err, code)
	fmt.Printf("exit code %d: %v\n", code, err)
	if closeErr := r.Close(); closeErr != nil {
		fmt.Fprintln(os.Stderr, closeErr)
		code = codeFailed
	}
	os.Exit(code)
}
