package pool

import (
	"slices"
	"time"

	"mulberrydyke/plan"
)

// handleReconfigured applies a new list of upstreams and new floors. Upstreams
// that are no longer listed get no new work; if none is left that takes work,
// every waiting request is refused.
func (s *Scheduler) handleReconfigured(now time.Time, e *Reconfigured) {
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
		b.resize(u, e.LimitFraction)
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

// dropUnlisted deletes the state of upstreams that are no longer listed and
// have no runs in flight. An upstream that is listed again before its last run
// ends keeps its state.
func (s *Scheduler) dropUnlisted() {
	s.backends = slices.DeleteFunc(s.backends, func(b *backend) bool {
		if b.listed || b.inFlight > 0 {
			return false
		}
		delete(s.byID, b.id)
		return true
	})
}

// anyLive reports whether any upstream takes new work.
func (s *Scheduler) anyLive() bool {
	return slices.ContainsFunc(s.backends, func(b *backend) bool { return b.live })
}

// refuseAll refuses every waiting request, because no upstream takes new work.
func (s *Scheduler) refuseAll(now time.Time) {
	for _, it := range s.waiting {
		s.removeWaiting(now, it)
		s.refuseItem(it, NoUpstream, time.Second)
	}
}

// handleRunsRestored adds runs that an earlier scheduler of the pool granted.
// Runs on unknown upstreams and runs that are already known are ignored.
func (s *Scheduler) handleRunsRestored(now time.Time, runs []Run) {
	for _, r := range runs {
		b := s.byID[r.Upstream]
		if b == nil || s.runs[r.Ask.ID] != nil {
			continue
		}
		it := s.newItem(now, &r.Ask)
		s.addRun(now, it, b)
		s.runs[r.Ask.ID].started = r.Started
		if r.Started {
			b.pendingPrefill -= r.Ask.prefillTokens()
		}
		if r.Started && it.huge {
			b.hugePrefills--
		}
		s.recycleItem(it)
	}
}

// FinishTakeover lets a new scheduler start granting before its takeover hold
// has expired, because every other host has reported its runs.
func (s *Scheduler) FinishTakeover() { s.holdUntil = time.Time{} }
