package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"mulberrydyke/call"
	"mulberrydyke/dispatch"
	"mulberrydyke/link"
	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// errTimeout is the cause where a route's time or the caller's patience ran out.
var errTimeout = errors.New("time is up")

const (
	// triesMost bounds the upstreams that are asked for one request, those that
	// did not run it included.
	triesMost = 4
	// refusalRetry is when callers may come back after a refusal for want of an
	// upstream. Half of it again is added at random, to spread the returns.
	refusalRetry = 200 * time.Millisecond
)

// exchange is one caller's request and the answer to it.
type exchange struct {
	server  *Server
	w       http.ResponseWriter
	request *call.Request
	table   *route.Table
	route   *route.Route
	account *route.Account
	service plan.ServiceID
	// limit is how long the caller is kept waiting, from its arrival.
	limit time.Duration
	avoid []plan.UpstreamID
	// sends counts how often the request reached an upstream, runs how often it
	// may have run.
	sends, runs int
	// began says that the answer's head has gone to the caller.
	began bool
	// lastEvent is the newest event that went to the caller.
	lastEvent   string
	lastEventID int64
	events      int
	// retryAfter is when the caller may come back after a refusal for load. Zero
	// means that there was none.
	retryAfter time.Duration
	// held is the last failure of an upstream that may be passed on.
	held *answer
	// status, first and cause are for the log.
	status int
	first  time.Duration
	// pause is the longest time between two events, latest when the last came.
	pause  time.Duration
	latest time.Time
	cause  string
	lease  *dispatch.Lease
}

// step is what follows a try.
type step int

const (
	// ended means that the caller has its answer, or left.
	ended step = iota
	// again means that the request did not run and may be offered elsewhere.
	again
	// repeat means that the request may have run and has to be sent once more.
	repeat
)

// run tries upstreams until the caller has an answer.
func (x *exchange) run(ctx context.Context) {
	defer x.log()
	x.server.Budget.Fresh(x.request.ReceivedAt, x.service)
	for tries := 1; ; tries++ {
		next := x.try(ctx)
		if next == ended {
			return
		}
		if ctx.Err() != nil || tries >= triesMost || !x.mayGoOn(next) {
			x.giveUp(ctx)
			return
		}
	}
}

// mayGoOn says whether the request may be sent to one more upstream.
func (x *exchange) mayGoOn(next step) bool {
	if next == repeat && (!x.route.Retryable() || x.runs >= x.route.MaxAttempts) {
		return false
	}
	return x.sends == 0 || x.server.Budget.Repeat(x.server.Now(), x.service)
}

// try offers the request to one upstream.
func (x *exchange) try(ctx context.Context) step {
	s := x.server
	if !x.reroute() {
		return x.refuse(0, "the route was withdrawn")
	}
	if left := x.quarantined(); left > 0 {
		x.retryAfter = left
		return x.refuse(0, "a request like this crashed upstreams")
	}
	service := x.table.Services[x.service]
	if service == nil {
		service = &route.Service{ID: x.service}
	}
	lease, err := s.Core.Acquire(s.Now(), dispatch.Query{
		Service: x.service, Prompt: &x.request.Prompt, Exclude: x.avoid, LatencyTarget: x.route.LatencyTarget,
		Urgency: dispatch.Urgency(x.route, x.account), Retryable: x.route.Retryable(), Jitter: rand.Float64(),
	}, service)
	if err != nil {
		x.cause = err.Error()
		var overload *dispatch.OverloadError
		if errors.As(err, &overload) {
			x.retryAfter = overload.RetryAfter
		}
		x.giveUp(ctx)
		return ended
	}
	x.lease = lease
	x.avoid = append(x.avoid, lease.Upstream.ID)
	conn, err := s.Links.Of(lease.Upstream).Get(ctx, s.Now())
	if err != nil {
		x.end(ctx, lease, dispatch.Unreachable, err)
		return again
	}
	if u := s.Current(lease.Upstream.ID); u == nil || u.State != route.Ready {
		conn.Close()
		x.end(ctx, lease, dispatch.Refused, errLeft)
		return again
	}
	return x.send(ctx, lease, conn)
}

// errLeft is the cause where an upstream began to leave before the request was
// sent.
var errLeft = errors.New("upstream is leaving")

