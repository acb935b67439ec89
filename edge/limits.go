package edge

import (
	"net/http"
	"time"

	"mulberrydyke/connlimit"
)

const (
	// maxHeaderBytes limits request heads as they are read. The table's own limit, which may
	// change, is checked when a head is complete.
	maxHeaderBytes = 64 << 10
	// sideTimeout limits requests and answers at the listeners for readiness and metrics.
	sideTimeout = 10 * time.Second
	// maxSideConns and maxSideBytes limit the connections of each of these listeners, and the
	// memory for their request heads.
	maxSideConns = 64
	maxSideBytes = 2 << 20
	// maxPeerConns and maxPeerBytes do the same for the listener for peers. In the largest fleets a
	// host serves some dozens of calls at once, so that hosts don't reach these limits.
	maxPeerConns = 256
	maxPeerBytes = 4 << 20
)

// callerLimiter returns the limiter for the listener for callers.
func (h *Host) callerLimiter() *connlimit.Limiter {
	return h.newLimiter("callers", connlimit.LimitsFor(h.settings.MemoryBytes, h.settings.MaxFileDescriptors))
}

// sideLimiter returns the limiter for the listener for readiness or metrics. It has its own, so
// that callers don't end the connections of the load balancer.
func (h *Host) sideLimiter(name string) *connlimit.Limiter {
	return h.newLimiter(name, connlimit.Limits{Conns: maxSideConns, Bytes: maxSideBytes, WriteTimeout: sideTimeout})
}

// peerLimiter returns the limiter for the listener for peers. Its connections don't carry HTTP, so
// they are ended without an answer.
func (h *Host) peerLimiter() *connlimit.Limiter {
	return h.newLimiter("peers", connlimit.Limits{Conns: maxPeerConns, Bytes: maxPeerBytes, Encrypted: true})
}

func (h *Host) newLimiter(name string, limits connlimit.Limits) *connlimit.Limiter {
	l := connlimit.NewLimiter(limits, name, h.log)
	l.RegisterGauges(func(metric string, value func() float64) { h.metrics.NewGauge(metric, value) })
	return l
}

// newSideServer returns a server for requests without bodies.
func newSideServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadTimeout: sideTimeout, WriteTimeout: sideTimeout, IdleTimeout: idleTimeout}
}
