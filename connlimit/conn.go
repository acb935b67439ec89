package connlimit

import (
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// progressBytes is how much of a head or body has to arrive to count as progress.
	progressBytes = 4 << 10
	// headCostFactor is the memory charged for each byte of a head that is being read: net/http
	// keeps a map entry of over a hundred bytes for a header line of seven.
	headCostFactor = 20
	// headerLineBytes is what a line of a complete head takes besides its text.
	headerLineBytes = 128
	// writePartBytes is the most that is written at a time. The write deadline is renewed between
	// parts, so that a long answer to a slow caller has more time than a single timeout.
	writePartBytes = 64 << 10
	// deadlineRenewal is how old a write deadline may be before it is set anew, so that it is not
	// set for each event of a stream.
	deadlineRenewal = time.Second
)

// pastTime is a deadline that ends a read at once.
var pastTime = time.Unix(1, 0)

// Conn is a connection of a caller. Its methods for handlers may be called on nil.
type Conn struct {
	net.Conn
	limiter *Limiter

	// The fields below are guarded by limiter.mu.
	entry entry
	// headBytes is what has arrived of the current head.
	headBytes int64
	// requestBytes is what the complete head of the current request takes.
	requestBytes int64
	// sinceProgress is the number of bytes that have arrived since the last progress.
	sinceProgress int
	inHandler     bool
	// answered is set from the end of a handler until the connection is idle.
	answered bool
	// removed is set once the connection is no longer in the ledger.
	removed bool

	// renewedAt is when the write deadline was last set here, and ownDeadline is set while the
	// handler has set one. Only the goroutine that writes uses them.
	renewedAt   time.Time
	ownDeadline bool
}

// Read implements net.Conn. It fails with io.EOF once the connection was ended.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.received(n) {
		return 0, io.EOF
	}
	return n, err
}

// received counts bytes that have arrived. It returns false if the connection was ended.
func (c *Conn) received(n int) bool {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	switch c.entry.phase {
	case phaseRunning:
		return true
	case phaseEnded:
		return false
	case phaseWaiting, phaseIdle:
		c.sinceProgress = 0
		l.ledger.setPhase(&c.entry, phaseSending)
	}
	c.sinceProgress += n
	if c.sinceProgress >= progressBytes {
		c.sinceProgress = 0
		l.ledger.setPhase(&c.entry, phaseSending)
	}
	if c.inHandler || c.answered {
		// What follows an answer is the rest of a refused body, which net/http discards.
		return true
	}
	c.headBytes += int64(n)
	return l.chargeLocked(c, c.headBytes*headCostFactor)
}

// Write implements net.Conn. It fails if the caller takes nothing for the write timeout.
func (c *Conn) Write(p []byte) (int, error) {
	timeout := c.limiter.ledger.limits.WriteTimeout
	if timeout <= 0 || c.ownDeadline {
		return c.Conn.Write(p)
	}
	written := 0
	for {
		if now := time.Now(); now.Sub(c.renewedAt) > deadlineRenewal {
			c.renewedAt = now
			_ = c.Conn.SetWriteDeadline(now.Add(timeout)) // the write shows a closed connection
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+writePartBytes)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.ownDeadline = !t.IsZero()
	c.renewedAt = time.Time{}
	return c.Conn.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn. A connection that was ended keeps a deadline in the past.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.entry.phase == phaseEnded {
		t = pastTime
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the writing side, if the connection can. net/http calls it before it closes a
// connection, so that the caller reads the answer to its end.
func (c *Conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.limiter.mu.Lock()
	if !c.removed {
		c.removed = true
		c.limiter.ledger.remove(&c.entry)
		c.limiter.changed.Broadcast()
	}
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}

// becomeIdle records that the connection waits for its next request.
func (c *Conn) becomeIdle() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.headBytes, c.answered = 0, false
	c.limiter.ledger.charge(&c.entry, 0)
	c.limiter.ledger.setPhase(&c.entry, phaseIdle)
}

// beginRequest records a complete head. It returns false if the connection was ended before, so that
// the request must not run.
func (c *Conn) beginRequest(r *http.Request) bool {
	if c == nil {
		return true
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.inHandler = true
	c.requestBytes = 2*int64(HeadSize(r)) + headerLineBytes*int64(len(r.Header))
	c.headBytes = 0
	c.limiter.ledger.charge(&c.entry, c.requestBytes)
	next := phaseRunning
	if r.ContentLength != 0 {
		next = phaseSending
		c.setBodyDeadline()
	}
	c.limiter.ledger.setPhase(&c.entry, next)
	return c.entry.phase != phaseEnded
}

// setBodyDeadline limits the time for a body, also if the handler does not read it. The caller holds
// limiter.mu.
func (c *Conn) setBodyDeadline() {
	if timeout := c.limiter.ledger.limits.BodyTimeout; timeout > 0 && c.entry.phase != phaseEnded {
		_ = c.Conn.SetReadDeadline(time.Now().Add(timeout)) // the next read shows a closed connection
	}
}

// beginRun records that the request is complete. From now on the connection is not ended for others. It returns
// false if it was ended before.
func (c *Conn) beginRun() bool {
	if c == nil {
		return true
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.ledger.setPhase(&c.entry, phaseRunning)
	return c.entry.phase != phaseEnded
}

// endRequest records that the handler has returned. The end of its answer may not have been sent, so a
// complete request stays in phaseRunning; the rest of a body that was not read may still be awaited.
func (c *Conn) endRequest() {
	if c == nil {
		return
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.inHandler, c.answered = false, true
	c.limiter.ledger.charge(&c.entry, 0)
	c.limiter.ledger.hold(&c.entry, 0)
	c.limiter.changed.Broadcast()
}

// ended reports whether the connection was ended because a limit was reached.
func (c *Conn) ended() bool {
	if c == nil {
		return false
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.entry.phase == phaseEnded
}

// chargeBody sets the memory that the body takes. It returns false if the connection was ended.
func (c *Conn) chargeBody(bytes int64) bool {
	if c == nil {
		return true
	}
	return c.limiter.chargeBody(c, c.requestBytes+bytes)
}

// countRefused counts a request that was refused because a limit was reached.
func (c *Conn) countRefused() {
	if c != nil {
		c.limiter.refused.Add(1)
	}
}

// HeadSize returns the size of a request's head as it was sent, without optional white space.
func HeadSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(" HTTP/1.1\r\nHost: \r\n\r\n") + 1 + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	return size
}
