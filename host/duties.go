package host

import (
	"context"
	"errors"
	"sync"
	"time"

	"mulberrydyke/clock"
	"mulberrydyke/member"
	"mulberrydyke/peer"
	"mulberrydyke/placement"
	"mulberrydyke/plan"
	"mulberrydyke/pool"
)

const (
	// heartbeatTimeout limits an exchange of heartbeats, and the query for the
	// grants that a host still holds.
	heartbeatTimeout = time.Second
	// maxHeartbeatDelay is how late a round of heartbeats may be before the host
	// treats its lists and its view of the other hosts as stale.
	maxHeartbeatDelay = time.Second
	// freshStateTimeout limits how long a request waits for fresh state.
	freshStateTimeout      = 5 * time.Second
	freshStatePollInterval = 10 * time.Millisecond
	// loadReportInterval is the time between the reads of two load reports.
	loadReportInterval = 100 * time.Millisecond
	// reconcileInterval is how often this host asks the other hosts which grants
	// of its schedulers they still hold.
	reconcileInterval = 3 * time.Second
)

// startBackground starts the background goroutines of the host: heartbeats, load
// reports, reconciliation of grants and broadcasts of suspects.
func (h *Host) startBackground(ctx context.Context) {
	h.background.Go(func() { h.runHeartbeats(ctx) })
	h.background.Go(func() { h.pollLoadReports(ctx) })
	h.background.Go(func() { h.runReconciliation(ctx) })
	h.background.Go(func() { h.runSuspectBroadcasts(ctx) })
}

// refreshLists fetches the newest lists from the peers and the platform before the
// host serves requests, so that a stale platform can't make it apply old lists.
// The peers are asked a second time because the platform's list may name more of
// them.
func (h *Host) refreshLists(ctx context.Context) {
	h.exchangeHeartbeats(ctx)
	h.lists.fetchNewest(ctx)
	readCtx, cancel := context.WithTimeout(ctx, initialReadTimeout)
	h.lists.readAll(readCtx)
	cancel()
	h.exchangeHeartbeats(ctx)
	h.lists.fetchNewest(ctx)
}

// runHeartbeats reads the lists once, then sends heartbeats periodically and
// updates this host's roles according to the hosts that are live. It refreshes the
// lists when a round was late, for example because the process was suspended.
func (h *Host) runHeartbeats(ctx context.Context) {
	h.refreshLists(ctx)
	h.recordHeartbeatRound()
	h.lists.initialReadDone.Store(true)
	for round := 0; ctx.Err() == nil; round++ {
		if !h.isStateFresh(time.Now()) {
			h.log.Warn("heartbeats were delayed; refreshing the lists from peers and platform")
			h.metrics.Inc("mulberrydyke_pauses_total")
			h.refreshLists(ctx)
		}
		h.recordHeartbeatRound()
		h.updateRoles(ctx)
		h.sendHeartbeats(ctx, h.reminders(round))
		clock.Sleep(ctx, h.fleet.heartbeatInterval())
	}
	h.lists.setWatching(ctx, false)
}

// recordHeartbeatRound stores the time at which a round of heartbeats starts.
func (h *Host) recordHeartbeatRound() {
	now := time.Now()
	h.lastHeartbeatRound.Store(&now)
}

// isStateFresh reports whether the last round of heartbeats is recent enough for
// the host to rely on its lists and its view of the other hosts.
func (h *Host) isStateFresh(now time.Time) bool {
	last := h.lastHeartbeatRound.Load()
	return last != nil && now.Sub(*last) < h.fleet.heartbeatInterval()+maxHeartbeatDelay
}

// awaitFreshState waits until the state of this host is fresh, for at most
// freshStateTimeout, so that a host cut off from all others keeps serving.
func (h *Host) awaitFreshState(ctx context.Context) {
	deadline := time.Now().Add(freshStateTimeout)
	for now := time.Now(); !h.isStateFresh(now) && now.Before(deadline) && ctx.Err() == nil; now = time.Now() {
		clock.Sleep(ctx, freshStatePollInterval)
	}
}

