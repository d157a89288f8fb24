//go:build !linux

package enroller

import "time"

func bootTime() time.Duration { return time.Since(processStart) }
