package kvstore

import (
	"cmp"
	"crypto/tls"
	"net"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// Defaults of HTTPOptions. DefaultMaxReadAttempts limits the calls that a read costs
// the store during an outage; DefaultBreakerOpenTimeout limits how long the breaker
// rejects calls after the store has recovered.
const (
	DefaultCallTimeout        = 2 * time.Second
	DefaultWatchWait          = 30 * time.Second
	DefaultMaxReadAttempts    = 4
	DefaultRetryDelay         = 50 * time.Millisecond
	DefaultBreakerFailures    = 5
	DefaultBreakerOpenTimeout = time.Second
)

// HTTPOptions are the options of an HTTPClient. Address and ClientID are required;
// for the other fields, zero means the default.
type HTTPOptions struct {
	// Address is the host:port of the store.
	Address string
	// ClientID is the id that the client sends in the X-Client header.
	ClientID string
	// CallTimeout limits one attempt of a call other than a watch.
	CallTimeout time.Duration
	// WatchWait is how long one watch asks the store to wait for a change.
	WatchWait time.Duration
	// WatchMargin is added to WatchWait to give the timeout of a watch. The
	// default is CallTimeout.
	WatchMargin time.Duration
	// MaxReadAttempts limits the attempts of a read, including the first.
	MaxReadAttempts uint
	// RetryDelay is the mean delay before the second attempt of a read. The delay
	// grows with each further attempt.
	RetryDelay time.Duration
	// BreakerFailures is the number of consecutive failures that opens the breaker.
	BreakerFailures uint32
	// BreakerOpenTimeout is the time after which an open breaker becomes half-open
	// and admits a call.
	BreakerOpenTimeout time.Duration
	// TLS is the TLS configuration. If it is nil, the client uses plain HTTP.
	TLS *tls.Config
}

// validateWithDefaults returns the options with the defaults filled in, or
// failure.Invalid if they cannot work.
func (o HTTPOptions) validateWithDefaults() (HTTPOptions, error) {
	if _, _, err := net.SplitHostPort(o.Address); err != nil {
		return o, failure.New(failure.Invalid, "give the address as host:port", "store address %q: %v", o.Address, err)
	}
	if o.ClientID == "" {
		return o, failure.New(failure.Invalid, "give the instance id", "the store client has no client id")
	}
	for _, d := range []time.Duration{o.CallTimeout, o.WatchWait, o.WatchMargin, o.RetryDelay, o.BreakerOpenTimeout} {
		if d < 0 {
			return o, failure.New(failure.Invalid, "give positive durations", "store client: duration %v is negative", d)
		}
	}
	o.CallTimeout = cmp.Or(o.CallTimeout, DefaultCallTimeout)
	o.WatchWait = cmp.Or(o.WatchWait, DefaultWatchWait)
	o.WatchMargin = cmp.Or(o.WatchMargin, o.CallTimeout)
	o.MaxReadAttempts = cmp.Or(o.MaxReadAttempts, DefaultMaxReadAttempts)
	o.RetryDelay = cmp.Or(o.RetryDelay, DefaultRetryDelay)
	o.BreakerFailures = cmp.Or(o.BreakerFailures, DefaultBreakerFailures)
	o.BreakerOpenTimeout = cmp.Or(o.BreakerOpenTimeout, DefaultBreakerOpenTimeout)
	return o, nil
}
