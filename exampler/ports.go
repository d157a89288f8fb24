package exampler

import (
	"fmt"

	"github.com/dragonflyford/dragonflyford/emulator"
)

// ports is a block of loopback ports of one deployment. The blocks do not
// overlap, so that both examples can run at the same time, and lie below the
// range that Linux assigns to outgoing connections (32768 and up).
type ports int

// Port blocks of the deployments.
const (
	clearingPorts ports = 17000
	tenderPorts   ports = 18000
)

// Offsets in a block.
const (
	controlPort  = 0
	platformPort = 1
	endpointPort = 10
	callerPort   = 101
	peerPort     = 201
	operatorPort = 301
)

func portsOf(deployment string) ports {
	if deployment == emulator.Tender {
		return tenderPorts
	}
	return clearingPorts
}

func (p ports) address(offset int) string { return fmt.Sprintf("127.0.0.1:%d", int(p)+offset) }

func (p ports) url(offset int) string { return "http://" + p.address(offset) }
