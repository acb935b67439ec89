package gateway

import (
	"context"
	"errors"
	"time"

	"mulberrydyke/dispatch"
	"mulberrydyke/link"
	"mulberrydyke/pool"
	"mulberrydyke/quarantine"
	"mulberrydyke/route"
)

// quarantined returns how long requests of this content are refused, or zero.
func (x *exchange) quarantined() time.Duration {
	table := x.server.Quarantine
	if table.Empty() {
		return 0
	}
	return table.Remaining(x.server.Now(), quarantine.HashRequest(x.request))
}

// suspect notes what the end of a try says of the request's content. An upstream
// that closed the connection and takes no other has crashed.
func (x *exchange) suspect(lease *dispatch.Lease, r dispatch.Result, err error) {
	table := x.server.Quarantine
	if r == dispatch.Done {
		if !table.Empty() {
			table.RecordCompletion(x.server.Now(), quarantine.HashRequest(x.request))
		}
		return
	}
	var broken *link.BrokenError
	if r != dispatch.Broken || !errors.As(err, &broken) || !broken.Dropped() {
		return
	}
	go x.server.checkCrash(lease.Upstream, quarantine.HashRequest(x.request), string(x.request.ID))
}

// checkCrash records a crash where the upstream takes no connection any more.
func (s *Server) checkCrash(u *route.Upstream, c pool.ContentHash, id string) {
	if !s.Links.Of(u).Refuses(context.Background(), s.Now()) {
		return
	}
	s.Quarantine.RecordCrash(s.Now(), c, u)
	s.Log.Info("upstream crashed", "id", id, "upstream", string(u.ID), "content", uint64(c),
		"refused-for", s.Quarantine.Remaining(s.Now(), c))
}
