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

const (
	// harmlessAfter is how long a stream goes on after its first event until it counts as
	// harmless. A request that crashes its upstream does so when it begins to run.
	harmlessAfter = 500 * time.Millisecond
)

// quarantineLeft returns for how long requests like this are still refused, or zero.
func (x *exchange) quarantineLeft() time.Duration {
	table := x.server.Quarantine
	if table.Empty() {
		return 0
	}
	return table.QuarantineLeft(x.server.Now(), quarantine.TraitsOf(x.request))
}

// updateQuarantine records what the result of an attempt tells about the request. A
// completed run clears it of suspicion. If the upstream closed the connection, a new
// connection is tried to find out whether it has crashed.
func (x *exchange) updateQuarantine(lease *dispatch.Lease, result dispatch.Result, err error) {
	if result == dispatch.Done {
		x.recordFinished(lease)
		return
	}
	var exchangeErr *link.ExchangeError
	if result != dispatch.Broken || !errors.As(err, &exchangeErr) || !exchangeErr.ClosedByUpstream() {
		return
	}
	x.checkForCrash(lease, func() {})
}

// recordFinished records that a run was complete. If the answer ended with its
// connection, an upstream that has crashed may look the same.
func (x *exchange) recordFinished(lease *dispatch.Lease) {
	began := x.attemptSentAt
	if !x.attemptFirstEvent.IsZero() {
		began = x.attemptFirstEvent
	}
	recordHarmless := func() { x.server.recordHarmless(x.request, began) }
	switch {
	case !x.endedWithConn:
		recordHarmless()
	case !x.server.Quarantine.Empty():
		x.checkForCrash(lease, recordHarmless)
	}
}

// recordHarmless records that a request that began to run at the given time did not crash
// its upstream.
func (s *Server) recordHarmless(r *call.Request, began time.Time) {
	traits := quarantine.PartsOf(r)
	if !s.Quarantine.Empty() {
		traits = append(traits, quarantine.ContentOf(r))
	}
	s.Quarantine.RecordHarmless(s.Now(), began, traits)
}

// noteProgress records, once for each attempt, that the parts of a prompt whose stream
// goes on are harmless.
func (x *exchange) noteProgress(now time.Time) {
	if x.harmlessNoted || !x.goesOn(now) {
		return
	}
	x.harmlessNoted = true
	x.server.Quarantine.RecordHarmless(now, x.attemptFirstEvent, quarantine.PartsOf(x.request))
}

// goesOn reports whether the stream of this attempt has gone on for so long that the
// request is not what crashes its upstream.
func (x *exchange) goesOn(now time.Time) bool {
	return !x.attemptFirstEvent.IsZero() && now.Sub(x.attemptFirstEvent) >= harmlessAfter
}

// checkForCrash finds out whether the upstream of an attempt has crashed: then it accepts
// no new connection. If it has, the crash is recorded, else otherwise is called. Parts
// of the prompt are not suspects if the stream had gone on for long.
func (x *exchange) checkForCrash(lease *dispatch.Lease, otherwise func()) {
	traits := quarantine.TraitsOf(x.request)
	if x.goesOn(x.server.Now()) {
		traits = []quarantine.Trait{quarantine.ContentOf(x.request)}
	}
	checked := make(chan struct{})
	x.crashChecked = checked
	go func() {
		defer close(checked)
		if x.server.ConnPools.Get(lease.Upstream).Unreachable(context.Background(), x.server.Now()) {
			x.server.recordCrash(lease.Upstream, x.request, traits)
			return
		}
		otherwise()
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

// recordCrash records that an upstream crashed while it was running a request.
func (s *Server) recordCrash(upstream *route.Upstream, r *call.Request, traits []quarantine.Trait) {
	now := s.Now()
	s.Quarantine.RecordCrash(now, traits, upstream)
	s.Log.Info("upstream crashed", "id", string(r.ID), "upstream", string(upstream.ID), "content", uint64(quarantine.ContentOf(r).Key),
		"refused-for", s.Quarantine.QuarantineLeft(now, traits), "suspect-parts", len(traits)-1, "parts", r.Prompt.SharedPartIDs())
}
