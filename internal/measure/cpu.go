package measure

import (
	"bytes"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	// ticksPerSecond is the number of clock ticks in a second of processor time in
	// /proc (USER_HZ).
	ticksPerSecond = 100
	// Indexes of utime and stime among the fields of /proc/PID/stat after the
	// command name.
	userTicksField   = 11
	systemTicksField = 12
)

// CPUTime returns the user and system time that a process has used.
func CPUTime(pid int) (time.Duration, error) {
	content, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, errors.Wrap(err, "read the processor time")
	}
	_, rest, _ := bytes.Cut(content, []byte(") "))
	fields := bytes.Fields(rest)
	user, err := strconv.Atoi(string(fields[userTicksField]))
	if err != nil {
		return 0, errors.Wrap(err, "read the processor time")
	}
	system, err := strconv.Atoi(string(fields[systemTicksField]))
	if err != nil {
		return 0, errors.Wrap(err, "read the processor time")
	}
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}

// ResidentBytes returns the resident memory size of a process.
func ResidentBytes(pid int) (int64, error) {
	content, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0, errors.Wrap(err, "read the resident memory size")
	}
	pages, err := strconv.ParseInt(string(bytes.Fields(content)[1]), 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "read the resident memory size")
	}
	return pages * int64(os.Getpagesize()), nil
}
