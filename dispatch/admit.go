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

// urgencies is the number of urgencies that an engine distinguishes.
const urgencies = lowestUrgency + 1

// admitLimits holds, for each urgency, the longest queue with which long prompts of
// that urgency may be accepted, as of the last of them, in one measure of queues.
type admitLimits [urgencies]time.Duration

// urgentQueueFactor times the longest queue with which a less urgent prompt is accepted
// is one with which a more urgent one still is.
const urgentQueueFactor = 1.5

// limit records the longest queue with which a prompt is accepted by its own target,
// and returns the longest with which it is accepted, which may follow from that of less
// urgent prompts. Engines prefill more urgent prompts first, so they wait less than the
// queue says, and must not be refused while less urgent ones are taken.
func (a *admitLimits) limit(urgency int, own time.Duration) time.Duration {
	urgency = min(max(0, urgency), lowestUrgency)
	a[urgency] = own
	longest := own
	for _, lessUrgent := range a[urgency+1:] {
		longest = max(longest, time.Duration(urgentQueueFactor*float64(lessUrgent)))
	}
	return longest
}

// admit decides whether an engine accepts one more long prompt, and returns an
// OverloadError if it does not. The length of the new prompt is not considered,
// so that large prompts are refused no earlier than small ones.
func admit(now time.Time, g *targetGroup, t *target, q *Query) error {
	if q.LatencyTarget <= 0 {
		return nil
	}
	maxFraction := maxQueueFraction
	if q.Urgency < priorityLevels {
		maxFraction = maxQueueFractionUrgent
	}
	limit := g.admitLimits.limit(q.Urgency, time.Duration(maxFraction*float64(q.LatencyTarget)))
	total := t.totalLoad()
	if float64(total.running()) < busyFraction*float64(t.upstream.Slots) {
		return nil
	}
	speed, baseLatency := g.prefillTiming()
	wait := time.Duration((t.queueWait(now, speed) + baseLatency/t.relativeSpeed()) * float64(time.Millisecond))
	backlog, backlogLimit := t.backlogWait(now), g.backlogLimits.limit(q.Urgency, maxBacklog(q))
	if wait <= limit && backlog <= backlogLimit {
		return nil
	}
	wait = max(wait, backlog)
	retryAfter := time.Duration((0.5 + q.Jitter) * float64(wait))
	return &OverloadError{Upstream: t.upstream.ID, Wait: wait, RetryAfter: min(maxRetryAfter, max(minRetryAfter, retryAfter))}
}
