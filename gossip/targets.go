package gossip

import (
	"net/netip"
	"slices"
	"time"

	"mulberrydyke/plan"
)

// Targets are the recipients of the messages of one round.
type Targets struct {
	// Group receives this host's own report.
	Group []netip.Addr
	// Rest receives the report of the rest of the fleet, from a speaker.
	Rest []netip.Addr
	// Speakers receive the report of the group, from a speaker.
	Speakers []netip.Addr
	// RemoteSpeakers receive the report of the other domains, from a reporter.
	RemoteSpeakers []netip.Addr
	// Domains receive the report of the domain, from a reporter.
	Domains []netip.Addr
}

// Targets returns the recipients of the messages of the next round, and records
// that they are sent one. In an urgent round all live hosts of the group receive this
// host's own report, else at most fanout of them, and a speaker does not wait for its
// turn.
func (m *Members) Targets(now time.Time, urgent bool) Targets {
	m.round++
	m.forget(now)
	live := m.liveInGroup(now)
	t := Targets{Group: append(m.nextInGroup(live, urgent), m.retries(now)...)}
	// The two speakers of a group take turns, and so do the two reporters of a
	// domain. If one is lost, reports are sent half as often.
	role := m.Role(now)
	if role >= RoleSpeaker && (urgent || m.round%speakersPerGroup == m.countBefore(live)) {
		t.Speakers = m.speakersOfOtherGroups(now)
		t.Rest = addresses(live)
	}
	if role == RoleReporter && m.round%reportersPerDomain == m.reporterRank(now) {
		t.RemoteSpeakers = m.speakersOfOtherGroups(now)
		t.Domains = m.reportersOfOtherDomains(now)
	}
	for _, list := range [][]netip.Addr{t.Group, t.Rest, t.Speakers, t.RemoteSpeakers, t.Domains} {
		for _, a := range list {
			m.members[a].lastSent = now
		}
	}
	return t
}

// UpdateTargets returns the recipients of suspects and rate limits: the given hosts of the group, the
// speakers of the other groups if this host is a speaker, and the reporters of the other
// domains if it is a reporter. Unlike those of reports they don't take turns.
func (m *Members) UpdateTargets(now time.Time, group []netip.Addr) []netip.Addr {
	out := slices.Clone(group)
	role := m.Role(now)
	if role >= RoleSpeaker {
		out = append(out, m.speakersOfOtherGroups(now)...)
	}
	if role == RoleReporter {
		out = append(out, m.reportersOfOtherDomains(now)...)
	}
	return out
}

// nextInGroup returns the next live hosts of the group in turn, or all of them.
func (m *Members) nextInGroup(live []*member, all bool) []netip.Addr {
	n := min(len(live), fanout)
	if all {
		n = len(live)
	}
	var out []netip.Addr
	for i := range n {
		out = append(out, live[(m.cursor+i)%len(live)].addr)
	}
	if len(live) > 0 {
		m.cursor = (m.cursor + n) % len(live)
	}
	return out
}

// retries returns hosts of this group, and hosts whose domain is not known yet,
// that are not live and are due another message.
func (m *Members) retries(now time.Time) []netip.Addr {
	inGroup := m.inGroup()
	due := m.selectMembers(func(x *member) bool {
		return !x.live(now) && (inGroup(x) || x.domain == "") && now.Sub(x.lastSent) >= retryInterval
	})
	return addresses(longestUnsent(due)[:min(len(due), maxRetriesPerRound)])
}

// longestUnsent sorts hosts by the time since they were last sent a message, the
// longest time first.
func longestUnsent(list []*member) []*member {
	slices.SortStableFunc(list, func(x, y *member) int { return x.lastSent.Compare(y.lastSent) })
	return list
}

// speakersOfOtherGroups returns the speakers of each other group of the domain.
func (m *Members) speakersOfOtherGroups(now time.Time) []netip.Addr {
	bits, inGroup := m.groupBits(), m.inGroup()
	groups := map[GroupID][]*member{}
	for _, x := range m.selectMembers(func(x *member) bool { return x.domain == m.domain && !inGroup(x) }) {
		g := x.hash.group(bits)
		groups[g] = append(groups[g], x)
	}
	var out []netip.Addr
	for _, list := range groups {
		out = append(out, contacts(now, list, RoleSpeaker, speakersPerGroup)...)
	}
	return out
}

// reportersOfOtherDomains returns the reporters of each other domain.
func (m *Members) reportersOfOtherDomains(now time.Time) []netip.Addr {
	domains := map[plan.DomainID][]*member{}
	for _, x := range m.selectMembers(func(x *member) bool { return x.domain != "" && x.domain != m.domain }) {
		domains[x.domain] = append(domains[x.domain], x)
	}
	var out []netip.Addr
	for _, list := range domains {
		out = append(out, contacts(now, list, RoleReporter, reportersPerDomain)...)
	}
	return out
}

// contacts returns the first n live hosts of a list that have a role. If there are
// fewer, it adds hosts that were not sent a message lately and may have it: first
// those that had it when they were last heard, then the others in turn.
func contacts(now time.Time, list []*member, role Role, n int) []netip.Addr {
	var found, former, others []*member
	for _, x := range list {
		switch {
		case x.live(now) && x.role >= role:
			found = append(found, x)
		case x.role >= role && now.Sub(x.lastSent) >= formerRetryInterval:
			former = append(former, x)
		case x.role < role && now.Sub(x.lastSent) >= retryInterval:
			others = append(others, x)
		}
	}
	found = append(found, append(longestUnsent(former), longestUnsent(others)...)...)
	return addresses(found[:min(n, len(found))])
}

func addresses(list []*member) []netip.Addr {
	out := make([]netip.Addr, 0, len(list))
	for _, x := range list {
		out = append(out, x.addr)
	}
	return out
}
