package gossip

import (
	"slices"
	"time"

	"mulberrydyke/plan"
)

// SamplePeers returns some hosts that were seen lately, to include in a message: up
// to maxLocal of the local domain, and maxRemotePeers of one other domain. Successive
// calls return different ones.
func (m *Members) SamplePeers(now time.Time, maxLocal int) []DomainPeers {
	m.samples++
	byDomain := map[plan.DomainID][]*member{}
	for _, x := range m.selectMembers(func(x *member) bool { return x.domain != "" && now.Sub(x.lastSeen) < maxPeerAge }) {
		byDomain[x.domain] = append(byDomain[x.domain], x)
	}
	var out []DomainPeers
	if local := byDomain[m.domain]; len(local) > 0 {
		out = append(out, DomainPeers{Domain: m.domain, Hosts: m.samplePeers(now, local, maxLocal)})
	}
	delete(byDomain, m.domain)
	if len(byDomain) == 0 {
		return out
	}
	domains := make([]plan.DomainID, 0, len(byDomain))
	for d := range byDomain {
		domains = append(domains, d)
	}
	slices.Sort(domains)
	d := domains[m.samples%len(domains)]
	return append(out, DomainPeers{Domain: d, Hosts: m.samplePeers(now, byDomain[d], maxRemotePeers)})
}

// samplePeers returns up to n hosts of one domain: its reporters, then others in
// turn.
func (m *Members) samplePeers(now time.Time, list []*member, n int) []Peer {
	n = min(n, len(list))
	out := make([]Peer, 0, n)
	var others []*member
	for _, x := range list {
		if x.role == RoleReporter && len(out) < min(n, reportersPerDomain) {
			out = append(out, newPeer(x.addr, x.role, now.Sub(x.lastSeen)))
			continue
		}
		others = append(others, x)
	}
	left := n - len(out)
	for i := range left {
		x := others[(m.samples*left+i)%len(others)]
		out = append(out, newPeer(x.addr, x.role, now.Sub(x.lastSeen)))
	}
	return out
}
