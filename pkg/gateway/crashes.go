package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/clementinerack/clementinerack/pkg/catalog"
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
	// CheckTraits returns an error if requests with the given traits are refused because
	// they have crashed endpoints.
	CheckTraits(traits []quarantine.Trait, now time.Time) error
	// RecordInterruption records that the connection to an endpoint failed while it may
	// have begun to respond to a request with the given traits. ending says how it failed.
	RecordInterruption(endpoint catalog.Endpoint, traits []quarantine.Trait, ending quarantine.Ending)
	// RecordSurvival records that an endpoint survived a request with the given traits.
	RecordSurvival(traits []quarantine.Trait, now time.Time)
	// HandleEndpointDeath counts a crash against the requests that the endpoint ran.
	HandleEndpointDeath(endpoint string, now time.Time)
}

// crashDelay is the time from the first event of a response within which a request that
// crashes its endpoint does so.
const crashDelay = time.Second

// traits returns the traits of a request that may crash endpoints: the shared parts of its
// prompt. It is empty without shared parts.
func (q *request) traits() []quarantine.Trait {
	parts := q.envelope.PromptParts
	if len(parts) < 2 {
		return nil
	}
	traits := make([]quarantine.Trait, 0, len(parts))
	for _, part := range parts[:len(parts)-1] {
		traits = append(traits, quarantine.Trait(part.ID))
	}
	return traits
}

// identifyingTraits returns the traits and the one that only equal requests have.
func (q *request) identifyingTraits() []quarantine.Trait {
	return append(q.traits(), quarantine.IdentifyingTrait(q.fingerprint))
}

// checkTraits returns an error if requests such as this one are refused.
func (q *request) checkTraits(now time.Time) error {
	return q.g.opts.CrashGuard.CheckTraits(q.identifyingTraits(), now)
}

// recordInterruption reports an attempt that ended without a complete response, unless its
// endpoint had responded for so long that another request must have crashed it.
func (q *request) recordInterruption(endpoint catalog.Endpoint, firstEvent, now time.Time) {
	if !firstEvent.IsZero() && now.Sub(firstEvent) > crashDelay {
		return
	}
	q.g.opts.CrashGuard.RecordInterruption(endpoint, q.identifyingTraits(), endingOf(q.interruptedBy))
}

// endingOf returns how the connection of an attempt ended that failed with err, which may be nil.
func endingOf(err error) quarantine.Ending {
	if errors.Is(err, errEmptyBody) || errors.Is(err, errIncompleteEvent) {
		return quarantine.Closed
	}
	return quarantine.EndingOf(err)
}

// recordSurvival reports that an endpoint survived the request.
func (q *request) recordSurvival(now time.Time) {
	q.g.opts.CrashGuard.RecordSurvival(q.identifyingTraits(), now)
}
