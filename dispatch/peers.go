package dispatch

import (
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

const (
	// reportLife is how long a report counts.
	reportLife = 1500 * time.Millisecond
	// silentAfter is how old the report of another domain may be before the
	// domain counts as cut off. It is longer than two lost messages.
	silentAfter = 1200 * time.Millisecond
	// domainLife is how long a domain is remembered that is not heard.
	domainLife = time.Minute
)

// UpstreamKey stands for an upstream in reports. It is a hash of its ID.
type UpstreamKey uint32

// KeyOf returns the key of an upstream.
func KeyOf(id plan.UpstreamID) UpstreamKey { return UpstreamKey(route.Hash(string(id))) }

// Load is what runs on one upstream.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Upstream UpstreamKey
	Short    int
	Long     int
	Plain    int
	// Pending counts the prompt tokens that are not read yet.
	PendingTokens int
	// Arriving counts the prompt tokens that were lately sent there in a second.
	ArrivalRate int
}

// Rate is what is said of the requests for one service.
type ServiceReport struct {
	_       struct{} `cbor:",toarray"`
	Service plan.ServiceID
	// Shorts is how many engines the sender would have for short prompts.
	ShortEngines int
	// Pace is the measured pace of the service's engines.
	Prefill PrefillTiming
	// Sent is what was sent for the service lately.
	Sent SendCounts
}

// Sent counts what was sent for a service in the window in which repeats are
// bounded.
type SendCounts struct {
	_ struct{} `cbor:",toarray"`
	// Fresh counts requests, Repeats those that were sent once more.
	FirstAttempts, Retries int
}

func (s SendCounts) plus(o SendCounts) SendCounts {
	return SendCounts{FirstAttempts: s.FirstAttempts + o.FirstAttempts, Retries: s.Retries + o.Retries}
}

// Report is what one host, or one domain, says of its work.
type Report struct {
	_        struct{} `cbor:",toarray"`
	Loads    []Load
	Services []ServiceReport
	// Down lists the upstreams that the sender leaves alone after failures to
	// reach them.
	Down []UpstreamKey
}

// peerState is the newest report of one host of the own domain.
type peerState struct {
	report Report
	at     time.Time
}

// DomainState is the newest report of another domain.
type DomainState struct {
	Domain plan.DomainID
	Hosts  int
	Report Report
	// At is when the report was made.
	ReportedAt time.Time
	// counted says that the loads are part of the sums.
	counted bool
}

// Report returns what this host runs.
func (c *Balancer) Report(now time.Time) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sumUp(now)
	var r Report
	for _, t := range c.targets {
		t.decay(now)
		r.add(t.key, t.own)
		if now.Before(t.shunnedUntil) {
			r.Down = append(r.Down, t.key)
		}
	}
	for id, g := range c.services {
		r.addRate(ServiceReport{Service: id, ShortEngines: g.wanted, Prefill: g.own, Sent: g.sent})
	}
	return r
}

// DomainReport returns what all hosts of the own domain run, and their number.
func (c *Balancer) DomainReport(now time.Time) (Report, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sumUp(now)
	var r Report
	for _, t := range c.targets {
		t.decay(now)
		w := t.own
		w.add(t.near)
		r.add(t.key, w)
	}
	for id, g := range c.services {
		r.addRate(ServiceReport{Service: id, ShortEngines: g.domainWanted(), Prefill: g.own.mix(g.near), Sent: g.sent.plus(g.sentNear)})
	}
	return r, len(c.peers) + 1
}

func (r *Report) add(k UpstreamKey, w work) {
	if w.running() == 0 && w.arriving < 1 {
		return
	}
	r.Loads = append(r.Loads, Load{
		Upstream: k, Short: w.short, Long: w.long, Plain: w.plain, PendingTokens: w.pending, ArrivalRate: int(w.arriving),
	})
}

// addRate adds what is said of a service, where anything is.
func (r *Report) addRate(rate ServiceReport) {
	if rate.ShortEngines > 0 || rate.Sent != (SendCounts{}) {
		r.Services = append(r.Services, rate)
	}
}

// SetSendCounts notes what this host sent for a service lately.
func (c *Balancer) SetSendCounts(id plan.ServiceID, s SendCounts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if g := c.services[id]; g != nil {
		g.sent = s
	}
}

// RemoteSendCounts returns what the other hosts sent for a service lately, as far as
// they were heard.
func (c *Balancer) RemoteSendCounts(id plan.ServiceID) SendCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.services[id]
	if g == nil {
		return SendCounts{}
	}
	return g.sentNear.plus(g.sentFar)
}

