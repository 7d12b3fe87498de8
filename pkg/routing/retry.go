package routing

import (
	"sync"
	"time"
)

const (
	retryTokensPerAttempt   = 0.1              // tokens that each first attempt adds
	maxRetryTokens          = 20               // bounds the saved tokens; an hour without retries must not allow a retry storm
	initialRetryTokens      = 3                // lets the first retries through before attempts have added tokens
	guaranteedRetryInterval = 10 * time.Second // one retry per interval is allowed even without tokens
)

// RetryBudget is a token bucket that limits retries to a tenth of the first
// attempts, plus a few for an instance with little traffic. The zero value is
// ready to use. It is safe for concurrent use.
type RetryBudget struct {
	mu          sync.Mutex
	spent       float64 // tokens spent of initialRetryTokens; negative when more tokens are saved
	lastRetryAt time.Time
}

// RecordAttempt records the first attempt of a request.
func (b *RetryBudget) RecordAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(b.spent-retryTokensPerAttempt, initialRetryTokens-maxRetryTokens)
}

// AllowRetry reports whether a retry is allowed now. It takes a token for the retry
// if there is one.
func (b *RetryBudget) AllowRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 <= initialRetryTokens {
		b.spent++
		b.lastRetryAt = now
		return true
	}
	if now.Sub(b.lastRetryAt) < guaranteedRetryInterval {
		return false
	}
	b.lastRetryAt = now
	return true
}
