package connlimit

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// quietTime is how long nothing is ended or refused until a limit no longer counts as reached.
	// It keeps many callers from filling the log.
	quietTime = 5 * time.Second
	// refusalWriteTimeout limits the write of a refusal to a connection that is ended. The
	// refusal fits into an empty send buffer.
	refusalWriteTimeout = 10 * time.Millisecond
)

// refusalText is sent to a caller whose request was not read to its end.
const refusalText = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Limiter keeps the connections of one or several listeners within limits.
type Limiter struct {
	log  *slog.Logger
	name string
	// ended and refused count the connections that were ended, and the requests refused.
	ended, refused atomic.Int64

	mu     sync.Mutex
	ledger ledger
	// changed is signalled when a handler has returned, and when a connection was ended or closed.
	// It uses mu.
	changed *sync.Cond
	// active is set while a limit counts as reached, and lastAction is then when something was last
	// ended or refused.
	active     bool
	lastAction time.Time
}

// NewLimiter returns a limiter. The name of what it limits appears in the log and in the metrics.
func NewLimiter(limits Limits, name string, log *slog.Logger) *Limiter {
	l := &Limiter{log: log, name: name, ledger: ledger{limits: limits}}
	l.changed = sync.NewCond(&l.mu)
	return l
}

// RegisterGauges registers the limiter's gauges, each labelled with its name.
func (l *Limiter) RegisterGauges(register func(metric string, value func() float64)) {
	gauges := map[string]func() float64{
		"mulberrydyke_caller_connections":               func() float64 { return float64(l.OpenConns()) },
		"mulberrydyke_caller_bytes":                     func() float64 { return float64(l.Bytes()) },
		"mulberrydyke_caller_connections_ended_total":   func() float64 { return float64(l.Ended()) },
		"mulberrydyke_caller_requests_over_limit_total": func() float64 { return float64(l.Refused()) },
	}
	for metric, value := range gauges {
		register(fmt.Sprintf("%s{listener=%q}", metric, l.name), value)
	}
}

// Ended returns how many connections were ended because a limit was reached.
func (l *Limiter) Ended() int64 { return l.ended.Load() }

// Refused returns how many requests and new connections were refused because a limit was reached.
func (l *Limiter) Refused() int64 { return l.refused.Load() }

// OpenConns returns the number of open connections.
func (l *Limiter) OpenConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.open
}

// Bytes returns the memory that heads and bodies take.
func (l *Limiter) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.bytes
}

// Apply prepares a server for connections that Listen has accepted. They carry one request at a time:
// with HTTP/2, ending what one request takes would end others that run. All requests reach the
// server's handler: net/http would answer some with a success of its own.
func (l *Limiter) Apply(s *http.Server) {
	s.DisableGeneralOptionsHandler = true
	s.Protocols = new(http.Protocols)
	s.Protocols.SetHTTP1(true)
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if t, ok := c.(*tls.Conn); ok {
			c = t.NetConn()
		}
		conn, _ := c.(*Conn)
		return context.WithValue(ctx, connKey{}, conn)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if t, ok := c.(*tls.Conn); ok {
			c = t.NetConn()
		}
		if conn, ok := c.(*Conn); ok && state == http.StateIdle {
			conn.becomeIdle()
		}
	}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if !c.beginRequest(r) {
			panic(http.ErrAbortHandler)
		}
		defer c.endRequest()
		next.ServeHTTP(w, r)
	})
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// FromContext returns the connection of a request, or nil, on which all methods may be called.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Listen returns a listener whose connections are limited.
func (l *Limiter) Listen(inner net.Listener) net.Listener {
	return &listener{Listener: inner, limiter: l}
}

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener. It ends another connection where there is no room for a new one.
func (a *listener) Accept() (net.Conn, error) {
	for {
		inner, err := a.Listener.Accept()
		if outOfDescriptors(err) && a.limiter.endOne() {
			continue
		}
		if err != nil {
			return nil, err
		}
		if c := a.limiter.admit(inner); c != nil {
			return c, nil
		}
	}
}

func outOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// admit counts a new connection. It returns nil if it refused it.
func (l *Limiter) admit(inner net.Conn) *Conn {
	c := &Conn{Conn: inner, limiter: l}
	c.entry.owner = c
	if l.add(c) {
		return c
	}
	if !l.ledger.limits.Encrypted {
		_ = inner.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
		_, _ = io.WriteString(inner, refusalText) // the caller may have gone
	}
	_ = inner.Close()
	return nil
}

// add counts a connection, and ends others to make room for it. It waits while too many goroutines
// of ended connections have not returned. It returns false if no connection may be ended.
func (l *Limiter) add(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.ledger.full() || l.ledger.tooManyEnding() {
		if !l.ledger.full() {
			l.changed.Wait()
			continue
		}
		victim := l.ledger.nextForDescriptors()
		if victim == nil {
			l.refused.Add(1)
			l.recordActionLocked()
			return false
		}
		l.endLocked(victim, true)
	}
	l.ledger.add(&c.entry)
	return true
}

// endOne ends a connection so that another may be accepted.
func (l *Limiter) endOne() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	victim := l.ledger.nextForDescriptors()
	if victim == nil {
		return false
	}
	l.endLocked(victim, true)
	return true
}

// chargeBody is chargeLocked for memory that a handler is about to allocate. It waits until the
// handlers of ended connections have returned and so freed enough of theirs; their reads fail at
// once.
func (l *Limiter) chargeBody(c *Conn, bytes int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	ok := l.chargeLocked(c, bytes)
	for ok && l.ledger.mustWait(&c.entry, bytes) {
		l.changed.Wait()
		ok = c.entry.phase != phaseEnded
	}
	if ok {
		l.ledger.hold(&c.entry, bytes)
	}
	return ok
}

// chargeLocked sets the memory that a connection takes, and ends others to stay within the limit.
// It returns false if the connection itself was ended.
func (l *Limiter) chargeLocked(c *Conn, bytes int64) bool {
	l.ledger.charge(&c.entry, bytes)
	for l.ledger.overMemory() && c.entry.phase != phaseEnded {
		victim := l.ledger.nextForMemory()
		if victim == nil {
			victim = &c.entry
		}
		l.endLocked(victim, false)
	}
	return c.entry.phase != phaseEnded
}

// endLocked ends a connection. If a handler reads its body and its descriptor is not needed, the
// handler is left to refuse the request.
func (l *Limiter) endLocked(e *entry, needDescriptor bool) {
	c := e.owner
	mayRefuse := e.phase == phaseSending && !c.inHandler && !c.answered && !l.ledger.limits.Encrypted
	l.ledger.end(e)
	l.ended.Add(1)
	l.recordActionLocked()
	l.changed.Broadcast()
	if c.inHandler && !needDescriptor {
		_ = c.Conn.SetReadDeadline(pastTime) // fails only on a closed connection
		return
	}
	if mayRefuse {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
		_, _ = io.WriteString(c.Conn, refusalText) // the caller may have gone
	}
	l.ledger.close(e)
	_ = c.Conn.Close() // c.Close, which the server calls, counts the end
}

// recordActionLocked logs the first of a series of connections ended and requests refused.
func (l *Limiter) recordActionLocked() {
	l.lastAction = time.Now()
	if l.active {
		return
	}
	l.active = true
	l.log.Warn("limit of callers reached", "listener", l.name, "connections", l.ledger.open, "bytes", l.ledger.bytes,
		"most-connections", l.ledger.limits.Conns, "most-bytes", l.ledger.limits.Bytes)
	time.AfterFunc(quietTime, l.checkQuiet)
}

// checkQuiet logs the end of a series once quietTime has passed, and else checks again later.
func (l *Limiter) checkQuiet() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if left := quietTime - time.Since(l.lastAction); left > 0 {
		time.AfterFunc(left, l.checkQuiet)
		return
	}
	l.active = false
	l.log.Info("limit of callers no longer reached", "listener", l.name, "connections", l.ledger.open, "bytes", l.ledger.bytes,
		"ended-total", l.ended.Load(), "refused-total", l.refused.Load())
}