// updateRoles drops the requests of expired incarnations, then decides whether
// this host reads the platform and which schedulers it runs.
func (h *Host) updateRoles(ctx context.Context) {
	now := time.Now()
	for _, incarnation := range h.fleet.removeExpired(now) {
		h.forgetIncarnation(incarnation)
	}
	h.lists.setWatching(ctx, h.isPlatformReader())
	h.local.Retain(h.isScheduler)
}

// isPlatformReader reports whether this host is one of the hosts of its domain
// that watch the platform.
func (h *Host) isPlatformReader() bool {
	ranked := member.RankByRendezvous("platform-reader", h.fleet.Live(h.settings.Domain))
	for i, host := range ranked {
		if host.ID == h.settings.ID {
			return i < platformReaders
		}
	}
	return false
}

// isScheduler reports whether this host runs the scheduler of a pool.
func (h *Host) isScheduler(id pool.ID) bool {
	ranked := placement.RankSchedulers(id, h.fleet.Live(id.Domain))
	return len(ranked) > 0 && ranked[0].ID == h.settings.ID
}

// forgetIncarnation removes the requests of a host process that no longer runs
// from all schedulers here.
func (h *Host) forgetIncarnation(incarnation member.HostIncarnation) {
	event := &pool.HostGone{Host: incarnation.Host, Incarnation: uint64(incarnation.Incarnation)}
	h.local.Broadcast(event)
	h.fallback.Broadcast(event)
}

// sendHeartbeats sends a heartbeat to every target without waiting for the replies.
// It skips a target whose last heartbeat is still pending.
func (h *Host) sendHeartbeats(ctx context.Context, reminders []pool.Suspect) {
	for _, address := range h.fleet.heartbeatTargets(time.Now(), h.settings.Peers) {
		if !h.fleet.beginHeartbeat(address) {
			continue
		}
		h.background.Go(func() {
			defer h.fleet.endHeartbeat(address)
			h.exchangeHeartbeat(ctx, address, reminders)
		})
	}
}

// exchangeHeartbeats sends a heartbeat to every target and waits for the replies.
func (h *Host) exchangeHeartbeats(ctx context.Context) {
	var wg sync.WaitGroup
	for _, address := range h.fleet.heartbeatTargets(time.Now(), h.settings.Peers) {
		wg.Go(func() { h.exchangeHeartbeat(ctx, address, nil) })
	}
	wg.Wait()
}

// exchangeHeartbeat exchanges heartbeats with the host at address. It closes the
// connection when no reply arrives, because the connection may be dead without
// having been closed.
func (h *Host) exchangeHeartbeat(ctx context.Context, address string, suspects []pool.Suspect) {
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	args := &peer.BeatArgs{Beat: h.fleet.heartbeat(h.State().Versions()), Suspects: suspects}
	var reply peer.BeatReply
	err := h.fleet.client.Call(callCtx, address, "Beat", args, &reply)
	var transportErr *peer.TransportError
	if errors.As(err, &transportErr) {
		h.fleet.client.Drop(address)
	}
	if err == nil {
		h.handleHeartbeat(ctx, reply.Beat, reply.Absent, true)
	}
}

// handleHeartbeat processes a heartbeat of another host. The parameter absent lists
// hosts of the sender's domain that are dead or leaving; isReply is set for the reply
// to a heartbeat that this host sent.
func (h *Host) handleHeartbeat(ctx context.Context, heartbeat member.Heartbeat, absent []plan.HostID, isReply bool) {
	previous, restarted := h.fleet.recordHeartbeat(time.Now(), heartbeat, absent, isReply)
	if restarted {
		h.forgetIncarnation(previous)
	}
	h.lists.fetchNewer(ctx, heartbeat.Self, heartbeat.Versions)
}

