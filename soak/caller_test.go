package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// requestKind determines whether a request may run more than once and whether its
// response is a stream.
type requestKind string

// The request kinds. Each value is a route name and the first element of the path.
const (
	idempotentRequest    requestKind = "status" // may run more than once
	nonIdempotentRequest requestKind = "place"  // runs at most once
	resumableStream      requestKind = "letter" // runs again from the last event if the stream breaks
	nonResumableStream   requestKind = "draft"  // runs at most once
)

// requestKinds lists all request kinds.
var requestKinds = []requestKind{idempotentRequest, nonIdempotentRequest, resumableStream, nonResumableStream}

// requestMix holds each request kind as often as its share of the traffic. Callers
// draw from it uniformly.
var requestMix = []requestKind{idempotentRequest, nonIdempotentRequest, nonIdempotentRequest, nonIdempotentRequest, resumableStream, nonResumableStream}

// retryable reports whether a request may run more than once.
func (k requestKind) retryable() bool { return k == idempotentRequest || k == resumableStream }

// requestRecord is one request as its caller saw it.
type requestRecord struct {
	id, key, path string
	kind          requestKind
	// prompt lists the parts of the prompt, as ID:TOKENS, or is empty.
	prompt string
	// hostIndex and startNumber identify the process that the request was sent to: a
	// host, and which of the host's starts.
	hostIndex, startNumber int
	sentAt, endedAt        time.Time
	// status is the HTTP status, or zero if no response arrived.
	status int
	// hasSeal reports whether the response carried the upstream's signature, which is
	// the Response-Seal header.
	hasSeal bool
	// drainingUpstream is the upstream that said in the response that it is draining, or "".
	drainingUpstream string
	body             string
	// complete reports whether the response was read to its end.
	complete bool
	// abandonedAt is when the caller closed the connection before the end of the
	// response, or zero.
	abandonedAt time.Time
	err         string
	// hostStoppedAt is when the host got SIGTERM, or zero if it had not by endedAt.
	hostStoppedAt time.Time
}

// loadGenerator sends requests from concurrent callers and records the responses.
type loadGenerator struct {
	fleet        *fleet
	mu           sync.Mutex
	records      []*requestRecord
	requestCount int
}

// newRecord adds the record of a new request. The events argument is the number of
// events that a stream asks for.
func (g *loadGenerator) newRecord(k requestKind, key string, events int) *requestRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requestCount++
	r := &requestRecord{id: fmt.Sprintf("%s-%d", k, g.requestCount), kind: k, key: key, path: fmt.Sprintf("/%s/%d", k, events)}
	if k == resumableStream || k == nonResumableStream {
		r.prompt = fmt.Sprintf("rules:300,subject%d:40,own%d:20", g.requestCount%5, g.requestCount)
	}
	g.records = append(g.records, r)
	return r
}

// callerConn is one caller's persistent connection to a host.
type callerConn struct {
	conn        net.Conn
	reader      *bufio.Reader
	hostIndex   int
	startNumber int
}

// requestTimeout is the timeout that a caller sends with each request. The caller itself
// gives up one second later.
const requestTimeout = 3 * time.Second

// sendLoop sends requests one after another until ctx is done. It abandons one in
// twelve after a random time.
func (g *loadGenerator) sendLoop(ctx context.Context, rng *rand.Rand) {
	var cc *callerConn
	for ctx.Err() == nil {
		if cc == nil {
			cc = g.dial(rng)
		}
		if cc == nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		k := requestMix[rng.IntN(len(requestMix))]
		events := 1
		if k == resumableStream || k == nonResumableStream {
			events = 3 + rng.IntN(40)
		}
		r := g.newRecord(k, g.fleet.pickKey(rng), events)
		var abandonAfter time.Duration
		if rng.IntN(12) == 0 {
			abandonAfter = time.Duration(1+rng.IntN(200)) * time.Millisecond
		}
		if !g.send(cc, r, abandonAfter) {
			_ = cc.conn.Close()
			cc = nil
		}
		time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
	}
	if cc != nil {
		_ = cc.conn.Close()
	}
}

