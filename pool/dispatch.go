package pool

import (
	"slices"
	"time"

	"mulberrydyke/plan"
)

// dispatch grants as many waiting requests as there is room for. Floors whose
// turn has come go first, then the tiers from the highest down.
func (s *Scheduler) dispatch(now time.Time) {
	if len(s.waiting) == 0 {
		return
	}
	for {
		v := s.survey()
		if v.room <= 0 {
			return
		}
		v.reserve = s.reserves(now)
		if !s.grantFloor(now, v) && !s.grantTier(now, v) {
			return
		}
	}
}

// view sums up a pool's upstreams for one round of dispatch.
type view struct {
	// room is the largest part of an upstream's limit that is free.
	room float64
	// reserve is the part of each limit that a tier leaves to higher ones.
	reserve [plan.LowestTier + 1]float64
	// healthy says that some upstream is neither down nor on probation.
	healthy bool
	// bound is the number of runs up to which an upstream may be preferred
	// for a prefix.
	bound float64
}

// survey looks at every upstream once.
func (s *Scheduler) survey() view {
	var v view
	sum, n := 0, 0
	for _, b := range s.backends {
		if !b.live || b.health == down {
			continue
		}
		sum += b.inFlight
		n++
		v.healthy = v.healthy || b.health == healthy
		v.room = max(v.room, b.free())
	}
	v.bound = spread*float64(sum+1)/float64(max(1, n)) + 1
	return v
}

// reserves returns what each tier leaves free for the higher ones that sent
// requests lately. It never falls from a tier to the next lower one, so that a
// lower tier can't take a place that a higher one has to leave free.
func (s *Scheduler) reserves(now time.Time) [plan.LowestTier + 1]float64 {
	var out [plan.LowestTier + 1]float64
	active := 0
	for t := plan.HighestTier; t <= plan.LowestTier; t++ {
		own := tierReserve*float64(min(active, reserveTiers)) + s.tiers[t].extra
		out[t] = max(own, out[t-1])
		if now.Sub(s.tiers[t].seen) < reserveTime {
			active++
		}
	}
	return out
}

// grantFloor serves a request in a floor slot whose floor has earned its work, or that
// has waited too long.
func (s *Scheduler) grantFloor(now time.Time, v view) bool {
	for t := plan.LowestTier; t > plan.HighestTier; t-- {
		q := s.tiers[t]
		if q.floorSlot == nil || !q.turn(now) {
			continue
		}
		if s.grant(now, v, q, q.floorSlot, true) {
			return true
		}
	}
	return false
}

// turn says whether the tier's floor has to be served now.
func (q *tierQueue) turn(now time.Time) bool {
	return q.credit >= q.floorSlot.work || now.Sub(q.floorSlot.heldSince) >= floorPatience
}

func (s *Scheduler) grantTier(now time.Time, v view) bool {
	for _, q := range s.tiers[1:] {
		if v.room <= v.reserve[q.tier] {
			return false
		}
		if q.floorSlot != nil && s.grant(now, v, q, q.floorSlot, false) {
			return true
		}
		for lane := range laneCount {
			it := s.admitted(now, q, lane)
			if it != nil && s.grant(now, v, q, it, false) {
				return true
			}
		}
	}
	return false
}

// admitted returns the head of a lane after moving requests that became
// restricted while they waited, and refusing those that became quarantined.
func (s *Scheduler) admitted(now time.Time, q *tierQueue, lane laneID) *item {
	for {
		it := q.next(now, lane)
		if it == nil {
			return nil
		}
		if left := s.suspects.QuarantineLeft(now, it.ask.Content); left > 0 {
			q.remove(it)
			s.refuseItem(it, Quarantined, left)
			continue
		}
		it.suspect = s.suspects.IsSuspect(now, it.ask.Content)
		if lane == restricted || !it.suspect && s.allowed(it.ask.Content) == nil {
			return it
		}
		q.remove(it)
		it.lane = restricted
		q.add(it)
	}
}

// grant places a request if an upstream has room for it.
func (s *Scheduler) grant(now time.Time, v view, q *tierQueue, it *item, floor bool) bool {
	if q.floorSlot == it && !s.admitFloorSlot(now, q) {
		return true
	}
	reserve := v.reserve[q.tier]
	if floor {
		reserve = 0
	}
	b := s.choose(now, v, it, reserve)
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
	s.earn(q, it.work)
	s.raiseReserves(now, q, it)
	s.fillFloorSlot(now, q)
	s.place(now, it, b)
	s.out = append(s.out, Command{Kind: Grant, ID: it.ask.ID, Upstream: b.id})
	delete(s.waiting, it.ask.ID)
	s.recycle(it)
	return true
}

