package transporter

import (
	"fmt"
	"syscall"
	"time"
)

const tcpUserTimeout = 18 // TCP_USER_TIMEOUT of linux/tcp.h, not in package syscall

// setUserTimeout makes the kernel close a connection whose data was not
// acknowledged for d. Otherwise a request in the socket buffer may arrive
// minutes later, when a broken link recovers.
func setUserTimeout(fd uintptr, d time.Duration) error {
	if err := syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds())); err != nil {
		return fmt.Errorf("set TCP user timeout: %w", err)
	}
	return nil
}
