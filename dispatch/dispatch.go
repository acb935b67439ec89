// Package dispatch decides on which upstream a request runs. Every host decides
// for itself, from what it runs, from what the other hosts last said of theirs,
// and from how the upstreams behaved.
//
// A Balancer holds no clock and does no I/O: the present time is an argument.
package dispatch

import (
	"math"
	"slices"
	"sync"
	"time"

	"mulberrydyke/call"
	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// Class groups requests by what they ask of an upstream.
type Class int

// Classes of request.
const (
	// Plain requests go to services that run no model.
	ClassPlain Class = iota
	// Short prompts are read between two tokens of other requests.
	ClassShort
	// Long prompts hold up the tokens of all requests on their engine.
	ClassLong
)

// String returns the class's name in logs.
func (c Class) String() string {
	switch c {
	case ClassPlain:
		return "plain"
	case ClassShort:
		return "short"
	case ClassLong:
		return "long"
	}
	return "unknown"
}

// longPrompt is the prompt length in tokens from which a request is Long: about
// three quarters of a chunk that engines read in one step.
const longPrompt = 3000

// ClassOf returns the class of a request to a service.
func ClassOf(s *route.Service, p *call.Prompt) Class {
	switch {
	case s.Engine == nil:
		return ClassPlain
	case p.Tokens >= longPrompt:
		return ClassLong
	}
	return ClassShort
}

// Query is a request that needs an upstream.
type Query struct {
	Service plan.ServiceID
	Prompt  *call.Prompt
	// Avoid lists upstreams that must not be taken.
	Exclude []plan.UpstreamID
	// Target is the latency within which the answer is on time.
	LatencyTarget time.Duration
	// Urgency is the request's rank at an engine.
	Urgency int
	// Repeatable says that the request may be sent once more, so that an upstream
	// may be tried with it that failed lately.
	Retryable bool
	// Draw is a random number from 0 up to 1, which spreads the returns of
	// refused callers.
	Jitter float64
}

// Lease is a place on an upstream that one request holds.
type Lease struct {
	Upstream *route.Upstream
	Class    Class
	// Missing is how many tokens of the prompt the engine is expected to read.
	UncachedTokens int
	// Cost is the expected time to the first event, and what else spoke
	// against the upstream, as a time span.
	Cost time.Duration
	// Taken is when the lease was taken.
	AcquiredAt time.Time
	// Candidates is the number of upstreams that could have been taken.
	Candidates int
	// Shorts is how many engines of the service were for short prompts.
	ShortEngines int
	// Pace is the measured reading speed of the service's engines, in tokens a
	// millisecond.
	PrefillSpeed float64
	// Usual is the time that answers of a plain service usually take. Zero means
	// that none was measured.
	MedianLatency time.Duration
	target        *target
	started       bool
	ended         bool
	prompt        *call.Prompt
}

// NoUpstreamError says that no upstream can take a request.
type NoUpstreamError struct {
	Service plan.ServiceID
	// Listed is the number of upstreams that the service has, in any state.
	Listed int
}

func (e *NoUpstreamError) Error() string { return "no upstream for service " + string(e.Service) }

// OverloadError says that a request is refused because it would be late on every
// engine that should take it, and would make others late.
type OverloadError struct {
	Upstream plan.UpstreamID
	// Wait is the expected time until the engine has read the prompts before it.
	Wait time.Duration
	// RetryAfter is when the caller may come back.
	RetryAfter time.Duration
}

func (e *OverloadError) Error() string {
	return "engine " + string(e.Upstream) + " has prompts to read for " + e.Wait.String()
}

// Result is how a lease ended.
type Result int

// Results.
const (
	// Done means that the upstream answered whole.
	Done Result = iota
	// Failed means that the upstream answered with a failure of its own.
	Failed
	// Refused means that the upstream did not run the request.
	Refused
	// Misdirected means that another upstream has the address.
	Misdirected
	// Unreachable means that no connection could be opened.
	Unreachable
	// Broken means that the connection broke while the request was under way.
	Broken
	// Abandoned means that the caller left or its time ran out.
	Abandoned
)

// String returns the result's name in logs.
func (r Result) String() string {
	return [...]string{"done", "failed", "refused", "misdirected", "unreachable", "broken", "abandoned"}[r]
}

// Balancer is the state that decisions are made from. It is safe for concurrent use.
type Balancer struct {
	mu     sync.Mutex
	self   plan.HostID
	domain plan.DomainID
	// targets holds every listed upstream.
	targets map[plan.UpstreamID]*target
	// byKey holds the same targets by the keys of reports.
	byKey map[UpstreamKey]*target
	// services groups the targets; each group is sorted by spread.
	services map[plan.ServiceID]*group
	peers    map[plan.HostID]*peerState
	// domains holds what the other domains last said.
	domains map[plan.DomainID]*DomainState
	cache   *prefixes
}

// NewBalancer returns a Balancer for a host in a failure domain. CacheLife is how long a
// part of a prompt is expected to stay in an engine's cache.
func NewBalancer(self plan.HostID, domain plan.DomainID, cacheLife time.Duration) *Balancer {
	return &Balancer{
		self: self, domain: domain,
		targets:  map[plan.UpstreamID]*target{},
		services: map[plan.ServiceID]*group{},
		peers:    map[plan.HostID]*peerState{},
		domains:  map[plan.DomainID]*DomainState{},
		cache:    newPrefixes(cacheLife),
	}
}

// SetUpstreams takes up a new view of the upstreams. Leases on upstreams that
// are gone stay valid until they end.
func (c *Balancer) SetUpstreams(now time.Time, v *route.Upstreams) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.targets {
		if v.ByID[id] == nil {
			delete(c.targets, id)
		}
	}
	before := c.services
	c.services = make(map[plan.ServiceID]*group, len(before))
	for id, u := range v.ByID {
		t := c.targets[id]
		if t == nil || t.upstream.Address != u.Address || !t.upstream.StartedAt.Equal(u.StartedAt) {
			t = newTarget(u)
			c.targets[id] = t
		}
		if t.upstream.Revision != u.Revision {
			t.misdirected = false
		}
		t.upstream = u
		g := c.services[u.Service]
		if g == nil {
			g = &group{}
			c.services[u.Service] = g
		}
		g.targets = append(g.targets, t)
	}
	c.byKey = make(map[UpstreamKey]*target, len(c.targets))
	for _, t := range c.targets {
		c.byKey[t.key] = t
	}
	for id, g := range c.services {
		if old := before[id]; old != nil {
			g.inherit(old)
		}
		g.spread()
	}
	c.sumUp(now)
}

