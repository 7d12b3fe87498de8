package gateway

import (
	"sync"
	"time"
)

// RetryBudget bounds the repeated arrivals at a service in each window. The limit
// holds for all instances together; each one uses its share of the fixed part and
// the ratio of its own requests. It is safe for concurrent use.
type RetryBudget struct {
	// ratio is the repeats allowed for each request, extra the ones allowed in
	// addition in a window.
	ratio, extra float64
	window       time.Duration
	instances    func() int
	start        time.Time // the time of day may jump, the time since start may not

	mu       sync.Mutex
	services map[string]*history
}

// slices is the number of parts of a window.
const slices = 20

// safety keeps the sum of all instances below the limit while their numbers of
// each other differ.
const safety = 0.8

// history counts by part of a window.
type history struct {
	part   int64
	firsts [slices]float64
	agains [slices]float64
}

// NewRetryBudget returns a budget; instances returns how many share it.
func NewRetryBudget(ratio, extra float64, window time.Duration, instances func() int) *RetryBudget {
	return &RetryBudget{ratio: ratio, extra: extra, window: window, instances: instances, start: time.Now(), services: map[string]*history{}}
}

func (b *RetryBudget) history(service string, now time.Time) *history {
	h := b.services[service]
	if h == nil {
		h = &history{}
		b.services[service] = h
	}
	part := int64(now.Sub(b.start) / (b.window / slices))
	for ; h.part < part && part-h.part <= slices; h.part++ {
		i := (h.part + 1) % slices
		h.firsts[i], h.agains[i] = 0, 0
	}
	if h.part < part {
		*h = history{part: part}
	}
	return h
}

// RecordRequest records a request for a service.
func (b *RetryBudget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.history(service, now)
	h.firsts[h.part%slices]++
}

// AllowRetry takes one repeat and reports whether it is allowed.
func (b *RetryBudget) AllowRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.history(service, now)
	var firsts, agains float64
	for i := range slices {
		firsts += h.firsts[i]
		agains += h.agains[i]
	}
	if agains+1 > safety*(b.ratio*firsts+b.extra/float64(max(1, b.instances()))) {
		return false
	}
	h.agains[h.part%slices]++
	return true
}
