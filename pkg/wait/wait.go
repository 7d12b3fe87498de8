// Package wait provides a sleep that the end of a context interrupts.
package wait

import (
	"context"
	"time"
)

// Sleep returns after d or when ctx is done, whichever comes first.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
