// Package upstream sends HTTP requests to engines and plain services. It keeps
// one client per upstream, so that a failing upstream doesn't affect requests to
// the others.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"mulberrydyke/answer"
	"mulberrydyke/link"
	"mulberrydyke/plan"
	"mulberrydyke/pool"
)

const (
	dialTimeout     = time.Second
	idleConnTimeout = 30 * time.Second
	// maxIdleConns limits the idle connections kept open to one upstream.
	maxIdleConns = 64
	// maxResumes limits how often one broken stream is resumed.
	maxResumes = 2
	// loadReportTimeout limits the request for a load report.
	loadReportTimeout  = time.Second
	maxLoadReportBytes = 4 << 10
)

// Headers of requests to upstreams and of their responses.
const (
	RequestIDHeader = "X-Request-Id"
	PriorityHeader  = "X-Priority"
	TicketHeader    = "X-Ticket"
	InstanceHeader  = "X-Instance"
)

// Client sends requests to one upstream.
type Client struct {
	id              plan.UpstreamID
	address         string
	progressTimeout time.Duration
	// pooled reuses connections. unpooled opens one for each request and is used
	// for requests that must not run twice and to resume streams.
	pooled, unpooled httpc.Service
	// transports holds the transport of pooled, then that of unpooled.
	transports [2]*http.Transport
	// instance holds a pool.Instance.
	instance atomic.Value
	// onMalformed is not nil.
	onMalformed MalformedFunc
}

// MalformedFunc is called with an upstream whose response is malformed.
type MalformedFunc func(plan.UpstreamID, *answer.MalformedError)

// Option changes a Client, or all clients of a Set.
type Option func(*Client)

// WithMalformedFunc makes a client call f with each malformed response, whose request fails. The default
// is to call nothing.
func WithMalformedFunc(f MalformedFunc) Option { return func(c *Client) { c.onMalformed = f } }

// NewClient returns a client for an upstream and its cleanup function. A request
// fails if it makes no progress for progressTimeout.
func NewClient(u plan.Upstream, progressTimeout time.Duration, options ...Option) (*Client, func()) {
	c := &Client{id: u.ID, address: u.Address, progressTimeout: progressTimeout, onMalformed: func(plan.UpstreamID, *answer.MalformedError) {}}
	for _, option := range options {
		option(c)
	}
	for i := range c.transports {
		c.transports[i] = &http.Transport{
			IdleConnTimeout:     idleConnTimeout,
			MaxIdleConnsPerHost: maxIdleConns,
			DisableCompression:  true,
			DisableKeepAlives:   i == 1,
		}
	}
	c.pooled = newService(u.ID, c.transports[0])
	c.unpooled = newService(u.ID, c.transports[1])
	c.instance.Store(pool.Instance(""))
	return c, c.transports[0].CloseIdleConnections
}

// newService returns a client that sends requests to an upstream over a transport, and checks the
// responses.
func newService(id plan.UpstreamID, transport *http.Transport) httpc.Service {
	checked := link.CheckResponses(transport, &net.Dialer{Timeout: dialTimeout})
	return httpc.NewServiceWithClient("upstream "+string(id), &http.Client{Transport: checked, CheckRedirect: noRedirect})
}

// noRedirect makes the client return redirects as they are instead of following
// them.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Instance returns the last known instance of the upstream's process. Each start
// of the process is a new instance.
func (c *Client) Instance() pool.Instance { return c.instance.Load().(pool.Instance) }

// Request holds one HTTP request to an upstream.
type Request struct {
	// ID identifies the request. Responses that carry another ID are rejected.
	ID     string
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Ticket is set on a request that must not run twice. It is sent over a new
	// connection.
	Ticket string
	// NewConnection opens a connection for the request, since the pooled ones may be silent.
	NewConnection bool
	Priority      int
	// Prompt is the estimated length of the prompt. An engine shows no progress
	// while it processes the prompt, so a long one extends the timeout of the
	// first event.
	Prompt pool.Tokens
	// OnTerms is called with what the head of each response says of the requests that the
	// upstream takes. It may be nil.
	OnTerms func(Terms)
}

// prefillTimePerToken is the time that an engine may take to process one token
// of a prompt.
const prefillTimePerToken = 500 * time.Microsecond

