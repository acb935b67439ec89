package connlimit

import (
	"context"
	"errors"
	"io"
	"net/http"
)

// ErrLimitReached reports a body that was not read to its end because a limit on all callers
// together was reached and this one had made no progress for longest.
var ErrLimitReached = errors.New("the memory for requests is used up")

const (
	// firstBodyBytes is the memory that a body takes when nothing of it has arrived.
	firstBodyBytes = 4 << 10
	// maxStepBytes is the most by which the memory of a body grows at a time.
	maxStepBytes = 1 << 20
)

// ReadBody reads a body of at most limit bytes. Its memory grows as the bytes arrive; the declared
// length, which is -1 if unknown, is only an upper bound of it. The error is an *http.MaxBytesError for
// a longer body, and ErrLimitReached if the connection of the request in ctx was ended.
func ReadBody(ctx context.Context, r io.Reader, declared, limit int64) ([]byte, error) {
	if declared > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	c := FromContext(ctx)
	body, err := readBody(c, r, declared, limit)
	if err == nil && c.beginRun() {
		return body, nil
	}
	if c.ended() {
		c.countRefused()
		return nil, ErrLimitReached
	}
	return nil, err
}

func readBody(c *Conn, r io.Reader, declared, limit int64) ([]byte, error) {
	// With room for one byte more than the longest body, a read shows that it has ended or is
	// too long.
	maxCap := limit + 1
	if declared >= 0 {
		maxCap = declared + 1
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := grow(c, body, maxCap)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, &http.MaxBytesError{Limit: limit}
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow returns the body in a larger slice, with a capacity of at most maxCap. Old and new slice are
// charged while both exist.
func grow(c *Conn, body []byte, maxCap int64) ([]byte, error) {
	before := int64(cap(body))
	after := max(firstBodyBytes, before+min(before, maxStepBytes))
	after = min(after, maxCap)
	if !c.chargeBody(before + after) {
		return nil, ErrLimitReached
	}
	grown := append(make([]byte, 0, after), body...)
	if !c.chargeBody(after) {
		return nil, ErrLimitReached
	}
	return grown, nil
}
