package forwarder

import (
	"net"
	"syscall"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 18

// setUserTimeout limits how long sent data may stay unacknowledged. The kernel
// sends no keep-alive probes while data is unacknowledged, and its default limit
// is about 15 minutes.
func setUserTimeout(conn *net.TCPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
