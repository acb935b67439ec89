package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"mulberrydyke/call"
	"mulberrydyke/dispatch"
	"mulberrydyke/link"
	"mulberrydyke/plan"
	"mulberrydyke/ratelimit"
	"mulberrydyke/route"
)

// errTimeout is the cause of a context whose deadline, the route's timeout or the
// caller's shorter one, has passed.
var errTimeout = errors.New("request timed out")

const (
	// maxUpstreamsTried limits the attempts for one request, including those that
	// did not run it.
	maxUpstreamsTried = 4
	// maxRefusedDials limits the attempts for one request that don't count towards
	// maxUpstreamsTried because the upstream's machine refused the connection at once.
	// It bounds the dials of all requests while a whole service is down.
	maxRefusedDials = 12
	// refusalRetryAfter is the Retry-After of a refusal with status 503 if
	// exchange.retryAfter is zero. A random delay of up to half of it is added, so
	// that callers don't retry at the same time.
	refusalRetryAfter = 200 * time.Millisecond
)

// exchange is the state of one request of a caller and its response.
type exchange struct {
	server  *Server
	w       http.ResponseWriter
	request *call.Request
	table   *route.Table
	route   *route.Route
	account *route.Account
	service plan.ServiceID
	// timeout is the time limit of the request, counted from its arrival.
	timeout time.Duration
	// tried lists the upstreams of earlier attempts, which are avoided.
	tried []plan.UpstreamID
	// sends counts how often the request was sent to an upstream, possibleRuns how
	// often an upstream may have run it.
	sends, possibleRuns int
	// refusedDials counts the connections that were refused at once, up to maxRefusedDials.
	refusedDials int
	// headerWritten is set once the response header was written to the caller.
	headerWritten bool
	// lastEventID is the ID of the last event that the caller has.
	// lastEventNumber is the same as an integer, if it is one.
	lastEventID     string
	lastEventNumber int64
	// events counts the events that were written to the caller.
	events int
	// retryAfter is the Retry-After of a refusal because of overload or
	// quarantine. Zero selects refusalRetryAfter.
	retryAfter time.Duration
	// lastFailure is the last failure response that may be forwarded, or nil.
	lastFailure *bufferedResponse
	// status, firstEventLatency, longestGap and cause are for the log and the
	// metrics. firstEventLatency is the time from arrival to the first event, or
	// to the end of a buffered response.
	status            int
	firstEventLatency time.Duration
	// longestGap is the longest time between two events, and lastEventAt is when
	// the last one was written.
	longestGap  time.Duration
	lastEventAt time.Time
	cause       string
	// attemptSentAt is when the last attempt was sent, and attemptFirstEvent when its
	// first event arrived, or zero.
	attemptSentAt, attemptFirstEvent time.Time
	// harmlessNoted is set once it was recorded that the stream of the last attempt goes on.
	harmlessNoted bool
	// endedWithConn is set if the last answer had neither a length nor chunks.
	endedWithConn bool
	// crashChecked is closed when it is known whether the last attempt crashed its
	// upstream. It is nil if nothing suggests that it did.
	crashChecked <-chan struct{}
	// lease is the lease of the last attempt, or nil, and permit the permit that it got.
	lease  *dispatch.Lease
	permit ratelimit.Permit
}

// attemptResult tells whether the request may be retried after an attempt.
type attemptResult int

const (
	// attemptFinal means that the response was written or the caller has
	// disconnected.
	attemptFinal attemptResult = iota
	// attemptNotRun means that the request did not run, so that any request may be
	// sent to another upstream.
	attemptNotRun
	// attemptMayHaveRun means that the request may have run and has no usable
	// response, so that it may be retried only if its route is retryable.
	attemptMayHaveRun
	// attemptPostponed means that nothing was sent, and that the request has waited until an
	// upstream may take it, or that its permit expired before it was sent.
	attemptPostponed
)

// run attempts the request at one upstream after another until the caller has a
// response.
func (x *exchange) run(ctx context.Context) {
	defer x.logRequest()
	x.server.RetryBudget.RecordFirstAttempt(x.request.ReceivedAt, x.service)
	for attempts := 1; ; attempts++ {
		result := x.attempt(ctx)
		for result == attemptPostponed {
			result = x.attempt(ctx)
		}
		if result == attemptFinal {
			return
		}
		if ctx.Err() != nil || attempts-x.refusedDials >= maxUpstreamsTried || !x.mayRetry(result) {
			x.giveUp(ctx)
			return
		}
	}
}

