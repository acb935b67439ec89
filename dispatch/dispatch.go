// Package dispatch chooses the upstream for each request. Every host decides on
// its own, from the requests that it runs, the latest load reports of the other
// hosts, and the measured behavior of the upstreams.
//
// A Balancer has no clock and does no I/O: the current time is an argument.
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

// Class groups requests by the kind of load that they put on an upstream.
type Class int

// Classes of request.
const (
	// ClassPlain requests go to services that run no model.
	ClassPlain Class = iota
	// ClassShort requests have prompts that engines prefill between two tokens of
	// other requests.
	ClassShort
	// ClassLong requests have prompts whose prefill delays the tokens of all
	// requests on their engine.
	ClassLong
)

// String returns the name of the class that logs use.
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

// longPromptTokens is the prompt length from which a request is ClassLong: about
// three quarters of the chunk that an engine prefills in one step.
const longPromptTokens = 3000

// ClassOf returns the class of a request to a service.
func ClassOf(s *route.Service, p *call.Prompt) Class {
	switch {
	case s.Engine == nil:
		return ClassPlain
	case p.Tokens >= longPromptTokens:
		return ClassLong
	}
	return ClassShort
}

// Query describes a request that needs an upstream.
type Query struct {
	Service plan.ServiceID
	Prompt  *call.Prompt
	// Exclude lists upstreams that must not be chosen.
	Exclude []plan.UpstreamID
	// Throttled reports whether an upstream takes no request now, because its rate is
	// limited. It is nil if none is.
	Throttled func(*route.Upstream) bool
	// LatencyTarget is the latency within which the response is on time.
	LatencyTarget time.Duration
	// GapTarget is the longest gap between two events with which a stream is on time.
	// Zero means that there is no target.
	GapTarget time.Duration
	// Urgency is the request's urgency at an engine, from 0 (most urgent) to 9.
	Urgency int
	// Retryable reports whether the request may be sent again, so that it may go
	// to an upstream that failed recently.
	Retryable bool
	// Jitter is a random number in [0, 1) that spreads the retries of refused
	// callers.
	Jitter float64
}

// Balancer holds the load and the measurements that upstreams are chosen by. It
// is safe for concurrent use.
type Balancer struct {
	mu     sync.Mutex
	self   plan.HostID
	domain plan.DomainID
	// targets holds every listed upstream.
	targets map[plan.UpstreamID]*target
	// byKey holds the same targets by their keys in reports.
	byKey map[UpstreamKey]*target
	// groups holds the targets of each service, each sorted by interleaveDomains.
	groups map[plan.ServiceID]*targetGroup
	// sources holds the latest reports of the other hosts.
	sources map[source]*sourceState
	// getsGroups and getsDomains are set by SetSources.
	getsGroups, getsDomains bool
	// domainHeardAt holds when the last known report of each other domain was
	// made.
	domainHeardAt map[plan.DomainID]time.Time
	prefixes      *prefixCache
}

// NewBalancer returns a Balancer for a host in a failure domain. It expects a
// part of a prompt to stay in an engine's cache for cacheTTL.
func NewBalancer(self plan.HostID, domain plan.DomainID, cacheTTL time.Duration) *Balancer {
	return &Balancer{
		self: self, domain: domain,
		targets:       map[plan.UpstreamID]*target{},
		groups:        map[plan.ServiceID]*targetGroup{},
		sources:       map[source]*sourceState{},
		domainHeardAt: map[plan.DomainID]time.Time{},
		prefixes:      newPrefixCache(cacheTTL),
	}
}

