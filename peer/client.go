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

const dialTimeout = time.Second

// TransportError reports a call that got no answer: the peer may or may not have
// carried it out.
type TransportError struct {
	Address string
	Method  string
	// Sent is false where the call certainly never left this host.
	Sent  bool
	Cause error
}

func (e *TransportError) Error() string {
	return fmt.Sprintf("peer %s: %s: %s", e.Address, e.Method, e.Cause)
}

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Cause }

// RemoteError reports a call that the peer answered with an error.
type RemoteError struct {
	Method  string
	Message string
}

func (e *RemoteError) Error() string { return e.Method + ": " + e.Message }

// Traffic counts the bytes of all connections to and from peers.
type Traffic struct {
	BytesReceived, BytesSent, Calls atomic.Uint64
}

// countedConn counts what passes through a connection.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.BytesReceived.Add(uint64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.BytesSent.Add(uint64(n))
	return n, err
}

// Client calls other hosts. It keeps one connection per address.
type Client struct {
	key     []byte
	traffic *Traffic
	mu      sync.Mutex
	links   map[string]*rpc.Client
	closed  bool
}

// NewClient returns a client and its clean-up function.
func NewClient(key string, traffic *Traffic) (*Client, func()) {
	c := &Client{key: []byte(key), traffic: traffic, links: map[string]*rpc.Client{}}
	return c, c.close
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, l := range c.links {
		_ = l.Close()
	}
}

// Call calls a method of the host at address and waits for the reply until ctx
// ends. It fails with a TransportError or a RemoteError. The method has no prefix,
// for example "Beat".
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	link, err := c.link(ctx, address)
	if err != nil {
		return &TransportError{Address: address, Method: method, Cause: err}
	}
	c.traffic.Calls.Add(1)
	call := link.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return &TransportError{Address: address, Method: method, Sent: true, Cause: ctx.Err()}
	}
	if call.Error == nil {
		return nil
	}
	var refused rpc.ServerError
	if errors.As(call.Error, &refused) {
		return &RemoteError{Method: method, Message: string(refused)}
	}
	c.drop(address, link)
	return &TransportError{Address: address, Method: method, Sent: true, Cause: call.Error}
}

// Disconnect closes the connection to address, so that the next call opens a new
// one. It is used when a heartbeat over the connection got no answer.
func (c *Client) Disconnect(address string) {
	c.mu.Lock()
	link := c.links[address]
	c.mu.Unlock()
	if link != nil {
		c.drop(address, link)
	}
}

func (c *Client) drop(address string, link *rpc.Client) {
	c.mu.Lock()
	if c.links[address] == link {
		delete(c.links, address)
	}
	c.mu.Unlock()
	_ = link.Close()
}

func (c *Client) link(ctx context.Context, address string) (*rpc.Client, error) {
	c.mu.Lock()
	link, closed := c.links[address], c.closed
	c.mu.Unlock()
	if closed {
		return nil, net.ErrClosed
	}
	if link != nil {
		return link, nil
	}
	fresh, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.links[address]; other != nil || c.closed {
		_ = fresh.Close()
		if c.closed {
			return nil, net.ErrClosed
		}
		return other, nil
	}
	c.links[address] = fresh
	return fresh, nil
}

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
	return rpc.NewClientWithCodec(clientCodec{newCodec(countedConn{conn, c.traffic})}), nil
}
