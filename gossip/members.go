package gossip

import (
	"net/netip"
	"slices"
	"time"

	"mulberrydyke/catalog"
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
	// formerRetryInterval is the same for a host that spoke for its group or domain
	// when it was last heard. After a cut, reports come back as soon as it is heard.
	formerRetryInterval = 500 * time.Millisecond
	// forgetTimeout is how long a host is kept that nobody hears.
	forgetTimeout = 60 * time.Second
	// fanout bounds the number of live hosts of the group that receive the same
	// message at once.
	fanout = 10
	// speakersPerGroup is the number of hosts that exchange reports with other
	// groups on behalf of their group, and reportersPerDomain of those that do so
	// with other domains. With two, one may fail.
	speakersPerGroup   = 2
	reportersPerDomain = 2
	// maxRetriesPerRound bounds the number of hosts that are not live to which
	// one round sends a message.
	maxRetriesPerRound = 8
)

// member is the state of one other host. Its host ID and domain are empty until
// they are known.
type member struct {
	addr   netip.Addr
	hash   groupHash
	host   plan.HostID
	domain plan.DomainID
	role   Role
	// leaving is set if the host said so in its last message.
	leaving bool
	// lastHeard and lastSent are when the last message was received and sent.
	// lastSeen is when any host last heard it, as far as this host knows.
	lastHeard, lastSent, lastSeen time.Time
	incarnation                   uint64
	sequence                      uint64
	tableVersion                  plan.Version
	position                      route.Position
	reader                        readerNews
	// served is the time in which the platform's store has served some host, as told by this
	// one. It is empty if the last message that could tell did not.
	served catalog.ServedSpan
	// failingSince is when this host first said that the store fails for it. It is zero if its
	// last message that could tell did not.
	failingSince time.Time
}

// Members tracks the membership of the fleet. The hosts of a domain are divided
// into groups. Hosts of one group exchange their load with each other; the first
// live hosts of a group by address speak for it to the other groups, and the first
// of the domain to other domains. Members has no clock of its own and does no I/O.
type Members struct {
	self    netip.Addr
	hash    groupHash
	host    plan.HostID
	domain  plan.DomainID
	members map[netip.Addr]*member
	// round counts the calls of Targets; cursor is the round-robin position
	// among the live hosts of the group. samples counts the calls of SamplePeers.
	round, cursor, samples int
	readers                readers
}

// NewMembers returns a Members that knows only the seeds.
func NewMembers(now time.Time, self netip.Addr, host plan.HostID, domain plan.DomainID, seeds []netip.AddrPort) *Members {
	m := &Members{self: self, hash: groupHashOf(self), host: host, domain: domain, members: map[netip.Addr]*member{}}
	m.readers = newReaders(now)
	m.AddSeeds(now, seeds)
	return m
}

// AddSeeds adds candidate hosts that have not been heard yet.
func (m *Members) AddSeeds(now time.Time, seeds []netip.AddrPort) {
	for _, s := range seeds {
		m.candidate(s.Addr(), now)
	}
}

// candidate returns a host, which it adds if it is not known yet. It returns nil
// for this host itself. The host was last seen at the given time.
func (m *Members) candidate(a netip.Addr, seen time.Time) *member {
	if a == m.self {
		return nil
	}
	x := m.members[a]
	if x == nil {
		x = &member{addr: a, hash: groupHashOf(a)}
		m.members[a] = x
	}
	if seen.After(x.lastSeen) {
		x.lastSeen = seen
	}
	return x
}

// HandleMessage records a received message and adds the peers it names. It
// returns false if the message comes from this host itself, or is not newer
// than the last one from the same incarnation of the sender.
func (m *Members) HandleMessage(now time.Time, from netip.Addr, msg *Message) bool {
	x := m.candidate(from, now)
	if x == nil || x.incarnation == msg.Incarnation && msg.Sequence <= x.sequence {
		return false
	}
	x.host, x.domain, x.role, x.leaving, x.lastHeard = msg.Host, msg.Domain, msg.Role, msg.Leaving, now
	x.incarnation, x.sequence = msg.Incarnation, msg.Sequence
	x.tableVersion, x.position = msg.TableVersion, msg.Position
	x.reader = readerNews{addr: msg.Reader, at: now.Add(-msg.ReaderAge)}
	if msg.tellsStore() {
		x.recordStore(now, msg)
	}
	for _, d := range msg.Peers {
		for _, p := range d.Hosts {
			m.handlePeer(now, d.Domain, p)
		}
	}
	return true
}

