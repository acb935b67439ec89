package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"
)

// dialTimeout limits the opening of a TCP connection to a peer.
const dialTimeout = time.Second

// TransportError reports a call that got no reply, for example because of a timeout
// or a broken connection. If Sent is true, the peer may have executed the call.
type TransportError struct {
	Address string
	Method  string
	// Sent is false if the call certainly never left this host.
	Sent  bool
	Cause error
}

// Error returns the address, the method and the cause.
func (e *TransportError) Error() string {
	return fmt.Sprintf("peer %s: %s: %s", e.Address, e.Method, e.Cause)
}

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *TransportError) Unwrap() error { return e.Cause }

// RemoteError reports a call for which the peer returned an error.
type RemoteError struct {
	Method string
	Reason string
}

// Error returns the method and the text of the peer's error.
func (e *RemoteError) Error() string { return e.Method + ": " + e.Reason }

// Traffic counts the bytes received (In) and sent (Out) on all connections to and from
// peers, and the calls made. Handshakes are not counted.
type Traffic struct {
	In, Out, Calls atomic.Uint64
}

// countingConn adds the bytes read and written on a connection to a Traffic.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.In.Add(uint64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Out.Add(uint64(n))
	return n, err
}

// Client calls other hosts. It keeps one connection per address and is safe for
// concurrent use.
type Client struct {
	key     []byte
	traffic *Traffic
	mu      sync.Mutex
	conns   map[string]*rpc.Client
	closed  bool
}

// NewClient returns a client and a function that closes its connections.
func NewClient(key string, traffic *Traffic) (*Client, func()) {
	c := &Client{key: []byte(key), traffic: traffic, conns: map[string]*rpc.Client{}}
	return c, c.close
}

// close closes all connections. Later calls fail with net.ErrClosed.
func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// Call calls a method of the host at address and waits for the reply until ctx is
// done. It returns a TransportError or a RemoteError on failure. The method is given
// without the service name, for example "Beat".
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	conn, err := c.conn(ctx, address)
	if err != nil {
		return &TransportError{Address: address, Method: method, Cause: err}
	}
	c.traffic.Calls.Add(1)
	call := conn.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return &TransportError{Address: address, Method: method, Sent: true, Cause: ctx.Err()}
	}
	if call.Error == nil {
		return nil
	}
	var serverErr rpc.ServerError
	if errors.As(call.Error, &serverErr) {
		return &RemoteError{Method: method, Reason: string(serverErr)}
	}
	c.closeConn(address, conn)
	return &TransportError{Address: address, Method: method, Sent: true, Cause: call.Error}
}

// Drop closes the connection to address, so that the next call opens a new one. It is
// used when a heartbeat on the connection got no reply.
func (c *Client) Drop(address string) {
	c.mu.Lock()
	conn := c.conns[address]
	c.mu.Unlock()
	if conn != nil {
		c.closeConn(address, conn)
	}
}

// closeConn closes a connection and removes it, unless another one has replaced it.
func (c *Client) closeConn(address string, conn *rpc.Client) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = conn.Close()
}

// conn returns the connection to address and opens one if there is none. If two calls
// open one concurrently, the second is closed and both use the first.
func (c *Client) conn(ctx context.Context, address string) (*rpc.Client, error) {
	c.mu.Lock()
	existing, closed := c.conns[address], c.closed
	c.mu.Unlock()
	if closed {
		return nil, net.ErrClosed
	}
	if existing != nil {
		return existing, nil
	}
	created, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if concurrent := c.conns[address]; concurrent != nil || c.closed {
		_ = created.Close()
		if c.closed {
			return nil, net.ErrClosed
		}
		return concurrent, nil
	}
	c.conns[address] = created
	return created, nil
}

// dial opens an authenticated connection to address.
func (c *Client) dial(ctx context.Context, address string) (*rpc.Client, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := authenticate(conn, c.key, true); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return rpc.NewClientWithCodec(clientCodec{newCodec(countingConn{conn, c.traffic})}), nil
}
