package dispatch

import (
	"math"
	"slices"
	"sort"
	"time"

	"mulberrydyke/route"
)

const (
	// partitionInterval is how often the engines are partitioned into those for
	// short and those for long prompts.
	partitionInterval = 500 * time.Millisecond
	// targetSlotFraction is the share of an engine's slots that short prompts
	// should use.
	targetSlotFraction = 0.65
	// minShortFraction and maxShortFraction bound the share of the engines for
	// short prompts.
	minShortFraction = 0.2
	maxShortFraction = 0.55
	// shrinkIdleFraction is the share of the engines for short prompts that may be
	// idle before their number is reduced.
	shrinkIdleFraction = 0.35
	// initialShortFraction is the share of the engines for short prompts while no
	// load has been observed.
	initialShortFraction = 0.4
)

// partition decides, at most once per partitionInterval, how many engines serve
// short prompts, and which. All hosts should reach the same result, because the
// preferred engines of a prefix depend on it (see agreedWantedShort).
func (b *Balancer) partition(now time.Time, g *targetGroup, e *route.Engine) {
	if now.Sub(g.partitionedAt) < partitionInterval && g.shortEngines > 0 {
		return
	}
	g.partitionedAt = now
	usable, shortRequests, capacity := 0, 0, 0.0
	for _, t := range g.targets {
		t.usable = b.usable(now, t)
		if t.usable {
			usable++
			capacity += t.learned.class.current.capacity()
			shortRequests += t.totalLoad().short
		}
	}
	if usable < 2 {
		g.shortEngines = max(1, g.shortEngines)
	} else {
		g.wantedShort = g.computeWantedShort(e, capacity, shortRequests)
		g.shortEngines = min(usable-1, g.agreedWantedShort())
	}
	g.assignEngines(max(1, usable-1))
	g.forgetLatencyTargets()
}

// maxUnmetFraction is the share of the agreed number of engines for short prompts by
// which it may be lower than what the load calls for.
const maxUnmetFraction = 0.2

// agreedWantedShort returns how many engines for short prompts this host uses: the
// lower median of what the domains want. What other domains report follows from loads
// that are a second old. Where that is clearly too low for the load that this host
// knows of, as while the load rises, it uses as many as the load calls for.
func (g *targetGroup) agreedWantedShort() int {
	agreed := lowerMedian(append(slices.Clone(g.remoteWantedShort), g.domainWantedShort()))
	if g.neededShort > agreed+max(1, int(maxUnmetFraction*float64(agreed))) {
		return g.neededShort
	}
	return agreed
}

// usable reports whether an engine takes part in the partition: it is ready, its
// domain is not silent, and the hosts of this domain do not vote it down. What
// only this host knows of the engine is ignored, so that all hosts partition
// alike.
func (b *Balancer) usable(now time.Time, t *target) bool {
	if t.upstream.State != route.Ready || b.votedDown(now, t) {
		return false
	}
	return t.upstream.Domain == b.domain || !b.silent(now, t.upstream.Domain)
}

// assignEngines assigns the first usable engines to short prompts, until they have the
// capacity of shortEngines engines or are as many as given, and the others to long ones.
// Slow engines come last if short prompts have the tighter latency target, else first.
// Unusable engines take up no place in either part; they are marked as serving short
// prompts.
func (g *targetGroup) assignEngines(maxEngines int) {
	remaining := float64(g.shortEngines)
	slowFirst := g.longIsTighter()
	for pass := range 2 {
		takesSlow := (pass == 0) == slowFirst
		for _, t := range g.targets {
			class := t.learned.class.current
			if (class != notSlow) != takesSlow {
				continue
			}
			t.servesLong = t.usable && (remaining <= 0 || maxEngines <= 0)
			if t.usable && !t.servesLong {
				remaining -= class.capacity()
				maxEngines--
			}
		}
	}
}

const (
	// latencyTargetGrowth is the factor by which the lowest latency target of a class
	// grows with each partition, so that those of former routes are forgotten.
	latencyTargetGrowth = 1.002
	// tighterFraction is the share of the latency target of short prompts below which
	// that of long prompts is tighter.
	tighterFraction = 0.8
)

// recordLatencyTarget records the latency target of a request.
func (g *targetGroup) recordLatencyTarget(class Class, target time.Duration) {
	if known := g.latencyTargets[class]; target > 0 && (known == 0 || target < known) {
		g.latencyTargets[class] = target
	}
}

// forgetLatencyTargets raises the lowest latency targets slightly.
func (g *targetGroup) forgetLatencyTargets() {
	for class := range g.latencyTargets {
		g.latencyTargets[class] = time.Duration(float64(g.latencyTargets[class]) * latencyTargetGrowth)
	}
}

// longIsTighter reports whether long prompts have a clearly tighter latency target than
// short ones.
func (g *targetGroup) longIsTighter() bool {
	long, short := g.latencyTargets[ClassLong], g.latencyTargets[ClassShort]
	return long > 0 && float64(long) < tighterFraction*float64(short)
}

// computeWantedShort returns the number of engines that the short prompts need, in
// engines that are not slow. The capacity is that of all usable engines.
// Short prompts take precedence, because they are more urgent and the smaller
// part of the work. The number grows as soon as more engines are needed, and
// shrinks only when far fewer are, since a change moves the preferred engines of
// prefixes.
func (g *targetGroup) computeWantedShort(e *route.Engine, capacity float64, shortRequests int) int {
	if g.wantedShort == 0 {
		g.wantedShort = max(1, int(initialShortFraction*capacity))
	}
	needed := float64(shortRequests) / (targetSlotFraction * float64(max(1, e.Slots)))
	minEngines, maxEngines := int(math.Ceil(minShortFraction*capacity)), max(1, int(maxShortFraction*capacity))
	g.neededShort = min(maxEngines, int(math.Ceil(needed)))
	wanted := g.wantedShort
	if needed > float64(wanted) || needed < float64(wanted)*(1-shrinkIdleFraction)-1 {
		wanted = int(math.Ceil(needed))
	}
	return max(1, min(maxEngines, max(minEngines, wanted)))
}

// lowerMedian returns the lower median of a list, and sorts the list.
func lowerMedian(list []int) int {
	sort.Ints(list)
	return list[(len(list)-1)/2]
}
