package routing

import (
	"sync"
	"time"
)

const (
	retryRatio    = 0.1              // extra attempts per first attempt
	retryBurst    = 20               // tokens kept at most, so that a quiet hour does not allow a retry storm
	retryFloor    = 3                // tokens at the start
	retryInterval = 10 * time.Second // one retry is allowed this often even without traffic
)

// RetryBudget limits extra attempts to a tenth of the first attempts, plus a
// small floor for an instance with little traffic. The zero value is ready.
type RetryBudget struct {
	mu     sync.Mutex
	spent  float64 // tokens below the floor; negative when tokens were saved
	latest time.Time
}

// RecordAttempt records a first attempt.
func (b *RetryBudget) RecordAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(b.spent-retryRatio, retryFloor-retryBurst)
}

// AllowRetry takes one extra attempt and reports whether it is allowed.
func (b *RetryBudget) AllowRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 <= retryFloor {
		b.spent++
		b.latest = now
		return true
	}
	if now.Sub(b.latest) < retryInterval {
		return false
	}
	b.latest = now
	return true
}
