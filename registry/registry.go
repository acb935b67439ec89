// Package registry reads the configuration service: plain reads and waiting
// watches over HTTP. It never writes.
//
// A value is read by GET /v1/values/NAME. The answer's X-Index header numbers
// the value's revision. With ?index=N&wait=SPAN the service answers when the
// revision is no longer N, or with status 304 when the span has passed.
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

	"mulberrydyke/clock"
	"mulberrydyke/plan"
)

const (
	dialTimeout = 2 * time.Second
	// watchWait is how long one watch waits at the service.
	watchWait = 20 * time.Second
	// answerMargin is what an answer may take beyond the wait.
	answerMargin = 3 * time.Second
	// retryPause is the pause after a failed read.
	retryPause = 500 * time.Millisecond
)

// IndexHeader carries the revision of a value.
const IndexHeader = "X-Index"

// ReadError reports a read that gave no value.
type ReadError struct {
	Address string
	Kind    plan.Kind
	Reason  string
}

func (e *ReadError) Error() string {
	return fmt.Sprintf("read %s from %s: %s", e.Kind, e.Address, e.Reason)
}

// Value is one revision of a published list.
type Value struct {
	Kind  plan.Kind
	Index uint64
	// Raw is at most plan.MaxListBytes long. It is nil where nothing changed.
	Raw []byte
}

// Client reads the configuration service.
type Client struct {
	addresses []string
	http      *http.Client
	service   []httpc.Service
	calls     atomic.Uint64
}

// NewClient returns a client and its clean-up function. The addresses are IP
// numbers with ports, tried in order.
func NewClient(addresses []string) (*Client, func()) {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 8,
	}
	c := &Client{addresses: addresses, http: &http.Client{Transport: transport}}
	for _, a := range addresses {
		c.service = append(c.service, httpc.NewServiceWithClient("platform "+a, c.http))
	}
	return c, transport.CloseIdleConnections
}

// Calls returns how many calls were made; a waiting watch counts as one.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Read returns the present value. It fails with a ReadError.
func (c *Client) Read(ctx context.Context, kind plan.Kind) (Value, error) {
	return c.get(ctx, kind, 0, 0)
}

// Watch sends each new revision of a list to out until ctx ends. After a
// failure it pauses and goes on with the next address; failed reports it.
func (c *Client) Watch(ctx context.Context, kind plan.Kind, out chan<- Value, failed func(error)) {
	var index uint64
	for ctx.Err() == nil {
		v, err := c.get(ctx, kind, index, watchWait)
		if err != nil {
			failed(err)
			clock.Sleep(ctx, retryPause)
			continue
		}
		index = v.Index
		if v.Raw == nil {
			continue
		}
		select {
		case out <- v:
		case <-ctx.Done():
		}
	}
}

func (c *Client) get(ctx context.Context, kind plan.Kind, index uint64, wait time.Duration) (Value, error) {
	var err error
	for i, address := range c.addresses {
		var v Value
		if v, err = c.getFrom(ctx, i, address, kind, index, wait); err == nil {
			return v, nil
		}
	}
	return Value{}, err
}

func (c *Client) getFrom(ctx context.Context, i int, address string, kind plan.Kind, index uint64, wait time.Duration) (Value, error) {
	c.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, wait+answerMargin)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/values/%s?index=%d&wait=%s", address, kind, index, wait)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Value{}, &ReadError{Address: address, Kind: kind, Reason: err.Error()}
	}
	response, err := c.service[i].DoRequest(request)
	if err != nil {
		return Value{}, &ReadError{Address: address, Kind: kind, Reason: err.Error()}
	}
	defer response.Body.Close()
	return readValue(address, kind, response)
}

func readValue(address string, kind plan.Kind, response *http.Response) (Value, error) {
	fail := func(reason string) (Value, error) {
		return Value{}, &ReadError{Address: address, Kind: kind, Reason: reason}
	}
	index, err := strconv.ParseUint(response.Header.Get(IndexHeader), 10, 64)
	if err != nil {
		return fail("no " + IndexHeader + " header")
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
		return fail("the value is larger than one megabyte")
	}
	return Value{Kind: kind, Index: index, Raw: raw}, nil
}
