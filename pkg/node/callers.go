package node

import (
	"cmp"
	"time"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/ingress"
)

const (
	// headerTimeout bounds the time that a client takes to send its request header,
	// maxHeaderBytes its size, and idleTimeout how long an unused connection stays open, if the
	// declarations set no limit, and on the listeners that are not for callers.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	idleTimeout    = time.Minute
	// largestHeaderBytes bounds the limit of the declarations.
	largestHeaderBytes = 1 << 20
)

// callerRules returns what callers have to keep to: the limits of the current declarations, or
// defaults for those that are not set.
func (n *Node) callerRules() ingress.Rules {
	var limits catalog.Limits
	if c := n.replica.Current(); c != nil {
		limits = c.Limits
	}
	return ingress.Rules{HeadBytes: min(cmp.Or(limits.HeaderBytes, maxHeaderBytes), largestHeaderBytes),
		HeadTimeout: cmp.Or(limits.HeaderTimeout, headerTimeout), IdleTimeout: cmp.Or(limits.IdleTimeout, idleTimeout)}
}
