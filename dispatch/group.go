package dispatch

import (
	"math"
	"sort"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

const (
	// divideEvery is how often the engines are divided anew.
	divideEvery = 500 * time.Millisecond
	// slotShare is the part of an engine's slots that short prompts should take.
	slotShare = 0.65
	// shortsLeast and shortsMost bound the part of the engines for short prompts.
	shortsLeast = 0.2
	shortsMost  = 0.55
	// shrinkRoom is the part of the engines for short prompts that may stand idle
	// before there are fewer.
	shrinkRoom = 0.35
	// shortsAtFirst is the part of the engines for short prompts while no load
	// is known.
	shortsAtFirst = 0.4
)

// group is the upstreams of one service.
type group struct {
	// targets are sorted so that every leading part is spread over the failure
	// domains. All hosts sort alike.
	targets []*target
	// shorts is how many of the usable targets are for short prompts.
	shorts  int
	divided time.Time
	// wanted is how many this host would have.
	wanted int
	// speaker is the host of the domain whose wish counts for it: the first by
	// name. nearWanted is its wish, farWanted those of the other domains.
	speaker    plan.HostID
	nearWanted int
	farWanted  []int
	// own is the pace of the engines that this host measured, near and far what
	// its domain's other hosts and the other domains did.
	own, near, far PrefillTiming
	// sent is what this host sent lately, sentNear what its domain's other hosts
	// and sentFar what the other domains did.
	sent, sentNear, sentFar SendCounts
}

// forgetOthers forgets what was heard of other hosts.
func (g *group) forgetOthers(self plan.HostID) {
	g.speaker, g.nearWanted = self, 0
	g.farWanted = g.farWanted[:0]
	g.near, g.far = PrefillTiming{}, PrefillTiming{}
	g.sentNear, g.sentFar = SendCounts{}, SendCounts{}
}

// heardNear takes up what a host of the own domain says.
func (g *group) heardNear(peer plan.HostID, r *ServiceReport) {
	g.near = g.near.mix(r.Prefill)
	g.sentNear = g.sentNear.plus(r.Sent)
	if peer < g.speaker && r.ShortEngines > 0 {
		g.speaker, g.nearWanted = peer, r.ShortEngines
	}
}

// heardFar takes up what another domain says.
func (g *group) heardFar(r *ServiceReport) {
	g.far = g.far.mix(r.Prefill)
	g.sentFar = g.sentFar.plus(r.Sent)
	if r.ShortEngines > 0 {
		g.farWanted = append(g.farWanted, r.ShortEngines)
	}
}

// domainWanted returns how many engines for short prompts the own domain would
// have.
func (g *group) domainWanted() int {
	if g.nearWanted > 0 {
		return g.nearWanted
	}
	return g.wanted
}

// inherit keeps what was measured before the list of upstreams changed. The
// division is made anew.
func (g *group) inherit(old *group) {
	g.wanted, g.own, g.sent = old.wanted, old.own, old.sent
}

// spread sorts the targets: the first of each domain, the second of each domain,
// and so on.
func (g *group) spread() {
	sort.Slice(g.targets, func(i, j int) bool { return placeOf(g.targets[i]) < placeOf(g.targets[j]) })
	seen := map[string]int{}
	rank := make(map[*target]int, len(g.targets))
	for _, t := range g.targets {
		d := string(t.upstream.Domain)
		rank[t] = seen[d]
		seen[d]++
	}
	sort.SliceStable(g.targets, func(i, j int) bool { return rank[g.targets[i]] < rank[g.targets[j]] })
}

func placeOf(t *target) uint64 { return route.Hash("place", string(t.upstream.ID)) }

// divide decides anew how many engines are for short prompts, and which. All
// hosts should divide alike, since a subject's home depends on it: so one host of
// each domain says what it would do, and the median of the domains is done.
func (c *Balancer) divide(now time.Time, g *group, e *route.Engine) {
	if now.Sub(g.divided) < divideEvery && g.shorts > 0 {
		return
	}
	g.divided = now
	n, shorts := 0, 0
	for _, t := range g.targets {
		t.usable = c.usable(now, t)
		if t.usable {
			n++
			shorts += t.load().short
		}
	}
	if n < 2 {
		g.shorts = max(1, g.shorts)
	} else {
		g.wanted = g.wish(e, n, shorts)
		g.shorts = min(n-1, median(append(g.farWanted[:len(g.farWanted):len(g.farWanted)], g.domainWanted())))
	}
	g.assign()
}

// usable says whether an engine takes part in the division: it takes work, its
// domain is heard, and the hosts of this domain don't find it down. What only this
// host knows of it doesn't count, so that all hosts divide alike.
func (c *Balancer) usable(now time.Time, t *target) bool {
	if t.upstream.State != route.Ready || c.down(now, t) {
		return false
	}
	return t.upstream.Domain == c.domain || !c.silent(now, t.upstream.Domain)
}

// assign gives the first engines to short prompts. Those that can't be used now
// are on neither side; they count as being for short prompts.
func (g *group) assign() {
	left := g.shorts
	for _, t := range g.targets {
		t.forLong = t.usable && left <= 0
		if t.usable {
			left--
		}
	}
}

// wish returns the number of engines that the short prompts need, which go first:
// they are the more urgent ones and the smaller part of the work. It grows as
// soon as they need more, and shrinks only well below, since a change moves the
// homes of subjects.
func (g *group) wish(e *route.Engine, n, shorts int) int {
	if g.wanted == 0 {
		g.wanted = max(1, int(shortsAtFirst*float64(n)))
	}
	need := float64(shorts) / (slotShare * float64(max(1, e.Slots)))
	least, most := int(math.Ceil(shortsLeast*float64(n))), max(1, int(shortsMost*float64(n)))
	want := g.wanted
	if need > float64(want) || need < float64(want)*(1-shrinkRoom)-1 {
		want = int(math.Ceil(need))
	}
	return max(1, min(most, max(least, want)))
}

// pace returns the measured pace of the engines: tokens read in a millisecond,
// and the delay in milliseconds that comes besides.
func (g *group) pace() (speed, delay float64) { return g.own.mix(g.near).mix(g.far).known() }

// medianTook returns the median of the times that whole answers take, or zero where
// none is known.
func (g *group) medianTook() float64 {
	var known [medianMost]float64
	n := 0
	for _, t := range g.targets {
		if t.took > 0 && n < medianMost {
			known[n] = t.took
			n++
		}
	}
	if n == 0 {
		return 0
	}
	sort.Float64s(known[:n])
	return known[(n-1)/2]
}

// medianMost bounds the upstreams that the median is taken of.
const medianMost = 64

// median returns the lower median of a list, which it sorts.
func median(list []int) int {
	sort.Ints(list)
	return list[(len(list)-1)/2]
}

// homesMost is the number of engines that may hold the parts of one subject.
const homesMost = 3

// homes returns the indexes of the targets that prompts of a class on a subject
// belong to, the first choice first, by rendezvous hashing over the targets for
// the class.
func (g *group) homes(subject string, class Class) []int {
	var best [homesMost]int
	var bars [homesMost]uint64
	n := 0
	for i, t := range g.targets {
		if !t.usable || t.forLong != (class == ClassLong) {
			continue
		}
		h := route.Hash(subject, string(t.upstream.ID))
		at := n
		for at > 0 && h > bars[at-1] {
			at--
		}
		if at == homesMost {
			continue
		}
		n = min(homesMost, n+1)
		copy(best[at+1:n], best[at:n-1])
		copy(bars[at+1:n], bars[at:n-1])
		best[at], bars[at] = i, h
	}
	return best[:n:n]
}

// shunnedMost is the part of the upstreams that may be left alone after failures
// while others are there. Beyond it the cause is rather on the way than in them,
// and the few that are left would take all the load.
const shunnedMost = 0.5

// tooManyDown says whether more of a group's upstreams are left alone than
// shunnedMost.
func (c *Balancer) tooManyDown(now time.Time, g *group) bool {
	ready, down := 0, 0
	for _, t := range g.targets {
		if t.upstream.State != route.Ready {
			continue
		}
		ready++
		if c.leftAlone(now, t) {
			down++
		}
	}
	return float64(down) > shunnedMost*float64(ready)
}

// failureFloor returns the lowest failure rate of the group, which is normal for
// the service.
func (g *group) failureFloor(now time.Time) float64 {
	floor := 1.0
	for _, t := range g.targets {
		floor = min(floor, t.failing(now))
	}
	return floor
}
