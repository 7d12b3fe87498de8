package gateway

import (
	"github.com/clementinerack/clementinerack/pkg/placement"
	"github.com/clementinerack/clementinerack/pkg/upstream"
)

// applyNotice passes what an endpoint says about itself to the pool, and returns a
// description for the log.
func (q *request) applyNotice(c *placement.Choice, resp *upstream.Response) string {
	if _, moved := q.g.opts.Codec.IsRejected(resp.Status, resp.Header); moved {
		return "" // another process answers at the address
	}
	notice := q.g.opts.Codec.DecodeNotice(resp.Header)
	description := ""
	if notice.IsLeaving {
		c.MarkLeaving()
		description = ": it leaves"
	}
	return description
}
