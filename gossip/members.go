package gossip

import (
	"net/netip"
	"sort"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

const (
	// liveTimeout is how long a host counts as live after its last message. It
	// spans several messages, so that a few lost datagrams don't matter.
	liveTimeout = 2 * time.Second
	// retryInterval is the time between two messages to a host that is not
	// live.
	retryInterval = 1500 * time.Millisecond
	// forgetTimeout is how long a silent host is kept.
	forgetTimeout = 60 * time.Second
	// fanout bounds the number of live hosts of the local domain that receive
	// one message. Messages of reporters and broadcasts go to all of them.
	fanout = 10
	// reportersPerDomain is the number of hosts that exchange reports with
	// other domains on behalf of their domain. With two, one may fail.
	// MustRead uses it also for the number of hosts that read the platform's
	// store.
	reportersPerDomain = 2
	// roundsPerRemoteMessage is the number of rounds per message to another
	// domain, because traffic between domains costs money.
	roundsPerRemoteMessage = 2
)

// member is the state of one other host. Its host and domain are empty until
// its first message arrives.
type member struct {
	addr   netip.Addr
	host   plan.HostID
	domain plan.DomainID
	// lastHeard and lastSent are when the last message was received and sent.
	lastHeard, lastSent time.Time
	incarnation         uint64
	sequence            uint64
	tableVersion        plan.Version
	revision            uint64
	reading             bool
}

// Members tracks the membership of the fleet. Hosts of one domain exchange
// their load with each other; the first reportersPerDomain live hosts by name
// exchange domain totals with the reporters of other domains. Members has no
// clock of its own and does no I/O.
type Members struct {
	self    netip.Addr
	host    plan.HostID
	domain  plan.DomainID
	members map[netip.Addr]*member
	// round counts the calls of Targets; cursor is the round-robin position
	// among the live hosts of the local domain.
	round, cursor int
}

// NewMembers returns a Members that knows only the seeds.
func NewMembers(now time.Time, self netip.Addr, host plan.HostID, domain plan.DomainID, seeds []netip.AddrPort) *Members {
	m := &Members{self: self, host: host, domain: domain, members: map[netip.Addr]*member{}}
	m.AddSeeds(now, seeds)
	return m
}

// AddSeeds adds candidate hosts that have not been heard yet.
func (m *Members) AddSeeds(now time.Time, seeds []netip.AddrPort) {
	for _, s := range seeds {
		m.addCandidate(now, s.Addr())
	}
}

// addCandidate adds a host that has not been heard yet, unless it is already
// known.
func (m *Members) addCandidate(now time.Time, a netip.Addr) {
	if a == m.self || m.members[a] != nil {
		return
	}
	m.members[a] = &member{addr: a, lastHeard: now.Add(-liveTimeout)}
}

// HandleMessage records a received message and adds the peers it names. It
// returns false if the message comes from this host itself, or is not newer
// than the last one from the same incarnation of the sender.
func (m *Members) HandleMessage(now time.Time, from netip.Addr, msg *Message) bool {
	if from == m.self {
		return false
	}
	m.addCandidate(now, from)
	x := m.members[from]
	if x.incarnation == msg.Incarnation && msg.Sequence <= x.sequence {
		return false
	}
	x.host, x.domain, x.lastHeard = msg.Host, msg.Domain, now
	x.incarnation, x.sequence = msg.Incarnation, msg.Sequence
	x.tableVersion, x.revision, x.reading = msg.TableVersion, msg.Revision, msg.Reading
	for _, a := range msg.Peers {
		m.addCandidate(now, a)
	}
	return true
}

func (m *member) live(now time.Time) bool { return now.Sub(m.lastHeard) < liveTimeout }

// liveLocal returns the other live hosts of the local domain, sorted by name.
func (m *Members) liveLocal(now time.Time) []*member { return m.liveInDomain(now, m.domain) }

func (m *Members) liveInDomain(now time.Time, d plan.DomainID) []*member {
	var out []*member
	for _, x := range m.members {
		if x.domain == d && x.live(now) {
			out = append(out, x)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].host < out[j].host })
	return out
}

// IsReporter reports whether this host is one of the reporters of its domain.
func (m *Members) IsReporter(now time.Time) bool {
	return m.countBefore(now, func(*member) bool { return true }) < reportersPerDomain
}

// MustRead reports whether this host has to read the platform's store itself,
// because fewer than reportersPerDomain live hosts of its domain that precede
// it by name do so.
func (m *Members) MustRead(now time.Time) bool {
	return m.countBefore(now, func(x *member) bool { return x.reading }) < reportersPerDomain
}

