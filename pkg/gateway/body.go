package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ingress"
)

// defaultMaxBodyBytes bounds request bodies if the declarations set no limit.
const defaultMaxBodyBytes = 8 << 20

// readBody buffers the whole body, so that it can be sent in several attempts. If it is refused,
// retryAfter is the delay after which the caller may retry, or 0.
func (q *request) readBody() (refusal *failure.Error, retryAfter time.Duration) {
	limit := q.catalog.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	var err error
	q.body, err = ingress.ReadBody(q.w.ResponseWriter, q.r, limit, q.deadline)
	switch {
	case err == nil:
		return nil, 0
	case errors.Is(err, ingress.ErrTooLarge):
		return newNotRunError(failure.TooLarge, "send less", "the body exceeds the limit"), 0
	case errors.Is(err, ingress.ErrNoMemory):
		return newNotRunError(failure.Limited, "send it to another instance", "no memory is left for the body"), jitter(otherInstanceRetryDelay)
	case errors.Is(err, ingress.ErrSlow):
		return newNotRunError(failure.Slow, "send the body without pauses", "the body did not arrive in time"), 0
	}
	return newNotRunError(failure.Invalid, "send the complete body", "the body ended early"), 0
}
