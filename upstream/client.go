// Package upstream talks to engines and plain services over HTTP. It keeps one
// client per upstream, so that trouble with one doesn't reach the others.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"mulberrydyke/plan"
	"mulberrydyke/pool"
)

const (
	dialTimeout = time.Second
	idleLife    = 30 * time.Second
	// idleConnections bounds what is kept open to one upstream.
	idleConnections = 64
	// resumeTries is how often a broken stream is resumed.
	resumeTries = 2
	// loadTimeout bounds the read of a load report.
	loadTimeout = time.Second
	loadBytes   = 4 << 10
)

// Headers between the product and the upstreams.
const (
	RequestIDHeader = "X-Request-Id"
	PriorityHeader  = "X-Priority"
	TicketHeader    = "X-Ticket"
	InstanceHeader  = "X-Instance"
)

// Client talks to one upstream.
type Client struct {
	id      plan.UpstreamID
	address string
	silence time.Duration
	// shared reuses connections; fresh opens one for each request and serves
	// requests that must not run twice.
	shared, fresh httpc.Service
	transports    [2]*http.Transport
	instance      atomic.Value
}

// NewClient returns a client and its clean-up function. Silence is the longest
// time without progress.
func NewClient(u plan.Upstream, silence time.Duration) (*Client, func()) {
	c := &Client{id: u.ID, address: u.Address, silence: silence}
	for i := range c.transports {
		c.transports[i] = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			IdleConnTimeout:     idleLife,
			MaxIdleConnsPerHost: idleConnections,
			DisableCompression:  true,
			DisableKeepAlives:   i == 1,
		}
	}
	name := "upstream " + string(u.ID)
	c.shared = httpc.NewServiceWithClient(name, &http.Client{Transport: c.transports[0], CheckRedirect: noRedirect})
	c.fresh = httpc.NewServiceWithClient(name, &http.Client{Transport: c.transports[1], CheckRedirect: noRedirect})
	c.instance.Store(pool.Instance(""))
	return c, c.transports[0].CloseIdleConnections
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Instance returns the last known start of the upstream's process.
func (c *Client) Instance() pool.Instance { return c.instance.Load().(pool.Instance) }

// Request is one request to an upstream.
type Request struct {
	// ID binds the answer to the request.
	ID     string
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Ticket is set for a request that must not run twice.
	Ticket   string
	Priority int
	// Prompt is the estimated length of the prompt. Reading a long one takes
	// its time before any progress can be seen.
	Prompt pool.Tokens
}

// readTime is how long an engine may take to read one token of a prompt.
const readTime = 500 * time.Microsecond

// patience is how long a request may show no progress before its first event.
func (c *Client) patience(r Request) time.Duration {
	return c.silence + time.Duration(r.Prompt)*readTime
}

// send writes a request and returns the response's head. A request with a
// ticket never uses a pooled connection.
func (c *Client) send(ctx context.Context, r Request) (*http.Response, error) {
	var written atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { written.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.Method,
		"http://"+c.address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, &Error{Upstream: c.id, Fault: NotSent, Reason: err.Error()}
	}
	for name, values := range r.Header {
		request.Header[name] = values
	}
	request.Header.Set(RequestIDHeader, r.ID)
	request.Header.Set(PriorityHeader, strconv.Itoa(r.Priority))
	service := c.shared
	if r.Ticket != "" {
		service = c.fresh
		request.Header.Set(TicketHeader, r.Ticket)
	}
	response, err := service.DoRequest(request)
	if err != nil {
		return nil, c.sendError(ctx, err, written.Load())
	}
	if i := response.Header.Get(InstanceHeader); i != "" {
		c.instance.Store(pool.Instance(i))
	}
	return response, nil
}

// sendError classifies a failure before the response's head. What the client's
// own circuit breaker refuses was never sent, since no connection was taken.
func (c *Client) sendError(ctx context.Context, err error, written bool) error {
	fault := Broken
	switch {
	case !written:
		fault = NotSent
	case errors.Is(context.Cause(ctx), errSilent):
		fault = Silent
	case ctx.Err() != nil:
		fault = CallerGone
	}
	return &Error{Upstream: c.id, Fault: fault, Reason: err.Error()}
}

// refusal returns an error for a status that says that nothing was run.
func (c *Client) refusal(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return &Error{Upstream: c.id, Fault: Refused, Status: response.StatusCode, Reason: response.Status}
	}
	return nil
}

// Load reads the upstream's load report. The report lags behind.
func (c *Client) Load(ctx context.Context) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	response, err := c.send(ctx, Request{Method: http.MethodGet, Path: "/v1/load"})
	if err != nil {
		return Load{}, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, loadBytes))
	if err != nil || response.StatusCode != http.StatusOK {
		return Load{}, &Error{Upstream: c.id, Fault: Broken, Reason: response.Status}
	}
	return DecodeLoad(raw)
}

const (
	// crashProbe bounds the question whether an upstream still lives.
	crashProbe = 500 * time.Millisecond
)

// Crashed says whether the upstream's process is another one than before, or
// does not answer. It is asked after a connection broke during a run.
func (c *Client) Crashed(before pool.Instance) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbe)
	defer cancel()
	_, err := c.Load(ctx)
	return err != nil || c.Instance() != before
}

// Cancel tells an engine to stop a run. Failures don't matter: the engine
// notices the closed connection too.
func (c *Client) Cancel(ctx context.Context, id string) {
	response, err := c.send(ctx, Request{ID: id, Method: http.MethodDelete, Path: "/v1/runs/" + url.PathEscape(id)})
	if err == nil {
		_ = response.Body.Close()
	}
}
