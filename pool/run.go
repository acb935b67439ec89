package pool

import (
	"slices"
	"time"
)

// run is a granted request.
type run struct {
	req       Request
	backend   *backend
	work      Work
	huge      bool
	suspect   bool
	started   bool
	grantedAt time.Time
}

// recycleRun keeps a run record for reuse.
func (s *Scheduler) recycleRun(r *run) {
	*r = run{}
	s.freeRuns = append(s.freeRuns, r)
}

// removeRun removes a run from the scheduler and from the counts of its upstream.
func (s *Scheduler) removeRun(id RequestID, r *run) {
	b := r.backend
	b.inFlight--
	b.work -= r.work
	if r.suspect {
		b.suspectRuns--
	}
	if !r.started {
		b.pendingPrefill -= r.req.prefillTokens()
	}
	if r.huge && !r.started {
		b.hugePrefills--
	}
	s.removeUnproven(r)
	delete(s.runs, id)
}

// removeUnproven removes the upstream of a run from those that are running its
// unproven content.
func (s *Scheduler) removeUnproven(r *run) {
	running := s.unproven[r.req.Content]
	i := slices.Index(running, r.backend)
	if i < 0 {
		return
	}
	running = slices.Delete(running, i, i+1)
	if len(running) == 0 {
		delete(s.unproven, r.req.Content)
		return
	}
	s.unproven[r.req.Content] = running
}
