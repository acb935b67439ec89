package dispatch

import (
	"math"
	"slices"
	"sort"
	"time"

	"mulberrydyke/plan"
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

// targetGroup holds the upstreams of one service.
type targetGroup struct {
	// targets are sorted so that the first n of them, for any n, are spread over
	// the failure domains. All hosts use the same order.
	targets []*target
	// shortEngines is how many of the usable targets serve short prompts.
	shortEngines  int
	partitionedAt time.Time
	// neededShort is how many engines the running short prompts call for, within the
	// bounds of the partition. wantedShort is how many this host wants, which follows
	// neededShort with hysteresis.
	neededShort, wantedShort int
	// leader is the host whose number of engines for short prompts stands for this
	// group: the first by name. leaderWantedShort is its number.
	leader            plan.HostID
	leaderWantedShort int
	// otherGroupsWantedShort holds the numbers of the other groups of this domain,
	// and remoteWantedShort those of the other domains. reportedWantedShort is the
	// number of this domain according to a speaker of this group, or zero.
	otherGroupsWantedShort, remoteWantedShort []int
	reportedWantedShort                       int
	admitLimits, backlogLimits                admitLimits
	// meanBacklog is the mean backlogWait of the engines for long prompts, as of backlogAt.
	meanBacklog time.Duration
	backlogAt   time.Time
	// baselines holds what this host's measurements of all targets of this domain have in
	// common, and remoteBaselines that of the other domains, whose network latency differs.
	baselines, remoteBaselines [measurementKinds]baseline
	// estimatedAt is when the speeds of the targets were last estimated.
	estimatedAt time.Time
	// latencyTargets holds the lowest recent latency target of each class.
	latencyTargets [ClassLong + 1]time.Duration
	// localTiming is the prefill timing that this host measured, groupTiming that
	// of the other hosts of its group, domainTiming that of the other groups of its
	// domain, and remoteTiming that of the other domains.
	localTiming, groupTiming, domainTiming, remoteTiming PrefillTiming
	// localSends counts the recent requests of this host, groupSends those of the
	// other hosts of its group, domainSends those of the other groups of its
	// domain, and remoteSends those of the other domains.
	localSends, groupSends, domainSends, remoteSends SendCounts
}

// resetReports discards everything that other hosts reported.
func (g *targetGroup) resetReports(self plan.HostID) {
	g.leader, g.leaderWantedShort, g.reportedWantedShort = self, 0, 0
	g.otherGroupsWantedShort, g.remoteWantedShort = g.otherGroupsWantedShort[:0], g.remoteWantedShort[:0]
	g.groupTiming, g.domainTiming, g.remoteTiming = PrefillTiming{}, PrefillTiming{}, PrefillTiming{}
	g.groupSends, g.domainSends, g.remoteSends = SendCounts{}, SendCounts{}, SendCounts{}
}

// addReport adds what a source reports of the service.
func (g *targetGroup) addReport(src source, r *ServiceReport) {
	switch src.kind {
	case hostSource:
		g.groupTiming, g.groupSends = g.groupTiming.merge(r.Prefill), g.groupSends.plus(r.Sent)
		if src.host < g.leader && r.WantedShortEngines > 0 {
			g.leader, g.leaderWantedShort = src.host, r.WantedShortEngines
		}
	case groupSource:
		g.domainTiming, g.domainSends = g.domainTiming.merge(r.Prefill), g.domainSends.plus(r.Sent)
		g.otherGroupsWantedShort = appendPositive(g.otherGroupsWantedShort, r.WantedShortEngines)
	case domainSource:
		g.remoteTiming, g.remoteSends = g.remoteTiming.merge(r.Prefill), g.remoteSends.plus(r.Sent)
		g.remoteWantedShort = appendPositive(g.remoteWantedShort, r.WantedShortEngines)
	case restSource:
		g.remoteTiming, g.remoteSends = g.remoteTiming.merge(r.Prefill), g.remoteSends.plus(r.Sent)
		g.remoteWantedShort = append(g.remoteWantedShort, r.RemoteWantedShort...)
		g.reportedWantedShort = r.WantedShortEngines
	}
}

// appendPositive appends n to a list if it is positive.
func appendPositive(list []int, n int) []int {
	if n <= 0 {
		return list
	}
	return append(list, n)
}

// groupWantedShort returns how many engines for short prompts this group needs.
func (g *targetGroup) groupWantedShort() int {
	if g.leaderWantedShort > 0 {
		return g.leaderWantedShort
	}
	return g.wantedShort
}

// domainWantedShort returns how many engines for short prompts this domain needs:
// the upper median of its groups.
func (g *targetGroup) domainWantedShort() int {
	if g.reportedWantedShort > 0 {
		return g.reportedWantedShort
	}
	list := append(slices.Clone(g.otherGroupsWantedShort), g.groupWantedShort())
	slices.Sort(list)
	return list[len(list)/2]
}

// inherit keeps the measurements from before a change of the list of upstreams.
// The partition is not kept; it is computed again.
func (g *targetGroup) inherit(old *targetGroup) {
	g.wantedShort, g.localTiming, g.localSends = old.wantedShort, old.localTiming, old.localSends
	g.admitLimits, g.backlogLimits = old.admitLimits, old.backlogLimits
	g.baselines, g.remoteBaselines = old.baselines, old.remoteBaselines
	g.estimatedAt, g.latencyTargets = old.estimatedAt, old.latencyTargets
}

// interleaveDomains sorts the targets: the first of each domain, then the second
// of each domain, and so on.
func (g *targetGroup) interleaveDomains() {
	sort.Slice(g.targets, func(i, j int) bool { return sortKey(g.targets[i]) < sortKey(g.targets[j]) })
	perDomain := map[string]int{}
	rank := make(map[*target]int, len(g.targets))
	for _, t := range g.targets {
		domain := string(t.upstream.Domain)
		rank[t] = perDomain[domain]
		perDomain[domain]++
	}
	sort.SliceStable(g.targets, func(i, j int) bool { return rank[g.targets[i]] < rank[g.targets[j]] })
}

// sortKey returns a hash of the upstream's ID, by which all hosts sort alike.
func sortKey(t *target) uint64 { return route.Hash("place", string(t.upstream.ID)) }

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

// prefillTiming returns the measured prefill speed of the engines in tokens per
// millisecond, and the base latency in milliseconds that every first event takes
// besides its prefill.
func (g *targetGroup) prefillTiming() (speed, baseLatency float64) {
	return g.localTiming.merge(g.groupTiming).merge(g.domainTiming).merge(g.remoteTiming).valuesOrDefault()
}

// medianLatency returns the median response time of the upstreams in
// milliseconds, or zero if none has been measured.
func (g *targetGroup) medianLatency() float64 {
	var samples [maxMedianSamples]float64
	n := 0
	for _, t := range g.targets {
		if t.latency > 0 && n < maxMedianSamples {
			samples[n] = t.latency
			n++
		}
	}
	if n == 0 {
		return 0
	}
	sort.Float64s(samples[:n])
	return samples[(n-1)/2]
}

// maxMedianSamples bounds the number of upstreams that the median is computed
// from.
const maxMedianSamples = 64

// lowerMedian returns the lower median of a list, and sorts the list.
func lowerMedian(list []int) int {
	sort.Ints(list)
	return list[(len(list)-1)/2]
}

// maxPreferredEngines is the number of engines that may hold the parts of one
// prefix in their caches.
const maxPreferredEngines = 3

// preferredEngines returns the indexes of the targets that should run prompts of
// a class with a shared prefix, the first choice first. It uses weighted rendezvous
// hashing over the targets that serve the class; slow ones have less weight.
func (g *targetGroup) preferredEngines(prefixID string, class Class) []int {
	var best [maxPreferredEngines]int
	var hashes [maxPreferredEngines]uint64
	n := 0
	for i, t := range g.targets {
		if !t.usable || t.servesLong != (class == ClassLong) {
			continue
		}
		h := t.learned.class.current.weigh(route.Hash(prefixID, string(t.upstream.ID)))
		pos := n
		for pos > 0 && h > hashes[pos-1] {
			pos--
		}
		if pos == maxPreferredEngines {
			continue
		}
		n = min(maxPreferredEngines, n+1)
		copy(best[pos+1:n], best[pos:n-1])
		copy(hashes[pos+1:n], hashes[pos:n-1])
		best[pos], hashes[pos] = i, h
	}
	return best[:n:n]
}

// maxEjectedFraction is the share of the upstreams that may be ejected. If more
// are unreachable, the fault is more likely in the network than in the upstreams,
// and the few that are left would get all the load.
const maxEjectedFraction = 0.5

// tooManyEjected reports whether more than maxEjectedFraction of a group's ready
// upstreams are ejected.
func (b *Balancer) tooManyEjected(now time.Time, g *targetGroup) bool {
	ready, ejected := 0, 0
	for _, t := range g.targets {
		if t.upstream.State != route.Ready {
			continue
		}
		ready++
		if b.ejected(now, t) {
			ejected++
		}
	}
	return float64(ejected) > maxEjectedFraction*float64(ready)
}

// failureFloor returns the lowest failure rate in the group, which counts as
// normal for the service.
func (g *targetGroup) failureFloor(now time.Time) float64 {
	lowest := 1.0
	for _, t := range g.targets {
		lowest = min(lowest, t.failureRate(now))
	}
	return lowest
}