// mayRetry reports whether the request may be sent to another upstream. A request
// that was sent before consumes retry budget.
func (x *exchange) mayRetry(result attemptResult) bool {
	if result == attemptMayHaveRun && (!x.route.Retryable() || x.possibleRuns >= x.route.MaxAttempts) {
		return false
	}
	return x.sends == 0 || x.server.RetryBudget.AcquireRetry(x.server.Now(), x.service)
}

// attempt selects one upstream and sends the request there.
func (x *exchange) attempt(ctx context.Context) attemptResult {
	server := x.server
	if !x.reroute() {
		return x.refuse(0, "the route was withdrawn")
	}
	x.awaitCrashCheck(ctx)
	if left := x.quarantineLeft(); left > 0 {
		x.retryAfter = left
		return x.refuse(0, "a request like this crashed upstreams")
	}
	lease, err := x.acquire(ctx)
	if err != nil {
		return x.handleNoLease(ctx, err)
	}
	x.lease = lease
	x.tried = append(x.tried, lease.Upstream.ID)
	conn, err := server.ConnPools.Get(lease.Upstream).Get(ctx, server.Now())
	if err != nil {
		x.countRefusedDial(err)
		x.endAttempt(ctx, lease, dispatch.Unreachable, err)
		return attemptNotRun
	}
	current, err := x.checkUpstream(lease)
	if err != nil {
		conn.Close()
		x.endAttempt(ctx, lease, dispatch.Refused, err)
		return attemptNotRun
	}
	if err := x.checkPermit(lease, current); err != nil {
		conn.Close()
		x.tried = x.tried[:len(x.tried)-1]
		x.endAttempt(ctx, lease, dispatch.Unsent, err)
		return attemptPostponed
	}
	return x.send(ctx, lease, conn)
}

// handleNoLease waits if an upstream may take the request in time, and else answers it. The
// error is that of acquire.
func (x *exchange) handleNoLease(ctx context.Context, err error) attemptResult {
	var throttled *throttledError
	if errors.As(err, &throttled) && x.awaitPermit(ctx, throttled.Until) {
		return attemptPostponed
	}
	x.cause = err.Error()
	x.setRetryAfter(err)
	x.giveUp(ctx)
	return attemptFinal
}

// countRefusedDial counts a connection that could not be opened, unless the attempt timed out.
func (x *exchange) countRefusedDial(err error) {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return
	}
	x.refusedDials = min(maxRefusedDials, x.refusedDials+1)
}

// setRetryAfter sets when the caller of a request that got no upstream may come back.
func (x *exchange) setRetryAfter(err error) {
	var overload *dispatch.OverloadError
	var throttled *throttledError
	switch {
	case errors.As(err, &overload):
		x.retryAfter = overload.RetryAfter
	case errors.As(err, &throttled):
		x.retryAfter = max(refusalRetryAfter, throttled.Until.Sub(x.server.Now())) + rand.N(refusalRetryAfter)
	}
}

// checkUpstream checks again, after the connection was taken, that the upstream of a lease takes
// requests. It returns the upstream as it is listed now.
func (x *exchange) checkUpstream(lease *dispatch.Lease) (*route.Upstream, error) {
	u := x.server.AwaitUpstream(lease.Upstream.ID)
	if u == nil || u.State != route.Ready {
		return nil, errUpstreamDraining
	}
	if x.server.RateLimits.ReturnsAt(lease.Upstream.ProcessKey()).After(x.server.Now()) {
		return nil, errUpstreamPaused
	}
	return u, nil
}

// checkPermit checks that the permit of this attempt holds for the process of the upstream that is
// listed now.
func (x *exchange) checkPermit(lease *dispatch.Lease, current *route.Upstream) error {
	switch {
	case !current.StartedAt.Equal(lease.Upstream.StartedAt):
		return errUpstreamRestarted
	case !x.server.RateLimits.MaySend(x.server.Now(), lease.Upstream.ProcessKey(), x.permit):
		return errPermitExpired
	}
	return nil
}

// errUpstreamPaused reports an upstream that said, before the request was sent, that it takes
// none for some time.
var errUpstreamPaused = errors.New("upstream takes no requests for some time")

// errUpstreamRestarted reports an upstream of which the list names another process than the one that
// was chosen. That one may be cold.
var errUpstreamRestarted = errors.New("upstream has restarted")

// errPermitExpired reports that the permit to send a request to a cold upstream has expired, or that
// the upstream became cold, before the request was sent.
var errPermitExpired = errors.New("permit for the upstream expired")

// errUpstreamDraining reports an upstream that began to shut down, was evacuated, or was
// removed from the list, before the request was sent.
var errUpstreamDraining = errors.New("upstream is draining, evacuated or was removed")

