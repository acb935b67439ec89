package dispatch

import "time"

const (
	// maxQueueFraction is the share of the latency target that prefilling the
	// queued prompts may take. Above it a long prompt is refused, because it and
	// the prompts behind it would miss their targets.
	maxQueueFraction = 0.3
	// maxQueueFractionUrgent is the same share for requests whose priority is the
	// highest (see Urgency). It is larger, so that they are refused only where
	// all other requests are.
	maxQueueFractionUrgent = 0.6
	// busyFraction is the share of an engine's slots in use below which no request
	// is refused.
	busyFraction = 0.2
	// minRetryAfter and maxRetryAfter bound the delay after which a refused caller
	// may retry.
	minRetryAfter = 400 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
)

// admit decides whether an engine accepts one more long prompt, and returns an
// OverloadError if it does not. The length of the new prompt is not considered,
// so that large prompts are refused no earlier than small ones.
func admit(now time.Time, g *targetGroup, t *target, q *Query) error {
	total := t.totalLoad()
	if q.LatencyTarget <= 0 || float64(total.running()) < busyFraction*float64(t.upstream.Slots) {
		return nil
	}
	speed, baseLatency := g.prefillTiming()
	wait := time.Duration((t.queueWait(now, speed) + baseLatency) * float64(time.Millisecond))
	maxFraction := maxQueueFraction
	if q.Urgency < priorityLevels {
		maxFraction = maxQueueFractionUrgent
	}
	if wait <= time.Duration(maxFraction*float64(q.LatencyTarget)) {
		return nil
	}
	retryAfter := time.Duration((0.5 + q.Jitter) * float64(wait))
	return &OverloadError{Upstream: t.upstream.ID, Wait: wait, RetryAfter: min(maxRetryAfter, max(minRetryAfter, retryAfter))}
}
