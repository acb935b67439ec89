// Package web builds HTTP listeners from go-zero's rest routing.
//
// Every middleware that rest would add is off, each for a reason: Shedding,
// Breaker and MaxConns refuse requests without regard to tier; Timeout and
// MaxBytes end requests without a typed error; Recover makes an answer that
// broke off look whole, where net/http closes the connection; Trace, Log,
// Prometheus and Metrics repeat what the product's own counters hold; Gunzip
// would lift the bound on bodies. Listening and stopping are done here, since
// rest's own stop cuts requests off after 5.5 seconds.
package web

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/stat"
	"github.com/zeromicro/go-zero/rest"
	"golang.org/x/net/netutil"
)

const (
	headerTime  = 10 * time.Second
	headerBytes = 64 << 10
	idleTime    = 2 * time.Minute
	// neverForce puts off go-zero's own kill, which follows a signal to stop.
	neverForce = 365 * 24 * time.Hour
	shutWait   = 5 * time.Second
)

// Handler builds a handler from routes. Requests that no route takes go to
// notFound.
func Handler(routes []rest.Route, notFound http.HandlerFunc) (http.Handler, error) {
	logx.Disable()
	stat.DisableLog()
	server, err := rest.NewServer(conf(), rest.WithNotFoundHandler(notFound), rest.WithNotAllowedHandler(notFound))
	if err != nil {
		return nil, err
	}
	proc.SetTimeToForceQuit(neverForce)
	server.AddRoutes(routes)
	serverless, err := rest.NewServerless(server)
	if err != nil {
		return nil, err
	}
	return http.HandlerFunc(serverless.Serve), nil
}

// conf leaves every middleware of rest off.
func conf() rest.RestConf {
	var c rest.RestConf
	c.Name = "mulberrydyke"
	c.Shutdown.WaitTime = neverForce
	return c
}

// Server is one listener with its HTTP server.
type Server struct {
	http     *http.Server
	listener net.Listener
	done     chan struct{}
}

// Listen opens address and serves handler on it. At most connections are open
// at once; further ones wait. A nil tlsConfig means plain HTTP.
func Listen(address string, handler http.Handler, connections int, tlsConfig *tls.Config) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTime,
			MaxHeaderBytes:    headerBytes,
			IdleTimeout:       idleTime,
			ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
			TLSConfig:         tlsConfig,
		},
		listener: netutil.LimitListener(listener, connections),
		done:     make(chan struct{}),
	}
	go s.serve(tlsConfig != nil)
	return s, nil
}

func (s *Server) serve(secure bool) {
	defer close(s.done)
	if secure {
		_ = s.http.ServeTLS(s.listener, "", "")
		return
	}
	_ = s.http.Serve(s.listener)
}

// Serve builds a handler from routes and serves it on address over plain HTTP.
// It returns the address that it listens on and the clean-up function.
func Serve(address string, routes []rest.Route, notFound http.HandlerFunc, connections int) (string, func(), error) {
	handler, err := Handler(routes, notFound)
	if err != nil {
		return "", nil, err
	}
	s, err := Listen(address, handler, connections, nil)
	if err != nil {
		return "", nil, err
	}
	return s.Address(), s.Close, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop closes the listener and waits until every request in progress has
// ended, or until ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	s.http.SetKeepAlivesEnabled(false)
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	<-s.done
	return err
}

// Close stops the server within a few seconds. It is a clean-up function.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutWait)
	defer cancel()
	_ = s.Stop(ctx)
}

// WriteJSON answers with v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ReadJSON reads a request's body into v. Where that fails it answers with
// status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
