package routing

import (
	"math"
	"time"

	"github.com/clementinerack/clementinerack/pkg/admission"
)

// claim returns the request as one that waits for a slot.
func (r Request) claim() admission.Claim {
	return admission.Claim{Group: r.Workspace, Priority: int(r.Priority), Units: 1, Deadline: r.Deadline}
}

// canMeetDeadline reports whether a request that joins the queue is expected to
// start before its deadline. Its own service time is not included, because a short
// lookup takes far less than the mean.
func (s *service) canMeetDeadline(req Request, usable int, now time.Time) bool {
	mean, ok := s.serviceTime.Value()
	if req.Deadline.IsZero() || !ok {
		return true
	}
	slots := float64(usable * s.maxInFlight)
	if req.Isolate {
		slots = float64(usable)
	}
	claim := req.claim()
	supply := admission.Supply{PerSecond: slots / mean.Seconds(), Pending: math.Inf(1)}
	wait := supply.Wait(s.queue.Ahead(claim), claim.Units)
	return wait < req.Deadline.Sub(now)
}
