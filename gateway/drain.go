package gateway

import (
	"mulberrydyke/call"
	"mulberrydyke/dispatch"
	"mulberrydyke/route"
)

// recordDrain records that the upstream of a response has said in its head that it is
// draining.
func (x *exchange) recordDrain(lease *dispatch.Lease, head call.ResponseHead) {
	said := head.Drain
	if said.Problem != nil {
		x.server.Log.Warn("malformed draining flag", "id", string(x.request.ID), "upstream", string(lease.Upstream.ID), "cause", said.Problem)
	}
	if !said.Draining {
		return
	}
	u := x.responder(lease, head)
	if u != nil && x.server.Drains.Record(x.server.Now(), u.ProcessKey()) {
		x.server.Log.Info("upstream says that it is draining", "id", string(x.request.ID), "upstream", string(u.ID), "status", head.Status)
	}
}

// responder returns the upstream that sent a response, or nil if that is not known. If another
// upstream has taken over the address, the response names it.
func (x *exchange) responder(lease *dispatch.Lease, head call.ResponseHead) *route.Upstream {
	switch {
	case head.ID != x.request.ID:
		return nil
	case !head.Misdirected || head.Instance == lease.Upstream.ID:
		return lease.Upstream
	}
	u := x.server.LookupUpstream(head.Instance)
	if u == nil || u.Address != lease.Upstream.Address {
		return nil
	}
	return u
}

// recordLost records an upstream that may have restarted, since no connection could be opened. A
// connection that is closed under a request is no such sign: upstreams that break off single answers go
// on running.
func (x *exchange) recordLost(lease *dispatch.Lease, result dispatch.Result) {
	if result != dispatch.Unreachable || x.server.Lost == nil {
		return
	}
	x.server.Lost(lease.Upstream, x.server.Balancer.EjectedUntil(lease.Upstream.ID))
}
