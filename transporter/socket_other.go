//go:build !linux

package transporter

import "time"

// setUserTimeout does nothing, because only Linux has TCP_USER_TIMEOUT.
func setUserTimeout(uintptr, time.Duration) error { return nil }
