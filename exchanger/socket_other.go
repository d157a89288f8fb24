//go:build !linux

package exchanger

import "net"

// silent cannot look into a connection without reading on these systems.
func silent(net.Conn) bool { return true }