// dial picks a random host and connects to it. It returns nil if the load balancer
// does not consider the host ready or the connection fails.
func (g *loadGenerator) dial(rng *rand.Rand) *callerConn {
	hostIndex := rng.IntN(len(g.fleet.hosts))
	ready, startNumber := g.fleet.hosts[hostIndex].balancerState()
	if !ready {
		return nil
	}
	return g.connect(hostIndex, startNumber)
}

// connect connects to a host and returns nil on failure.
func (g *loadGenerator) connect(hostIndex, startNumber int) *callerConn {
	conn, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", g.fleet.hosts[hostIndex].ip, callerPort), time.Second)
	if err != nil {
		return nil
	}
	return &callerConn{conn: conn, reader: bufio.NewReader(conn), hostIndex: hostIndex, startNumber: startNumber}
}

// send sends one request and reads the response into r. It reports whether the
// connection can be reused. The caller abandons the request after abandonAfter,
// unless that is zero.
func (g *loadGenerator) send(cc *callerConn, r *requestRecord, abandonAfter time.Duration) bool {
	r.hostIndex, r.startNumber, r.sentAt = cc.hostIndex, cc.startNumber, time.Now()
	defer func() {
		r.endedAt, r.hostStoppedAt = time.Now(), g.fleet.hosts[cc.hostIndex].stoppedAt()
	}()
	_ = cc.conn.SetDeadline(time.Now().Add(requestTimeout + time.Second))
	if abandonAfter > 0 {
		_ = cc.conn.SetDeadline(time.Now().Add(abandonAfter))
	}
	method, body := http.MethodGet, r.sentBody()
	if body != "" {
		method = http.MethodPost
	}
	prompt := ""
	if r.prompt != "" {
		prompt = "Prompt-Prefix: " + r.prompt + "\r\n"
	}
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: soak\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Ms: %d\r\n%sTenant: forged\r\nContent-Length: %d\r\n\r\n%s",
		method, r.path, r.id, r.key, requestTimeout.Milliseconds(), prompt, len(body), body)
	if _, err := io.WriteString(cc.conn, request); err != nil {
		return g.recordError(r, abandonAfter, err)
	}
	response, err := http.ReadResponse(cc.reader, &http.Request{Method: method})
	if err != nil {
		return g.recordError(r, abandonAfter, err)
	}
	r.status, r.hasSeal = response.StatusCode, response.Header.Get("Response-Seal") != ""
	if response.Header.Get(drainingHeader) != "" {
		r.drainingUpstream = response.Header.Get("Response-Seal")
	}
	raw, err := io.ReadAll(response.Body)
	r.body = string(raw)
	if err != nil {
		return g.recordError(r, abandonAfter, err)
	}
	r.complete = true
	return !response.Close
}

// recordError records why a response is missing or incomplete, and returns false for
// send, whose caller then closes the connection. That is also how an abandoned
// request ends.
func (g *loadGenerator) recordError(r *requestRecord, abandonAfter time.Duration, err error) bool {
	r.err = err.Error()
	var netErr net.Error
	if abandonAfter > 0 && errors.As(err, &netErr) && netErr.Timeout() {
		r.abandonedAt = time.Now()
	}
	return false
}

// sentBody returns the body of the request. That of a request with a prompt holds the prompt,
// so that no two have the same content.
func (r *requestRecord) sentBody() string {
	if r.kind == nonIdempotentRequest {
		return requestBody(r.id)
	}
	return r.prompt
}

// requestBody returns the body of the nonIdempotentRequest with the given ID.
func requestBody(id string) string { return "order of " + id }

// wantResponse returns the complete response body expected for a request.
func wantResponse(r *requestRecord) string {
	if r.kind == idempotentRequest || r.kind == nonIdempotentRequest {
		return responseBody(r.id)
	}
	n, _ := strconv.Atoi(r.path[strings.LastIndexByte(r.path, '/')+1:])
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(eventText(r.id, i))
	}
	return b.String()
}
