package enroller

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since boot, including the time that the machine was
// suspended, which Go's monotonic clock leaves out.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart) // the kernel lacks CLOCK_BOOTTIME
	}
	return time.Duration(ts.Nano())
}
