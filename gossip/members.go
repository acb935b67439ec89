package gossip

import (
	"net/netip"
	"sort"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

const (
	// liveFor is how long a host counts as there after its last message. It is
	// longer than a few lost messages.
	liveFor = 2 * time.Second
	// retryPause is how often a host that is not heard is sent a message.
	retryPause = 1500 * time.Millisecond
	// forgetAfter is how long a host that is not heard is remembered.
	forgetAfter = 60 * time.Second
	// fanout bounds the hosts of the own domain that get one message.
	fanout = 10
	// reporters is the number of hosts that speak for their domain. More than
	// one, so that one can be lost.
	reporters = 2
	// farEvery is the messages of which another domain gets one: bytes between
	// domains cost.
	farEvery = 2
)

// member is what is known of one other host. Its host and domain are empty until
// it has been heard.
type member struct {
	addr   netip.Addr
	host   plan.HostID
	domain plan.DomainID
	// heard and sent are when the last message came and went.
	heard, sent time.Time
	incarnation uint64
	sequence    uint64
	table       plan.Version
	revision    uint64
	reading     bool
}

// Members knows which hosts there are. Hosts of one domain tell each other what
// they run; the first few, by name, exchange sums with those of other domains.
// It holds no clock and does no I/O.
type Members struct {
	self    netip.Addr
	host    plan.HostID
	domain  plan.DomainID
	members map[netip.Addr]*member
	// round counts the messages, turn rotates through the hosts of the domain.
	round, turn int
}

// NewMembers returns members that know only the seeds.
func NewMembers(now time.Time, self netip.Addr, host plan.HostID, domain plan.DomainID, seeds []netip.AddrPort) *Members {
	m := &Members{self: self, host: host, domain: domain, members: map[netip.Addr]*member{}}
	m.AddSeeds(now, seeds)
	return m
}

// AddSeeds adds hosts that may be there.
func (m *Members) AddSeeds(now time.Time, seeds []netip.AddrPort) {
	for _, s := range seeds {
		m.learn(now, s.Addr())
	}
}

// learn adds a host that may be there.
func (m *Members) learn(now time.Time, a netip.Addr) {
	if a == m.self || m.members[a] != nil {
		return
	}
	m.members[a] = &member{addr: a, heard: now.Add(-liveFor)}
}

// HandleMessage takes up a message. It returns false where the message is older than
// another that came before it.
func (m *Members) HandleMessage(now time.Time, from netip.Addr, msg *Message) bool {
	if from == m.self {
		return false
	}
	m.learn(now, from)
	x := m.members[from]
	if x.incarnation == msg.Incarnation && msg.Sequence <= x.sequence {
		return false
	}
	x.host, x.domain, x.heard = msg.Host, msg.Domain, now
	x.incarnation, x.sequence = msg.Incarnation, msg.Sequence
	x.table, x.revision, x.reading = msg.TableVersion, msg.Revision, msg.Reading
	for _, a := range msg.Peers {
		m.learn(now, a)
	}
	return true
}

func (m *member) live(now time.Time) bool { return now.Sub(m.heard) < liveFor }

// near returns the live hosts of the own domain, in the order of their names.
func (m *Members) near(now time.Time) []*member { return m.liveOf(now, m.domain) }

func (m *Members) liveOf(now time.Time, d plan.DomainID) []*member {
	var out []*member
	for _, x := range m.members {
		if x.domain == d && x.live(now) {
			out = append(out, x)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].host < out[j].host })
	return out
}

// IsReporter says whether this host is one of those that speak for its domain.
func (m *Members) IsReporter(now time.Time) bool {
	return m.ahead(now, func(*member) bool { return true }) < reporters
}

// MustRead says whether this host has to hear the platform itself: fewer than
// enough hosts of its domain that come before it do so.
func (m *Members) MustRead(now time.Time) bool {
	return m.ahead(now, func(x *member) bool { return x.reading }) < reporters
}

// ahead returns how many live hosts of the domain come before this one by name and
// meet a condition.
func (m *Members) ahead(now time.Time, counts func(*member) bool) int {
	n := 0
	for _, x := range m.near(now) {
		if x.host < m.host && counts(x) {
			n++
		}
	}
	return n
}

