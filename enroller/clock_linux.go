package enroller

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime is the time since the machine started, the time that it was suspended
// included. The runtime's monotonic clock leaves that out.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart) // a kernel without the clock
	}
	return time.Duration(ts.Nano())
}
