// Package gateway is a reverse proxy: it accepts the requests of callers, forwards
// each to an upstream and relays the response unchanged.
package gateway

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"mulberrydyke/call"
	"mulberrydyke/dispatch"
	"mulberrydyke/drain"
	"mulberrydyke/plan"
	"mulberrydyke/quarantine"
	"mulberrydyke/ratelimit"
	"mulberrydyke/route"
)

const (
	// timeoutGrace is added to the timeout of a request, so that an upstream's own
	// response at the deadline arrives first.
	timeoutGrace = 40 * time.Millisecond
	// noTableRetryAfter is the Retry-After while the host has no routing table.
	noTableRetryAfter = 500 * time.Millisecond
)

// Options are the dependencies of a Server.
type Options struct {
	Dialect     call.Dialect
	Balancer    *dispatch.Balancer
	ConnPools   *ConnPools
	RetryBudget *RetryBudget
	// Quarantine holds the request contents that crash upstreams.
	Quarantine *quarantine.Table
	// RateLimits holds the rates at which upstreams take requests, and Permits gets permits
	// for those whose rate is limited.
	RateLimits *ratelimit.Limiter
	Permits    Permits
	// Lost is called with upstreams that may have restarted, since no connection could be opened,
	// and with the time until which they are ejected. It may be nil.
	Lost func(u *route.Upstream, ejectedUntil time.Time)
	// Drains holds the upstreams that have said that they are draining.
	Drains *drain.Table
	// Table returns the table in force, or nil while none is known.
	Table func() *route.Table
	// LookupUpstream returns an upstream as it is listed now, or nil. One that has said that it
	// is draining is in that state.
	LookupUpstream func(plan.UpstreamID) *route.Upstream
	// AwaitUpstream is LookupUpstream for an upstream that is about to be sent a request. After a
	// pause of the process it waits until the list may be up to date.
	AwaitUpstream func(plan.UpstreamID) *route.Upstream
	Log           *slog.Logger
	Metrics       *Metrics
	Now           func() time.Time
}

// Server serves the requests of callers. It implements http.Handler.
type Server struct {
	Options
	draining atomic.Bool
	inFlight atomic.Int64
	// bufferedBytes is the size of all responses that are being buffered.
	bufferedBytes atomic.Int64
}

// NewServer returns a server with the given dependencies.
func NewServer(o Options) *Server { return &Server{Options: o} }

// StartDraining makes the server close each connection after its next response.
func (s *Server) StartDraining() { s.draining.Store(true) }

// InFlight returns the number of requests that are being served.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	now := s.Now()
	// A nil value keeps net/http from adding its own header, so that the response
	// has only the upstream's.
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if s.headTooLong(r) {
		s.reject(w, r, nil, http.StatusRequestHeaderFieldsTooLarge, 0, "head too large")
		return
	}
	request, err := s.Dialect.ParseRequest(now, r)
	if err != nil {
		s.reject(w, r, nil, http.StatusBadRequest, 0, err.Error())
		return
	}
	x := s.admit(w, r, request)
	if x == nil {
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), now.Add(x.timeout+timeoutGrace), errTimeout)
	defer cancel()
	x.run(ctx)
}

// admit finds the route and the account of a request and reads its body. It
// returns nil if it rejected the request or the caller has disconnected.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, request *call.Request) *exchange {
	table := s.Table()
	if table == nil {
		s.reject(w, r, request, http.StatusServiceUnavailable, noTableRetryAfter, "no routing table is known yet")
		return nil
	}
	rt := table.Match(request.Host, request.Path)
	if rt == nil {
		s.reject(w, r, request, http.StatusNotFound, 0, "no route")
		return nil
	}
	account := table.AccountForKey(request.APIKey)
	if table.NeedsKey(rt) && account == nil {
		s.reject(w, r, request, http.StatusUnauthorized, 0, "unknown key")
		return nil
	}
	x := &exchange{server: s, w: w, request: request, table: table, route: rt, account: account, timeout: rt.Timeout}
	if request.CallerTimeout > 0 && request.CallerTimeout < x.timeout {
		x.timeout = request.CallerTimeout
	}
	if !x.readBody(r, table.Limits.MaxBodyBytes) {
		return nil
	}
	x.lastEventID = request.LastEventID
	if id, err := strconv.ParseInt(request.LastEventID, 10, 64); err == nil {
		x.lastEventNumber = id
	}
	x.service = rt.PickService(route.UnitFraction(route.Hash(string(request.ID))))
	return x
}

func (s *Server) logCause(request *call.Request, message, cause string) {
	s.Log.Info(message, "id", string(request.ID), "cause", cause)
}

// reject writes an error response to a request that is not admitted.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, request *call.Request, status int, retryAfter time.Duration, reason string) {
	id, version := "", plan.Version(0)
	if request != nil {
		id = string(request.ID)
	}
	if t := s.Table(); t != nil {
		version = t.Version
	}
	s.Log.Info("request turned away", "id", id, "status", status, "reason", reason, "to", r.Host, "path", r.URL.Path, "table", uint64(version))
	s.writeRejection(w, r, status, retryAfter, reason)
}

// writeRejection is reject without a log line.
func (s *Server) writeRejection(w http.ResponseWriter, r *http.Request, status int, retryAfter time.Duration, reason string) {
	s.Metrics.RecordRejected(status)
	abandonBody(w, r)
	writeRefusal(w, status, retryAfter, reason)
}

// writeRefusal writes an error response of this host.
func writeRefusal(w http.ResponseWriter, status int, retryAfter time.Duration, reason string) {
	h := w.Header()
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(reason)+1))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, reason+"\n") // a write error means that the caller has disconnected
}
