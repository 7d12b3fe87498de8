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
	// RecordStart records that a request is sent to an endpoint. Each call is followed
	// by one call of RecordEnd or RecordBrokenConnection.
	RecordStart(f quarantine.Fingerprint, endpoint string, now time.Time)
	// RecordEnd records that the endpoint no longer runs the request.
	RecordEnd(f quarantine.Fingerprint, endpoint string)
	// RecordBrokenConnection records that the connection failed while the request may
	// have been running.
	RecordBrokenConnection(f quarantine.Fingerprint, endpoint string, now time.Time)
	// HandleEndpointDeath counts a crash against the requests that the endpoint ran.
	HandleEndpointDeath(endpoint string, now time.Time)
}