// Targets returns the hosts that get the next message, those of the own domain
// and those of others, and notes that they do. All says that every host of the
// own domain gets it.
func (m *Members) Targets(now time.Time, all bool) (near, far []netip.Addr) {
	m.round++
	reporter := m.IsReporter(now)
	live := m.near(now)
	n := min(len(live), fanout)
	if all || reporter {
		n = len(live)
	}
	for i := range n {
		near = append(near, live[(m.turn+i)%len(live)].addr)
	}
	if len(live) > 0 {
		m.turn = (m.turn + n) % len(live)
	}
	if reporter && m.round%farEvery == 0 {
		far = m.farReporters(now)
	}
	silent := m.silent(now, reporter)
	for _, a := range near {
		m.members[a].sent = now
	}
	for _, a := range silent {
		m.members[a].sent = now
	}
	return append(near, silent...), far
}

// farReporters returns the hosts that speak for the other domains.
func (m *Members) farReporters(now time.Time) []netip.Addr {
	domains := map[plan.DomainID]bool{}
	for _, x := range m.members {
		if x.domain != "" && x.domain != m.domain {
			domains[x.domain] = true
		}
	}
	var out []netip.Addr
	for d := range domains {
		list := m.liveOf(now, d)
		for _, x := range list[:min(reporters, len(list))] {
			out = append(out, x.addr)
		}
	}
	return out
}

// silent returns the hosts that were not heard lately and may be there. Hosts
// that don't speak for their domain leave those of other domains to the others
// once they have heard any host of their own.
func (m *Members) silent(now time.Time, reporter bool) []netip.Addr {
	var out []netip.Addr
	for a, x := range m.members {
		switch {
		case x.live(now):
		case now.Sub(x.heard) > forgetAfter:
			delete(m.members, a)
		case now.Sub(x.sent) < retryPause:
		case reporter || x.domain == m.domain || x.domain == "":
			out = append(out, a)
		}
	}
	return out
}

// LiveCount returns the number of hosts of the own domain that are there, this one
// included.
func (m *Members) LiveCount(now time.Time) int { return len(m.near(now)) + 1 }

// KnownCount returns the number of hosts of the own domain that are there or were
// lately, this one included.
func (m *Members) KnownCount() int {
	n := 1
	for _, x := range m.members {
		if x.domain == m.domain {
			n++
		}
	}
	return n
}

// SamplePeers returns some hosts that are there, for a message. Successive calls
// return different ones.
func (m *Members) SamplePeers(now time.Time) []netip.Addr {
	var live []netip.Addr
	for a, x := range m.members {
		if x.live(now) {
			live = append(live, a)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Less(live[j]) })
	if len(live) <= peersMost {
		return live
	}
	out := make([]netip.Addr, 0, peersMost)
	for i := range peersMost {
		out = append(out, live[(m.round*peersMost+i)%len(live)])
	}
	return out
}

// PeerWithNewerLists returns a host that is there and has newer lists, or false. Of those with
// the newest ones, hosts of the own domain go first; successive calls and
// different hosts choose different ones, so that not all fetch from the same.
func (m *Members) PeerWithNewerLists(now time.Time, table plan.Version, revision uint64) (netip.Addr, bool) {
	var newest []*member
	for _, x := range m.members {
		if !x.live(now) || (x.table <= table && x.revision <= revision) {
			continue
		}
		if len(newest) > 0 && m.before(newest[0], x) {
			continue
		}
		if len(newest) > 0 && m.before(x, newest[0]) {
			newest = newest[:0]
		}
		newest = append(newest, x)
	}
	if len(newest) == 0 {
		return netip.Addr{}, false
	}
	sort.Slice(newest, func(i, j int) bool { return newest[i].host < newest[j].host })
	turn := route.Hash(string(m.host)) + uint64(m.round)
	return newest[turn%uint64(len(newest))].addr, true
}

// before says whether lists are rather fetched from x than from y.
func (m *Members) before(x, y *member) bool {
	if near := x.domain == m.domain; near != (y.domain == m.domain) {
		return near
	}
	return x.revision > y.revision
}
