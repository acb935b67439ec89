// Package link keeps connections to upstreams and carries one request at a time
// over each. It shows exactly what was sent, and it never sends anything twice.
package link

import (
	"bufio"
	"context"
	"fmt"
	"math"
	"net"
	"sync"
	"time"

	"mulberrydyke/call"
)

const (
	// DialTimeout bounds a new connection.
	DialTimeout = 250 * time.Millisecond
	// ackTimeout is how long sent bytes may go without acknowledgement.
	ackTimeout = 800 * time.Millisecond
	// probeIdle and probeInterval set keep-alive probes, which find a connection
	// that has gone silent while it waits.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	probeCount    = 2
	// idleDefault is how long a connection is kept where the upstream does not
	// say how long it keeps it.
	idleDefault = 10 * time.Second
	// idleMargin is left to the upstream's own idle timeout, for the way.
	idleMargin = 700 * time.Millisecond
	readBuffer = 4 << 10
)

// DialError reports a connection that could not be opened. Nothing was sent.
type DialError struct {
	Address string
	Cause   error
}

func (e *DialError) Error() string { return fmt.Sprintf("dial %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// Conn is one connection to an upstream.
type Conn struct {
	net  net.Conn
	read *bufio.Reader
	// Reused says that the connection carried a request before.
	Reused bool
	// idleUntil is when the upstream may close the connection.
	idleUntil time.Time
}

// Close ends the connection.
func (c *Conn) Close() { _ = c.net.Close() }

// Pool keeps the idle connections to one upstream.
type Pool struct {
	address string
	dialer  net.Dialer
	mu      sync.Mutex
	// free holds idle connections, the one used last at the end.
	free   []*Conn
	closed bool
	opened int
}

// NewPool returns a pool and its clean-up function, which closes idle
// connections; those in use close when they are put back.
func NewPool(address string) (*Pool, func()) {
	p := &Pool{address: address}
	p.dialer = net.Dialer{
		Timeout: DialTimeout,
		Control: UserTimeout(ackTimeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
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
		if now.Before(c.idleUntil) && c.read.Buffered() == 0 && idle(c.net.(*net.TCPConn)) {
			return c, nil
		}
		c.Close()
	}
}

// Dial opens a new connection. It fails with a DialError.
func (p *Pool) Dial(ctx context.Context) (*Conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, &DialError{Address: p.address, Cause: err}
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return &Conn{net: raw, read: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// Refuses says whether no new connection can be opened, as after the death of
// the upstream's process. A connection that was opened is kept.
func (p *Pool) Refuses(ctx context.Context, now time.Time) bool {
	c, err := p.Dial(ctx)
	if err != nil {
		return true
	}
	p.Put(c, call.ResponseHead{}, now, NoLimit)
	return false
}

func (p *Pool) take() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.free) == 0 {
		return nil
	}
	c := p.free[len(p.free)-1]
	p.free = p.free[:len(p.free)-1]
	return c
}

// NoLimit keeps any number of idle connections.
const NoLimit = math.MaxInt

// Put keeps a connection after a whole exchange, unless there are most idle ones
// already. Reply is the head of the last answer.
func (p *Pool) Put(c *Conn, reply call.ResponseHead, now time.Time, most int) {
	life := idleDefault
	if reply.KeepAliveTimeout > 0 {
		life = reply.KeepAliveTimeout - idleMargin
	}
	if reply.Close || life <= 0 || c.read.Buffered() > 0 {
		c.Close()
		return
	}
	c.Reused = true
	c.idleUntil = now.Add(life)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.free) >= most {
		c.Close()
		return
	}
	p.free = append(p.free, c)
}

// Opened returns how many connections were opened.
func (p *Pool) Opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Drop closes the idle connections, after trouble with the upstream.
func (p *Pool) Drop() {
	p.mu.Lock()
	free := p.free
	p.free = nil
	p.mu.Unlock()
	for _, c := range free {
		c.Close()
	}
}

func (p *Pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Drop()
}
