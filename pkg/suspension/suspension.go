// Package suspension measures for how long the machine has been suspended. The clock that
// time.Since uses stops meanwhile.
package suspension

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// resolution is the shortest suspension that Between reports.
	resolution = 50 * time.Millisecond
	// maxDelay is the time between the readings of the clocks up to which a result is exact
	// enough; attempts bounds the readings of a process that is often interrupted.
	maxDelay = time.Millisecond
	attempts = 5
)

// Total returns for how long the machine has been suspended since it started, or 0 if the
// system does not tell.
func Total() time.Duration {
	var total time.Duration
	shortest := time.Duration(-1)
	for range attempts {
		var before, boot, after unix.Timespec
		if unix.ClockGettime(unix.CLOCK_MONOTONIC, &before) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil ||
			unix.ClockGettime(unix.CLOCK_MONOTONIC, &after) != nil {
			return 0
		}
		delay := time.Duration(after.Nano() - before.Nano())
		if shortest < 0 || delay < shortest {
			shortest, total = delay, time.Duration(boot.Nano()-before.Nano())
		}
		if delay <= maxDelay {
			break
		}
	}
	return total
}

// Between returns for how long the machine was suspended between two calls of Total, and 0 for
// differences that may be due to the reading of the clocks.
func Between(earlier, later time.Duration) time.Duration {
	if d := later - earlier; d >= resolution {
		return d
	}
	return 0
}
