//go:build !linux

package forwarder

import "net"

// setUserTimeout does nothing; the write timeout is the only bound.
func setUserTimeout(*net.TCPConn) error { return nil }
