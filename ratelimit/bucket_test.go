package ratelimit

import (
	"testing"
	"time"
)

// TestPausedCallerDoesNotRefillABucketTwice guards against permits that accrue twice, since a
// caller that was paused brings an older time than others.
func TestPausedCallerDoesNotRefillABucketTwice(t *testing.T) {
	b := NewBucket(start, 0)
	for _, millis := range []int{0, 400, 0, 400, 0, 400} {
		b.Refill(at(millis), 2)
	}
	if got := b.Wait().Round(time.Millisecond); got != 100*time.Millisecond {
		t.Errorf("wait %v, want 100ms", got)
	}
}
