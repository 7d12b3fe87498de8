package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/placement"
)

// applyNotice passes what an endpoint says about itself in the head of a response to the
// pool, and returns a description for the log.
func (q *request) applyNotice(c *placement.Choice, status int, header http.Header, now time.Time) string {
	if _, moved := q.g.opts.Codec.IsRejected(status, header); moved {
		return "" // another process answers at the address
	}
	notice := q.g.opts.Codec.DecodeNotice(status, header)
	description := ""
	if notice.IsLeaving {
		c.MarkLeaving()
		description = ": it leaves"
	}
	if notice.Pause > 0 {
		c.Pause(now.Add(notice.Pause))
		description += ": it wants nothing for " + notice.Pause.String()
	}
	switch {
	case notice.IsLimited:
		if notice.RateLimit != UnknownRate {
			c.SetLimit(notice.RateLimit, now)
		}
		description += ": it takes " + strconv.FormatFloat(notice.RateLimit, 'g', 4, 64) + " requests a second"
	case q.g.opts.Codec.IsResponseTo(header, q.envelope.ID, true):
		c.ClearLimit(now)
	}
	return description
}

// maxRetryDelay bounds the delay after which a caller of a paused service is asked to come
// back: another instance, or endpoints that start meanwhile, may accept its request.
const maxRetryDelay = 10 * time.Second

// outOfUseRetryDelay is the mean retry delay for a request whose endpoints are all in failure
// domains out of use, which only the operator ends.
const outOfUseRetryDelay = time.Second

// retryDelay returns when the caller of a refused request should come back, or 0 if that
// is of no use. If no endpoint accepts a request from this instance for a time, because all
// have turned it away, name limits or are cold, a repeat is refused before the end of the
// first of these times.
func (q *request) retryDelay(cause *failure.Error, now time.Time) time.Duration {
	switch cause.Kind {
	case failure.Quarantined:
		return 0
	case failure.NoEndpoint:
		if q.g.opts.Pool.IsOutOfUse(q.newPlacementRequest()) {
			return jitter(outOfUseRetryDelay)
		}
		if end := q.g.opts.Pool.AcceptsAt(q.service, now); !end.IsZero() {
			return min(end.Sub(now), maxRetryDelay) + jitter(meanRetryDelay)
		}
	}
	return jitter(meanRetryDelay)
}
