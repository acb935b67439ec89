package pool

import (
	"slices"
	"time"

	"mulberrydyke/plan"
)

func (s *Scheduler) changed(now time.Time, e *Reconfigured) {
	s.floors = e.Floors
	s.quarantine = e.Quarantine
	listed := make(map[plan.UpstreamID]bool, len(e.Upstreams))
	for _, u := range e.Upstreams {
		listed[u.ID] = true
		b := s.byID[u.ID]
		if b == nil {
			b = newBackend(u, e.LimitFraction)
			s.byID[u.ID] = b
			s.backends = append(s.backends, b)
		}
		b.size(u, e.LimitFraction)
	}
	for _, b := range s.backends {
		b.live = b.live && listed[b.id]
		b.listed = listed[b.id]
	}
	s.dropUnlisted()
	if !s.anyLive() {
		s.refuseAll(now)
	}
}

// dropUnlisted forgets upstreams that are not listed any more, once their last
// run has ended. One that comes back meanwhile keeps its books.
func (s *Scheduler) dropUnlisted() {
	s.backends = slices.DeleteFunc(s.backends, func(b *backend) bool {
		if b.listed || b.inFlight > 0 {
			return false
		}
		delete(s.byID, b.id)
		return true
	})
}

func (s *Scheduler) anyLive() bool {
	return slices.ContainsFunc(s.backends, func(b *backend) bool { return b.live })
}

func (s *Scheduler) refuseAll(now time.Time) {
	for _, it := range s.waiting {
		s.takeOut(now, it)
		s.refuseItem(it, NoUpstream, time.Second)
	}
}

func (s *Scheduler) restored(now time.Time, runs []Run) {
	for _, r := range runs {
		b := s.byID[r.Upstream]
		if b == nil || s.runs[r.Ask.ID] != nil {
			continue
		}
		it := s.newItem(now, &r.Ask)
		s.place(now, it, b)
		s.runs[r.Ask.ID].started = r.Started
		if r.Started {
			b.unread -= r.Ask.unread()
		}
		if r.Started && it.huge {
			b.reading--
		}
		s.recycle(it)
	}
}

// FinishTakeover ends the hold-back of a new scheduler: every other host has told it
// what runs.
func (s *Scheduler) FinishTakeover() { s.holdUntil = time.Time{} }
