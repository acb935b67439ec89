package pool

import (
	"slices"
	"time"

	"mulberrydyke/plan"
)

// dispatch grants waiting requests until no upstream can take another one. Due
// floor slots go first, then the tiers from the highest to the lowest.
func (s *Scheduler) dispatch(now time.Time) {
	if len(s.waiting) == 0 {
		return
	}
	for {
		summary := s.summarize()
		if summary.maxFreeFraction <= 0 {
			return
		}
		summary.reserve = s.tierReserves(now)
		if !s.grantFloor(now, summary) && !s.grantQueued(now, summary) {
			return
		}
	}
}

// poolSummary summarizes the upstreams of a pool for one round of dispatch.
type poolSummary struct {
	// maxFreeFraction is the largest free fraction of any upstream's limit.
	maxFreeFraction float64
	// reserve is the fraction of each upstream's limit that a tier leaves free
	// for higher tiers, indexed by tier.
	reserve [plan.LowestTier + 1]float64
	// anyHealthy is set if an upstream is neither down nor on probation.
	anyHealthy bool
	// maxPrefixRuns is the number of runs up to which an upstream may be
	// preferred for a prefix.
	maxPrefixRuns float64
}

// summarize returns a summary of all live upstreams that are not down.
func (s *Scheduler) summarize() poolSummary {
	var summary poolSummary
	totalRuns, available := 0, 0
	for _, b := range s.backends {
		if !b.live || b.health == down {
			continue
		}
		totalRuns += b.inFlight
		available++
		summary.anyHealthy = summary.anyHealthy || b.health == healthy
		summary.maxFreeFraction = max(summary.maxFreeFraction, b.freeFraction())
	}
	summary.maxPrefixRuns = prefixLoadFactor*float64(totalRuns+1)/float64(max(1, available)) + 1
	return summary
}

// tierReserves returns the fraction of each upstream's limit that each tier
// leaves free for higher tiers that recently had requests. The reserve never
// decreases from a tier to the next lower one, so that a lower tier can't take
// a slot that a higher one has to leave free.
func (s *Scheduler) tierReserves(now time.Time) [plan.LowestTier + 1]float64 {
	var out [plan.LowestTier + 1]float64
	activeHigher := 0
	for t := plan.HighestTier; t <= plan.LowestTier; t++ {
		own := tierReserve*float64(min(activeHigher, maxReserveTiers)) + s.tiers[t].extraReserve
		out[t] = max(own, out[t-1])
		if now.Sub(s.tiers[t].lastRequest) < reserveDuration {
			activeHigher++
		}
	}
	return out
}

// grantFloor grants one request from a due floor slot, lowest tier first. It
// reports whether dispatch made progress.
func (s *Scheduler) grantFloor(now time.Time, summary poolSummary) bool {
	for t := plan.LowestTier; t > plan.HighestTier; t-- {
		q := s.tiers[t]
		if q.floorSlot == nil || !q.floorDue(now) {
			continue
		}
		if s.tryGrant(now, summary, q, q.floorSlot, true) {
			return true
		}
	}
	return false
}

// floorDue reports whether the request in the floor slot has to be served now:
// its tier has earned enough credit for its work, or it has waited too long.
func (q *tierQueue) floorDue(now time.Time) bool {
	return q.floorCredit >= q.floorSlot.work || now.Sub(q.floorSlot.floorSlotSince) >= maxFloorWait
}

// grantQueued grants one request of the highest tier that has a request with a
// suitable upstream. It reports whether dispatch made progress.
func (s *Scheduler) grantQueued(now time.Time, summary poolSummary) bool {
	for _, q := range s.tiers[1:] {
		if summary.maxFreeFraction <= summary.reserve[q.tier] {
			return false
		}
		if q.floorSlot != nil && s.tryGrant(now, summary, q, q.floorSlot, false) {
			return true
		}
		for lane := range laneCount {
			it := s.nextAdmitted(now, q, lane)
			if it != nil && s.tryGrant(now, summary, q, it, false) {
				return true
			}
		}
	}
	return false
}

