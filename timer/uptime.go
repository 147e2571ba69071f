package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Uptime returns the time since the machine booted. Unlike the monotonic
// reading of Now, it includes the time for which the machine was suspended.
func Uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // CLOCK_BOOTTIME exists on every supported kernel.
	}
	return time.Duration(t.Nano())
}
