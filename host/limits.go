package host

import (
	"time"

	"mulberrydyke/connlimit"
)

const (
	// maxOperatorConnections limits the connections to the operators' listener, and
	// maxOperatorBytes the memory for their request heads.
	maxOperatorConnections = 64
	maxOperatorBytes       = 8 << 20
	// operatorTimeout limits the time within which a body has to arrive there, and the time in which
	// nothing of an answer is taken.
	operatorTimeout = 10 * time.Second
)

// callerLimiter returns the limiter for the listener for callers. The write timeout of LimitsFor applies
// only while the handlers have set no deadline for their answers.
func (h *Host) callerLimiter() *connlimit.Limiter {
	bounds := h.settings.Bounds
	limits := connlimit.LimitsFor(machineMemory(bounds), 0)
	limits.Conns = min(limits.Conns, bounds.MaxConnections)
	limits.BodyTimeout = bounds.BodyTimeout.Std()
	return h.newLimiter("callers", limits)
}

// operatorLimiter returns the limiter for the operators' listener. It has its own, so that callers
// don't end the connections of the load balancer.
func (h *Host) operatorLimiter() *connlimit.Limiter {
	return h.newLimiter("operators", connlimit.Limits{
		Conns: maxOperatorConnections, Bytes: maxOperatorBytes, WriteTimeout: operatorTimeout, BodyTimeout: operatorTimeout,
	})
}

func (h *Host) newLimiter(name string, limits connlimit.Limits) *connlimit.Limiter {
	limits.Encrypted = h.settings.TLS != nil
	l := connlimit.NewLimiter(limits, name, h.log)
	l.RegisterGauges(h.metrics.RegisterGauge)
	return l
}
