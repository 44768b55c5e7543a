// Package pause provides a sleep that ends early when a context is done.
package pause

import (
	"context"
	"time"
)

// For sleeps for d, or until ctx is done. It returns false if ctx ended the sleep. If
// d is not positive, it returns immediately whether ctx is not done.
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