// handlePeer records what a message says of another host. A host that this one does
// not hear has the role that others know of.
func (m *Members) handlePeer(now time.Time, d plan.DomainID, p Peer) {
	seen := now.Add(-p.age())
	known := m.members[p.Addr]
	newer := known == nil || seen.After(known.lastSeen)
	x := m.candidate(p.Addr, seen)
	if x == nil || x.live(now) {
		return
	}
	x.domain = d
	if newer {
		x.role = p.Role
	}
}

// NeedsReply reports whether a host that sent a message should be sent one at
// once, because it has not had any for a while, and records that it is. So a host
// that starts, or does not know whom to send to, hears of other hosts.
func (m *Members) NeedsReply(now time.Time, to netip.Addr) bool {
	x := m.members[to]
	if x == nil || now.Sub(x.lastSent) < retryInterval {
		return false
	}
	x.lastSent = now
	return true
}

func (x *member) live(now time.Time) bool {
	return !x.lastHeard.IsZero() && now.Sub(x.lastHeard) < liveTimeout
}

// Group returns the group of this host.
func (m *Members) Group() GroupID { return m.hash.group(m.groupBits()) }

// groupBits returns the number of bits that tell apart the groups of the local
// domain.
func (m *Members) groupBits() int {
	n := 1
	for _, x := range m.members {
		if x.domain == m.domain {
			n++
		}
	}
	return groupBits(n)
}

// selectMembers returns the hosts that satisfy match, sorted by address.
func (m *Members) selectMembers(match func(*member) bool) []*member {
	var out []*member
	for _, x := range m.members {
		if match(x) {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, func(x, y *member) int { return x.addr.Compare(y.addr) })
	return out
}

// inGroup returns a function that reports whether a host belongs to the group of
// this host.
func (m *Members) inGroup() func(*member) bool {
	bits := m.groupBits()
	own := m.hash.group(bits)
	return func(x *member) bool { return x.domain == m.domain && x.hash.group(bits) == own }
}

// liveInGroup returns the other live hosts of this host's group, sorted by address.
func (m *Members) liveInGroup(now time.Time) []*member {
	inGroup := m.inGroup()
	return m.selectMembers(func(x *member) bool { return inGroup(x) && x.live(now) })
}

// countBefore returns the number of hosts of a list that precede this one.
func (m *Members) countBefore(list []*member) int {
	n := 0
	for _, x := range list {
		if x.addr.Less(m.self) {
			n++
		}
	}
	return n
}

// forget removes the hosts that nobody has heard for forgetTimeout.
func (m *Members) forget(now time.Time) {
	for a, x := range m.members {
		if now.Sub(x.lastSeen) > forgetTimeout {
			delete(m.members, a)
		}
	}
}

// LiveCount returns the number of live hosts of this host's group, including this
// one.
func (m *Members) LiveCount(now time.Time) int { return len(m.liveInGroup(now)) + 1 }

// KnownCount returns the number of hosts of this host's group that have not been
// forgotten, including this one.
func (m *Members) KnownCount() int {
	inGroup, n := m.inGroup(), 1
	for _, x := range m.members {
		if inGroup(x) {
			n++
		}
	}
	return n
}

// hostsByDomain returns the other hosts that have not been forgotten, and those of them that
// said that they are leaving.
func (m *Members) hostsByDomain() (hosts map[plan.DomainID][]netip.Addr, leaving map[netip.Addr]bool) {
	hosts, leaving = map[plan.DomainID][]netip.Addr{}, map[netip.Addr]bool{}
	for _, x := range m.members {
		if x.domain != "" {
			hosts[x.domain] = append(hosts[x.domain], x.addr)
		}
		if x.leaving {
			leaving[x.addr] = true
		}
	}
	return hosts, leaving
}

// PeerWithNewerLists returns a live host whose lists are newer than the given
// versions, or false. Hosts of the local domain are preferred, then those with
// the last position. The choice among equals depends on the round and on
// this host's name, so that not all hosts fetch from the same peer.
func (m *Members) PeerWithNewerLists(now time.Time, tableVersion plan.Version, position route.Position) (netip.Addr, bool) {
	var newest []*member
	for _, x := range m.members {
		if !x.live(now) || (x.tableVersion <= tableVersion && !x.position.After(position)) {
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
	slices.SortFunc(newest, func(x, y *member) int { return x.addr.Compare(y.addr) })
	offset := route.Hash(string(m.host)) + uint64(m.round)
	return newest[offset%uint64(len(newest))].addr, true
}

// preferSource reports whether x is a better peer to fetch lists from than y.
func (m *Members) preferSource(x, y *member) bool {
	if sameDomain := x.domain == m.domain; sameDomain != (y.domain == m.domain) {
		return sameDomain
	}
	return x.position.After(y.position)
}
