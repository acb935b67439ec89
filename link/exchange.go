package link

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"mulberrydyke/call"
)

const (
	// maxInlineBodyBytes is the longest body that is written before the
	// response is read. A longer body is written by another goroutine, since an
	// upstream may respond before it has read the body.
	maxInlineBodyBytes = 4 << 10
	// maxStrayResponses limits the responses read while looking for the one that
	// belongs to the request.
	maxStrayResponses = 3
	// maxStrayBodyBytes limits the body of a response that is skipped.
	maxStrayBodyBytes = 1 << 20
)

// ExchangeError reports an exchange that failed. The request may have run.
type ExchangeError struct {
	// Phase is the phase that failed: "send", "head" (the response header) or
	// "body" (the response body).
	Phase string
	Err   error
}

func (e *ExchangeError) Error() string { return fmt.Sprintf("%s: %v", e.Phase, e.Err) }

// Unwrap returns the underlying error.
func (e *ExchangeError) Unwrap() error { return e.Err }

// ClosedByUpstream reports whether the upstream closed or reset the connection, as
// opposed to a timeout or another network failure.
func (e *ExchangeError) ClosedByUpstream() bool {
	return errors.Is(e.Err, io.EOF) || errors.Is(e.Err, io.ErrUnexpectedEOF) || errors.Is(e.Err, unix.ECONNRESET)
}

// errStray reports that none of the responses read belongs to the request.
var errStray = errors.New("response belongs to another request")

// errUnidentified reports a response that names no request, on a connection that had others.
// It may be an earlier one, written once more.
var errUnidentified = errors.New("response without an ID on a kept connection")

// Exchange is one request and its response over one connection.
type Exchange struct {
	conn *Conn
	// Head is the parsed header of Response. Send sets both.
	Head     call.ResponseHead
	Response *http.Response
	// cancelClose keeps the end of ctx from closing the connection. It returns
	// false if ctx has already ended.
	cancelClose func() bool
	// bodyDone is closed when the request body was written or writing it failed.
	bodyDone chan struct{}
	// bodyErr is the write error of the body. It is valid once bodyDone is closed.
	bodyErr error
	// monitor watches a long body. It is nil for others.
	monitor *bodyMonitor
	ctx     context.Context
}

// Send writes a request and reads the response header. It waits for the header
// until headerDeadline, or until ctx ends if headerDeadline is zero. When ctx ends,
// the connection is closed, which cancels the request at the upstream. Send fails
// with an ExchangeError, and has then closed the connection.
func (c *Conn) Send(ctx context.Context, d call.Dialect, r *call.Request, header http.Header, headerDeadline time.Time) (*Exchange, error) {
	if err := c.netConn.SetReadDeadline(headerDeadline); err != nil {
		c.Close()
		return nil, &ExchangeError{Phase: "send", Err: err}
	}
	x := &Exchange{conn: c, ctx: ctx, bodyDone: make(chan struct{})}
	x.cancelClose = context.AfterFunc(ctx, c.Close)
	if err := x.write(r, header); err != nil {
		x.Close()
		return nil, &ExchangeError{Phase: "send", Err: x.cause(err)}
	}
	if err := x.readHead(d, r); err != nil {
		x.Close()
		return nil, &ExchangeError{Phase: "head", Err: x.cause(err)}
	}
	if err := c.netConn.SetReadDeadline(time.Time{}); err != nil {
		x.Close()
		return nil, &ExchangeError{Phase: "head", Err: x.cause(err)}
	}
	return x, nil
}

// cause returns why this host has closed the connection, which makes reads and writes
// fail with a less useful error: the cause of ctx's end, or that the upstream is gone.
// It returns err if the host has not closed it.
func (x *Exchange) cause(err error) error {
	if cause := context.Cause(x.ctx); cause != nil {
		return cause
	}
	return x.monitor.cause(err)
}

