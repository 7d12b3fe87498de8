package kvstore

import (
	"cmp"
	"crypto/tls"
	"net"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// Defaults of HTTPOptions.
const (
	DefaultCallTimeout        = 2 * time.Second
	DefaultWatchWait          = 30 * time.Second
	DefaultMaxReadAttempts    = 4 // an outage costs at most this many calls per read
	DefaultRetryDelay         = 50 * time.Millisecond
	DefaultBreakerFailures    = 5
	DefaultBreakerOpenTimeout = time.Second // bounds how long a recovered store stays unused
)

// HTTPOptions are the settings of an HTTPClient. Zero values mean the defaults.
type HTTPOptions struct {
	// Address is the host:port of the store.
	Address string
	// ClientID is sent as X-Client.
	ClientID string
	// CallTimeout limits one attempt of a call other than a watch.
	CallTimeout time.Duration
	// WatchWait is the longest wait asked of the store by one watch.
	WatchWait time.Duration
	// WatchMargin is added to the wait to give the deadline of a watch. The
	// default is CallTimeout.
	WatchMargin time.Duration
	// MaxReadAttempts is the number of attempts of a read, including the first.
	MaxReadAttempts uint
	// RetryDelay is the mean pause before the second attempt of a read.
	RetryDelay time.Duration
	// BreakerFailures is the number of consecutive failures that opens the breaker.
	BreakerFailures uint32
	// BreakerOpenTimeout is the time after which an open breaker admits a probe.
	BreakerOpenTimeout time.Duration
	// TLS enables https when it is set.
	TLS *tls.Config
}

// check fills in the defaults and rejects settings that cannot work.
func (o HTTPOptions) check() (HTTPOptions, error) {
	if _, _, err := net.SplitHostPort(o.Address); err != nil {
		return o, failure.New(failure.Invalid, "give the address as host:port", "store address %q: %v", o.Address, err)
	}
	if o.ClientID == "" {
		return o, failure.New(failure.Invalid, "give the instance id", "the store client has no id")
	}
	for _, d := range []time.Duration{o.CallTimeout, o.WatchWait, o.WatchMargin, o.RetryDelay, o.BreakerOpenTimeout} {
		if d < 0 {
			return o, failure.New(failure.Invalid, "give positive durations", "duration %v of the store client is negative", d)
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
