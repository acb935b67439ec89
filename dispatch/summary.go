package dispatch

import (
	"slices"
	"time"
)

// Report returns the load of this host.
func (b *Balancer) Report(now time.Time) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recomputeTotals(now)
	var r Report
	for _, t := range b.targets {
		t.decay(now)
		t.measureOverdue(now)
		r.addLoad(t.key, t.localLoad, t.measured(now))
		r.addDown(t.key, t.localVote(now))
	}
	for id, g := range b.groups {
		r.addService(ServiceReport{Service: id, WantedShortEngines: g.wantedShort, Prefill: g.localTiming, Sent: g.localSends})
	}
	return r
}

// GroupReport returns the load of all hosts of this group, and their number.
func (b *Balancer) GroupReport(now time.Time) (Report, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recomputeTotals(now)
	var r Report
	for _, t := range b.targets {
		t.decay(now)
		t.measureOverdue(now)
		load := t.localLoad
		load.add(t.groupLoad)
		sums := t.measured(now)
		sums.add(t.groupSpeed, 1)
		r.addLoad(t.key, load, sums)
		r.addDown(t.key, t.localVote(now)+t.groupVotes)
	}
	for id, g := range b.groups {
		r.addService(ServiceReport{Service: id, WantedShortEngines: g.groupWantedShort(), Prefill: g.localTiming.merge(g.groupTiming), Sent: g.localSends.plus(g.groupSends)})
	}
	return r, b.groupSize()
}

// DomainReport returns the load of all hosts of this domain, and their number.
func (b *Balancer) DomainReport(now time.Time) (Report, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recomputeTotals(now)
	var r Report
	for _, t := range b.targets {
		t.decay(now)
		t.measureOverdue(now)
		load := t.localLoad
		load.add(t.groupLoad)
		load.add(t.domainLoad)
		sums := t.measured(now)
		sums.add(t.groupSpeed, 1)
		sums.add(t.domainSpeed, 1)
		r.addLoad(t.key, load, sums)
	}
	for id, g := range b.groups {
		r.addService(ServiceReport{
			Service: id, WantedShortEngines: g.domainWantedShort(), Prefill: g.localTiming.merge(g.groupTiming).merge(g.domainTiming),
			Sent: g.localSends.plus(g.groupSends).plus(g.domainSends),
		})
	}
	return r, b.groupSize() + b.hostCount(groupSource)
}

// RestReport returns the load of all hosts beyond this group, and their number.
// The speakers of a group send it to the other hosts of the group.
func (b *Balancer) RestReport(now time.Time) (Report, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recomputeTotals(now)
	var r Report
	for _, t := range b.targets {
		load := t.domainLoad
		load.add(t.remoteLoad)
		sums := t.domainSpeed
		sums.add(t.remoteSpeed, 1)
		r.addLoad(t.key, load, sums)
		r.addDown(t.key, t.domainVotes)
	}
	for id, g := range b.groups {
		r.addService(ServiceReport{
			Service: id, WantedShortEngines: g.domainWantedShort(), RemoteWantedShort: slices.Clone(g.remoteWantedShort),
			Prefill: g.domainTiming.merge(g.remoteTiming), Sent: g.domainSends.plus(g.remoteSends),
		})
	}
	r.Domains = b.domainAges(now)
	return r, b.remoteHostCount()
}

// RemoteReport returns the load of all hosts of the other domains, and their number.
// The reporters of a domain send it to the other speakers of the domain.
func (b *Balancer) RemoteReport(now time.Time) (Report, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recomputeTotals(now)
	var r Report
	for _, t := range b.targets {
		r.addLoad(t.key, t.remoteLoad, t.remoteSpeed)
	}
	for id, g := range b.groups {
		r.addService(ServiceReport{Service: id, RemoteWantedShort: slices.Clone(g.remoteWantedShort), Prefill: g.remoteTiming, Sent: g.remoteSends})
	}
	r.Domains = b.domainAges(now)
	return r, b.hostCount(domainSource)
}

// domainAges returns when each other domain was last heard from.
func (b *Balancer) domainAges(now time.Time) []DomainAge {
	var out []DomainAge
	for d, at := range b.domainHeardAt {
		out = append(out, DomainAge{Domain: d, Age: max(0, now.Sub(at))})
	}
	return out
}

// measured returns this host's measurements of the upstream's speed.
func (t *target) measured(now time.Time) reportedSums {
	t.speedSums.decay(now)
	return t.speedSums.inUnits()
}