// Acquire chooses an upstream and takes a place on it. It fails with a
// NoUpstreamError.
func (c *Balancer) Acquire(now time.Time, q Query, s *route.Service) (*Lease, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.services[q.Service]
	if g == nil {
		return nil, &NoUpstreamError{Service: q.Service}
	}
	class := ClassOf(s, q.Prompt)
	if class != ClassPlain {
		c.divide(now, g, s.Engine)
	}
	best := c.best(now, g, class, &q, s, c.tooManyDown(now, g))
	if best.target == nil {
		best = c.best(now, g, class, &q, s, true)
	}
	if best.target == nil {
		return nil, &NoUpstreamError{Service: q.Service, Listed: len(g.targets)}
	}
	speed, _ := g.pace()
	if class == ClassLong {
		if err := admit(now, g, best.target, &q); err != nil {
			return nil, err
		}
	}
	l := &Lease{
		Upstream: best.target.upstream, Class: class, UncachedTokens: best.missing, AcquiredAt: now, target: best.target,
		Cost: time.Duration(best.cost * float64(time.Millisecond)), Candidates: best.candidates, prompt: q.Prompt,
		ShortEngines: g.shorts, PrefillSpeed: speed,
	}
	if class == ClassPlain {
		l.MedianLatency = time.Duration(g.medianTook() * float64(time.Millisecond))
	}
	best.target.take(l)
	if class != ClassPlain {
		c.cache.sent(now, best.target.upstream.ID, q.Prompt)
	}
	return l, nil
}

// choice is the best upstream found so far.
type choice struct {
	target     *target
	missing    int
	cost       float64
	candidates int
}

// best returns the cheapest upstream that has a connection left. With desperate
// it also considers those that failed lately.
func (c *Balancer) best(now time.Time, g *group, class Class, q *Query, s *route.Service, desperate bool) choice {
	found := choice{cost: math.Inf(1)}
	d := decision{now: now, class: class, query: q, floor: g.failureFloor(now)}
	var homes []int
	if class != ClassPlain {
		homes = g.homes(q.Prompt.SharedPrefixID(), class)
		d.speed, d.delay = g.pace()
	} else {
		d.took = g.medianTook()
	}
	for i, t := range g.targets {
		if t.upstream.State != route.Ready || t.misdirected || avoided(q.Exclude, t.upstream.ID) {
			continue
		}
		avoid := c.leftAlone(now, t) || t.onTrial(now) && !q.Retryable
		if avoid && !desperate || t.full(s) {
			continue
		}
		found.candidates++
		missing, rank := 0, slices.Index(homes, i)
		if class != ClassPlain {
			missing = c.missing(now, t, rank, q.Prompt)
		}
		cost := c.cost(&d, t, missing, rank)
		cost += shunnedCost * max(0, t.shunnedUntil.Sub(now).Seconds())
		if cost < found.cost {
			found.target, found.cost, found.missing = t, cost, missing
		}
	}
	return found
}

func avoided(list []plan.UpstreamID, id plan.UpstreamID) bool {
	for _, x := range list {
		if x == id {
			return true
		}
	}
	return false
}

// RecordFirstEvent notes the first event, or the whole answer, of a lease.
func (c *Balancer) RecordFirstEvent(now time.Time, l *Lease) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if g := c.services[l.Upstream.Service]; g != nil && !l.started && l.Class != ClassPlain {
		first := now.Sub(l.AcquiredAt)
		g.own.measured(l.UncachedTokens, l.prompt.UnsharedTokens(), first)
		if l.Class == ClassLong {
			speed, delay := g.pace()
			l.target.observe(now, float64(first)/float64(time.Millisecond)-delay-float64(l.UncachedTokens)/speed)
		}
	}
	if !l.started && l.Class == ClassPlain {
		l.target.answered(now, now.Sub(l.AcquiredAt))
	}
	l.start()
}

// Release gives a place back.
func (c *Balancer) Release(now time.Time, l *Lease, r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	l.target.give(now, l, r)
	if r == Refused || r == Misdirected || r == Unreachable {
		c.cache.forget(l.Upstream.ID, l.prompt)
	}
}

// IdleConnectionLimit returns how many idle connections a host may keep to an upstream that
// takes a number of connections from all hosts. Requests that run there, of any
// host, go first.
func (c *Balancer) IdleConnectionLimit(u *route.Upstream, connections, hosts int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.targets[u.ID]
	if t == nil {
		return 0
	}
	load := t.load()
	return max(0, connections-load.running()) / max(1, hosts)
}
