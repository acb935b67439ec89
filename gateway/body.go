package gateway

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"mulberrydyke/connlimit"
)

const (
	// defaultMaxBodyBytes limits request bodies if the table sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// limitRetryAfter is the Retry-After of a request whose body found no memory. A random delay
	// of up to as much is added, so that callers don't come back together.
	limitRetryAfter = time.Second
	// lateRetryAfter is the Retry-After of a request whose body did not arrive in time.
	lateRetryAfter = time.Second
	// maxUnreadBytes is the longest declared body that is read after a refusal, so that the
	// connection can be used again.
	maxUnreadBytes = 64 << 10
	// unreadBodyTimeout limits the time for which the rest of a refused body is awaited.
	unreadBodyTimeout = time.Second
)

// headTooLong reports whether the head of a request is over the limit in force.
func (s *Server) headTooLong(r *http.Request) bool {
	table := s.Table()
	return table != nil && table.Limits.MaxHeaderBytes > 0 && connlimit.HeadSize(r) > table.Limits.MaxHeaderBytes
}

// readBody reads the whole body, so that the request can be retried at another upstream. It has
// to arrive within the request's time. It returns false after it rejected the request or logged
// that the caller has disconnected.
func (x *exchange) readBody(r *http.Request, maxBytes int64) bool {
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	if r.ContentLength == 0 {
		return true
	}
	// net/http clears the deadline once the body is complete. Setting it fails only for connections
	// without deadlines, such as those of tests.
	_ = http.NewResponseController(x.w).SetReadDeadline(x.request.ReceivedAt.Add(x.timeout))
	body, err := connlimit.ReadBody(r.Context(), r.Body, r.ContentLength, maxBytes)
	x.request.Body = body
	if err != nil {
		x.rejectBody(r, err)
	}
	return err == nil
}

// rejectBody answers a request whose body was not read to its end. It was not passed on.
func (x *exchange) rejectBody(r *http.Request, err error) {
	server := x.server
	var tooLarge *http.MaxBytesError
	x.w.Header().Set("Connection", "close")
	switch {
	case errors.As(err, &tooLarge):
		server.reject(x.w, r, x.request, http.StatusRequestEntityTooLarge, 0, "body too large")
	case errors.Is(err, connlimit.ErrLimitReached):
		// The limiter logs when its limits are reached, not each request.
		retryAfter := limitRetryAfter + rand.N(limitRetryAfter)
		server.writeRejection(x.w, r, http.StatusServiceUnavailable, retryAfter, "too many requests are being sent")
	case errors.Is(err, os.ErrDeadlineExceeded):
		server.reject(x.w, r, x.request, http.StatusRequestTimeout, lateRetryAfter, "body not sent in time")
	default:
		server.logCause(x.request, "caller disconnected before its body was read", err.Error())
		server.writeRejection(x.w, r, http.StatusBadRequest, 0, "the body broke off")
	}
}

// abandonBody limits how much of the body of a refused request is read, and for how long: net/http
// reads the rest of a body before or after the answer, so that the connection can be used again.
func abandonBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	if r.ContentLength < 0 || r.ContentLength > maxUnreadBytes {
		w.Header().Set("Connection", "close")
	}
	// Fails only for connections without deadlines, such as those of tests.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
}
