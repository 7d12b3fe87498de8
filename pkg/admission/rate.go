package admission

import "time"

// Rate is a sliding-window rate: it weights the previous window by the part of it that the
// sliding window still covers. It is not safe for concurrent use.
type Rate struct {
	window            time.Duration
	start             time.Time
	current, previous float64
}

// NewRate returns a rate over a window.
func NewRate(window time.Duration) Rate { return Rate{window: window} }

// advance starts a new window if the current one has ended.
func (r *Rate) advance(now time.Time) {
	switch age := now.Sub(r.start); {
	case age >= 2*r.window:
		r.start, r.current, r.previous = now, 0, 0
	case age >= r.window:
		r.start, r.current, r.previous = r.start.Add(r.window), 0, r.current
	}
}

// Add records n units at the time now.
func (r *Rate) Add(n float64, now time.Time) {
	r.advance(now)
	r.current += n
}

// PerSecond returns the mean rate over the sliding window, in units per second.
func (r *Rate) PerSecond(now time.Time) float64 {
	r.advance(now)
	elapsed := float64(now.Sub(r.start)) / float64(r.window)
	return (r.current + r.previous*(1-elapsed)) / r.window.Seconds()
}

const (
	meanWeight = 0.1 // weight of the newest sample in the mean
	minSamples = 8   // with fewer samples the mean is not used
)

// Mean is an exponentially weighted moving average of durations. The zero value has no samples.
type Mean struct {
	nanoseconds float64
	samples     int
}

// Add records a duration.
func (m *Mean) Add(d time.Duration) {
	if m.samples++; m.samples == 1 {
		m.nanoseconds = float64(d)
		return
	}
	m.nanoseconds += meanWeight * (float64(d) - m.nanoseconds)
}

// Value returns the mean, and false if there are too few samples.
func (m *Mean) Value() (mean time.Duration, ok bool) {
	return time.Duration(m.nanoseconds), m.samples >= minSamples
}