func (x *Exchange) write(r *call.Request, header http.Header) error {
	var b bytes.Buffer
	b.Grow(1024 + min(len(r.Body), maxInlineBodyBytes))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	if err := header.Write(&b); err != nil {
		return err
	}
	if len(r.Body) > 0 || needsContentLength(r.Method) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	if len(r.Body) <= maxInlineBodyBytes {
		b.Write(r.Body)
		close(x.bodyDone)
		_, err := x.conn.stream.Write(b.Bytes())
		return err
	}
	x.monitor = &bodyMonitor{
		conn: x.conn.netConn, began: time.Now(), written: x.bodyDone,
		unreachable: func() bool { return x.conn.pool.Unreachable(x.ctx, time.Now()) },
	}
	x.monitor.begin()
	go func() {
		defer close(x.bodyDone)
		if _, x.bodyErr = x.conn.stream.Write(b.Bytes()); x.bodyErr == nil {
			_, x.bodyErr = x.conn.stream.Write(r.Body)
		}
	}()
	return nil
}

// needsContentLength reports whether requests of a method carry a Content-Length
// even without a body.
func needsContentLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// readHead reads response headers until one belongs to the request. It skips responses
// to other requests. One that names no request is accepted only on a connection that had
// no other. It fails with an *answer.MalformedError if a header is malformed.
func (x *Exchange) readHead(d call.Dialect, r *call.Request) error {
	for range maxStrayResponses {
		response, err := x.conn.readResponse(r.Method)
		if err != nil {
			return err
		}
		head := d.ParseResponse(response)
		if head.Malformed != nil {
			return head.Malformed
		}
		if head.ID == r.ID || head.ID == "" && !x.conn.Reused {
			x.Response, x.Head = response, head
			return nil
		}
		if head.ID == "" {
			return errUnidentified
		}
		if _, err := io.CopyN(io.Discard, response.Body, maxStrayBodyBytes); err != io.EOF {
			return errStray
		}
	}
	return errStray
}

// readResponse reads the header of one response to a request with a method. It skips
// interim responses, which together with the header have at most maxHeadBytes.
func (c *Conn) readResponse(method string) (*http.Response, error) {
	c.limited.limit(maxHeadBytes)
	defer c.limited.unlimit()
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if err := c.answers.Expect(method, buffered); err != nil {
		return nil, err
	}
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if malformed := c.answers.Err(); malformed != nil {
			return nil, malformed
		}
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// Body returns the response body. Reads fail if the connection is interrupted, also where the
// response ends with it and a pending write of the request body gets the error first.
func (x *Exchange) Body() io.Reader { return x.Response.Body }

// BodyError wraps an error from reading the body in an ExchangeError.
func (x *Exchange) BodyError(err error) error {
	return &ExchangeError{Phase: "body", Err: x.cause(err)}
}

// EndsWithConn reports whether the response has neither a Content-Length nor a transfer
// encoding, so that only the end of the connection marks its end.
func (x *Exchange) EndsWithConn() bool {
	return x.Response.ContentLength < 0 && len(x.Response.TransferEncoding) == 0
}

// Release returns the connection to the pool after the whole response was read. The
// connection is closed instead if ctx has ended, if the request was not sent
// completely, if part of it waits until the upstream reads on, if the response ends with
// its connection, or if the pool already has maxIdle idle connections.
func (x *Exchange) Release(p *Pool, now time.Time, maxIdle int) {
	if !x.cancelClose() {
		x.conn.Close()
		return
	}
	select {
	case <-x.bodyDone:
	default:
		x.conn.Close()
		return
	}
	if !x.monitor.end() || x.bodyErr != nil || x.EndsWithConn() {
		x.conn.Close()
		return
	}
	p.Put(x.conn, x.Head, now, maxIdle)
}

// Close closes the connection, which cancels the request at the upstream.
func (x *Exchange) Close() {
	x.cancelClose()
	x.conn.Close()
}
