// Dragonflyctl is the command line tool for operators: it signs and rolls out
// bundles, checks configurations of entry hosts, drains nodes and endpoints, and
// reports the state of a deployment.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/dragonflyford/dragonflyford/commander"
	"github.com/dragonflyford/dragonflyford/exiter"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := commander.New(exiter.Version(), connect, os.Stdin, os.Stdout, os.Stderr).Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
