package limits

import "time"

// MaxDuration bounds durations that other processes state. It exceeds the life of any fleet, and
// a time plus a few of it does not overflow.
const MaxDuration = 10 * 365 * 24 * time.Hour

// Duration returns n units, between 0 and MaxDuration. NaN yields 0.
func Duration(n float64, unit time.Duration) time.Duration {
	switch {
	case n >= float64(MaxDuration)/float64(unit):
		return MaxDuration
	case n > 0:
		return time.Duration(n * float64(unit))
	}
	return 0
}

// Millis returns n milliseconds, between 0 and MaxDuration.
func Millis(n int64) time.Duration {
	return time.Duration(min(max(n, 0), MaxDuration.Milliseconds())) * time.Millisecond
}
