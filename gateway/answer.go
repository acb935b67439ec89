package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"

	"mulberrydyke/dispatch"
	"mulberrydyke/link"
	"mulberrydyke/route"
)

const (
	// maxBufferedBytes limits the bodies of all responses that are buffered at the
	// same time, and the events of streams. Upstreams in trouble may send without end.
	maxBufferedBytes = 8 << 20
	// maxFreeBytes is the size up to which a response or an event is buffered whatever
	// others take, so that sound ones don't fail beside those without end.
	maxFreeBytes = 32 << 10
	// maxDiscardBytes limits how much of an unneeded response is read so that its
	// connection can be reused.
	maxDiscardBytes = 16 << 10
)

// errResponseTooLarge reports a response body that exceeds maxBufferedBytes, alone or
// together with others.
var errResponseTooLarge = errors.New("response too large")

// bufferedResponse is a complete response of an upstream.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// relayBuffered reads a response to its end before it writes the first byte to
// the caller.
func (x *exchange) relayBuffered(ctx context.Context, lease *dispatch.Lease, upstreamEx *link.Exchange) attemptResult {
	server := x.server
	reader := &bufferedReader{reader: upstreamEx.Body(), bufferUse: bufferUse{total: &server.bufferedBytes}}
	defer reader.release()
	body, err := io.ReadAll(reader)
	if err != nil {
		upstreamEx.Close()
		x.endAttempt(ctx, lease, dispatch.Broken, upstreamEx.BodyError(err))
		return attemptMayHaveRun
	}
	now := server.Now()
	x.releaseConn(upstreamEx, lease)
	server.Balancer.RecordFirstEvent(now, lease)
	x.firstEventLatency = now.Sub(x.request.ReceivedAt)
	head := upstreamEx.Head
	response := &bufferedResponse{status: head.Status, header: upstreamEx.Response.Header, body: body}
	if head.Status <= 299 {
		x.endAttempt(ctx, lease, dispatch.Done, nil)
		x.cause = ""
		x.writeBuffered(response)
		return attemptFinal
	}
	x.endAttempt(ctx, lease, dispatch.Failed, &statusError{status: head.Status})
	if head.Signed && !impliesNotRun(head.Status) {
		x.lastFailure = response
	}
	return attemptMayHaveRun
}

// bufferUse counts what is buffered of one response against the bytes that a server may
// buffer.
type bufferUse struct {
	// total counts the bytes that are buffered of all responses, taken those of this
	// one.
	total *atomic.Int64
	taken int64
}

// take counts more bytes. It fails with errResponseTooLarge if this response is not small
// and all together take more than maxBufferedBytes.
func (u *bufferUse) take(bytes int) error {
	u.taken += int64(bytes)
	if u.total.Add(int64(bytes)) > maxBufferedBytes && u.taken > maxFreeBytes {
		return errResponseTooLarge
	}
	return nil
}

// release ends the count of the bytes, when they are no longer needed.
func (u *bufferUse) release() {
	u.total.Add(-u.taken)
	u.taken = 0
}

// bufferedReader counts what is read against the bytes that a server may buffer.
type bufferedReader struct {
	reader io.Reader
	bufferUse
}

// Read implements io.Reader. It fails as bufferUse.take does.
func (r *bufferedReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if tooLarge := r.take(n); tooLarge != nil {
		return n, tooLarge
	}
	return n, err
}

// statusError reports a response with a failure status.
type statusError struct{ status int }

func (e *statusError) Error() string { return "upstream returned status " + strconv.Itoa(e.status) }

// impliesNotRun reports whether a status tells the caller that the request did
// not run. Such a status is not forwarded if the upstream may have run the
// request.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// writeBuffered writes a complete response to the caller.
func (x *exchange) writeBuffered(response *bufferedResponse) {
	x.status = response.status
	x.server.Dialect.StripResponseHeader(response.header, true)
	h := x.w.Header()
	for name, values := range response.header {
		h[name] = values
	}
	h["Content-Length"] = []string{strconv.Itoa(len(response.body))}
	x.w.WriteHeader(response.status)
	_, _ = x.w.Write(response.body) // a write error means that the caller has disconnected
}

// releaseConn returns the connection of a complete exchange to its pool.
func (x *exchange) releaseConn(upstreamEx *link.Exchange, lease *dispatch.Lease) {
	upstreamEx.Release(x.server.ConnPools.Get(lease.Upstream), x.server.Now(), x.maxIdleConns(lease))
}

// maxIdleConns returns how many idle connections this host may keep to the upstream of a lease:
// none if it takes no more requests. If the service limits its connections, this host keeps
// only its share of them, so that all hosts together stay within the limit.
func (x *exchange) maxIdleConns(lease *dispatch.Lease) int {
	server := x.server
	if u := server.LookupUpstream(lease.Upstream.ID); u == nil || u.State != route.Ready {
		return 0
	}
	service := x.table.Services[x.service]
	if service == nil || service.MaxConnections <= 0 {
		return link.NoIdleLimit
	}
	return server.Balancer.IdleConnectionLimit(lease.Upstream, service.MaxConnections, server.RetryBudget.hostCount())
}

// discardBody reads the rest of an unneeded response. It keeps the connection if
// the rest is shorter than maxDiscardBytes, else it closes it.
func (x *exchange) discardBody(upstreamEx *link.Exchange, lease *dispatch.Lease) {
	n, err := io.Copy(io.Discard, io.LimitReader(upstreamEx.Body(), maxDiscardBytes))
	if err != nil || n >= maxDiscardBytes {
		upstreamEx.Close()
		return
	}
	x.releaseConn(upstreamEx, lease)
}
