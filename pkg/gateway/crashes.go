package gateway

import (
	"time"

	"github.com/clementinerack/clementinerack/pkg/quarantine"
)

// CrashGuard stops requests that crash the endpoints that run them.
type CrashGuard interface {
	// Check refuses a request that crashed endpoints before.
	Check(f quarantine.Fingerprint, now time.Time) error
	// Started, Ended and Broken follow a request at an endpoint.
	Started(f quarantine.Fingerprint, endpoint string, now time.Time)
	Ended(f quarantine.Fingerprint, endpoint string)
	Broken(f quarantine.Fingerprint, endpoint string, now time.Time)
	// Died reports that the process of an endpoint has ended.
	Died(endpoint string, now time.Time)
}