// RemoteDomains returns the newest report of each other domain that is not too
// old to count.
func (c *Balancer) RemoteDomains(now time.Time) []DomainState {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []DomainState
	for _, d := range c.domains {
		if now.Sub(d.ReportedAt) <= reportLife {
			out = append(out, *d)
		}
	}
	return out
}

// RemoteHostCount returns the number of hosts of the other domains, as last heard.
func (c *Balancer) RemoteHostCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, d := range c.domains {
		n += d.Hosts
	}
	return n
}

// silent says whether a domain was heard once and is not any more.
func (c *Balancer) silent(now time.Time, d plan.DomainID) bool {
	s, known := c.domains[d]
	return known && now.Sub(s.ReportedAt) > silentAfter
}

// downVotesMost is the number of hosts of a domain that have to find an upstream
// down for the others to believe it. In a domain of two one is enough.
const downVotesMost = 2

// leftAlone says whether this host, or others of its domain, leave an upstream
// alone after failures to reach it.
func (c *Balancer) leftAlone(now time.Time, t *target) bool {
	return now.Before(t.shunnedUntil) || c.down(now, t)
}

// down says whether hosts of the own domain, this one included, find an upstream
// down.
func (c *Balancer) down(now time.Time, t *target) bool {
	votes := t.downVotes
	if now.Before(t.shunnedUntil) {
		votes++
	}
	return votes >= min(downVotesMost, (len(c.peers)+2)/2)
}

// ApplyHostReport takes up the report of a host of the own domain.
func (c *Balancer) ApplyHostReport(now time.Time, peer plan.HostID, r Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.peers[peer]; old != nil {
		c.countNear(&old.report, -1)
	}
	c.peers[peer] = &peerState{report: r, at: now}
	c.countNear(&r, 1)
	c.sumRates(now)
}

// ApplyDomainReport takes up the report of another domain, which was made at a time.
func (c *Balancer) ApplyDomainReport(at, now time.Time, d plan.DomainID, hosts int, r Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.domains[d]
	if old != nil && !at.After(old.ReportedAt) {
		return
	}
	if old != nil && old.counted {
		c.countFar(&old.Report, -1)
	}
	c.domains[d] = &DomainState{Domain: d, Hosts: hosts, Report: r, ReportedAt: at, counted: true}
	c.countFar(&r, 1)
	c.sumRates(now)
}

// sumUp adds all reports up anew. Old ones don't count.
func (c *Balancer) sumUp(now time.Time) {
	for _, t := range c.targets {
		t.near, t.far, t.downVotes = work{}, work{}, 0
	}
	for id, p := range c.peers {
		if now.Sub(p.at) > reportLife {
			delete(c.peers, id)
			continue
		}
		c.countNear(&p.report, 1)
	}
	for id, d := range c.domains {
		age := now.Sub(d.ReportedAt)
		d.counted = age <= reportLife
		switch {
		case age > domainLife:
			delete(c.domains, id)
		case d.counted:
			c.countFar(&d.Report, 1)
		}
	}
	c.sumRates(now)
}

// countNear adds the loads of a host of the own domain to the sums, or takes them
// out where sign is -1.
func (c *Balancer) countNear(r *Report, sign int) {
	for _, l := range r.Loads {
		if t := c.byKey[l.Upstream]; t != nil {
			t.near.add(l.work().times(sign))
		}
	}
	for _, key := range r.Down {
		if t := c.byKey[key]; t != nil {
			t.downVotes += sign
		}
	}
}

// countFar does the same for the loads of another domain.
func (c *Balancer) countFar(r *Report, sign int) {
	for _, l := range r.Loads {
		if t := c.byKey[l.Upstream]; t != nil {
			t.far.add(l.work().times(sign))
		}
	}
}

// sumRates takes up anew what all others say of the services.
func (c *Balancer) sumRates(now time.Time) {
	for _, g := range c.services {
		g.forgetOthers(c.self)
	}
	for id, p := range c.peers {
		for _, rate := range p.report.Services {
			if g := c.services[rate.Service]; g != nil && now.Sub(p.at) <= reportLife {
				g.heardNear(id, &rate)
			}
		}
	}
	for _, d := range c.domains {
		for _, rate := range d.Report.Services {
			if g := c.services[rate.Service]; g != nil && now.Sub(d.ReportedAt) <= reportLife {
				g.heardFar(&rate)
			}
		}
	}
}

func (l *Load) work() work {
	return work{short: l.Short, long: l.Long, plain: l.Plain, pending: l.PendingTokens, arriving: float64(l.ArrivalRate)}
}
