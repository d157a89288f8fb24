package main

import (
	"github.com/dragonflyford/dragonflyford/commander"
	"github.com/dragonflyford/dragonflyford/leaser"
	"github.com/dragonflyford/dragonflyford/storer"
)

// connect returns the platform that is configured in the settings. Its nodes are
// those with lease rows in the table.
func connect(s *commander.Settings) (*commander.Platform, error) {
	table := storer.NewHTTPTable(s.Table())
	return commander.NewPlatform(table, storer.NewHTTPObjects(s.Objects()), leaser.NewReader(table, leaser.Settings{})), nil
}
