package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"

	"mulberrydyke/dispatch"
	"mulberrydyke/link"
)

// errDisorder is the cause where a stream's events do not increase.
var errDisorder = errors.New("events out of order")

// relay passes a stream on, event by event. A stream that breaks off may go on
// at another upstream inside the same answer.
func (x *exchange) relay(ctx context.Context, lease *dispatch.Lease, sent *link.Exchange) step {
	events := newEventReader(sent.Body())
	for first := true; ; first = false {
		e, err := events.next()
		if err == io.EOF && !first {
			x.finishStream(ctx, lease, sent)
			return ended
		}
		if err == nil && e.hasID && x.lastEvent != "" && e.id <= x.lastEventID {
			err = errDisorder
		}
		if err != nil {
			sent.Close()
			x.end(ctx, lease, dispatch.Broken, sent.Cause(err))
			return x.afterBreak(ctx)
		}
		if first {
			x.server.Core.RecordFirstEvent(x.server.Now(), lease)
		}
		if !x.pass(sent, e) {
			sent.Close()
			x.cause = "caller left"
			x.server.Core.Release(x.server.Now(), lease, dispatch.Abandoned)
			return ended
		}
	}
}

// afterBreak says how to go on after a stream broke off. Once events have gone
// to the caller, it goes on only from a numbered event.
func (x *exchange) afterBreak(ctx context.Context) step {
	if x.began && (!x.route.Resumable || x.lastEvent == "" || ctx.Err() != nil) {
		x.abort()
	}
	return repeat
}

// pass hands one event to the caller. It returns false where the caller left.
func (x *exchange) pass(sent *link.Exchange, e event) bool {
	if !x.began {
		x.begin(sent)
	}
	if _, err := x.w.Write(e.text); err != nil {
		return false
	}
	if f, ok := x.w.(http.Flusher); ok {
		f.Flush()
	}
	now := x.server.Now()
	if x.events > 0 {
		x.pause = max(x.pause, now.Sub(x.latest))
	}
	x.latest = now
	x.events++
	if e.hasID {
		x.lastEvent, x.lastEventID = e.idString, e.id
	}
	return true
}

// begin writes the head of the answer: that of the first upstream.
func (x *exchange) begin(sent *link.Exchange) {
	x.began = true
	x.status = sent.Reply.Status
	x.first = x.server.Now().Sub(x.request.ReceivedAt)
	x.server.Dialect.StripResponseHeader(sent.Response.Header, true)
	h := x.w.Header()
	for name, values := range sent.Response.Header {
		h[name] = values
	}
	x.w.WriteHeader(sent.Reply.Status)
}

// finishStream ends a whole stream. An upstream's answer without any event is
// passed on as it is.
func (x *exchange) finishStream(ctx context.Context, lease *dispatch.Lease, sent *link.Exchange) {
	x.keep(sent, lease)
	x.end(ctx, lease, dispatch.Done, nil)
	x.cause = ""
}
