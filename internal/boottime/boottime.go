// Package boottime provides a monotonic clock that includes the time that the
// machine was suspended and is unaffected by changes of the wall clock. Leases
// and the age of cached state are measured with it, because a process that
// resumes after a suspension must not treat stale state as fresh.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as an offset from the Unix epoch. It panics
// if the kernel has no CLOCK_BOOTTIME, which Linux has had since 2.6.39 (2011).
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return time.Unix(ts.Unix())
}
