package pool

import (
	"time"

	"mulberrydyke/plan"
)

// shed refuses queued requests until the queue is within its bound, and those
// that would be late at the pace at which their tier is served: always of the
// lowest tier that has any.
func (s *Scheduler) shed() {
	bound := s.queueBound()
	for {
		q := s.lowestQueued()
		if q == nil {
			return
		}
		over := s.queuedWork() > bound && !s.onlyOne(q)
		if !over && !q.wouldBeLate(s.leastPace(q, bound), latePart) && !s.anyFarBehind(q, bound) {
			return
		}
		it := q.victim()
		q.remove(it)
		s.refuseItem(it, QueueFull, s.waitFor(q.tier))
	}
}

// anyFarBehind says whether a tier above the lowest queued one is far behind its
// targets. Then there is no room for lower tiers but their floors, and they are
// refused first, so that the tier itself may be trimmed.
func (s *Scheduler) anyFarBehind(lowest *tierQueue, bound Work) bool {
	for _, q := range s.tiers[1:lowest.tier] {
		if q.wouldBeLate(s.leastPace(q, bound), farBehindPart) {
			return true
		}
	}
	return false
}

// leastPace is the pace that a tier is sure of: the whole pool's where nothing
// higher is queued, else its floor's.
func (s *Scheduler) leastPace(q *tierQueue, bound Work) float64 {
	whole := float64(bound) / queueSeconds
	for _, higher := range s.tiers[1:q.tier] {
		if higher.count > 0 || higher.floorSlot != nil {
			return max(1, whole*s.floors[q.tier])
		}
	}
	return max(1, whole)
}

// onlyOne says whether a single request is queued: it may exceed the bound.
func (s *Scheduler) onlyOne(lowest *tierQueue) bool {
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

func (s *Scheduler) queuedWork() Work {
	var sum Work
	for _, q := range s.tiers[1:] {
		sum += q.queued
	}
	return sum
}

func (s *Scheduler) queueBound() Work {
	slots := 0.0
	for _, b := range s.backends {
		if b.live {
			slots += b.limit
		}
	}
	return Work(queueSeconds * s.rate * slots)
}

// waitFor estimates how long a new request of the tier would wait.
func (s *Scheduler) waitFor(t plan.Tier) time.Duration {
	var ahead Work
	for _, q := range s.tiers[1 : t+1] {
		ahead += q.queued
	}
	perSecond := max(1, float64(s.queueBound())/queueSeconds)
	wait := time.Duration(float64(ahead) / perSecond * float64(time.Second))
	return min(max(wait, time.Second), time.Minute)
}

func (s *Scheduler) lowestQueued() *tierQueue {
	for t := plan.LowestTier; t >= plan.HighestTier; t-- {
		if s.tiers[t].count > 0 {
			return s.tiers[t]
		}
	}
	return nil
}

func (s *Scheduler) refuse(id RequestID, reason Reason, after time.Duration) {
	s.out = append(s.out, Command{Kind: Refuse, ID: id, Reason: reason, RetryAfter: after})
}
