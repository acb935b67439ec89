package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"

	"mulberrydyke/dispatch"
	"mulberrydyke/link"
)

// errEventOrder reports a stream whose event IDs do not increase, or a resumed one
// that has events without.
var errEventOrder = errors.New("events out of order")

// relayStream relays a stream event by event. A stream that is interrupted may
// resume at another upstream within the same response. A stream that ends without
// any event counts as interrupted.
func (x *exchange) relayStream(ctx context.Context, lease *dispatch.Lease, upstreamEx *link.Exchange) attemptResult {
	events, release := newEventReader(upstreamEx.Body(), &x.server.bufferedBytes)
	defer release()
	resumed := x.headerWritten
	eventsBefore := x.events
	for first := true; ; first = false {
		e, err := events.next()
		if err == io.EOF && !first {
			x.recordStream(lease, eventsBefore)
			x.finishStream(ctx, lease, upstreamEx)
			return attemptFinal
		}
		if err == nil && !x.follows(e, resumed) {
			err = errEventOrder
		}
		if err != nil {
			upstreamEx.Close()
			x.recordStream(lease, eventsBefore)
			x.endAttempt(ctx, lease, dispatch.Broken, upstreamEx.BodyError(err))
			return x.afterInterruption(ctx)
		}
		now := x.server.Now()
		if first {
			x.attemptFirstEvent = now
			x.server.Balancer.RecordFirstEvent(now, lease)
		}
		x.noteProgress(now)
		if !x.writeEvent(upstreamEx, e) {
			upstreamEx.Close()
			x.cause = "caller disconnected"
			x.recordStream(lease, eventsBefore)
			x.server.Balancer.Release(x.server.Now(), lease, dispatch.Abandoned)
			return attemptFinal
		}
	}
}

// recordStream records how fast the events of the last attempt came. eventsBefore counts the events
// of earlier attempts.
func (x *exchange) recordStream(lease *dispatch.Lease, eventsBefore int) {
	span := x.lastEventAt.Sub(x.attemptFirstEvent)
	x.server.Balancer.RecordStream(x.server.Now(), lease, x.events-eventsBefore-1, span)
}

// follows reports whether an event may follow those that the caller has. In a
// resumed stream only its ID can show that.
func (x *exchange) follows(e event, resumed bool) bool {
	if !e.hasNumber {
		return !resumed
	}
	return x.lastEventID == "" || e.number > x.lastEventNumber
}

// afterInterruption handles a stream that was interrupted. Once events were
// written to the caller, the stream is retried only if the route is resumable,
// there is an event ID to resume from, and ctx has not ended; otherwise the
// connection is aborted.
func (x *exchange) afterInterruption(ctx context.Context) attemptResult {
	if x.headerWritten && (!x.route.Resumable || x.lastEventID == "" || ctx.Err() != nil) {
		x.abort()
	}
	return attemptMayHaveRun
}

// writeEvent writes one event to the caller. It returns false if the caller has
// disconnected.
func (x *exchange) writeEvent(upstreamEx *link.Exchange, e event) bool {
	if !x.headerWritten {
		x.writeHeader(upstreamEx)
	}
	if _, err := x.w.Write(e.raw); err != nil {
		return false
	}
	if f, ok := x.w.(http.Flusher); ok {
		f.Flush()
	}
	now := x.server.Now()
	if x.events > 0 {
		x.longestGap = max(x.longestGap, now.Sub(x.lastEventAt))
	}
	x.lastEventAt = now
	x.events++
	if e.hasNumber {
		x.lastEventID, x.lastEventNumber = e.id, e.number
	}
	return true
}

// writeHeader writes the response header, which is that of the first upstream even
// if the stream resumes at another.
func (x *exchange) writeHeader(upstreamEx *link.Exchange) {
	x.headerWritten = true
	x.status = upstreamEx.Head.Status
	x.firstEventLatency = x.server.Now().Sub(x.request.ReceivedAt)
	x.server.Dialect.StripResponseHeader(upstreamEx.Response.Header, true)
	h := x.w.Header()
	for name, values := range upstreamEx.Response.Header {
		h[name] = values
	}
	x.w.WriteHeader(upstreamEx.Head.Status)
}

// finishStream records the end of a complete stream and keeps its connection.
func (x *exchange) finishStream(ctx context.Context, lease *dispatch.Lease, upstreamEx *link.Exchange) {
	x.releaseConn(upstreamEx, lease)
	x.endAttempt(ctx, lease, dispatch.Done, nil)
	x.cause = ""
}
