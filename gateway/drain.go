package gateway

import (
	"mulberrydyke/call"
	"mulberrydyke/dispatch"
)

// logDrain logs what the head of a response says of whether its upstream is draining.
func (x *exchange) logDrain(lease *dispatch.Lease, head call.ResponseHead) {
	if problem := head.Drain.Problem; problem != nil {
		x.server.Log.Warn("malformed draining flag", "id", string(x.request.ID), "upstream", string(lease.Upstream.ID), "cause", problem)
	}
	if !head.Drain.Draining {
		return
	}
	x.server.Log.Info("upstream says that it is draining", "id", string(x.request.ID), "upstream", string(lease.Upstream.ID),
		"own-answer", head.ID == x.request.ID && !head.Misdirected, "status", head.Status)
}
