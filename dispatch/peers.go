package dispatch

import (
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

const (
	// reportTTL is how long a report is valid.
	reportTTL = 1500 * time.Millisecond
	// silentAfter is the age of another domain's report from which the domain
	// counts as cut off. It is longer than the gap that two lost messages leave.
	silentAfter = 1200 * time.Millisecond
	// domainTTL is how long a domain that sends no reports is remembered.
	domainTTL = time.Minute
)

// UpstreamKey identifies an upstream in reports. It is a hash of the upstream's
// ID.
type UpstreamKey uint32

// KeyOf returns the key of an upstream.
func KeyOf(id plan.UpstreamID) UpstreamKey { return UpstreamKey(route.Hash(string(id))) }

// Load counts the requests and prompt tokens on one upstream.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Upstream UpstreamKey
	Short    int
	Long     int
	Plain    int
	// PendingTokens counts the prompt tokens that are not prefilled yet.
	PendingTokens int
	// ArrivalRate is the recent rate of prompt tokens sent to the upstream, in
	// tokens per second.
	ArrivalRate int
}

// ServiceReport holds what a host or a domain reports of one service.
type ServiceReport struct {
	_       struct{} `cbor:",toarray"`
	Service plan.ServiceID
	// WantedShortEngines is how many engines for short prompts the sender needs.
	WantedShortEngines int
	// Prefill is the measured prefill timing of the service's engines.
	Prefill PrefillTiming
	// Sent counts the requests that the sender recently sent to the service.
	Sent SendCounts
}

// SendCounts counts the requests sent to a service in the current retry window.
type SendCounts struct {
	_ struct{} `cbor:",toarray"`
	// FirstAttempts counts requests sent for the first time, Retries those sent
	// again.
	FirstAttempts, Retries int
}

// plus returns the sum of two counts.
func (s SendCounts) plus(o SendCounts) SendCounts {
	return SendCounts{FirstAttempts: s.FirstAttempts + o.FirstAttempts, Retries: s.Retries + o.Retries}
}

// Report describes the load of one host or one domain.
type Report struct {
	_        struct{} `cbor:",toarray"`
	Loads    []Load
	Services []ServiceReport
	// Down lists the upstreams that the sender has ejected because it could not
	// reach them.
	Down []UpstreamKey
}

// peerState holds the latest report of another host of this domain.
type peerState struct {
	report     Report
	receivedAt time.Time
}

// DomainState holds the latest report of another domain.
type DomainState struct {
	Domain plan.DomainID
	Hosts  int
	Report Report
	// ReportedAt is when the report was made.
	ReportedAt time.Time
	// inTotals is set while the report's loads are included in the totals.
	inTotals bool
}

// Report returns the load of this host.
func (b *Balancer) Report(now time.Time) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recomputeTotals(now)
	var r Report
	for _, t := range b.targets {
		t.decay(now)
		r.addLoad(t.key, t.localLoad)
		if now.Before(t.ejectedUntil) {
			r.Down = append(r.Down, t.key)
		}
	}
	for id, g := range b.groups {
		r.addService(ServiceReport{Service: id, WantedShortEngines: g.wantedShort, Prefill: g.localTiming, Sent: g.localSends})
	}
	return r
}

// DomainReport returns the load of all hosts of this domain, and their number.
func (b *Balancer) DomainReport(now time.Time) (Report, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recomputeTotals(now)
	var r Report
	for _, t := range b.targets {
		t.decay(now)
		load := t.localLoad
		load.add(t.domainLoad)
		r.addLoad(t.key, load)
	}
	for id, g := range b.groups {
		r.addService(ServiceReport{Service: id, WantedShortEngines: g.domainWantedShort(), Prefill: g.localTiming.merge(g.domainTiming), Sent: g.localSends.plus(g.domainSends)})
	}
	return r, len(b.peers) + 1
}

// addLoad adds the load of an upstream, unless there is none.
func (r *Report) addLoad(key UpstreamKey, load loadCounts) {
	if load.running() == 0 && load.arrivalRate < 1 {
		return
	}
	r.Loads = append(r.Loads, Load{
		Upstream: key, Short: load.short, Long: load.long, Plain: load.plain, PendingTokens: load.pendingTokens, ArrivalRate: int(load.arrivalRate),
	})
}

// addService adds the report of a service, unless it is empty.
func (r *Report) addService(report ServiceReport) {
	if report.WantedShortEngines > 0 || report.Sent != (SendCounts{}) {
		r.Services = append(r.Services, report)
	}
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

// OtherHostSendCounts returns the number of requests that the other hosts, of this
// domain and of the others, recently sent to a service, according to their reports.
func (b *Balancer) OtherHostSendCounts(id plan.ServiceID) SendCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.groups[id]
	if g == nil {
		return SendCounts{}
	}
	return g.domainSends.plus(g.remoteSends)
}

