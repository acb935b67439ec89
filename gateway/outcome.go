package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"mulberrydyke/dispatch"
)

// endAttempt releases the lease and records the result. If the caller has
// disconnected or timed out, the result is dispatch.Abandoned, since a failure
// then says nothing about the upstream.
func (x *exchange) endAttempt(ctx context.Context, lease *dispatch.Lease, result dispatch.Result, err error) {
	if err != nil {
		x.cause = err.Error()
	}
	if ctx.Err() != nil && result != dispatch.Done {
		result = dispatch.Abandoned
	}
	x.server.Balancer.Release(x.server.Now(), lease, result)
	x.recordLost(lease, result)
	x.server.Metrics.RecordAttempt(result)
	x.updateQuarantine(lease, result, err)
	if result == dispatch.Done || result == dispatch.Abandoned {
		return
	}
	x.server.Log.Info("try failed", "id", string(x.request.ID), "upstream", string(lease.Upstream.ID),
		"result", result.String(), "cause", x.cause, "sends", x.sends, "runs", x.possibleRuns, "events", x.events)
}

// giveUp ends a request that can't be sent to another upstream.
func (x *exchange) giveUp(ctx context.Context) {
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		x.cause = "caller disconnected"
		x.abort()
	case x.headerWritten:
		x.abort()
	case x.lastFailure != nil:
		x.writeBuffered(x.lastFailure)
	case x.possibleRuns > 0 && context.Cause(ctx) == errTimeout:
		x.refuse(http.StatusGatewayTimeout, "no answer in time")
	case x.possibleRuns > 0:
		x.refuse(http.StatusBadGateway, "the upstream broke off")
	default:
		x.refuse(http.StatusServiceUnavailable, "no upstream took the request")
	}
}

// refuse writes an error response of this host. A status of zero selects 503 if
// the request did not run and 502 if it may have run. If the response header was
// already written, refuse aborts the connection instead.
func (x *exchange) refuse(status int, reason string) attemptResult {
	if x.cause == "" {
		x.cause = reason
	}
	if x.headerWritten {
		x.abort()
	}
	if status == 0 {
		status = http.StatusServiceUnavailable
		if x.possibleRuns > 0 {
			status = http.StatusBadGateway
		}
	}
	x.status = status
	retryAfter := time.Duration(0)
	if status == http.StatusServiceUnavailable {
		retryAfter = refusalRetryAfter + rand.N(refusalRetryAfter/2)
		if x.retryAfter > 0 {
			retryAfter = x.retryAfter
		}
	}
	writeRefusal(x.w, status, retryAfter, reason)
	return attemptFinal
}

// abort closes the caller's connection, so that a truncated response does not look
// complete. It does not return.
func (x *exchange) abort() {
	x.status = 0
	panic(http.ErrAbortHandler)
}

// logRequest records the metrics of the request and logs how it ended.
func (x *exchange) logRequest() {
	now := x.server.Now()
	x.server.Metrics.RecordRequest(x, now)
	attrs := []any{
		"id", string(x.request.ID), "route", string(x.route.Name), "account", string(x.accountID()),
		"table", uint64(x.table.Version), "status", x.status, "sends", x.sends, "runs", x.possibleRuns,
		"events", x.events, "first", x.firstEventLatency, "pause", x.longestGap, "total", now.Sub(x.request.ReceivedAt),
	}
	if lease := x.lease; lease != nil {
		attrs = append(attrs, "upstream", string(lease.Upstream.ID), "class", lease.Class.String(), "urgency", x.urgency(lease.Class), "missing", lease.UncachedTokens, "cost", lease.Cost, "candidates", lease.Candidates, "shorts", lease.ShortEngines, "pace", int(lease.PrefillSpeed), "speed", lease.Speed)
	}
	if x.cause != "" {
		attrs = append(attrs, "cause", x.cause)
	}
	x.server.Log.Info("request ended", attrs...)
}
