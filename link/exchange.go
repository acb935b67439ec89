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
	// writeInline is the longest body that is written before the answer is
	// awaited. A longer one is written beside, since an upstream may answer
	// before it has read the body.
	writeInline = 4 << 10
	// strayMost bounds the answers to other requests that one exchange skips.
	strayMost = 3
	// strayBytes bounds the body of such an answer.
	strayBytes = 1 << 20
)

// BrokenError reports an exchange that broke off. The request may have run.
type BrokenError struct {
	// Step is what was under way: "send", "head" or "body".
	Step  string
	Cause error
}

func (e *BrokenError) Error() string { return fmt.Sprintf("%s: %v", e.Step, e.Cause) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// Dropped says that the upstream closed the connection, and not the path to it.
func (e *BrokenError) Dropped() bool {
	return errors.Is(e.Cause, io.EOF) || errors.Is(e.Cause, io.ErrUnexpectedEOF) || errors.Is(e.Cause, unix.ECONNRESET)
}

// errStray is the cause where only answers to other requests came.
var errStray = errors.New("answer belongs to another request")

// Exchange is one request on its way over one connection.
type Exchange struct {
	conn *Conn
	// Reply and Response are set by Send.
	Reply    call.ResponseHead
	Response *http.Response
	stop     func() bool
	// written is closed when the body has been sent, or could not be.
	written  chan struct{}
	writeErr error
	ctx      context.Context
}

// Send writes a request and reads the head of its answer, for which it waits until
// a time, or as long as ctx goes on where that is zero. When ctx ends, the
// connection is closed, which ends the request at the upstream. It fails with a
// BrokenError; after that, and after Close, the connection is gone.
func (c *Conn) Send(ctx context.Context, d call.Dialect, r *call.Request, header http.Header, until time.Time) (*Exchange, error) {
	if err := c.net.SetReadDeadline(until); err != nil {
		c.Close()
		return nil, &BrokenError{Step: "send", Cause: err}
	}
	x := &Exchange{conn: c, ctx: ctx, written: make(chan struct{})}
	x.stop = context.AfterFunc(ctx, c.Close)
	if err := x.write(r, header); err != nil {
		x.Close()
		return nil, &BrokenError{Step: "send", Cause: x.cause(err)}
	}
	if err := x.readHead(d, r); err != nil {
		x.Close()
		return nil, &BrokenError{Step: "head", Cause: x.cause(err)}
	}
	if err := c.net.SetReadDeadline(time.Time{}); err != nil {
		x.Close()
		return nil, &BrokenError{Step: "head", Cause: x.cause(err)}
	}
	return x, nil
}

// cause prefers the reason for which ctx ended to the error that this led to.
func (x *Exchange) cause(err error) error {
	if cause := context.Cause(x.ctx); cause != nil {
		return cause
	}
	return err
}

func (x *Exchange) write(r *call.Request, header http.Header) error {
	var b bytes.Buffer
	b.Grow(1024 + min(len(r.Body), writeInline))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	if err := header.Write(&b); err != nil {
		return err
	}
	if len(r.Body) > 0 || hasBody(r.Method) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	if len(r.Body) <= writeInline {
		b.Write(r.Body)
		close(x.written)
		_, err := x.conn.net.Write(b.Bytes())
		return err
	}
	go func() {
		defer close(x.written)
		if _, x.writeErr = x.conn.net.Write(b.Bytes()); x.writeErr == nil {
			_, x.writeErr = x.conn.net.Write(r.Body)
		}
	}()
	return nil
}

// hasBody says whether requests of a method state their length even without a
// body.
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// readHead reads heads until one belongs to the request. Answers to earlier
// requests are skipped.
func (x *Exchange) readHead(d call.Dialect, r *call.Request) error {
	for range strayMost {
		response, err := http.ReadResponse(x.conn.read, &http.Request{Method: r.Method})
		if err != nil {
			return err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		reply := d.ParseResponse(response)
		if reply.ID == "" || reply.ID == r.ID {
			x.Response, x.Reply = response, reply
			return nil
		}
		if _, err := io.CopyN(io.Discard, response.Body, strayBytes); err != io.EOF {
			return errStray
		}
	}
	return errStray
}

// Body returns the body of the answer. Reads fail when the connection breaks.
func (x *Exchange) Body() io.Reader { return x.Response.Body }

// Cause returns why a read of the body failed.
func (x *Exchange) Cause(err error) error { return &BrokenError{Step: "body", Cause: x.cause(err)} }

// Finish puts the connection back after the whole answer was read, unless the
// pool has most idle ones already. It is closed where the request was not sent
// whole.
func (x *Exchange) Finish(p *Pool, now time.Time, most int) {
	if !x.stop() {
		x.conn.Close()
		return
	}
	select {
	case <-x.written:
	default:
		x.conn.Close()
		return
	}
	if x.writeErr != nil || x.Response.ContentLength < 0 && len(x.Response.TransferEncoding) == 0 {
		x.conn.Close()
		return
	}
	p.Put(x.conn, x.Reply, now, most)
}

// Close ends the exchange and its connection, which ends the request at the
// upstream.
func (x *Exchange) Close() {
	x.stop()
	x.conn.Close()
}
