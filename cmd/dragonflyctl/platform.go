package main

import (
	"github.com/rotisserie/eris"

	"github.com/dragonflyford/dragonflyford/commander"
)

// errNoClient reports that this build has no HTTP clients of the platform and no
// decoder of lease rows.
var errNoClient = eris.New("this build has no clients of the table service and the object store")

// connect opens the platform that the settings name.
func connect(*commander.Settings) (*commander.Platform, error) { return nil, errNoClient }