// reroute matches the request again if there is a newer routing table. It returns
// false if that table no longer allows the request, or to resume a stream of which
// the caller has a part.
func (x *exchange) reroute() bool {
	table := x.server.Table()
	if table == x.table {
		return true
	}
	rt := table.Match(x.request.Host, x.request.Path)
	if rt == nil {
		return false
	}
	account := table.AccountForKey(x.request.APIKey)
	if table.NeedsKey(rt) && account == nil {
		return false
	}
	if x.headerWritten && (rt.Kind != route.Stream || !rt.Resumable) {
		return false
	}
	x.table, x.route, x.account = table, rt, account
	if !rt.Allows(x.service) {
		x.service = rt.PickService(route.UnitFraction(route.Hash(string(x.request.ID))))
	}
	return true
}

func (x *exchange) accountID() plan.AccountID {
	if x.account == nil {
		return ""
	}
	return x.account.ID
}

// send sends the request and handles the response header.
func (x *exchange) send(ctx context.Context, lease *dispatch.Lease, conn *link.Conn) attemptResult {
	server := x.server
	now := server.Now()
	header := server.Dialect.UpstreamHeader(x.request, call.ForwardOptions{
		Upstream: lease.Upstream.ID, Account: x.accountID(), TimeLimit: x.timeout - now.Sub(x.request.ReceivedAt),
		Urgency: x.urgency(lease.Class), LastEventID: x.lastEventID,
	})
	x.sends++
	x.attemptSentAt, x.attemptFirstEvent, x.harmlessNoted, x.crashChecked = now, time.Time{}, false, nil
	upstreamEx, err := conn.Send(ctx, server.Dialect, x.request, header, x.headerDeadline(now, lease))
	if err != nil {
		x.possibleRuns++
		server.Metrics.RecordMalformedResponse(err)
		x.endAttempt(ctx, lease, dispatch.Broken, err)
		return attemptMayHaveRun
	}
	x.endedWithConn = upstreamEx.EndsWithConn()
	head := upstreamEx.Head
	x.recordRateLimit(lease, head)
	x.recordPause(lease, head)
	x.recordDrain(lease, head)
	if head.NotExecuted {
		x.discardBody(upstreamEx, lease)
		result := dispatch.Refused
		if head.Misdirected {
			result = dispatch.Misdirected
		}
		x.endAttempt(ctx, lease, result, &statusError{status: head.Status})
		return attemptNotRun
	}
	x.possibleRuns++
	success := head.Status >= 200 && head.Status <= 299
	switch {
	case success && (!head.Signed || head.ID != x.request.ID):
		upstreamEx.Close()
		x.endAttempt(ctx, lease, dispatch.Broken, errInvalidSignature)
		return attemptMayHaveRun
	case success && x.route.Kind == route.Stream:
		return x.relayStream(ctx, lease, upstreamEx)
	}
	return x.relayBuffered(ctx, lease, upstreamEx)
}

const (
	// headerTimeoutFactor limits how long an upstream of a plain service may take
	// to send the response header while the request can be retried elsewhere. It
	// multiplies the route's target latency, or the median latency of the service
	// if that is longer.
	headerTimeoutFactor = 4
	// minHeaderTimeout is the lower bound of that timeout.
	minHeaderTimeout = 400 * time.Millisecond
)

// headerDeadline returns the deadline of the response header. It returns the zero
// time if only the request's own timeout applies: for requests that can't be
// retried, for prompts, which wait in an engine's queue, and for routes without a
// target latency.
func (x *exchange) headerDeadline(now time.Time, lease *dispatch.Lease) time.Time {
	mayRetry := x.route.Retryable() && x.possibleRuns+1 < x.route.MaxAttempts && x.server.RetryBudget.CanRetry(now, x.service)
	if lease.Class != dispatch.ClassPlain || x.route.LatencyTarget <= 0 || !mayRetry {
		return time.Time{}
	}
	return now.Add(max(minHeaderTimeout, headerTimeoutFactor*max(x.route.LatencyTarget, lease.MedianLatency)))
}

// errInvalidSignature reports a response that lacks the upstream's signature or
// belongs to another request.
var errInvalidSignature = errors.New("response without a valid signature")

// urgency returns the urgency that an engine is given for the request, or -1 for
// plain services, which have none.
func (x *exchange) urgency(class dispatch.Class) int {
	if class == dispatch.ClassPlain {
		return -1
	}
	return dispatch.Urgency(x.route, x.account)
}
