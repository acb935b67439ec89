package gateway

import (
	"context"
	"errors"
	"time"

	"mulberrydyke/call"
	"mulberrydyke/dispatch"
	"mulberrydyke/link"
	"mulberrydyke/quarantine"
	"mulberrydyke/route"
)

// quarantineLeft returns how long requests with this content are still
// refused, or zero.
func (x *exchange) quarantineLeft() time.Duration {
	table := x.server.Quarantine
	if table.Empty() {
		return 0
	}
	return table.QuarantineLeft(x.server.Now(), quarantine.KeyOf(x.request))
}

// updateQuarantine records what the result of an attempt tells about the request's
// content. A completed run clears it of suspicion. If the upstream closed the
// connection, a new connection is tried to find out whether it has crashed.
func (x *exchange) updateQuarantine(lease *dispatch.Lease, result dispatch.Result, err error) {
	table := x.server.Quarantine
	if result == dispatch.Done {
		if !table.Empty() {
			table.RecordFinished(x.server.Now(), quarantine.KeyOf(x.request))
		}
		return
	}
	var exchangeErr *link.ExchangeError
	if result != dispatch.Broken || !errors.As(err, &exchangeErr) || !exchangeErr.ClosedByUpstream() {
		return
	}
	checked := make(chan struct{})
	x.crashChecked = checked
	go func() {
		defer close(checked)
		x.server.recordIfCrashed(lease.Upstream, x.request)
	}()
}

// awaitCrashCheck waits until it is known whether the last attempt crashed its
// upstream, so that a crash counts before the request is sent to another one.
func (x *exchange) awaitCrashCheck(ctx context.Context) {
	if x.crashChecked == nil {
		return
	}
	select {
	case <-x.crashChecked:
	case <-ctx.Done():
	}
}

// recordIfCrashed records a crash if the upstream accepts no new connection.
func (s *Server) recordIfCrashed(upstream *route.Upstream, r *call.Request) {
	content := quarantine.KeyOf(r)
	if !s.ConnPools.Get(upstream).Unreachable(context.Background(), s.Now()) {
		return
	}
	s.Quarantine.RecordCrash(s.Now(), content, upstream)
	s.Log.Info("upstream crashed", "id", string(r.ID), "upstream", string(upstream.ID), "content", uint64(content),
		"refused-for", s.Quarantine.QuarantineLeft(s.Now(), content), "parts", r.Prompt.SharedPartIDs())
}