// reroute takes up a newer table. It returns false where that does not allow the
// request any more.
func (x *exchange) reroute() bool {
	t := x.server.Table()
	if t == x.table {
		return true
	}
	rt := t.Match(x.request.Host, x.request.Path)
	if rt == nil {
		return false
	}
	account := t.AccountForKey(x.request.APIKey)
	if t.NeedsKey(rt) && account == nil {
		return false
	}
	x.table, x.route, x.account = t, rt, account
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

// send sends the request and handles the head of the answer.
func (x *exchange) send(ctx context.Context, lease *dispatch.Lease, conn *link.Conn) step {
	s := x.server
	now := s.Now()
	header := s.Dialect.UpstreamHeader(x.request, call.ForwardOptions{
		Upstream: lease.Upstream.ID, Account: x.accountID(), TimeLimit: x.limit - now.Sub(x.request.ReceivedAt),
		Urgency: x.urgency(lease.Class), LastEventID: x.lastEvent,
	})
	x.sends++
	sent, err := conn.Send(ctx, s.Dialect, x.request, header, x.headUntil(now, lease))
	if err != nil {
		x.runs++
		x.end(ctx, lease, dispatch.Broken, err)
		return repeat
	}
	reply := sent.Reply
	if reply.NotExecuted {
		x.drain(sent, lease)
		result := dispatch.Refused
		if reply.Misdirected {
			result = dispatch.Misdirected
		}
		x.end(ctx, lease, result, &statusError{status: reply.Status})
		return again
	}
	x.runs++
	ok := reply.Status >= 200 && reply.Status <= 299
	switch {
	case ok && (!reply.Signed || reply.ID != x.request.ID):
		sent.Close()
		x.end(ctx, lease, dispatch.Broken, errUnsealed)
		return repeat
	case ok && x.route.Kind == route.Stream:
		return x.relay(ctx, lease, sent)
	}
	return x.passWhole(ctx, lease, sent)
}

const (
	// headFactor times the target, or the time that answers of the service usually
	// take where that is longer, is how long the head of an answer is awaited from
	// an upstream of a plain service while another may be asked.
	headFactor = 4
	// headLeast is the least of it.
	headLeast = 400 * time.Millisecond
)

// headUntil returns until when the head of an answer is awaited, or zero where
// nothing but the time of the request bounds it: a request that may not be sent
// once more stays where it is, and so do prompts, whose wait is that of a queue, and
// requests of routes that name no target.
func (x *exchange) headUntil(now time.Time, l *dispatch.Lease) time.Time {
	mayRepeat := x.route.Retryable() && x.runs+1 < x.route.MaxAttempts && x.server.Budget.Allows(now, x.service)
	if l.Class != dispatch.ClassPlain || x.route.LatencyTarget <= 0 || !mayRepeat {
		return time.Time{}
	}
	return now.Add(max(headLeast, headFactor*max(x.route.LatencyTarget, l.MedianLatency)))
}

// errUnsealed is the cause where an answer does not bear the upstream's seal or
// belongs to another request.
var errUnsealed = errors.New("answer without a seal")

// urgency returns the request's rank at an engine. Plain services get none.
func (x *exchange) urgency(c dispatch.Class) int {
	if c == dispatch.ClassPlain {
		return -1
	}
	return dispatch.Urgency(x.route, x.account)
}

// end gives the lease back and notes the outcome. What a caller broke off says
// nothing of the upstream.
func (x *exchange) end(ctx context.Context, lease *dispatch.Lease, r dispatch.Result, err error) {
	if err != nil {
		x.cause = err.Error()
	}
	if ctx.Err() != nil && r != dispatch.Done {
		r = dispatch.Abandoned
	}
	x.server.Core.Release(x.server.Now(), lease, r)
	x.server.Metrics.Tried(r)
	x.suspect(lease, r, err)
	if r == dispatch.Done || r == dispatch.Abandoned {
		return
	}
	x.server.Log.Info("try failed", "id", string(x.request.ID), "upstream", string(lease.Upstream.ID),
		"result", r.String(), "cause", x.cause, "sends", x.sends, "runs", x.runs, "events", x.events)
}

// giveUp ends a request that no further upstream may serve.
func (x *exchange) giveUp(ctx context.Context) {
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		x.cause = "caller left"
		x.abort()
	case x.began:
		x.abort()
	case x.held != nil:
		x.write(x.held)
	case x.runs > 0 && context.Cause(ctx) == errTimeout:
		x.refuse(http.StatusGatewayTimeout, "no answer in time")
	case x.runs > 0:
		x.refuse(http.StatusBadGateway, "the upstream broke off")
	default:
		x.refuse(http.StatusServiceUnavailable, "no upstream took the request")
	}
}

// refuse writes an answer of the product's own. Zero chooses the status for a
// request that did not run. An answer that has begun is broken off instead.
func (x *exchange) refuse(status int, reason string) step {
	if x.cause == "" {
		x.cause = reason
	}
	if x.began {
		x.abort()
	}
	if status == 0 {
		status = http.StatusServiceUnavailable
		if x.runs > 0 {
			status = http.StatusBadGateway
		}
	}
	x.status = status
	after := time.Duration(0)
	if status == http.StatusServiceUnavailable {
		after = refusalRetry + rand.N(refusalRetry/2)
		if x.retryAfter > 0 {
			after = x.retryAfter
		}
	}
	writeRefusal(x.w, status, after, reason)
	return ended
}

// abort ends the caller's connection, so that a broken answer does not look
// whole. It does not return.
func (x *exchange) abort() {
	x.status = 0
	panic(http.ErrAbortHandler)
}

// log writes the line that explains the request afterwards.
func (x *exchange) log() {
	now := x.server.Now()
	x.server.Metrics.Ended(x, now)
	attrs := []any{
		"id", string(x.request.ID), "route", string(x.route.Name), "account", string(x.accountID()),
		"table", uint64(x.table.Version), "status", x.status, "sends", x.sends, "runs", x.runs,
		"events", x.events, "first", x.first, "pause", x.pause, "total", now.Sub(x.request.ReceivedAt),
	}
	if l := x.lease; l != nil {
		attrs = append(attrs, "upstream", string(l.Upstream.ID), "class", l.Class.String(), "urgency", x.urgency(l.Class), "missing", l.UncachedTokens, "cost", l.Cost, "candidates", l.Candidates, "shorts", l.ShortEngines, "pace", int(l.PrefillSpeed))
	}
	if x.cause != "" {
		attrs = append(attrs, "cause", x.cause)
	}
	x.server.Log.Info("request ended", attrs...)
}
