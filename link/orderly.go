package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"

	"golang.org/x/sys/unix"
)

// orderlyConn is a TCP connection whose reads return io.EOF only if the other end has ended it in
// order, after its last byte. A failed connection tells its error once, to whoever reads or writes
// first. If a pending write gets it, reads of a plain connection see an ordinary end, and what has
// arrived of a response that ends with its connection looks whole.
type orderlyConn struct {
	// net.Conn is a *net.TCPConn. Its other methods are left out on purpose, since some of
	// them write past Write.
	net.Conn
	// writing is held while Write is in progress. It guards writeErr.
	writing sync.Mutex
	// writeErr is the error of the first write that failed.
	writeErr error
}

// Write implements net.Conn.
func (c *orderlyConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. In place of io.EOF it returns the error of a connection that has failed.
func (c *orderlyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.endError()
	}
	return n, err
}

// endError returns io.EOF if the other end has ended the connection in order, else the error with
// which the connection failed.
func (c *orderlyConn) endError() error {
	failed, err := isClosed(c.Conn.(*net.TCPConn))
	if err != nil {
		return err
	}
	if !failed {
		return io.EOF
	}
	// A write in progress fails at once on such a connection, and then its error is known.
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr == nil || errors.Is(c.writeErr, unix.EPIPE) {
		// Nobody else has taken an error, or it came after the orderly end: a reset then
		// only says that the other end reads nothing more.
		return io.EOF
	}
	return c.writeErr
}

// isClosed reports whether the kernel has given up a connection, after a reset or a timeout.
// One that the other end has ended in order, and that can still be written to, is not closed.
func isClosed(c *net.TCPConn) (bool, error) {
	const stateClosed = 7 // TCP_CLOSE
	info, err := readTCPInfo(c)
	return err == nil && info.State == stateClosed, err
}

// DialOrderly opens a TCP connection whose reads return io.EOF only if the other end has ended
// it in order. It fits http.Transport.DialContext, whose responses may end with their connection.
func DialOrderly(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if _, ok := c.(*net.TCPConn); !ok {
			return c, nil
		}
		return &orderlyConn{Conn: c}, nil
	}
}
