package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// Response is the complete HTTP response of a plain service. Its header holds
// only the fields that are forwarded to the caller.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// Call sends a request to a plain service and returns the complete response,
// whose body may hold at most maxBytes. Errors are of type *Error. The whole call
// must finish within the progress timeout.
func (c *Client) Call(parent context.Context, r Request, maxBytes int64) (Response, error) {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	watchdog := time.AfterFunc(c.progressTimeout, func() { cancel(errNoProgress) })
	defer watchdog.Stop()
	response, err := c.send(ctx, r)
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	if err := c.checkRefused(response); err != nil {
		return Response{}, err
	}
	if id := response.Header.Get(RequestIDHeader); id != "" && id != r.ID {
		return Response{}, &Error{Upstream: c.id, Fault: Mismatch, Reason: "answer to request " + id}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	if err != nil {
		return Response{}, c.classifyReadError(ctx, parent, err)
	}
	if int64(len(body)) > maxBytes {
		return Response{}, &Error{Upstream: c.id, Fault: TooLarge, Reason: "the answer is larger than its bound"}
	}
	return Response{Status: response.StatusCode, Header: forwardedHeader(response.Header), Body: body}, nil
}

// classifyReadError returns the *Error for a failed read of the response body.
// The caller's context is parent; ctx is derived from it and also canceled on
// lack of progress.
func (c *Client) classifyReadError(ctx, parent context.Context, err error) error {
	e := &Error{Upstream: c.id, Fault: Broken, Reason: err.Error()}
	switch {
	case parent.Err() != nil:
		e.Fault = CallerGone
	case errors.Is(context.Cause(ctx), errNoProgress):
		e.Fault = Silent
	}
	return e
}

// forwardedHeader returns the response headers that are forwarded to the caller.
func forwardedHeader(header http.Header) http.Header {
	out := http.Header{}
	for _, name := range []string{"Content-Type", "Content-Language", "Etag", "Last-Modified"} {
		if value := header.Get(name); value != "" {
			out.Set(name, value)
		}
	}
	return out
}