// countBefore returns the number of live hosts of the local domain that precede
// this one by name and satisfy match.
func (m *Members) countBefore(now time.Time, match func(*member) bool) int {
	n := 0
	for _, x := range m.liveLocal(now) {
		if x.host < m.host && match(x) {
			n++
		}
	}
	return n
}

// Targets returns the recipients of the next message, in the local domain and
// in other domains, and records that they are sent one. If wholeDomain is set
// or this host is a reporter, the message goes to every live host of the local
// domain.
func (m *Members) Targets(now time.Time, wholeDomain bool) (local, remote []netip.Addr) {
	m.round++
	reporter := m.IsReporter(now)
	live := m.liveLocal(now)
	n := min(len(live), fanout)
	if wholeDomain || reporter {
		n = len(live)
	}
	for i := range n {
		local = append(local, live[(m.cursor+i)%len(live)].addr)
	}
	if len(live) > 0 {
		m.cursor = (m.cursor + n) % len(live)
	}
	if reporter && m.round%roundsPerRemoteMessage == 0 {
		remote = m.remoteReporters(now)
	}
	silent := m.silentHosts(now, reporter)
	for _, a := range local {
		m.members[a].lastSent = now
	}
	for _, a := range silent {
		m.members[a].lastSent = now
	}
	return append(local, silent...), remote
}

// remoteReporters returns the reporters of the other domains.
func (m *Members) remoteReporters(now time.Time) []netip.Addr {
	domains := map[plan.DomainID]bool{}
	for _, x := range m.members {
		if x.domain != "" && x.domain != m.domain {
			domains[x.domain] = true
		}
	}
	var out []netip.Addr
	for d := range domains {
		live := m.liveInDomain(now, d)
		for _, x := range live[:min(reportersPerDomain, len(live))] {
			out = append(out, x.addr)
		}
	}
	return out
}

// silentHosts returns the hosts that are not live and are due another message,
// and removes those that have been silent for longer than forgetTimeout. Only
// reporters retry known hosts of other domains.
func (m *Members) silentHosts(now time.Time, reporter bool) []netip.Addr {
	var out []netip.Addr
	for a, x := range m.members {
		switch {
		case x.live(now):
		case now.Sub(x.lastHeard) > forgetTimeout:
			delete(m.members, a)
		case now.Sub(x.lastSent) < retryInterval:
		case reporter || x.domain == m.domain || x.domain == "":
			out = append(out, a)
		}
	}
	return out
}

// LiveCount returns the number of live hosts of the local domain, including
// this one.
func (m *Members) LiveCount(now time.Time) int { return len(m.liveLocal(now)) + 1 }

// KnownCount returns the number of hosts of the local domain that have not been
// forgotten, including this one.
func (m *Members) KnownCount() int {
	n := 1
	for _, x := range m.members {
		if x.domain == m.domain {
			n++
		}
	}
	return n
}

// SamplePeers returns the addresses of up to maxPeers live hosts to include in
// a message. Successive rounds return different ones.
func (m *Members) SamplePeers(now time.Time) []netip.Addr {
	var live []netip.Addr
	for a, x := range m.members {
		if x.live(now) {
			live = append(live, a)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Less(live[j]) })
	if len(live) <= maxPeers {
		return live
	}
	out := make([]netip.Addr, 0, maxPeers)
	for i := range maxPeers {
		out = append(out, live[(m.round*maxPeers+i)%len(live)])
	}
	return out
}

// PeerWithNewerLists returns a live host whose lists are newer than the given
// versions, or false. Hosts of the local domain are preferred, then those with
// the highest revision. The choice among equals depends on the round and on
// this host's name, so that not all hosts fetch from the same peer.
func (m *Members) PeerWithNewerLists(now time.Time, tableVersion plan.Version, revision uint64) (netip.Addr, bool) {
	var newest []*member
	for _, x := range m.members {
		if !x.live(now) || (x.tableVersion <= tableVersion && x.revision <= revision) {
			continue
		}
		if len(newest) > 0 && m.preferSource(newest[0], x) {
			continue
		}
		if len(newest) > 0 && m.preferSource(x, newest[0]) {
			newest = newest[:0]
		}
		newest = append(newest, x)
	}
	if len(newest) == 0 {
		return netip.Addr{}, false
	}
	sort.Slice(newest, func(i, j int) bool { return newest[i].host < newest[j].host })
	offset := route.Hash(string(m.host)) + uint64(m.round)
	return newest[offset%uint64(len(newest))].addr, true
}

// preferSource reports whether x is a better peer to fetch lists from than y.
func (m *Members) preferSource(x, y *member) bool {
	if sameDomain := x.domain == m.domain; sameDomain != (y.domain == m.domain) {
		return sameDomain
	}
	return x.revision > y.revision
}
