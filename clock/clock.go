// Package clock waits.
package clock

import (
	"context"
	"time"
)

// Pause waits for a span, or until ctx ends.
func Pause(ctx context.Context, span time.Duration) {
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
