package gateway

import (
	"mulberrydyke/call"
	"mulberrydyke/dispatch"
	"mulberrydyke/ratelimit"
)

// recordRateLimit records what the head of a response says of the rate at which its
// upstream takes requests. A response that may come from another upstream says nothing.
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
		Key: ratelimit.KeyOf(lease.Upstream), Rate: said.Rate, SentAt: x.attemptSentAt, ReceivedAt: now,
	})
	if before != after {
		x.server.Log.Info("upstream changed its rate limit", "id", string(x.request.ID), "upstream", string(lease.Upstream.ID),
			"rate", float64(after), "before", float64(before))
	}
}
