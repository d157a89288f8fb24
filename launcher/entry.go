package launcher

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/dragonflyford/dragonflyford/assembler"
	"github.com/dragonflyford/dragonflyford/configurer"
	"github.com/dragonflyford/dragonflyford/logger"
)

type entryCommand struct {
	launcher *Launcher
	ctx      context.Context
	Config   string `long:"config" value-name:"FILE" required:"yes" env:"DRAGONFLYFORD_SETTINGS" description:"settings of the entry host"`
}

// Execute runs an entry host until the context is canceled.
func (c *entryCommand) Execute([]string) error {
	read := func() (*configurer.Entry, error) { return configurer.ReadEntry(c.Config) }
	settings, err := read()
	if err != nil {
		return &UsageError{fmt.Errorf("read settings: %w", err)}
	}
	out := logger.NewAsync(c.launcher.out)
	defer out.Close()
	log, err := logger.New(out, settings.Name(), settings.LogLevel())
	if err != nil {
		return &UsageError{fmt.Errorf("log.level: %w", err)}
	}
	host, err := assembler.New(settings, log)
	if err != nil {
		return fmt.Errorf("build entry host: %w", err)
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	if err := host.Run(c.ctx, reload, read); err != nil {
		return fmt.Errorf("run entry host: %w", err)
	}
	return nil
}
