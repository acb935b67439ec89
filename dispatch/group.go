package dispatch

import (
	"slices"
	"sort"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
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