// RemoteDomains returns the latest report of each other domain, without expired
// ones.
func (b *Balancer) RemoteDomains(now time.Time) []DomainState {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []DomainState
	for _, d := range b.remoteDomains {
		if now.Sub(d.ReportedAt) <= reportTTL {
			out = append(out, *d)
		}
	}
	return out
}

// RemoteHostCount returns the number of hosts in the other domains, according to
// their latest reports.
func (b *Balancer) RemoteHostCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, d := range b.remoteDomains {
		n += d.Hosts
	}
	return n
}

// silent reports whether a domain that used to send reports has stopped.
func (b *Balancer) silent(now time.Time, d plan.DomainID) bool {
	s, known := b.remoteDomains[d]
	return known && now.Sub(s.ReportedAt) > silentAfter
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
	votes := t.downVotes
	if now.Before(t.ejectedUntil) {
		votes++
	}
	return votes >= min(downQuorum, (len(b.peers)+2)/2)
}

// ApplyHostReport replaces the report of another host of this domain.
func (b *Balancer) ApplyHostReport(now time.Time, peer plan.HostID, r Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old := b.peers[peer]; old != nil {
		b.applyHostLoads(&old.report, -1)
	}
	b.peers[peer] = &peerState{report: r, receivedAt: now}
	b.applyHostLoads(&r, 1)
	b.recomputeServices(now)
}

// ApplyDomainReport replaces the report of another domain. A report no newer than
// the present one is ignored.
func (b *Balancer) ApplyDomainReport(reportedAt, now time.Time, d plan.DomainID, hosts int, r Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.remoteDomains[d]
	if old != nil && !reportedAt.After(old.ReportedAt) {
		return
	}
	if old != nil && old.inTotals {
		b.applyDomainLoads(&old.Report, -1)
	}
	b.remoteDomains[d] = &DomainState{Domain: d, Hosts: hosts, Report: r, ReportedAt: reportedAt, inTotals: true}
	b.applyDomainLoads(&r, 1)
	b.recomputeServices(now)
}

// recomputeTotals computes all totals from the reports that have not expired.
func (b *Balancer) recomputeTotals(now time.Time) {
	for _, t := range b.targets {
		t.domainLoad, t.remoteLoad, t.downVotes = loadCounts{}, loadCounts{}, 0
	}
	for id, p := range b.peers {
		if now.Sub(p.receivedAt) > reportTTL {
			delete(b.peers, id)
			continue
		}
		b.applyHostLoads(&p.report, 1)
	}
	for id, d := range b.remoteDomains {
		age := now.Sub(d.ReportedAt)
		d.inTotals = age <= reportTTL
		switch {
		case age > domainTTL:
			delete(b.remoteDomains, id)
		case d.inTotals:
			b.applyDomainLoads(&d.Report, 1)
		}
	}
	b.recomputeServices(now)
}

// applyHostLoads adds the loads of another host of this domain to the totals, or
// subtracts them if sign is -1.
func (b *Balancer) applyHostLoads(r *Report, sign int) {
	for _, l := range r.Loads {
		if t := b.byKey[l.Upstream]; t != nil {
			t.domainLoad.add(l.counts().scale(sign))
		}
	}
	for _, key := range r.Down {
		if t := b.byKey[key]; t != nil {
			t.downVotes += sign
		}
	}
}

// applyDomainLoads adds the loads of another domain to the totals, or subtracts
// them if sign is -1.
func (b *Balancer) applyDomainLoads(r *Report, sign int) {
	for _, l := range r.Loads {
		if t := b.byKey[l.Upstream]; t != nil {
			t.remoteLoad.add(l.counts().scale(sign))
		}
	}
}

// recomputeServices computes the totals of each service from the reports of all
// other hosts and domains.
func (b *Balancer) recomputeServices(now time.Time) {
	for _, g := range b.groups {
		g.resetReports(b.self)
	}
	for id, p := range b.peers {
		for _, report := range p.report.Services {
			if g := b.groups[report.Service]; g != nil && now.Sub(p.receivedAt) <= reportTTL {
				g.addHostReport(id, &report)
			}
		}
	}
	for _, d := range b.remoteDomains {
		for _, report := range d.Report.Services {
			if g := b.groups[report.Service]; g != nil && now.Sub(d.ReportedAt) <= reportTTL {
				g.addDomainReport(&report)
			}
		}
	}
}

// counts converts the load to the type in which totals are kept.
func (l *Load) counts() loadCounts {
	return loadCounts{short: l.Short, long: l.Long, plain: l.Plain, pendingTokens: l.PendingTokens, arrivalRate: float64(l.ArrivalRate)}
}