// nextAdmitted returns the next request of a lane, or nil. A request that became
// restricted while it waited is moved to the restricted lane first, and one whose
// content was quarantined meanwhile is refused.
func (s *Scheduler) nextAdmitted(now time.Time, q *tierQueue, lane laneID) *item {
	for {
		it := q.nextInLane(now, lane)
		if it == nil {
			return nil
		}
		if left := s.quarantineLeft(now, &it.req); left > 0 {
			q.remove(it)
			s.refuseItem(it, Quarantined, left)
			continue
		}
		it.suspect = s.suspects.IsSuspect(now, it.req.Content)
		if lane == restrictedLane || !it.suspect && s.allowedBackends(it.req.Content) == nil {
			return it
		}
		q.remove(it)
		it.lane = restrictedLane
		q.add(it)
	}
}

// tryGrant grants a request if an upstream can take it. A request served by its
// tier's floor ignores the reserve for higher tiers. It returns true if dispatch
// made progress, also where the request in the floor slot was refused.
func (s *Scheduler) tryGrant(now time.Time, summary poolSummary, q *tierQueue, it *item, floor bool) bool {
	if q.floorSlot == it && !s.admitFloorSlot(now, q) {
		return true
	}
	reserve := summary.reserve[q.tier]
	if floor {
		reserve = 0
	}
	b := s.chooseBackend(now, summary, it, reserve)
	if b == nil {
		return false
	}
	if q.floorSlot == it {
		q.charge(it)
		q.floorSlot = nil
	} else {
		q.remove(it)
		q.charge(it)
	}
	s.creditFloors(q, it.work)
	s.raiseReserves(now, q, it)
	s.fillFloorSlot(now, q)
	s.addRun(now, it, b)
	s.commands = append(s.commands, Command{Kind: Grant, ID: it.req.ID, Upstream: b.id, RateLimited: b.terms.limited()})
	delete(s.waiting, it.req.ID)
	s.recycleItem(it)
	return true
}

// admitFloorSlot checks the request in the floor slot against the suspects. It
// returns false if the request was refused, in which case the floor slot holds
// another request or none.
func (s *Scheduler) admitFloorSlot(now time.Time, q *tierQueue) bool {
	it := q.floorSlot
	if left := s.quarantineLeft(now, &it.req); left > 0 {
		q.floorSlot = nil
		s.fillFloorSlot(now, q)
		s.refuseItem(it, Quarantined, left)
		return false
	}
	it.suspect = s.suspects.IsSuspect(now, it.req.Content)
	return true
}

// creditFloors adds credit, in proportion to the granted work, to the floors of
// all other tiers that have a request in their floor slot.
func (s *Scheduler) creditFloors(served *tierQueue, work Work) {
	for t := plan.HighestTier + 1; t <= plan.LowestTier; t++ {
		q := s.tiers[t]
		if q != served && q.floorSlot != nil {
			q.floorCredit += Work(s.floors[t]) * work
		}
	}
	served.grantedWork += work
}

const (
	// reserveWaitFraction is the fraction of a request's first-token target
	// above which its wait in the queue raises the reserve of lower tiers.
	reserveWaitFraction = 0.4
	// reserveStep is the increase of the extra reserve for one such wait.
	reserveStep = 0.02
	// maxExtraReserve bounds the extra reserve of a tier.
	maxExtraReserve = 0.45
	// extraReserveDecay is the factor applied to the extra reserve at each tick.
	extraReserveDecay = 0.995
)

