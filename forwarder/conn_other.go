//go:build !linux

package forwarder

import "net"

// setUserTimeout does nothing: on this platform only the write timeout limits
// how long sent data may stay unacknowledged.
func setUserTimeout(*net.TCPConn) error { return nil }
