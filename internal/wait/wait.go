// Package wait provides a sleep that ends early when a context ends.
package wait

import (
	"context"
	"time"
)

// For waits for d or until the context ends.
func For(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
