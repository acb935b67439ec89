package entry

import (
	"errors"
	"net/http"
	"os"
	"time"

	"mulberrydyke/connlimit"
	"mulberrydyke/refusal"
)

const (
	// limitRetryAfter is the time after which a request may be sent again whose body found no memory
	// or did not arrive in time.
	limitRetryAfter = time.Second
	// unreadBodyTimeout limits the time for which the rest of a refused body is awaited.
	unreadBodyTimeout = time.Second
)

// readBody reads the request body within the configured limits of size and time. It fails with a
// refusal, after which the connection is closed.
func (s *Server) readBody(c *callContext) ([]byte, error) {
	controller := http.NewResponseController(c.w)
	_ = controller.SetReadDeadline(c.arrived.Add(s.bounds.BodyTimeout.Std())) // the read shows a closed connection
	body, err := connlimit.ReadBody(c.r.Context(), c.r.Body, c.r.ContentLength, s.bounds.MaxBodyBytes)
	_ = controller.SetReadDeadline(time.Time{})
	if err == nil {
		return body, nil
	}
	c.w.Header().Set("Connection", "close")
	_ = controller.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	return nil, bodyRefusal(err)
}

// bodyRefusal returns the refusal of a request whose body was not read to its end.
func bodyRefusal(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refusal.New(refusal.BodyTooLarge, err.Error())
	case errors.Is(err, connlimit.ErrLimitReached):
		return refusal.New(refusal.BodyTimeout, "the body made no progress while others needed its memory").WithRetryAfter(limitRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refusal.New(refusal.BodyTimeout, "the body did not come in time").WithRetryAfter(limitRetryAfter)
	}
	return refusal.New(refusal.BadRequest, "the body broke off")
}
