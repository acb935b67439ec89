package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"mulberrydyke/dispatch"
	"mulberrydyke/link"
)

const (
	// answerMost bounds an answer that is read whole.
	answerMost = 8 << 20
	// drainMost bounds what is read of an answer that nobody needs, to keep its
	// connection.
	drainMost = 16 << 10
)

// errLarge is the cause where an answer is larger than answerMost.
var errLarge = errors.New("answer too large")

// answer is a whole answer of an upstream.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// passWhole reads an answer to its end before its first byte goes to the caller.
func (x *exchange) passWhole(ctx context.Context, lease *dispatch.Lease, sent *link.Exchange) step {
	s := x.server
	body, err := io.ReadAll(io.LimitReader(sent.Body(), answerMost+1))
	if err == nil && len(body) > answerMost {
		err = errLarge
	}
	if err != nil {
		sent.Close()
		x.end(ctx, lease, dispatch.Broken, sent.Cause(err))
		return repeat
	}
	now := s.Now()
	x.keep(sent, lease)
	s.Core.RecordFirstEvent(now, lease)
	x.first = now.Sub(x.request.ReceivedAt)
	reply := sent.Reply
	a := &answer{status: reply.Status, header: sent.Response.Header, body: body}
	if reply.Status <= 299 {
		x.end(ctx, lease, dispatch.Done, nil)
		x.cause = ""
		x.write(a)
		return ended
	}
	x.end(ctx, lease, dispatch.Failed, &statusError{status: reply.Status})
	if reply.Signed && !promisesNotRun(reply.Status) {
		x.held = a
	}
	return repeat
}

// statusError is the cause where an upstream answered with a failure.
type statusError struct{ status int }

func (e *statusError) Error() string { return "upstream answered " + strconv.Itoa(e.status) }

// promisesNotRun says whether a status tells callers that the request did not
// run. Such a status of an upstream that did run it is not passed on.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// write passes a whole answer on.
func (x *exchange) write(a *answer) {
	x.status = a.status
	x.server.Dialect.StripResponseHeader(a.header, true)
	h := x.w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	h["Content-Length"] = []string{strconv.Itoa(len(a.body))}
	x.w.WriteHeader(a.status)
	_, _ = x.w.Write(a.body) // a caller that left needs no answer
}

// keep puts the connection of a whole exchange back. All hosts together keep no
// more than the upstream takes.
func (x *exchange) keep(sent *link.Exchange, lease *dispatch.Lease) {
	s, most := x.server, link.NoLimit
	if service := x.table.Services[x.service]; service != nil && service.MaxConnections > 0 {
		most = s.Core.IdleConnectionLimit(lease.Upstream, service.MaxConnections, s.Budget.hosts())
	}
	sent.Finish(s.Links.Of(lease.Upstream), s.Now(), most)
}

// drain reads the rest of an answer that nobody needs, and keeps its connection
// where that is cheap.
func (x *exchange) drain(sent *link.Exchange, lease *dispatch.Lease) {
	n, err := io.Copy(io.Discard, io.LimitReader(sent.Body(), drainMost))
	if err != nil || n >= drainMost {
		sent.Close()
		return
	}
	x.keep(sent, lease)
}
