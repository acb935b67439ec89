// Package placement assigns requests to upstreams. A Server runs the schedulers of
// the pools that this host decides for. A Client submits requests to the scheduler
// of their pool, on this or another host, and reports to it when a request starts
// and ends.
package placement

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"mulberrydyke/member"
	"mulberrydyke/plan"
	"mulberrydyke/pool"
)

// Server runs one scheduler per pool.
type Server struct {
	state func() *plan.State
	// gatherRuns returns the runs of all hosts in a pool. It may be nil.
	gatherRuns      func(context.Context, pool.ID) []pool.Run
	limitFraction   func() float64
	suspectsChanged chan struct{}

	mu     sync.Mutex
	actors map[pool.ID]*actor
	// knownSuspects holds the suspects that any host reported, for schedulers
	// that start later.
	knownSuspects *pool.Suspects
	closed        bool
	restores      sync.WaitGroup
}

// NewServer returns a server and its cleanup function. The function limitFraction
// returns the fraction of each upstream's limit that the server may use: 1 for the
// scheduler of a pool, less for a fallback server. The function gatherRuns may be
// nil, in which case new schedulers grant slots at once and don't learn of the runs
// already in progress.
func NewServer(state func() *plan.State, limitFraction func() float64, gatherRuns func(context.Context, pool.ID) []pool.Run) (*Server, func()) {
	s := &Server{
		state: state, gatherRuns: gatherRuns, limitFraction: limitFraction,
		suspectsChanged: make(chan struct{}, 1), actors: map[pool.ID]*actor{}, knownSuspects: pool.NewSuspects(),
	}
	return s, s.close
}

// SuspectsChanged returns a channel that signals that a local scheduler has
// recorded a crash.
func (s *Server) SuspectsChanged() <-chan struct{} { return s.suspectsChanged }

// close stops all schedulers. Waiting requests get a decision with Moved set.
func (s *Server) close() {
	s.mu.Lock()
	s.closed = true
	actors := s.actors
	s.actors = map[pool.ID]*actor{}
	s.mu.Unlock()
	for _, a := range actors {
		a.stop()
	}
	s.restores.Wait()
}

// Submit submits a request to a pool's scheduler and waits for the decision. It
// starts the scheduler if necessary.
func (s *Server) Submit(ctx context.Context, id pool.ID, req pool.Request) Decision {
	a := s.actorFor(id)
	if a == nil {
		return Decision{Moved: true}
	}
	return a.submit(ctx, req)
}

// Send sends an event to a pool's scheduler, if it runs on this host.
func (s *Server) Send(id pool.ID, e pool.Event) {
	s.mu.Lock()
	a := s.actors[id]
	s.mu.Unlock()
	if a != nil {
		a.sendEvent(e)
	}
}

// Broadcast sends an event to every scheduler on this host.
func (s *Server) Broadcast(e pool.Event) {
	for _, a := range s.actorsByPool() {
		a.sendEvent(e)
	}
}

// actorsByPool returns a copy of the map of actors.
func (s *Server) actorsByPool() map[pool.ID]*actor {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[pool.ID]*actor, len(s.actors))
	for id, a := range s.actors {
		out[id] = a
	}
	return out
}

