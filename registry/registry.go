// Package registry is a client of the configuration service. It reads and
// watches values over HTTP and never writes them.
//
// GET /v1/values/NAME returns a value, with the number of its revision in the
// X-Index header. With ?index=N&wait=DURATION the request is a long poll: the
// service responds as soon as the revision differs from N, or with status 304
// after the duration.
package registry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/rest/httpc"

	"mulberrydyke/answer"
	"mulberrydyke/clock"
	"mulberrydyke/link"
	"mulberrydyke/plan"
)

const (
	dialTimeout = 2 * time.Second
	// watchWait is how long the service may hold one long poll.
	watchWait = 20 * time.Second
	// responseMargin is the time that a response may take beyond the wait.
	responseMargin = 3 * time.Second
	// retryDelay is the delay after a failed read in a watch.
	retryDelay = 500 * time.Millisecond
)

// IndexHeader is the response header with the revision of a value.
const IndexHeader = "X-Index"

// ReadError reports a failed read.
type ReadError struct {
	Address string
	Kind    plan.ListKind
	Reason  string
}

func (e *ReadError) Error() string {
	return fmt.Sprintf("read %s from %s: %s", e.Kind, e.Address, e.Reason)
}

// Value is one revision of a published list.
type Value struct {
	Kind plan.ListKind
	// Index is the number of the revision.
	Index uint64
	// Raw is the encoded list, at most plan.MaxListBytes long. It is nil if the
	// revision has not changed.
	Raw []byte
}

// Client reads published lists from the configuration service.
type Client struct {
	addresses  []string
	httpClient *http.Client
	services   []httpc.Service
	calls      atomic.Uint64
}

// NewClient returns a client and a function that closes its idle connections.
// The addresses are IP addresses with ports; they are tried in order.
func NewClient(addresses []string) (*Client, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 8}
	checked := link.CheckResponses(transport, &net.Dialer{Timeout: dialTimeout})
	c := &Client{addresses: addresses, httpClient: &http.Client{Transport: checked}}
	for _, a := range addresses {
		c.services = append(c.services, httpc.NewServiceWithClient("platform "+a, c.httpClient))
	}
	return c, transport.CloseIdleConnections
}

// Calls returns the number of requests sent. A long poll counts as one request.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Read returns the current revision of a list. It returns a ReadError if no
// address provides one.
func (c *Client) Read(ctx context.Context, kind plan.ListKind) (Value, error) {
	v, _, err := c.get(ctx, kind, cursor{}, 0)
	return v, err
}

// Watch sends each new revision of a list to values until ctx is done. If every
// address fails, Watch calls onError and retries after a delay.
func (c *Client) Watch(ctx context.Context, kind plan.ListKind, values chan<- Value, onError func(error)) {
	var known cursor
	for ctx.Err() == nil {
		v, next, err := c.get(ctx, kind, known, watchWait)
		known = next
		if err != nil {
			onError(err)
			clock.Sleep(ctx, retryDelay)
			continue
		}
		if v.Raw == nil {
			continue
		}
		select {
		case values <- v:
		case <-ctx.Done():
		}
	}
}

// cursor is the last revision that an address has served since it last failed. An index says
// nothing at another address, or after the service has come back from an older copy.
type cursor struct {
	address int
	// index is zero if nothing is known.
	index uint64
}

// get requests a list from each address in turn until one request succeeds, and returns the
// cursor for the next call. It returns the last error if all fail.
func (c *Client) get(ctx context.Context, kind plan.ListKind, known cursor, wait time.Duration) (Value, cursor, error) {
	var err error
	for i, address := range c.addresses {
		index := uint64(0)
		if i == known.address {
			index = known.index
		}
		var v Value
		if v, err = c.getFrom(ctx, i, address, kind, index, wait); err == nil {
			return v, cursor{address: i, index: v.Index}, nil
		}
	}
	return Value{}, cursor{}, err
}

func (c *Client) getFrom(ctx context.Context, i int, address string, kind plan.ListKind, index uint64, wait time.Duration) (Value, error) {
	c.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, wait+responseMargin)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/values/%s?index=%d&wait=%s", address, kind, index, wait)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Value{}, &ReadError{Address: address, Kind: kind, Reason: err.Error()}
	}
	response, err := c.services[i].DoRequest(request)
	if err != nil {
		return Value{}, &ReadError{Address: address, Kind: kind, Reason: err.Error()}
	}
	defer response.Body.Close()
	return readValue(address, kind, response)
}

func readValue(address string, kind plan.ListKind, response *http.Response) (Value, error) {
	fail := func(reason string) (Value, error) {
		return Value{}, &ReadError{Address: address, Kind: kind, Reason: reason}
	}
	if err := answer.CheckOnce(response.Header, IndexHeader); err != nil {
		return fail(err.Error())
	}
	index, err := strconv.ParseUint(response.Header.Get(IndexHeader), 10, 64)
	if err != nil {
		return fail("missing or invalid " + IndexHeader + " header")
	}
	switch response.StatusCode {
	case http.StatusNotModified:
		return Value{Kind: kind, Index: index}, nil
	case http.StatusOK:
	default:
		return fail(response.Status)
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, plan.MaxListBytes+1))
	if err != nil {
		return fail(err.Error())
	}
	if len(raw) > plan.MaxListBytes {
		return fail("the value exceeds 1 MiB")
	}
	return Value{Kind: kind, Index: index, Raw: raw}, nil
}
