package edge

import (
	"sync"
	"sync/atomic"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// upstreamList holds the upstreams that the platform lists, and those in force.
type upstreamList struct {
	// mu orders the changes of inForce.
	mu sync.Mutex
	// listed holds the upstreams as the platform lists them.
	listed atomic.Pointer[route.Upstreams]
	// inForce holds the same upstreams in the states that hosts go by.
	inForce atomic.Pointer[route.Upstreams]
}

func (l *upstreamList) init() {
	l.listed.Store(&route.Upstreams{})
	l.inForce.Store(&route.Upstreams{})
}

func (l *upstreamList) setListed(u *route.Upstreams) { l.listed.Store(u) }

// refresh puts the listed upstreams in force, and calls apply before another change can follow.
func (l *upstreamList) refresh(draining func(route.ProcessKey) bool, apply func(before, after *route.Upstreams)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	after := l.listed.Load().WithDraining(draining)
	apply(l.inForce.Swap(after), after)
}

// withInForce calls apply with the upstreams in force, before another change can follow.
func (l *upstreamList) withInForce(apply func(*route.Upstreams)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	apply(l.inForce.Load())
}

// UpstreamsUpdated implements platform.Receiver.
func (h *Host) UpstreamsUpdated(u *route.Upstreams) {
	h.drains.SetListed(time.Now(), u)
	h.upstreams.setListed(u)
	h.refreshUpstreams()
	go h.gossipNode.Broadcast()
}

// refreshUpstreams puts the listed upstreams in force. Those that have said that they are
// draining are in that state, whatever the platform lists.
func (h *Host) refreshUpstreams() {
	h.upstreams.refresh(h.drains.Draining, func(before, after *route.Upstreams) {
		h.refreshCold(after)
		h.balancer.SetUpstreams(time.Now(), after)
		h.connPools.Prune(after)
		h.logUpstreams(before, after)
	})
}

// lookupUpstream returns an upstream as it is in force now, or nil.
func (h *Host) lookupUpstream(id plan.UpstreamID) *route.Upstream {
	return h.upstreams.inForce.Load().ByID[id]
}

// awaitUpstream returns an upstream as it is in force now, or nil. If the process was paused, it
// waits until the changes that it missed may be in force.
func (h *Host) awaitUpstream(id plan.UpstreamID) *route.Upstream {
	for hold := h.sendDelay(id); hold > 0; hold = h.sendDelay(id) {
		time.Sleep(min(hold, lifeInterval))
	}
	return h.lookupUpstream(id)
}

// sendDelay returns how long requests to an upstream have to wait because the process was paused.
func (h *Host) sendDelay(id plan.UpstreamID) time.Duration {
	all, restartable := h.checkPause()
	if restartable > all && h.limitsCold(h.lookupUpstream(id)) {
		return restartable
	}
	return all
}

// maxLoggedUpstreams is the number of changed upstreams up to which each is logged.
// At the start all are new.
const maxLoggedUpstreams = 12

// logUpstreams logs the upstreams that were added, changed or removed: each of them,
// or their numbers if there are many.
func (h *Host) logUpstreams(before, after *route.Upstreams) {
	var listed []*route.Upstream
	var gone []plan.UpstreamID
	for id, u := range after.ByID {
		if old := before.ByID[id]; old == nil || old.State != u.State || old.Address != u.Address || !old.StartedAt.Equal(u.StartedAt) {
			listed = append(listed, u)
		}
	}
	for id := range before.ByID {
		if after.ByID[id] == nil {
			gone = append(gone, id)
		}
	}
	if len(listed)+len(gone) > maxLoggedUpstreams {
		h.log.Info("upstreams changed", "listed", len(listed), "gone", len(gone), "total", len(after.ByID), "epoch", uint64(after.Position.Epoch), "revision", after.Position.Revision)
		return
	}
	for _, u := range listed {
		h.log.Info("upstream listed", "upstream", string(u.ID), "service", string(u.Service), "leaving", u.State == route.Draining,
			"evacuated", u.State == route.Evacuated, "address", u.Address, "epoch", uint64(u.Position.Epoch), "revision", u.Position.Revision)
	}
	for _, id := range gone {
		h.log.Info("upstream gone", "upstream", string(id), "epoch", uint64(after.Position.Epoch), "revision", after.Position.Revision)
	}
}
