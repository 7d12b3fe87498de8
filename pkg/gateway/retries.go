package gateway

import (
	"sync"
	"time"
)

// RetryBudget bounds the retries that reach each service in a sliding window. The
// limit holds for all instances together: each one may use the ratio of its own
// requests and an equal share of the fixed part. It is safe for concurrent use.
type RetryBudget struct {
	// ratio is the number of retries allowed per request. extra is the number of
	// retries that all instances together may make in addition in a window.
	ratio, extra float64
	window       time.Duration
	instances    func() int
	start        time.Time // buckets are counted by monotonic time, as the wall clock may jump

	mu       sync.Mutex
	services map[string]*windowCounts
}

// bucketsPerWindow is the number of buckets that a window is divided into.
const bucketsPerWindow = 20

// safetyFactor keeps the sum over all instances below the limit while they disagree
// about the number of instances.
const safetyFactor = 0.8

// windowCounts counts requests and retries in a ring of buckets.
type windowCounts struct {
	bucket   int64 // number of the current bucket since start
	requests [bucketsPerWindow]float64
	retries  [bucketsPerWindow]float64
}

// NewRetryBudget returns a budget that allows ratio retries per request and, over
// all instances, extra retries per window. instances returns the number of
// instances that share the budget.
func NewRetryBudget(ratio, extra float64, window time.Duration, instances func() int) *RetryBudget {
	return &RetryBudget{ratio: ratio, extra: extra, window: window, instances: instances, start: time.Now(), services: map[string]*windowCounts{}}
}

// currentCounts returns the counts of a service after it has cleared the buckets that
// have left the window.
func (b *RetryBudget) currentCounts(service string, now time.Time) *windowCounts {
	counts := b.services[service]
	if counts == nil {
		counts = &windowCounts{}
		b.services[service] = counts
	}
	bucket := int64(now.Sub(b.start) / (b.window / bucketsPerWindow))
	for ; counts.bucket < bucket && bucket-counts.bucket <= bucketsPerWindow; counts.bucket++ {
		i := (counts.bucket + 1) % bucketsPerWindow
		counts.requests[i], counts.retries[i] = 0, 0
	}
	if counts.bucket < bucket {
		*counts = windowCounts{bucket: bucket}
	}
	return counts
}

// RecordRequest counts the first attempt of a request for a service.
func (b *RetryBudget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.currentCounts(service, now)
	counts.requests[counts.bucket%bucketsPerWindow]++
}

// AllowRetry reports whether a retry for a service is within the budget, and counts
// it if so.
func (b *RetryBudget) AllowRetry(service string, now time.Time) bool {
	return b.allow(service, 1, now)
}

// secondAttemptShare is the part of the budget that second attempts of requests whose first one
// is slow may use. The rest is for attempts after failures.
const secondAttemptShare = 0.5

// AllowSecondAttempt is like AllowRetry for a second attempt beside the first one.
func (b *RetryBudget) AllowSecondAttempt(service string, now time.Time) bool {
	return b.allow(service, secondAttemptShare, now)
}

// allow counts a retry if at most the given share of the budget is used with it.
func (b *RetryBudget) allow(service string, share float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.currentCounts(service, now)
	var requests, retries float64
	for i := range bucketsPerWindow {
		requests += counts.requests[i]
		retries += counts.retries[i]
	}
	if retries+1 > share*safetyFactor*(b.ratio*requests+b.extra/float64(max(1, b.instances()))) {
		return false
	}
	counts.retries[counts.bucket%bucketsPerWindow]++
	return true
}