// gatherRuns returns the requests that this host and all hosts not known to be dead
// are running in a pool. It also records the suspects that they report.
func (h *Host) gatherRuns(ctx context.Context, id pool.ID) []pool.Run {
	runs := h.placer.Runs(id)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, host := range h.fleet.hosts() {
		if host.Condition == member.Dead || host.Identity.Peer == "" {
			continue
		}
		wg.Go(func() {
			var reply peer.RunsReply
			err := h.fleet.Call(ctx, host.Identity, "Runs", &peer.RunsArgs{Pool: id}, &reply)
			if err != nil || reply.Check() != nil {
				return
			}
			h.local.MergeSuspects(time.Now(), reply.Suspects)
			mu.Lock()
			defer mu.Unlock()
			runs = append(runs, reply.Runs...)
		})
	}
	wg.Wait()
	return runs
}

// pollLoadReports reads the load reports of the engines whose pools are scheduled
// here. It reads one per interval, so that the number of reads per second does not
// grow with the number of engines.
func (h *Host) pollLoadReports(ctx context.Context) {
	ticker := time.NewTicker(loadReportInterval)
	defer ticker.Stop()
	var remaining []loadTarget
	for {
		select {
		case <-ticker.C:
			if len(remaining) == 0 {
				remaining = h.loadTargets()
			}
			if len(remaining) > 0 {
				target := remaining[0]
				remaining = remaining[1:]
				h.background.Go(func() { h.readLoad(ctx, target.pool, target.upstream) })
			}
		case <-ctx.Done():
			return
		}
	}
}

// loadTarget identifies an engine in a pool that is scheduled here.
type loadTarget struct {
	pool     pool.ID
	upstream plan.UpstreamID
}

// loadTargets returns the engines of all pools that are scheduled here.
func (h *Host) loadTargets() []loadTarget {
	var targets []loadTarget
	for _, id := range h.local.Pools() {
		if id.Kind != plan.Engine {
			continue
		}
		for _, u := range placement.UpstreamsOf(h.State(), id) {
			targets = append(targets, loadTarget{id, u.ID})
		}
	}
	return targets
}

// readLoad reads one engine's load report and passes it to the pool's scheduler. A
// failed read is ignored; the engine is read again in the next pass.
func (h *Host) readLoad(ctx context.Context, id pool.ID, u plan.UpstreamID) {
	client, ok := h.upstreams.Client(u)
	if !ok {
		return
	}
	load, err := client.LoadReport(ctx)
	if err != nil {
		return
	}
	h.local.Send(id, &pool.LoadReported{Upstream: u, Memory: load.KVCacheUsage, Age: load.Age(), Instance: client.Instance()})
}

// runReconciliation periodically compares the schedulers' records with what the
// hosts still run, so that a lost report blocks a slot of an upstream for a few
// seconds only.
func (h *Host) runReconciliation(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			for _, id := range h.local.Pools() {
				h.reconcilePool(ctx, id)
			}
		case <-ctx.Done():
			return
		}
	}
}

// reconcilePool asks every live or leaving host which grants of a pool it still holds
// and passes the replies to the pool's scheduler.
func (h *Host) reconcilePool(ctx context.Context, id pool.ID) {
	queriedAt := time.Now()
	h.local.Send(id, h.heldGrants(id, queriedAt))
	var wg sync.WaitGroup
	for _, host := range h.fleet.hosts() {
		if host.Condition != member.Live && host.Condition != member.Leaving {
			continue
		}
		wg.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
			defer cancel()
			var reply peer.HeldReply
			err := h.fleet.Call(callCtx, host.Identity, "Held", &peer.RunsArgs{Pool: id}, &reply)
			if err != nil || reply.Check() != nil {
				return
			}
			h.local.Send(id, &pool.GrantsConfirmed{
				Host: host.Identity.ID, Incarnation: reply.Incarnation, Held: reply.Held, QueriedAt: queriedAt,
			})
		})
	}
	wg.Wait()
}

// heldGrants returns the grants that this host holds in a pool.
func (h *Host) heldGrants(id pool.ID, queriedAt time.Time) *pool.GrantsConfirmed {
	confirmed := &pool.GrantsConfirmed{Host: h.settings.ID, Incarnation: uint64(h.fleet.self.Incarnation), QueriedAt: queriedAt}
	for _, run := range h.placer.Runs(id) {
		confirmed.Held = append(confirmed.Held, run.Ask.ID.Sequence)
	}
	return confirmed
}