// SetUpstreams replaces the list of upstreams. Leases on removed upstreams stay
// valid until they are released.
func (b *Balancer) SetUpstreams(now time.Time, upstreams *route.Upstreams) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.targets {
		if upstreams.ByID[id] == nil {
			delete(b.targets, id)
		}
	}
	oldGroups := b.groups
	b.groups = make(map[plan.ServiceID]*targetGroup, len(oldGroups))
	for id, u := range upstreams.ByID {
		t := b.targets[id]
		if t == nil || t.upstream.Address != u.Address || !t.upstream.StartedAt.Equal(u.StartedAt) {
			t = newTarget(now, u)
			b.targets[id] = t
		}
		if t.upstream.Position != u.Position {
			t.misdirected = false
		}
		t.upstream = u
		g := b.groups[u.Service]
		if g == nil {
			g = &targetGroup{}
			b.groups[u.Service] = g
		}
		g.targets = append(g.targets, t)
	}
	b.byKey = make(map[UpstreamKey]*target, len(b.targets))
	for _, t := range b.targets {
		b.byKey[t.key] = t
	}
	for id, g := range b.groups {
		if old := oldGroups[id]; old != nil {
			g.inherit(old)
		}
		g.interleaveDomains()
	}
	b.recomputeTotals(now)
}

// Acquire chooses an upstream and reserves a slot on it. It fails with a
// NoUpstreamError or an OverloadError.
func (b *Balancer) Acquire(now time.Time, q Query, s *route.Service) (*Lease, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.groups[q.Service]
	if g == nil {
		return nil, &NoUpstreamError{Service: q.Service}
	}
	class := ClassOf(s, q.Prompt)
	g.estimateSpeeds(now)
	if class != ClassPlain {
		g.recordLatencyTarget(class, q.LatencyTarget)
		b.partition(now, g, s.Engine)
	}
	best := b.choose(now, g, class, &q, s)
	if best.target == nil {
		return nil, &NoUpstreamError{Service: q.Service, Listed: len(g.targets)}
	}
	if class == ClassLong {
		if err := admit(now, g, best.target, &q); err != nil {
			return nil, err
		}
	}
	l := newLease(now, g, class, best, q.Prompt)
	best.target.acquire(l)
	if class != ClassPlain {
		b.prefixes.recordSent(now, best.target.upstream.ID, q.Prompt)
	}
	return l, nil
}

// newLease returns the lease for a request that goes to the chosen upstream.
func newLease(now time.Time, g *targetGroup, class Class, best choice, prompt *call.Prompt) *Lease {
	speed, baseLatency := g.prefillTiming()
	l := &Lease{
		Upstream: best.target.upstream, Class: class, UncachedTokens: best.uncachedTokens, AcquiredAt: now, target: best.target,
		Cost: time.Duration(best.cost * float64(time.Millisecond)), Candidates: best.candidates, prompt: prompt,
		ShortEngines: g.shortEngines, PrefillSpeed: speed, Speed: best.target.relativeSpeed(),
	}
	if class != ClassPlain {
		ownMs := baseLatency + float64(best.uncachedTokens)/best.target.targetSpeed(speed)
		l.ownPrefill = time.Duration(ownMs * float64(time.Millisecond))
		l.expectedWait = best.target.estimatedWait(speed)
	} else {
		l.MedianLatency = time.Duration(g.medianLatency() * float64(time.Millisecond))
	}
	return l
}

// choose returns the upstream for a request. Ejected upstreams are considered if no other is
// left. A slow plain upstream that has had its share is replaced by the next cheapest one.
func (b *Balancer) choose(now time.Time, g *targetGroup, class Class, q *Query, s *route.Service) choice {
	from := candidates{includeEjected: b.tooManyEjected(now, g)}
	from.onlyPreferred = class == ClassLong && g.overloaded(now, q.LatencyTarget)
	best := b.cheapest(now, g, class, q, s, from)
	if best.target == nil && from.onlyPreferred {
		from.onlyPreferred = false
		best = b.cheapest(now, g, class, q, s, from)
	}
	if best.target == nil {
		from.includeEjected = true
		best = b.cheapest(now, g, class, q, s, from)
	}
	if class == ClassPlain && best.target != nil && g.hadShare(best.target) {
		from.skipped = best.target
		best = best.replacedBy(b.cheapest(now, g, class, q, s, from))
	}
	return best
}

// choice is the cheapest upstream found so far.
type choice struct {
	target         *target
	uncachedTokens int
	cost           float64
	candidates     int
}

// candidates tells which targets of a group may be chosen.
type candidates struct {
	// includeEjected also allows upstreams that are ejected or on probation.
	includeEjected bool
	// onlyPreferred allows only the preferred engines of the prompt's prefix, if there are
	// several.
	onlyPreferred bool
	// skipped is a target that may not be chosen, or nil.
	skipped *target
}

