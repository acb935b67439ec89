package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// Response is a plain service's complete response.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// Call sends a request to a plain service and returns its whole answer of at
// most the given number of bytes. It fails with an Error.
func (c *Client) Call(parent context.Context, r Request, most int64) (Response, error) {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	watchdog := time.AfterFunc(c.silence, func() { cancel(errSilent) })
	defer watchdog.Stop()
	response, err := c.send(ctx, r)
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	if err := c.refusal(response); err != nil {
		return Response{}, err
	}
	if id := response.Header.Get(RequestIDHeader); id != "" && id != r.ID {
		return Response{}, &Error{Upstream: c.id, Fault: Mismatch, Reason: "answer to request " + id}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, most+1))
	if err != nil {
		return Response{}, c.readError(ctx, parent, err)
	}
	if int64(len(body)) > most {
		return Response{}, &Error{Upstream: c.id, Fault: TooLarge, Reason: "the answer is larger than its bound"}
	}
	return Response{Status: response.StatusCode, Header: answerHeader(response.Header), Body: body}, nil
}

func (c *Client) readError(ctx, parent context.Context, err error) error {
	e := &Error{Upstream: c.id, Fault: Broken, Reason: err.Error()}
	switch {
	case parent.Err() != nil:
		e.Fault = CallerGone
	case errors.Is(context.Cause(ctx), errSilent):
		e.Fault = Silent
	}
	return e
}

// answerHeader returns the headers that a caller gets.
func answerHeader(h http.Header) http.Header {
	out := http.Header{}
	for _, name := range []string{"Content-Type", "Content-Language", "Etag", "Last-Modified"} {
		if v := h.Get(name); v != "" {
			out.Set(name, v)
		}
	}
	return out
}
