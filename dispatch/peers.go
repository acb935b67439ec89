package dispatch

import (
	"time"

	"mulberrydyke/plan"
)

const (
	// reportTTL is how long a report is valid.
	reportTTL = 1500 * time.Millisecond
	// silentAfter is the age of another domain's report from which the domain
	// counts as cut off. It is longer than the gap that two lost messages leave.
	silentAfter = 1200 * time.Millisecond
	// domainTTL is how long a domain or group that sends no reports is remembered.
	domainTTL = time.Minute
)

// sourceKind tells whose load a report describes.
type sourceKind int

const (
	// hostSource is another host of this host's group.
	hostSource sourceKind = iota
	// groupSource is another group of this domain.
	groupSource
	// domainSource is another domain.
	domainSource
	// restSource is the rest of the fleet: all other groups and domains together.
	restSource
)

// source identifies what a report describes.
type source struct {
	kind   sourceKind
	host   plan.HostID
	group  int
	domain plan.DomainID
}

// sourceState holds the latest report of a source.
type sourceState struct {
	report Report
	// hosts is the number of hosts that the report includes.
	hosts int
	// reportedAt is when the report was made.
	reportedAt time.Time
	// inTotals is set while the report is included in the totals.
	inTotals bool
}

// SetSendCounts sets the number of requests that this host recently sent to a
// service.
func (b *Balancer) SetSendCounts(id plan.ServiceID, s SendCounts) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if g := b.groups[id]; g != nil {
		g.localSends = s
	}
}

// OtherHostSendCounts returns the number of requests that all other hosts recently
// sent to a service, according to their reports.
func (b *Balancer) OtherHostSendCounts(id plan.ServiceID) SendCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.groups[id]
	if g == nil {
		return SendCounts{}
	}
	return g.groupSends.plus(g.domainSends).plus(g.remoteSends)
}

// RemoteHostCount returns the number of hosts beyond this group, according to the
// latest reports.
func (b *Balancer) RemoteHostCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remoteHostCount()
}

func (b *Balancer) remoteHostCount() int {
	return b.hostCount(groupSource) + b.hostCount(domainSource) + b.hostCount(restSource)
}

// groupSize returns the number of hosts of this group with a valid report,
// including this one.
func (b *Balancer) groupSize() int { return b.hostCount(hostSource) + 1 }

// hostCount returns the number of hosts that the reports of one kind include. The
// hosts of a domain count while it is remembered, others while their report is valid.
func (b *Balancer) hostCount(k sourceKind) int {
	n := 0
	for src, s := range b.sources {
		if src.kind == k && (s.inTotals || k == domainSource) {
			n += s.hosts
		}
	}
	return n
}

// silent reports whether a domain that used to send reports has stopped.
func (b *Balancer) silent(now time.Time, d plan.DomainID) bool {
	at, known := b.domainHeardAt[d]
	return known && now.Sub(at) > silentAfter
}

// downQuorum is the number of hosts of a domain that have to find an upstream
// unreachable before the others treat it as down. In a domain of two hosts one is
// enough.
const downQuorum = 2

// ejected reports whether this host has ejected an upstream that it could not
// reach, or the hosts of its domain vote it down.
func (b *Balancer) ejected(now time.Time, t *target) bool {
	return now.Before(t.ejectedUntil) || b.votedDown(now, t)
}

// votedDown reports whether enough hosts of this domain, this one included, have
// ejected an upstream.
func (b *Balancer) votedDown(now time.Time, t *target) bool {
	return t.localVote(now)+t.groupVotes+t.domainVotes >= min(downQuorum, (b.groupSize()+1)/2)
}

// localVote returns 1 if this host has ejected the upstream, else 0.
func (t *target) localVote(now time.Time) int {
	if now.Before(t.ejectedUntil) {
		return 1
	}
	return 0
}

// SetSources sets which reports this host gets beside those of the hosts of its
// group: whether of the other groups of its domain, and whether of each other
// domain. The report of the rest of the fleet holds what these do not. After a
// change the reports are discarded that would make the totals include loads twice.
func (b *Balancer) SetSources(now time.Time, groups, domains bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.getsGroups == groups && b.getsDomains == domains {
		return
	}
	b.getsGroups, b.getsDomains = groups, domains
	for src := range b.sources {
		if src.kind == restSource || src.kind == groupSource && !groups || src.kind == domainSource && !domains {
			delete(b.sources, src)
		}
	}
	b.recomputeTotals(now)
}

// ApplyHostReport applies a report, or part of one, of another host of this group.
func (b *Balancer) ApplyHostReport(now time.Time, host plan.HostID, r Report) {
	b.apply(now, now, source{kind: hostSource, host: host}, 1, r)
}

// ApplyGroupReport applies a report, or part of one, of another group of this
// domain.
func (b *Balancer) ApplyGroupReport(now time.Time, group, hosts int, r Report) {
	b.apply(now, now, source{kind: groupSource, group: group}, hosts, r)
}

