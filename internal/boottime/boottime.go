// Package boottime is a clock that counts the time for which the machine was
// suspended, and that no change of the time of day moves. Leases and the age
// of evidence are measured by it: a process that was frozen must not take an
// old belief for a fresh one.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's boot, as a time after the Unix
// epoch. It fails on no Linux of the last fifteen years.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return time.Unix(ts.Unix())
}
