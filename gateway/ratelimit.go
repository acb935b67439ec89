package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"mulberrydyke/call"
	"mulberrydyke/clock"
	"mulberrydyke/dispatch"
	"mulberrydyke/ratelimit"
	"mulberrydyke/route"
)

// Permits gets permits to send requests to upstreams whose rate is limited.
type Permits interface {
	// RequestPermit returns a permit to send a request of the given urgency, from 0 (most
	// urgent) to 9, to an upstream now, or false. It does not wait until there is one.
	RequestPermit(ctx context.Context, u *route.Upstream, urgency int) (ratelimit.Permit, bool)
}

const (
	// maxPermitWaitFraction and maxPermitWaitTargets bound how long a request waits for a
	// permit, counted from its arrival: as a fraction of its timeout, and in latency
	// targets of its route. Afterwards there would be little time left to serve it.
	maxPermitWaitFraction = 0.5
	maxPermitWaitTargets  = 4
	// minPermitWait is the lower bound of the latter.
	minPermitWait = time.Second
	// permitJitter bounds the random time after which waiting requests ask again, so that
	// they don't ask at once.
	permitJitter = 20 * time.Millisecond
	// noHolderPause is after how long hosts that can give permits are looked for again.
	noHolderPause = time.Second
)

// throttledError reports that no upstream takes a request now because of their rate limits.
type throttledError struct {
	// Until is when one may take it at the earliest.
	Until time.Time
}

func (e *throttledError) Error() string { return "all upstreams are at their rate limits" }

// acquire chooses an upstream for an attempt, and gets a permit if its rate is limited. It
// fails with the errors of dispatch.Balancer.Acquire, with a *throttledError, or with the cause
// of the end of ctx.
func (x *exchange) acquire(ctx context.Context) (*dispatch.Lease, error) {
	server := x.server
	service := x.table.Services[x.service]
	if service == nil {
		service = &route.Service{ID: x.service}
	}
	urgency := dispatch.Urgency(x.route, x.account)
	for {
		now := server.Now()
		throttle := throttle{limits: server.RateLimits, now: now, urgency: urgency}
		lease, err := server.Balancer.Acquire(now, dispatch.Query{
			Service: x.service, Prompt: &x.request.Prompt, Exclude: x.tried, Throttled: throttle.filter(),
			LatencyTarget: x.route.LatencyTarget, GapTarget: x.route.EventGapTarget, Urgency: urgency, Retryable: x.route.Retryable(), Jitter: rand.Float64(),
		}, service)
		var none *dispatch.NoUpstreamError
		switch {
		case errors.As(err, &none) && !throttle.until.IsZero():
			return nil, &throttledError{Until: throttle.until}
		case err != nil:
			return nil, err
		case server.RateLimits.Empty():
			x.permit = ratelimit.Permit{}
			return lease, nil
		}
		permit, ok := server.Permits.RequestPermit(ctx, lease.Upstream, urgency)
		if ok {
			x.permit = permit
			return lease, nil
		}
		server.Balancer.Release(server.Now(), lease, dispatch.Unsent)
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
	}
}

// throttle finds out which upstreams take no request now because of their rate limits.
type throttle struct {
	limits  *ratelimit.Limiter
	now     time.Time
	urgency int
	// until is when the first of them takes one again. It is zero if there is none.
	until time.Time
}

// filter returns a function that reports whether an upstream takes no request now, or nil
// if no upstream has a limit.
func (t *throttle) filter() func(*route.Upstream) bool {
	if t.limits.Empty() {
		return nil
	}
	return func(u *route.Upstream) bool {
		at, ok := t.limits.AvailableAt(t.now, u, t.urgency)
		if !ok {
			at = t.now.Add(noHolderPause)
		}
		if !at.After(t.now) {
			return false
		}
		if t.until.IsZero() || at.Before(t.until) {
			t.until = at
		}
		return true
	}
}

// awaitPermit waits until an upstream may take the request. It returns false if that would
// be too late, or if the caller has left.
func (x *exchange) awaitPermit(ctx context.Context, until time.Time) bool {
	now := x.server.Now()
	longest := time.Duration(maxPermitWaitFraction * float64(x.timeout))
	if x.route.LatencyTarget > 0 {
		longest = min(longest, max(minPermitWait, maxPermitWaitTargets*x.route.LatencyTarget))
	}
	until = until.Add(rand.N(permitJitter))
	if until.After(x.request.ReceivedAt.Add(longest)) {
		return false
	}
	clock.Sleep(ctx, until.Sub(now))
	return ctx.Err() == nil
}

// recordPause records what the head of a response says of when its upstream takes requests
// again.
func (x *exchange) recordPause(lease *dispatch.Lease, head call.ResponseHead) {
	if head.Misdirected || head.ID != x.request.ID {
		return
	}
	said := head.Pause
	if said.Problem != nil {
		x.server.Log.Warn("malformed time to come back", "id", string(x.request.ID), "upstream", string(lease.Upstream.ID), "taken", said.Pause, "cause", said.Problem)
	}
	if said.Pause > 0 && x.server.RateLimits.RecordPause(x.server.Now(), lease.Upstream.ProcessKey(), said.Pause) {
		x.server.Log.Info("upstream pauses", "id", string(x.request.ID), "upstream", string(lease.Upstream.ID), "for", said.Pause)
	}
}

// recordRateLimit records what the head of a response says of the rate at which its upstream
// takes requests. A response that may come from another upstream says nothing.
func (x *exchange) recordRateLimit(lease *dispatch.Lease, head call.ResponseHead) {
	if head.Misdirected || head.ID != x.request.ID || !head.Signed && !head.NotExecuted {
		return
	}
	said := head.RateLimit
	if said.Problem != nil {
		x.server.Log.Warn("malformed rate limit", "id", string(x.request.ID), "upstream", string(lease.Upstream.ID),
			"ignored", said.Unusable, "rate", float64(said.Rate), "cause", said.Problem)
	}
	if said.Unusable {
		return
	}
	now := x.server.Now()
	before, after := x.server.RateLimits.Record(now, ratelimit.Statement{
		Key: lease.Upstream.ProcessKey(), Rate: said.Rate, SentAt: x.attemptSentAt, ReceivedAt: now,
	})
	if before != after {
		x.server.Log.Info("upstream changed its rate limit", "id", string(x.request.ID), "upstream", string(lease.Upstream.ID),
			"rate", float64(after), "before", float64(before))
	}
}
