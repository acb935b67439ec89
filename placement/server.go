// Package placement brings requests and upstreams together. A Server runs the
// schedulers of the pools that this host decides for; a Client finds the
// scheduler of a request's pool, here or on another host, and follows the
// request to its end.
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
	// gather asks the other hosts what they run in a pool.
	gather  func(context.Context, pool.ID) []pool.Run
	part    func() float64
	changed chan struct{}

	mu     sync.Mutex
	actors map[pool.ID]*actor
	// known holds what any host told of crashes, for schedulers that start.
	known  *pool.Suspects
	closed bool
	wait   sync.WaitGroup
}

// NewServer returns a server and its clean-up function. Part gives the part of
// every pool that the server may use: 1 for a pool's scheduler, less for a
// host that decides fallback. Gather may be nil.
func NewServer(state func() *plan.State, part func() float64, gather func(context.Context, pool.ID) []pool.Run) (*Server, func()) {
	s := &Server{
		state: state, gather: gather, part: part,
		changed: make(chan struct{}, 1), actors: map[pool.ID]*actor{}, known: pool.NewSuspects(),
	}
	return s, s.close
}

// Suspicions signals that the table of suspects has news.
func (s *Server) Suspicions() <-chan struct{} { return s.changed }

// close tells all waiting requests to ask elsewhere.
func (s *Server) close() {
	s.mu.Lock()
	s.closed = true
	actors := s.actors
	s.actors = map[pool.ID]*actor{}
	s.mu.Unlock()
	for _, a := range actors {
		a.stop()
	}
	s.wait.Wait()
}

// Ask queues a request in a pool and waits for the decision.
func (s *Server) Ask(ctx context.Context, id pool.ID, ask pool.Ask) Decision {
	a := s.actor(id)
	if a == nil {
		return Decision{Moved: true}
	}
	return a.ask(ctx, ask)
}

// Tell hands an event to a pool's scheduler, if it runs here.
func (s *Server) Tell(id pool.ID, e pool.Event) {
	s.mu.Lock()
	a := s.actors[id]
	s.mu.Unlock()
	if a != nil {
		a.tell(e)
	}
}

// TellAll hands an event to every scheduler here.
func (s *Server) TellAll(e pool.Event) {
	for _, a := range s.all() {
		a.tell(e)
	}
}

func (s *Server) all() map[pool.ID]*actor {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[pool.ID]*actor, len(s.actors))
	for id, a := range s.actors {
		out[id] = a
	}
	return out
}

// Pools returns the pools whose schedulers run here.
func (s *Server) Pools() []pool.ID {
	var out []pool.ID
	for id := range s.all() {
		out = append(out, id)
	}
	slices.SortFunc(out, func(a, b pool.ID) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Keep stops the schedulers of pools for which keep returns false. Their
// waiting requests are told to ask elsewhere.
func (s *Server) Keep(keep func(pool.ID) bool) {
	s.mu.Lock()
	var gone []*actor
	for id, a := range s.actors {
		if !keep(id) {
			gone = append(gone, a)
			delete(s.actors, id)
		}
	}
	s.mu.Unlock()
	for _, a := range gone {
		a.stop()
	}
}

// Refresh tells every scheduler about the lists in force.
func (s *Server) Refresh() {
	for id, a := range s.all() {
		a.tell(s.changedFor(id))
	}
}

// Statuses describes the schedulers for operators.
func (s *Server) Statuses() []pool.Status {
	out := []pool.Status{}
	for id, a := range s.all() {
		var status pool.Status
		a.run(func(core *pool.Scheduler) { status = core.Status() })
		status.Pool = id
		out = append(out, status)
	}
	slices.SortFunc(out, func(a, b pool.Status) int { return strings.Compare(a.Pool.Name, b.Pool.Name) })
	return out
}

// RecordCrashes takes in what another host knows of crashes. It returns whether any
// of it was new.
func (s *Server) RecordCrashes(now time.Time, suspects []pool.Suspect) bool {
	s.mu.Lock()
	s.known.Expire(now)
	fresh := s.known.Merge(now, suspects, s.state().QuarantineDuration())
	s.mu.Unlock()
	if fresh {
		s.TellAll(&pool.CrashesTold{Suspects: suspects})
	}
	return fresh
}

// Known returns what any host told of crashes.
func (s *Server) Known(now time.Time) []pool.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known.List(now)
}

// Suspects returns what the schedulers here know of crashes.
func (s *Server) Suspects(now time.Time) []pool.Suspect {
	seen := map[pool.ContentHash]bool{}
	var out []pool.Suspect
	for _, a := range s.all() {
		a.run(func(*pool.Scheduler) {
			for _, x := range a.suspects.List(now) {
				if !seen[x.Content] {
					seen[x.Content] = true
					out = append(out, x)
				}
			}
		})
	}
	return out
}

// actor returns a pool's scheduler and starts it where there is none. It
// returns nil once the server is closed.
func (s *Server) actor(id pool.ID) *actor {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	if a := s.actors[id]; a != nil {
		return a
	}
	a := newActor(time.Now(), s.gather != nil, s.changed)
	a.tell(s.changedFor(id))
	a.tell(&pool.CrashesTold{Suspects: s.known.List(time.Now())})
	s.actors[id] = a
	if s.gather != nil {
		s.wait.Add(1)
		go s.restore(id, a)
	}
	return a
}

// restore tells a new scheduler what already runs in its pool.
func (s *Server) restore(id pool.ID, a *actor) {
	defer s.wait.Done()
	ctx, cancel := context.WithTimeout(context.Background(), gatherTime)
	defer cancel()
	runs := s.gather(ctx, id)
	a.tell(&pool.Restored{Runs: runs})
	a.run(func(core *pool.Scheduler) { core.Settled() })
}

const gatherTime = 200 * time.Millisecond

func (s *Server) changedFor(id pool.ID) *pool.Changed {
	state := s.state()
	return &pool.Changed{
		Upstreams:  UpstreamsOf(state, id),
		Floors:     floorsOf(state),
		Quarantine: state.QuarantineDuration(),
		Part:       s.part(),
	}
}

// UpstreamsOf returns the upstreams of a pool, leaving ones included.
func UpstreamsOf(state *plan.State, id pool.ID) []plan.Upstream {
	return state.UpstreamsIn(plan.UpstreamGroup{Domain: id.Domain, Kind: id.Kind, Name: id.Name})
}

// SchedulerOf returns the host that decides for a pool among the live hosts of
// its domain, and those that follow it.
func SchedulerOf(id pool.ID, live []member.Self) []member.Self {
	return member.Ranked(string(id.Kind)+"\x00"+id.Name+"\x00"+string(id.Domain), live)
}
