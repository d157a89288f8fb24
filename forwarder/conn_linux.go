package forwarder

import (
	"net"
	"syscall"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
const tcpUserTimeout = 18

// setUserTimeout bounds how long data may stay unacknowledged. Keep-alive probes
// are not sent during that time, and the kernel's own limit is some 15 minutes.
func setUserTimeout(conn *net.TCPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var set error
	err = raw.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}
