package upstream

import (
	"net/http"
	"strconv"
	"time"

	"mulberrydyke/drain"
	"mulberrydyke/pool"
	"mulberrydyke/ratelimit"
)

// Headers in which upstreams say what requests they take.
const (
	// RateLimitHeader holds the requests per second that the upstream takes from all hosts
	// together, for as long as its responses say so.
	RateLimitHeader = "X-Rate-Limit"
	// DrainingHeader is 1 in the responses of an upstream that is draining.
	DrainingHeader = "X-Draining"
	// retryAfterHeader holds the seconds after which an upstream that has refused a request
	// takes requests again.
	retryAfterHeader = "Retry-After"
)

// Terms is what the head of a response says of the requests that its upstream takes.
type Terms struct {
	RateLimit ratelimit.Announcement
	// RetryAfter is the time after which the upstream takes requests again. It is zero if it
	// does not say.
	RetryAfter time.Duration
	// Drain tells whether the upstream is draining, and Instance which of its processes says so.
	Drain    drain.Announcement
	Instance pool.Instance
	// SentAt is when the request was sent.
	SentAt time.Time
}

// Empty reports whether the upstream neither limits the rate, says when to come back nor that it
// is draining.
func (t *Terms) Empty() bool {
	return t.RateLimit.Rate == ratelimit.NoLimit && t.RetryAfter == 0 && !t.Drain.Draining
}

// decodeTerms decodes the headers of a response. A time to come back counts only in a
// refusal.
func decodeTerms(response *http.Response, sentAt time.Time) Terms {
	out := Terms{
		SentAt: sentAt, RateLimit: ratelimit.ParseAnnouncement(response.Header.Values(RateLimitHeader)),
		Drain: drain.ParseAnnouncement(response.Header.Values(DrainingHeader)), Instance: pool.Instance(response.Header.Get(InstanceHeader)),
	}
	refused := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
	if seconds, err := strconv.ParseUint(response.Header.Get(retryAfterHeader), 10, 31); refused && err == nil {
		out.RetryAfter = time.Duration(seconds) * time.Second
	}
	return out
}
