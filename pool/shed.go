package pool

import (
	"time"

	"mulberrydyke/plan"
)

// shed refuses queued requests of the lowest queued tier until the queue is
// within its limit, no request of that tier would be late at the tier's work
// rate, and no higher tier is far behind its target.
func (s *Scheduler) shed() {
	maxWork := s.maxQueuedWork()
	for {
		q := s.lowestQueuedTier()
		if q == nil {
			return
		}
		overLimit := s.queuedWork() > maxWork && !s.isOnlyQueued(q)
		if !overLimit && !q.wouldBeLate(s.guaranteedRate(q, maxWork), queueWaitFraction) && !s.anyFarBehind(q, maxWork) {
			return
		}
		it := q.shedCandidate()
		q.remove(it)
		s.refuseItem(it, QueueFull, s.estimateWait(q.tier))
	}
}

// anyFarBehind reports whether a tier above the lowest queued one is far behind
// its target. In that case lower tiers get only their floors, and their queued
// requests are shed before those of the tier itself.
func (s *Scheduler) anyFarBehind(lowest *tierQueue, maxWork Work) bool {
	for _, q := range s.tiers[1:lowest.tier] {
		if q.wouldBeLate(s.guaranteedRate(q, maxWork), farBehindFactor) {
			return true
		}
	}
	return false
}

// guaranteedRate returns the work per second that a tier gets at least: the rate
// of the whole pool if no higher tier has waiting requests, otherwise its floor's
// share of it.
func (s *Scheduler) guaranteedRate(q *tierQueue, maxWork Work) float64 {
	poolRate := float64(maxWork) / maxQueueSeconds
	for _, higher := range s.tiers[1:q.tier] {
		if higher.count > 0 || higher.floorSlot != nil {
			return max(1, poolRate*s.floors[q.tier])
		}
	}
	return max(1, poolRate)
}

// isOnlyQueued reports whether a single request is queued in all tiers. That
// request may exceed the queue limit.
func (s *Scheduler) isOnlyQueued(lowest *tierQueue) bool {
	if lowest.count != 1 {
		return false
	}
	for _, q := range s.tiers[1:] {
		if q != lowest && q.count > 0 {
			return false
		}
	}
	return true
}

// queuedWork returns the work queued in all tiers.
func (s *Scheduler) queuedWork() Work {
	var sum Work
	for _, q := range s.tiers[1:] {
		sum += q.queuedWork
	}
	return sum
}

// maxQueuedWork returns the queue limit: the work that all live upstreams do in
// maxQueueSeconds.
func (s *Scheduler) maxQueuedWork() Work {
	slots := 0.0
	for _, b := range s.backends {
		if b.live {
			slots += b.limit
		}
	}
	return Work(maxQueueSeconds * s.slotRate * slots)
}

// estimateWait returns how long a new request of a tier would wait, between a
// second and a minute.
func (s *Scheduler) estimateWait(t plan.Tier) time.Duration {
	var ahead Work
	for _, q := range s.tiers[1 : t+1] {
		ahead += q.queuedWork
	}
	poolRate := max(1, float64(s.maxQueuedWork())/maxQueueSeconds)
	wait := time.Duration(float64(ahead) / poolRate * float64(time.Second))
	return min(max(wait, time.Second), time.Minute)
}

// lowestQueuedTier returns the lowest tier that has queued requests, or nil.
func (s *Scheduler) lowestQueuedTier() *tierQueue {
	for t := plan.LowestTier; t >= plan.HighestTier; t-- {
		if s.tiers[t].count > 0 {
			return s.tiers[t]
		}
	}
	return nil
}

// refuse adds a command that refuses a request.
func (s *Scheduler) refuse(id RequestID, reason Reason, after time.Duration) {
	s.commands = append(s.commands, Command{Kind: Refuse, ID: id, Reason: reason, RetryAfter: after})
}
