package gateway

import (
	"time"

	"github.com/clementinerack/clementinerack/pkg/quarantine"
)

// CrashGuard refuses requests that have crashed the endpoints that ran them.
type CrashGuard interface {
	// Check returns an error if the request is refused because it has crashed
	// endpoints.
	Check(f quarantine.Fingerprint, now time.Time) error
	// Started records that a request is sent to an endpoint. Each call is followed
	// by one call of Ended or Broken.
	Started(f quarantine.Fingerprint, endpoint string, now time.Time)
	// Ended records that the request no longer runs at the endpoint.
	Ended(f quarantine.Fingerprint, endpoint string)
	// Broken records that the connection failed while the request may have been
	// running.
	Broken(f quarantine.Fingerprint, endpoint string, now time.Time)
	// Died records that the process of an endpoint has ended.
	Died(endpoint string, now time.Time)
}
