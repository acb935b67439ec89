package pool

import (
	"time"

	"mulberrydyke/ratelimit"
)

// maxPause bounds the time for which an upstream gets no work because it said when to come
// back.
const maxPause = 30 * time.Second

// maxUnreportedDrain is how long an upstream that reports no load counts as draining after it
// said so. Only a request shows then whether it has restarted.
const maxUnreportedDrain = time.Minute

// terms is what an upstream said of the requests that it takes.
type terms struct {
	// stated is the last statement of its rate limit.
	stated ratelimit.Statement
	// permits accrue at this scheduler's share of the rate, while there is a limit.
	permits ratelimit.Bucket
	// pausedUntil is when the upstream takes work again.
	pausedUntil time.Time
	// draining is set while the process drainingInstance drains, which it last said at
	// drainingSaidAt. No other process was heard of since then.
	draining         bool
	drainingInstance Instance
	drainingSaidAt   time.Time
	// reported is set once the upstream has reported its load, which tells its process.
	reported bool
}

// limited reports whether the upstream has a rate limit.
func (t *terms) limited() bool { return t.stated.Rate != ratelimit.NoLimit }

// apply records what an upstream said.
func (t *terms) apply(now time.Time, e *TermsStated) {
	if until := now.Add(min(e.RetryAfter, maxPause)); e.RetryAfter > 0 && until.After(t.pausedUntil) {
		t.pausedUntil = until
	}
	if e.Draining {
		t.draining, t.drainingInstance, t.drainingSaidAt = true, e.Instance, now.Add(-e.HeardAge)
	}
	s := ratelimit.Statement{Rate: e.Rate, SentAt: now.Add(-e.SentAge), ReceivedAt: now.Add(-e.HeardAge)}
	if e.RateUnknown || !s.Overrules(t.stated) {
		return
	}
	if !t.limited() {
		t.permits = ratelimit.NewBucket(now, 0)
	}
	t.stated = s
}

// allow reports whether the upstream takes a request now, if this scheduler has the given
// share of its rate.
func (t *terms) allow(now time.Time, share float64) bool {
	if now.Before(t.pausedUntil) || t.isDraining(now) {
		return false
	}
	if !t.limited() {
		return true
	}
	t.permits.Refill(now, t.stated.Rate*ratelimit.Rate(share))
	return t.permits.Wait() == 0
}

// isDraining reports whether the upstream takes no more requests until it has restarted.
func (t *terms) isDraining(now time.Time) bool {
	return t.draining && (t.reported || now.Sub(t.drainingSaidAt) < maxUnreportedDrain)
}

// observe records which process has reported its load. Another one than that which drains
// starts clean.
func (t *terms) observe(i Instance) {
	t.reported = true
	switch {
	case i == "" || i == t.drainingInstance:
	case t.drainingInstance == "":
		t.drainingInstance = i
	default:
		t.draining = false
	}
}

// take records that the upstream gets a request.
func (t *terms) take() {
	if t.limited() {
		t.permits.Take()
	}
}

// handleTermsStated records what an upstream said of the requests that it takes.
func (s *Scheduler) handleTermsStated(now time.Time, e *TermsStated) {
	if b := s.byID[e.Upstream]; b != nil {
		b.terms.apply(now, e)
	}
}
