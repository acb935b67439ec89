package dispatch

import "time"

const (
	// admitPart is the part of the target that the prompts before a request may
	// take to read. Beyond it the request is refused: it would be late, and so
	// would those after it.
	admitPart = 0.3
	// admitUrgent is the same for requests of accounts of the first rank, so that
	// they are refused only where the others are.
	admitUrgent = 0.6
	// busyPart is the part of an engine's slots below which nothing is refused.
	busyPart = 0.2
	// returnLeast and returnMost bound when refused callers may come back.
	returnLeast = 400 * time.Millisecond
	returnMost  = 1500 * time.Millisecond
)

// admit says whether an engine should take one more long prompt. The size of the
// prompt itself doesn't count, so that large ones are refused no sooner. It fails
// with an OverloadError.
func admit(now time.Time, g *group, t *target, q *Query) error {
	load := t.load()
	if q.LatencyTarget <= 0 || float64(load.running()) < busyPart*float64(t.upstream.Slots) {
		return nil
	}
	speed, delay := g.pace()
	wait := time.Duration((t.queue(now, speed) + delay) * float64(time.Millisecond))
	bound := admitPart
	if q.Urgency < ranksMost {
		bound = admitUrgent
	}
	if wait <= time.Duration(bound*float64(q.LatencyTarget)) {
		return nil
	}
	back := time.Duration((0.5 + q.Jitter) * float64(wait))
	return &OverloadError{Upstream: t.upstream.ID, Wait: wait, RetryAfter: min(returnMost, max(returnLeast, back))}
}
