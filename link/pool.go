// Package link keeps pools of HTTP/1.1 connections to upstreams and sends one
// request at a time over each connection. Unlike net/http's client it reports
// whether a request may have been sent, and it never retries one by itself.
package link

import (
	"bufio"
	"context"
	"fmt"
	"math"
	"net"
	"sync"
	"time"

	"mulberrydyke/answer"
	"mulberrydyke/call"
)

const (
	// DialTimeout limits the time to open a connection.
	DialTimeout = 250 * time.Millisecond
	// ackTimeout is how long sent bytes may remain unacknowledged before the
	// connection is closed. While a long body is sent, bodyMonitor sees to it, else
	// the kernel.
	ackTimeout = 800 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive
	// probes, which detect connections that went dead while no data is sent.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultIdleLife is how long an idle connection is kept if the upstream does
	// not announce its idle timeout.
	defaultIdleLife = 10 * time.Second
	// idleLifeMargin is subtracted from the upstream's idle timeout to allow for
	// network latency, so that no request meets a connection being closed.
	idleLifeMargin  = 700 * time.Millisecond
	readBufferBytes = 4 << 10
)

// DialError reports a connection that could not be opened. Nothing was sent.
type DialError struct {
	Address string
	Err     error
}

func (e *DialError) Error() string { return fmt.Sprintf("dial %s: %v", e.Address, e.Err) }

// Unwrap returns the underlying error.
func (e *DialError) Unwrap() error { return e.Err }

// Conn is one connection to an upstream.
type Conn struct {
	netConn *net.TCPConn
	// stream is netConn, for all that is read and written. Its reads end only where the upstream
	// has ended the connection in order.
	stream *orderlyConn
	pool   *Pool
	// reader buffers what it reads through answers, and that through limited.
	reader  *bufio.Reader
	answers *answer.Reader
	limited *limitedReader
	// Reused is set once the connection was put into a pool.
	Reused bool
	// idleUntil is the time from which the connection is no longer reused, since
	// the upstream may close it.
	idleUntil time.Time
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.netConn.Close() }

// Pool keeps the idle connections to one upstream.
type Pool struct {
	address string
	dialer  net.Dialer
	mu      sync.Mutex
	// idle holds the idle connections, the most recently used one last.
	idle   []*Conn
	closed bool
	opened int
}

// NewPool returns a pool and its cleanup function, which closes the idle
// connections. Connections in use are closed when they are returned.
func NewPool(address string) (*Pool, func()) {
	p := &Pool{address: address}
	p.dialer = net.Dialer{
		Timeout: DialTimeout,
		Control: TCPUserTimeout(ackTimeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return p, p.close
}

// Get returns an idle connection, or a new one. It fails with a DialError.
func (p *Pool) Get(ctx context.Context, now time.Time) (*Conn, error) {
	for {
		c := p.take()
		if c == nil {
			return p.Dial(ctx)
		}
		if now.Before(c.idleUntil) && c.reader.Buffered() == 0 && isIdle(c.netConn) {
			return c, nil
		}
		c.Close()
	}
}

// Dial opens a new connection. It fails with a DialError.
func (p *Pool) Dial(ctx context.Context) (*Conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, &DialError{Address: p.address, Err: err}
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	stream := &orderlyConn{Conn: raw}
	limited := &limitedReader{reader: stream}
	answers := answer.NewReader(limited)
	return &Conn{
		netConn: raw.(*net.TCPConn), stream: stream, pool: p,
		reader: bufio.NewReaderSize(answers, readBufferBytes), answers: answers, limited: limited,
	}, nil
}

// Unreachable reports whether a new connection can't be opened, as after the
// upstream's process has ended. If one can, it is kept in the pool.
func (p *Pool) Unreachable(ctx context.Context, now time.Time) bool {
	c, err := p.Dial(ctx)
	if err != nil {
		return true
	}
	p.Put(c, call.ResponseHead{}, now, NoIdleLimit)
	return false
}

func (p *Pool) take() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

// NoIdleLimit is a value for maxIdle that allows any number of idle connections.
const NoIdleLimit = math.MaxInt

// Put adds a connection to the pool after a complete exchange, whose response
// header is head, or a new connection with a zero head. The connection is closed
// instead if it can't be reused or if there are already maxIdle idle ones.
func (p *Pool) Put(c *Conn, head call.ResponseHead, now time.Time, maxIdle int) {
	life := defaultIdleLife
	if head.KeepAliveTimeout > 0 {
		life = head.KeepAliveTimeout - idleLifeMargin
	}
	if head.Close || life <= 0 || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.Reused = true
	c.idleUntil = now.Add(life)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdle {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// ConnsOpened returns how many connections the pool has opened.
func (p *Pool) ConnsOpened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

func (p *Pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}
