// Package clock waits.
package clock

import (
	"context"
	"time"
)

// Sleep waits for a span, or until ctx ends.
func Sleep(ctx context.Context, span time.Duration) {
	if span <= 0 {
		return
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