// admitFloorSlot checks the request in the floor slot against the suspects. It returns false
// where the request was refused, so that the floor slot has changed.
func (s *Scheduler) admitFloorSlot(now time.Time, q *tierQueue) bool {
	it := q.floorSlot
	if left := s.suspects.QuarantineLeft(now, it.ask.Content); left > 0 {
		q.floorSlot = nil
		s.fillFloorSlot(now, q)
		s.refuseItem(it, Quarantined, left)
		return false
	}
	it.suspect = s.suspects.IsSuspect(now, it.ask.Content)
	return true
}

// earn credits the floors of all other tiers that have a request waiting.
func (s *Scheduler) earn(served *tierQueue, work Work) {
	for t := plan.HighestTier + 1; t <= plan.LowestTier; t++ {
		q := s.tiers[t]
		if q != served && q.floorSlot != nil {
			q.credit += Work(s.floors[t]) * work
		}
	}
	served.granted += work
}

const (
	// reserveWait is the part of its first-token target after which a wait
	// counts against the lower tiers.
	reserveWait = 0.4
	// reserveStep is by how much one such wait raises what they leave free.
	reserveStep = 0.02
	extraMost   = 0.45
	// extraKeep is what is left of it after a tick.
	extraKeep = 0.995
)

// raiseReserves makes lower tiers leave more room where a request had to wait for it.
func (s *Scheduler) raiseReserves(now time.Time, q *tierQueue, it *item) {
	bound := time.Duration(reserveWait * float64(it.ask.Target.FirstToken.Std()))
	if now.Sub(it.ask.Arrived) <= bound {
		return
	}
	for _, lower := range s.tiers[q.tier+1:] {
		if now.Sub(lower.seen) < reserveTime {
			lower.extra = min(lower.extra+reserveStep, extraMost)
		}
	}
}

// choose returns the upstream for a request, or nil where none has room. A
// request with a prefix goes to the upstream that the prefix prefers among
// those whose load is near the mean; any other goes to the least loaded. Upstreams
// that are too slow for the request's target are used only where no other has room.
func (s *Scheduler) choose(now time.Time, v view, it *item, reserve float64) *backend {
	allowed := s.allowed(it.ask.Content)
	var best, near, slow *backend
	var bestLoad, slowLoad float64
	var nearScore uint64
	for _, b := range s.backends {
		if allowed != nil && !slices.Contains(allowed, b) {
			continue
		}
		if !b.room(now, it, reserve) && (v.healthy || !b.lastResort()) {
			continue
		}
		if b.id == it.ask.Avoid && len(s.backends) > 1 {
			continue
		}
		load := b.load()
		if b.tooSlow(it.ask.Target) {
			if slow == nil || load < slowLoad {
				slow, slowLoad = b, load
			}
			continue
		}
		if best == nil || load < bestLoad {
			best, bestLoad = b, load
		}
		if it.ask.Prefix == 0 || float64(b.inFlight+1) > v.bound {
			continue
		}
		if score := b.score(it.ask.Prefix); near == nil || score > nearScore {
			near, nearScore = b, score
		}
	}
	switch {
	case near != nil:
		return near
	case best != nil:
		return best
	}
	return slow
}

// allowed limits a content that never finished to few upstreams at once, so
// that a request that crashes its upstream can't take many down before the
// first crash is known. Upstreams that it has crashed count, since those where
// it runs may be about to. It returns nil where any upstream will do.
func (s *Scheduler) allowed(content ContentHash) []*backend {
	if content == 0 {
		return nil
	}
	held := s.unproven[content]
	distinct := s.suspects.CrashCount(content)
	for i, b := range held {
		if !slices.Contains(held[:i], b) {
			distinct++
		}
	}
	if distinct < unprovenRuns || s.suspects.IsProven(content) {
		return nil
	}
	if held == nil {
		return noBackends
	}
	return held
}

// noBackends allows no upstream.
var noBackends = []*backend{}

// place books a request on an upstream.
func (s *Scheduler) place(now time.Time, it *item, b *backend) {
	b.inFlight++
	b.work += it.work
	b.unread += it.ask.unread()
	if it.huge {
		b.reading++
	}
	if it.suspect {
		b.suspects++
	}
	if it.ask.Content != 0 && !s.suspects.IsProven(it.ask.Content) {
		s.unproven[it.ask.Content] = append(s.unproven[it.ask.Content], b)
	}
	r := s.newRun()
	*r = run{ask: it.ask, backend: b, work: it.work, huge: it.huge, suspect: it.suspect, granted: now}
	s.runs[it.ask.ID] = r
}

func (s *Scheduler) newRun() *run {
	n := len(s.freeRuns)
	if n == 0 {
		return &run{}
	}
	r := s.freeRuns[n-1]
	s.freeRuns = s.freeRuns[:n-1]
	return r
}