// firstEventTimeout returns how long a request may make no progress before its
// first event.
func (c *Client) firstEventTimeout(r Request) time.Duration {
	return c.progressTimeout + time.Duration(r.Prompt)*prefillTimePerToken
}

// send sends a request and returns the response once its header has arrived. A
// request with a ticket never uses a pooled connection. Errors are of type
// *Error.
func (c *Client) send(ctx context.Context, r Request) (*http.Response, error) {
	var sent atomic.Bool
	request, err := http.NewRequestWithContext(link.WithSent(ctx, &sent), r.Method,
		"http://"+c.address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, &Error{Upstream: c.id, Fault: NotSent, Reason: err.Error()}
	}
	for name, values := range r.Header {
		request.Header[name] = values
	}
	request.Header.Set(RequestIDHeader, r.ID)
	request.Header.Set(PriorityHeader, strconv.Itoa(r.Priority))
	service := c.pooled
	if r.Ticket != "" || r.NewConnection {
		service = c.unpooled
	}
	if r.Ticket != "" {
		request.Header.Set(TicketHeader, r.Ticket)
	}
	sentAt := time.Now()
	response, err := service.DoRequest(request)
	if err == nil {
		err = c.checkIdentity(response)
	}
	if err != nil {
		c.reportMalformed(err)
		return nil, c.sendError(ctx, err, sent.Load())
	}
	if instance := response.Header.Get(InstanceHeader); instance != "" {
		c.instance.Store(pool.Instance(instance))
	}
	if r.OnTerms != nil {
		r.OnTerms(decodeTerms(response, sentAt))
	}
	return response, nil
}

// checkIdentity returns an error if a response does not say plainly whose it is. Its connection is closed
// then, which is idle already if the response has no content.
func (c *Client) checkIdentity(response *http.Response) error {
	err := answer.CheckOnce(response.Header, RequestIDHeader, InstanceHeader)
	if err != nil {
		_ = response.Body.Close()
		c.transports[0].CloseIdleConnections()
	}
	return err
}

// reportMalformed calls onMalformed if err is that of a malformed response.
func (c *Client) reportMalformed(err error) {
	var malformed *answer.MalformedError
	if errors.As(err, &malformed) {
		c.onMalformed(c.id, malformed)
	}
}

// sendError returns the *Error for a failure before the response header arrived.
// Without a connection nothing was sent. This also covers requests that the
// client's circuit breaker refuses, since it does so before a connection is
// obtained.
func (c *Client) sendError(ctx context.Context, err error, sent bool) error {
	fault := Broken
	switch {
	case !sent:
		fault = NotSent
	case errors.Is(context.Cause(ctx), errNoProgress):
		fault = Silent
	case ctx.Err() != nil:
		fault = CallerGone
	}
	return &Error{Upstream: c.id, Fault: fault, Reason: err.Error()}
}

// checkRefused returns an error for a status by which the upstream refuses a
// request without running it.
func (c *Client) checkRefused(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return &Error{Upstream: c.id, Fault: Refused, Status: response.StatusCode, Reason: response.Status}
	}
	return nil
}

// LoadReport requests the upstream's load report. The report lags behind the
// actual load by its Age.
func (c *Client) LoadReport(ctx context.Context) (LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, loadReportTimeout)
	defer cancel()
	response, err := c.send(ctx, Request{Method: http.MethodGet, Path: "/v1/load"})
	if err != nil {
		return LoadReport{}, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxLoadReportBytes))
	if err != nil || response.StatusCode != http.StatusOK {
		return LoadReport{}, &Error{Upstream: c.id, Fault: Broken, Reason: response.Status}
	}
	return DecodeLoadReport(raw)
}

const (
	// crashProbeTimeout limits the check whether an upstream still responds.
	crashProbeTimeout = 500 * time.Millisecond
)

// Crashed reports whether the upstream's process is no longer the previous
// instance or does not respond. It is called after a connection broke during a
// run.
func (c *Client) Crashed(previous pool.Instance) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	_, err := c.LoadReport(ctx)
	return err != nil || c.Instance() != previous
}

// Cancel tells an engine to stop a run. Errors are ignored, since the engine also
// stops a run whose connection is closed.
func (c *Client) Cancel(ctx context.Context, id string) {
	response, err := c.send(ctx, Request{ID: id, Method: http.MethodDelete, Path: "/v1/runs/" + url.PathEscape(id)})
	if err == nil {
		_ = response.Body.Close()
	}
}