// Pools returns the pools whose schedulers run on this host, ordered by name.
func (s *Server) Pools() []pool.ID {
	var out []pool.ID
	for id := range s.actorsByPool() {
		out = append(out, id)
	}
	slices.SortFunc(out, func(a, b pool.ID) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Retain stops the schedulers of pools for which keep returns false. Their waiting
// requests get a decision with Moved set.
func (s *Server) Retain(keep func(pool.ID) bool) {
	s.mu.Lock()
	var removed []*actor
	for id, a := range s.actors {
		if !keep(id) {
			removed = append(removed, a)
			delete(s.actors, id)
		}
	}
	s.mu.Unlock()
	for _, a := range removed {
		a.stop()
	}
}

// Refresh sends the current upstreams and floors to every scheduler.
func (s *Server) Refresh() {
	for id, a := range s.actorsByPool() {
		a.sendEvent(s.reconfiguration(id))
	}
}

// Statuses returns the status of every scheduler for operators, ordered by the
// name of the pool.
func (s *Server) Statuses() []pool.Status {
	out := []pool.Status{}
	for id, a := range s.actorsByPool() {
		var status pool.Status
		a.call(func(scheduler *pool.Scheduler) { status = scheduler.Status() })
		status.Pool = id
		out = append(out, status)
	}
	slices.SortFunc(out, func(a, b pool.Status) int { return strings.Compare(a.Pool.Name, b.Pool.Name) })
	return out
}

// MergeSuspects adds suspects that a host reported and passes them to the
// schedulers on this host. It reports whether any crash was new.
func (s *Server) MergeSuspects(now time.Time, suspects []pool.Suspect) bool {
	s.mu.Lock()
	s.knownSuspects.Expire(now)
	added := s.knownSuspects.Merge(now, suspects, s.state().QuarantineDuration())
	s.mu.Unlock()
	if added {
		s.Broadcast(&pool.CrashesReported{Suspects: suspects})
	}
	return added
}

// KnownSuspects returns the suspects that any host reported.
func (s *Server) KnownSuspects(now time.Time) []pool.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.knownSuspects.List(now)
}

// QuarantinedSuspects returns the known suspects that are in quarantine.
func (s *Server) QuarantinedSuspects(now time.Time) []pool.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(s.knownSuspects.List(now), func(x pool.Suspect) bool { return s.knownSuspects.QuarantineLeft(now, x.Content) == 0 })
}

// LocalSuspects returns the suspects of the schedulers on this host, without
// duplicate contents.
func (s *Server) LocalSuspects(now time.Time) []pool.Suspect {
	seen := map[pool.ContentHash]bool{}
	var out []pool.Suspect
	for _, a := range s.actorsByPool() {
		a.call(func(*pool.Scheduler) {
			for _, suspect := range a.suspects.List(now) {
				if !seen[suspect.Content] {
					seen[suspect.Content] = true
					out = append(out, suspect)
				}
			}
		})
	}
	return out
}

// actorFor returns the actor of a pool's scheduler and starts it if there is none.
// It returns nil if the server is closed.
func (s *Server) actorFor(id pool.ID) *actor {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	if a := s.actors[id]; a != nil {
		return a
	}
	a := newActor(time.Now(), s.gatherRuns != nil, s.suspectsChanged)
	a.sendEvent(s.reconfiguration(id))
	a.sendEvent(&pool.CrashesReported{Suspects: s.knownSuspects.List(time.Now())})
	s.actors[id] = a
	if s.gatherRuns != nil {
		s.restores.Add(1)
		go s.restore(id, a)
	}
	return a
}

// restore reports to a new scheduler the runs already in progress in its pool.
func (s *Server) restore(id pool.ID, a *actor) {
	defer s.restores.Done()
	ctx, cancel := context.WithTimeout(context.Background(), gatherTimeout)
	defer cancel()
	runs := s.gatherRuns(ctx, id)
	a.sendEvent(&pool.RunsRestored{Runs: runs})
	a.call(func(scheduler *pool.Scheduler) { scheduler.FinishTakeover() })
}

// gatherTimeout bounds one call of gatherRuns.
const gatherTimeout = 200 * time.Millisecond

// reconfiguration returns the event with the current upstreams and floors of a
// pool.
func (s *Server) reconfiguration(id pool.ID) *pool.Reconfigured {
	state := s.state()
	return &pool.Reconfigured{
		Upstreams:     UpstreamsOf(state, id),
		Floors:        tierFloors(state),
		Quarantine:    state.QuarantineDuration(),
		LimitFraction: s.limitFraction(),
	}
}

// UpstreamsOf returns the upstreams of a pool, including leaving ones.
func UpstreamsOf(state *plan.State, id pool.ID) []plan.Upstream {
	return state.UpstreamsIn(plan.PoolKey{Domain: id.Domain, Kind: id.Kind, Name: id.Name})
}

// RankSchedulers returns the live hosts of a pool's domain, ordered by their rank
// for the pool. The first one is the pool's scheduler, the next ones take over if
// it is gone.
func RankSchedulers(id pool.ID, live []member.Identity) []member.Identity {
	return member.RankByRendezvous(string(id.Kind)+"\x00"+id.Name+"\x00"+string(id.Domain), live)
}
