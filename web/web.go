// Package web builds HTTP servers with the routing of go-zero's package rest.
//
// All middlewares that rest would add are disabled:
//
//   - Shedding, Breaker and MaxConns reject requests without regard to their tier.
//   - Timeout and MaxBytes end requests without a typed error.
//   - Recover makes an interrupted response look complete, whereas net/http closes
//     the connection.
//   - Trace, Log, Prometheus and Metrics duplicate the router's own metrics.
//   - Gunzip would bypass the limit on the size of bodies.
//
// The package opens and stops listeners itself, since rest aborts requests 5.5
// seconds after it is told to stop.
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

	"mulberrydyke/connlimit"
)

const (
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	idleTimeout       = 2 * time.Minute
	// forceQuitDelay is long enough that go-zero never kills the process, which it
	// would otherwise do some time after a signal to stop.
	forceQuitDelay = 365 * 24 * time.Hour
	closeTimeout   = 5 * time.Second
	// trustedBytes limits the memory for the heads of trusted callers' requests.
	trustedBytes = 64 << 20
)

// Handler builds a handler from routes. Requests that match no route go to
// notFound.
func Handler(routes []rest.Route, notFound http.HandlerFunc) (http.Handler, error) {
	logx.Disable()
	stat.DisableLog()
	server, err := rest.NewServer(restConfig(), rest.WithNotFoundHandler(notFound), rest.WithNotAllowedHandler(notFound))
	if err != nil {
		return nil, err
	}
	proc.SetTimeToForceQuit(forceQuitDelay)
	server.AddRoutes(routes)
	serverless, err := rest.NewServerless(server)
	if err != nil {
		return nil, err
	}
	return http.HandlerFunc(serverless.Serve), nil
}

// restConfig returns a configuration of rest with all middlewares disabled.
func restConfig() rest.RestConf {
	var config rest.RestConf
	config.Name = "mulberrydyke"
	config.Shutdown.WaitTime = forceQuitDelay
	return config
}

// Server is an HTTP server with its listener.
type Server struct {
	http     *http.Server
	listener net.Listener
	done     chan struct{}
}

// Listen listens on address and serves handler there, within the limits of a limiter. A nil
// tlsConfig selects plain HTTP.
func Listen(address string, handler http.Handler, limiter *connlimit.Limiter, tlsConfig *tls.Config) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			IdleTimeout:       idleTimeout,
			ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
			TLSConfig:         tlsConfig,
		},
		listener: limiter.Listen(listener),
		done:     make(chan struct{}),
	}
	limiter.Apply(s.http)
	go s.serve(tlsConfig != nil)
	return s, nil
}

// serve accepts connections until the server stops.
func (s *Server) serve(useTLS bool) {
	defer close(s.done)
	if useTLS {
		_ = s.http.ServeTLS(s.listener, "", "")
		return
	}
	_ = s.http.Serve(s.listener)
}

// Serve builds a handler from routes and serves it on address over plain HTTP to trusted callers,
// on at most maxConns connections. It returns the address that it listens on and a cleanup function.
func Serve(address string, routes []rest.Route, notFound http.HandlerFunc, maxConns int) (string, func(), error) {
	handler, err := Handler(routes, notFound)
	if err != nil {
		return "", nil, err
	}
	limiter := connlimit.NewLimiter(connlimit.Limits{Conns: maxConns, Bytes: trustedBytes}, "routes", slog.New(slog.DiscardHandler))
	s, err := Listen(address, handler, limiter, nil)
	if err != nil {
		return "", nil, err
	}
	return s.Address(), s.Close, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop closes the listener and waits for all requests in progress to end. When ctx
// ends first, it closes their connections and returns the error of ctx.
func (s *Server) Stop(ctx context.Context) error {
	s.http.SetKeepAlivesEnabled(false)
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	<-s.done
	return err
}

// Close stops the server like Stop, with a timeout of a few seconds.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = s.Stop(ctx)
}

// WriteJSON writes a response with the given status and v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ReadJSON decodes the JSON body of a request into v. If that fails, it responds
// with status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
