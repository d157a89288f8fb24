// Dragonflyford runs nodes, fakes of what surrounds them, and a demo.
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
