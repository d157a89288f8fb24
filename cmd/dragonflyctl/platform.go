package main

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/commander"
	"github.com/dragonflyford/dragonflyford/roller"
	"github.com/dragonflyford/dragonflyford/storer"
)

// errNoLeases reports that this build has no decoder of lease rows.
var errNoLeases = eris.New("this build cannot read the lease rows of nodes")

// connect opens the platform that the settings name.
func connect(s *commander.Settings) (*commander.Platform, error) {
	return commander.NewPlatform(storer.NewHTTPTable(s.Table()), storer.NewHTTPObjects(s.Objects()), noNodes{}), nil
}

// noNodes stands in for the list of nodes, so that no roll-out takes an unknown
// deployment for one that has prepared.
type noNodes struct{}

func (noNodes) List(context.Context) ([]roller.Node, error) { return nil, errNoLeases }
