// Package gateway takes callers' requests, has them run on upstreams and passes
// the answers on unchanged.
package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"mulberrydyke/call"
	"mulberrydyke/dispatch"
	"mulberrydyke/plan"
	"mulberrydyke/quarantine"
	"mulberrydyke/route"
)

const (
	// timeoutSlack lets an upstream's own answer at the deadline come first.
	timeoutSlack = 40 * time.Millisecond
	// startRetry is when callers may come back to a host that knows no table.
	startRetry = 500 * time.Millisecond
	// bodyMost bounds bodies while the table gives no bound.
	bodyMost = 4 << 20
)

// Options are what a Server is made of.
type Options struct {
	Dialect call.Dialect
	Core    *dispatch.Balancer
	Links   *Links
	Budget  *Budget
	// Quarantine holds the contents that crash upstreams.
	Quarantine *quarantine.Table
	// Table returns the table in force, or nil while none is known.
	Table func() *route.Table
	// Current returns the upstream as it is listed now, or nil.
	Current func(plan.UpstreamID) *route.Upstream
	Log     *slog.Logger
	Metrics *Metrics
	Now     func() time.Time
}

// Server serves callers. It implements http.Handler.
type Server struct {
	Options
	leaving atomic.Bool
	running atomic.Int64
}

// NewServer returns a server.
func NewServer(o Options) *Server { return &Server{Options: o} }

// Leave makes the server end each connection after its present request.
func (s *Server) Leave() { s.leaving.Store(true) }

// Running returns the number of requests in progress.
func (s *Server) Running() int { return int(s.running.Load()) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	now := s.Now()
	// No header is added to the upstream's.
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	request, err := s.Dialect.ParseRequest(now, r)
	if err != nil {
		s.turnAway(w, r, nil, http.StatusBadRequest, 0, err.Error())
		return
	}
	x := s.admit(w, r, request)
	if x == nil {
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), now.Add(x.limit+timeoutSlack), errTimeout)
	defer cancel()
	x.run(ctx)
}

// admit finds the request's route and account and reads its body. It returns nil
// where it has answered the request itself.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, request *call.Request) *exchange {
	t := s.Table()
	if t == nil {
		s.turnAway(w, r, request, http.StatusServiceUnavailable, startRetry, "no routing table is known yet")
		return nil
	}
	rt := t.Match(request.Host, request.Path)
	if rt == nil {
		s.turnAway(w, r, request, http.StatusNotFound, 0, "no route")
		return nil
	}
	account := t.AccountForKey(request.APIKey)
	if t.NeedsKey(rt) && account == nil {
		s.turnAway(w, r, request, http.StatusUnauthorized, 0, "unknown key")
		return nil
	}
	if err := s.readBody(w, r, request, t.Limits.MaxBodyBytes); err != nil {
		return nil
	}
	x := &exchange{server: s, w: w, request: request, table: t, route: rt, account: account, limit: rt.Timeout}
	if request.CallerTimeout > 0 && request.CallerTimeout < x.limit {
		x.limit = request.CallerTimeout
	}
	x.lastEvent = request.LastEventID
	if id, err := strconv.ParseInt(request.LastEventID, 10, 64); err == nil {
		x.lastEventID = id
	}
	x.service = rt.PickService(route.UnitFraction(route.Hash(string(request.ID))))
	return x
}

// readBody reads the whole body, so that it can be offered to a second upstream.
// It answers the request itself where it fails.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, request *call.Request, most int64) error {
	if most <= 0 {
		most = bodyMost
	}
	if r.ContentLength > 0 && r.ContentLength <= most {
		request.Body = make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, request.Body)
		if err != nil {
			s.logLine(request, "caller left before its body was read", err.Error())
		}
		return err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	request.Body = body
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		s.turnAway(w, r, request, http.StatusRequestEntityTooLarge, 0, "body too large")
	case err != nil:
		s.logLine(request, "caller left before its body was read", err.Error())
	}
	return err
}

func (s *Server) logLine(request *call.Request, message, cause string) {
	s.Log.Info(message, "id", string(request.ID), "cause", cause)
}

// turnAway answers a request that was not sent to any upstream.
func (s *Server) turnAway(w http.ResponseWriter, r *http.Request, request *call.Request, status int, after time.Duration, reason string) {
	id, version := "", plan.Version(0)
	if request != nil {
		id = string(request.ID)
	}
	if t := s.Table(); t != nil {
		version = t.Version
	}
	s.Log.Info("request turned away", "id", id, "status", status, "reason", reason, "to", r.Host, "path", r.URL.Path, "table", uint64(version))
	s.Metrics.TurnedAway(status)
	writeRefusal(w, status, after, reason)
}

// writeRefusal writes an answer of the product's own.
func writeRefusal(w http.ResponseWriter, status int, after time.Duration, reason string) {
	h := w.Header()
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(reason)+1))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, reason+"\n") // a caller that left needs no answer
}
