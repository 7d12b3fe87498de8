// Package wait pauses loops that end with a context.
package wait

import (
	"context"
	"time"
)

// Sleep returns after d or at the end of ctx, whichever comes first.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