// raiseReserves makes active lower tiers leave more capacity free if a granted
// request had to wait too long in the queue.
func (s *Scheduler) raiseReserves(now time.Time, q *tierQueue, it *item) {
	maxWait := time.Duration(reserveWaitFraction * float64(it.req.Target.FirstToken.Std()))
	if now.Sub(it.req.Arrived) <= maxWait {
		return
	}
	for _, lower := range s.tiers[q.tier+1:] {
		if now.Sub(lower.lastRequest) < reserveDuration {
			lower.extraReserve = min(lower.extraReserve+reserveStep, maxExtraReserve)
		}
	}
}

// chooseBackend returns the upstream for a request, or nil if none can take it.
// A request with a prefix goes to the upstream with the highest prefix score
// among those whose load is near the mean (rendezvous hashing with bounded
// loads); any other goes to the least loaded. Upstreams that are too slow for
// the request's target are used only if no other can take it.
func (s *Scheduler) chooseBackend(now time.Time, summary poolSummary, it *item, reserve float64) *backend {
	allowed := s.allowedBackends(it.req.Content)
	var leastLoaded, preferred, slow *backend
	var leastLoad, slowLoad float64
	var preferredScore uint64
	for _, b := range s.backends {
		if allowed != nil && !slices.Contains(allowed, b) {
			continue
		}
		if !b.canAccept(now, it, reserve) && (summary.anyHealthy || !b.lastResort(now)) {
			continue
		}
		if b.id == it.req.Avoid && len(s.backends) > 1 {
			continue
		}
		load := b.relativeLoad()
		if b.tooSlow(it.req.Target) {
			if slow == nil || load < slowLoad {
				slow, slowLoad = b, load
			}
			continue
		}
		if leastLoaded == nil || load < leastLoad {
			leastLoaded, leastLoad = b, load
		}
		if it.req.Prefix == 0 || float64(b.inFlight+1) > summary.maxPrefixRuns {
			continue
		}
		if score := b.prefixScore(it.req.Prefix); preferred == nil || score > preferredScore {
			preferred, preferredScore = b, score
		}
	}
	switch {
	case preferred != nil:
		return preferred
	case leastLoaded != nil:
		return leastLoaded
	}
	return slow
}

// allowedBackends limits content that has never finished to few upstreams at
// once, so that a request that crashes its upstream can't take many down before
// the first crash is known. Upstreams that the content has already crashed count
// towards the limit, since those where it still runs may crash too. It returns
// nil if any upstream is allowed.
func (s *Scheduler) allowedBackends(content ContentHash) []*backend {
	if content == 0 {
		return nil
	}
	running := s.unproven[content]
	distinct := s.suspects.CrashCount(content)
	for i, b := range running {
		if !slices.Contains(running[:i], b) {
			distinct++
		}
	}
	if distinct < maxUnprovenUpstreams || s.suspects.IsProven(content) {
		return nil
	}
	if running == nil {
		return noBackends
	}
	return running
}

// noBackends is the non-nil result of allowedBackends that allows no upstream.
var noBackends = []*backend{}

// addRun records a request as running on an upstream.
func (s *Scheduler) addRun(now time.Time, it *item, b *backend) {
	b.inFlight++
	b.terms.take()
	b.work += it.work
	b.pendingPrefill += it.req.prefillTokens()
	if it.huge {
		b.hugePrefills++
	}
	if it.suspect {
		b.suspectRuns++
	}
	if it.req.Content != 0 && !s.suspects.IsProven(it.req.Content) {
		s.unproven[it.req.Content] = append(s.unproven[it.req.Content], b)
	}
	r := s.newRun()
	*r = run{req: it.req, backend: b, work: it.work, huge: it.huge, suspect: it.suspect, grantedAt: now}
	s.runs[it.req.ID] = r
}

// newRun returns a recycled run record, or a new one if there is none.
func (s *Scheduler) newRun() *run {
	n := len(s.freeRuns)
	if n == 0 {
		return &run{}
	}
	r := s.freeRuns[n-1]
	s.freeRuns = s.freeRuns[:n-1]
	return r
}
