// Package pause waits for a time or for the end of a context.
package pause

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends. It reports whether ctx still goes on.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