// cheapest returns the candidate with the lowest cost that has a connection left.
func (b *Balancer) cheapest(now time.Time, g *targetGroup, class Class, q *Query, s *route.Service, from candidates) choice {
	found := choice{cost: math.Inf(1)}
	in := costInput{now: now, class: class, query: q, group: g, failureFloor: g.failureFloor(now)}
	var preferred []int
	if class != ClassPlain {
		preferred = g.preferredEngines(q.Prompt.SharedPrefixID(), class)
		in.prefillSpeed, in.baseLatency = g.prefillTiming()
	} else {
		in.medianLatency = g.medianLatency()
	}
	onlyPreferred := from.onlyPreferred && len(preferred) > 1
	for i, t := range g.targets {
		if t == from.skipped || t.upstream.State != route.Ready || t.misdirected || excluded(q.Exclude, t.upstream.ID) {
			continue
		}
		skip := b.ejected(now, t) || t.onProbation(now) && !q.Retryable
		if skip && !from.includeEjected || t.atCapacity(s) {
			continue
		}
		if q.Throttled != nil && q.Throttled(t.upstream) {
			continue
		}
		uncached, rank := 0, slices.Index(preferred, i)
		if onlyPreferred && rank < 0 {
			continue
		}
		found.candidates++
		if class != ClassPlain {
			uncached = b.uncachedTokens(now, t, rank, q.Prompt)
		}
		cost := b.cost(&in, t, uncached, rank)
		cost += ejectionCostPerSecond * max(0, t.ejectedUntil.Sub(now).Seconds())
		if cost < found.cost {
			found.target, found.cost, found.uncachedTokens = t, cost, uncached
		}
	}
	return found
}

func excluded(list []plan.UpstreamID, id plan.UpstreamID) bool {
	for _, x := range list {
		if x == id {
			return true
		}
	}
	return false
}

// RecordFirstEvent records that the first event, or the complete response, of a
// lease has arrived.
func (b *Balancer) RecordFirstEvent(now time.Time, l *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if g := b.groups[l.Upstream.Service]; g != nil && !l.started && l.Class != ClassPlain {
		elapsed, relativeSpeed := now.Sub(l.AcquiredAt), l.target.relativeSpeed()
		g.localTiming.record(l.UncachedTokens, l.prompt.UnsharedTokens(), time.Duration(float64(elapsed)*relativeSpeed))
		if l.Class == ClassLong {
			speed, baseLatency := g.prefillTiming()
			l.target.recordWait(now, float64(elapsed)/float64(time.Millisecond)-baseLatency/relativeSpeed-float64(l.UncachedTokens)/speed/relativeSpeed)
		}
		l.firstEventLoad = l.target.relativeLoad(now, g)
		b.recordFirstEventSpeed(now, g, l)
	}
	if !l.started && l.Class == ClassPlain {
		l.target.recordLatency(now, now.Sub(l.AcquiredAt))
		if g := b.groups[l.Upstream.Service]; g != nil {
			elapsedMs := float64(now.Sub(l.AcquiredAt)) / float64(time.Millisecond)
			b.recordSpeed(now, g, l.target, plainLatency, l.target.relativeLoad(now, g), logMilliseconds(elapsedMs), 1)
		}
	}
	l.markStarted()
}

// Release ends a lease and frees its slot. A second call for the same lease has
// no effect.
func (b *Balancer) Release(now time.Time, l *Lease, r Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.released {
		return
	}
	l.released = true
	l.target.release(now, l, r)
	if r == Refused || r == Misdirected || r == Unreachable || r == Unsent {
		b.prefixes.forget(l.Upstream.ID, l.prompt)
	}
}

// IdleConnectionLimit returns how many idle connections this host may keep to an
// upstream that accepts the given number of connections from all hosts together. It
// subtracts the running requests of all hosts and divides the rest by the number of
// hosts.
func (b *Balancer) IdleConnectionLimit(u *route.Upstream, connections, hosts int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[u.ID]
	if t == nil {
		return 0
	}
	total := t.totalLoad()
	return max(0, connections-total.running()) / max(1, hosts)
}
