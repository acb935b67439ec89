// Package clock provides a sleep that a context can end.
package clock

import (
	"context"
	"time"
)

// Sleep waits until d has passed or ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