// ApplyDomainReport applies a report, or part of one, of another domain. A report
// older than the present one is ignored.
func (b *Balancer) ApplyDomainReport(reportedAt, now time.Time, d plan.DomainID, hosts int, r Report) {
	b.apply(reportedAt, now, source{kind: domainSource, domain: d}, hosts, r)
}

// ApplyRestReport applies a report, or part of one, of the rest of the fleet.
func (b *Balancer) ApplyRestReport(now time.Time, hosts int, r Report) {
	b.apply(now, now, source{kind: restSource}, hosts, r)
}

// apply replaces what a part of a report describes, and updates the totals.
func (b *Balancer) apply(reportedAt, now time.Time, src source, hosts int, part Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.sources[src]
	if s == nil {
		s = &sourceState{}
		b.sources[src] = s
	}
	if reportedAt.Before(s.reportedAt) {
		return
	}
	if s.inTotals {
		b.addToTotals(src.kind, &s.report, -1)
	}
	s.report.replacePart(part)
	s.hosts, s.reportedAt, s.inTotals = hosts, reportedAt, true
	b.addToTotals(src.kind, &s.report, 1)
	b.recordDomains(reportedAt, src, part.Domains)
	b.recomputeServices(now)
}

// recordDomains records when domains were last heard from.
func (b *Balancer) recordDomains(reportedAt time.Time, src source, domains []DomainAge) {
	if src.kind == domainSource {
		b.domainHeardAt[src.domain] = reportedAt
	}
	for _, d := range domains {
		if at := reportedAt.Add(-d.Age); d.Domain != b.domain && at.After(b.domainHeardAt[d.Domain]) {
			b.domainHeardAt[d.Domain] = at
		}
	}
}

// recomputeTotals computes all totals from the reports that have not expired.
func (b *Balancer) recomputeTotals(now time.Time) {
	for _, t := range b.targets {
		t.groupLoad, t.domainLoad, t.remoteLoad = loadCounts{}, loadCounts{}, loadCounts{}
		t.groupSpeed, t.domainSpeed, t.remoteSpeed = reportedSums{}, reportedSums{}, reportedSums{}
		t.groupVotes, t.domainVotes = 0, 0
	}
	for src, s := range b.sources {
		age := now.Sub(s.reportedAt)
		s.inTotals = age <= reportTTL
		switch {
		case age > domainTTL || src.kind == hostSource && !s.inTotals:
			delete(b.sources, src)
		case s.inTotals:
			b.addToTotals(src.kind, &s.report, 1)
		}
	}
	for d, at := range b.domainHeardAt {
		if now.Sub(at) > domainTTL {
			delete(b.domainHeardAt, d)
		}
	}
	b.recomputeServices(now)
}

// addToTotals adds the loads of a report to the totals, or subtracts them if sign
// is -1.
func (b *Balancer) addToTotals(k sourceKind, r *Report, sign int) {
	for _, l := range r.Loads {
		if t := b.byKey[l.Upstream]; t != nil {
			t.loadFrom(k).add(l.counts().scale(sign))
			t.speedFrom(k).add(decodeSums(l.Speed), sign)
		}
	}
	for _, key := range r.Down {
		t := b.byKey[key]
		switch {
		case t == nil || k == domainSource:
		case k == hostSource:
			t.groupVotes += sign
		default:
			t.domainVotes += sign
		}
	}
}

// loadFrom returns the total that holds the loads of one kind of source.
func (t *target) loadFrom(k sourceKind) *loadCounts {
	switch k {
	case hostSource:
		return &t.groupLoad
	case groupSource:
		return &t.domainLoad
	}
	return &t.remoteLoad
}

// speedFrom returns the total that holds the measurements of one kind of source.
func (t *target) speedFrom(k sourceKind) *reportedSums {
	switch k {
	case hostSource:
		return &t.groupSpeed
	case groupSource:
		return &t.domainSpeed
	}
	return &t.remoteSpeed
}

// reportedSpeed returns the sums of all other hosts in one load band.
func (t *target) reportedSpeed(band int) reportedBand {
	group, domain, remote := t.groupSpeed[band], t.domainSpeed[band], t.remoteSpeed[band]
	return reportedBand{weight: group.weight + domain.weight + remote.weight, sum: group.sum + domain.sum + remote.sum}
}

// recomputeServices computes the totals of each service from the reports that have
// not expired.
func (b *Balancer) recomputeServices(now time.Time) {
	for _, g := range b.groups {
		g.resetReports(b.self)
	}
	for src, s := range b.sources {
		if now.Sub(s.reportedAt) > reportTTL {
			continue
		}
		for i := range s.report.Services {
			r := &s.report.Services[i]
			if g := b.groups[r.Service]; g != nil {
				g.addReport(src, r)
			}
		}
	}
}

// counts converts the load to the type in which totals are kept.
func (l *Load) counts() loadCounts {
	return loadCounts{
		short: l.Short, long: l.Long, plain: l.Plain, pendingTokens: l.PendingTokens, arrivalRate: float64(l.ArrivalRate),
		waiting: min(l.Waiting, maxReportedWaiting), overdueMs: float64(min(l.OverdueMs, maxReportedOverdueMs)),
	}
}
