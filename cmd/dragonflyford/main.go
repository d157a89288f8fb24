// Dragonflyford runs nodes and entry hosts, fakes of the platform and the
// endpoints, and a demo.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/dragonflyford/dragonflyford/exiter"
	"github.com/dragonflyford/dragonflyford/launcher"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := launcher.New(exiter.Version(), os.Stdout, os.Stderr).Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
