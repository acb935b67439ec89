package gossip

import (
	"net/netip"
	"sort"
	"time"

	"mulberrydyke/plan"
)

const (
	// liveFor is how long a host counts as there after its last message.
	liveFor = 2 * time.Second
	// retryDead is how often a host that is not there is sent a message.
	retryDead = 1500 * time.Millisecond
	// forgetAfter is how long a host that is not there is remembered.
	forgetAfter = 60 * time.Second
	// fanout bounds the hosts that get each message.
	fanout = 8
	// farEvery is the messages of which a host of another domain gets one.
	farEvery = 2
)

// member is what is known of one other host.
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
}

// Members knows which hosts there are. It holds no clock and does no I/O.
type Members struct {
	self    netip.Addr
	domain  plan.DomainID
	members map[netip.Addr]*member
	// turn rotates through the live hosts where there are more than fanout.
	turn int
	// round counts the messages.
	round int
}

// NewMembers returns members that know only the seeds.
func NewMembers(now time.Time, self netip.Addr, domain plan.DomainID, seeds []netip.AddrPort) *Members {
	m := &Members{self: self, domain: domain, members: map[netip.Addr]*member{}}
	m.Seed(now, seeds)
	return m
}

// Seed adds hosts that may be there.
func (m *Members) Seed(now time.Time, seeds []netip.AddrPort) {
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

// Heard takes up a message. It returns false where the message is older than
// another that came before it.
func (m *Members) Heard(now time.Time, from netip.Addr, msg *Message) bool {
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
	x.table, x.revision = msg.Table, msg.Revision
	for _, a := range msg.Peers {
		m.learn(now, a)
	}
	return true
}

// Targets returns the hosts that get the next message, and notes that they do.
// Hosts of other domains get every second one, since the bytes there cost.
func (m *Members) Targets(now time.Time) []netip.Addr {
	var live, out []netip.Addr
	m.round++
	for a, x := range m.members {
		switch {
		case x.domain != m.domain && m.round%farEvery != 0 && now.Sub(x.heard) < liveFor:
		case now.Sub(x.heard) < liveFor:
			live = append(live, a)
		case now.Sub(x.heard) > forgetAfter:
			delete(m.members, a)
		case now.Sub(x.sent) >= retryDead:
			out = append(out, a)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Less(live[j]) })
	if len(live) > fanout {
		for i := range fanout {
			out = append(out, live[(m.turn+i)%len(live)])
		}
		m.turn = (m.turn + fanout) % len(live)
	} else {
		out = append(out, live...)
	}
	for _, a := range out {
		m.members[a].sent = now
	}
	return out
}

// Live returns the number of hosts that are there, this one included.
func (m *Members) Live(now time.Time) int {
	n := 1
	for _, x := range m.members {
		if now.Sub(x.heard) < liveFor {
			n++
		}
	}
	return n
}

// Known returns the number of hosts that are there or were lately, this one
// included.
func (m *Members) Known() int { return len(m.members) + 1 }

// Sample returns some hosts that are there, for a message.
func (m *Members) Sample(now time.Time) []netip.Addr {
	var out []netip.Addr
	for a, x := range m.members {
		if len(out) == peersMost {
			break
		}
		if now.Sub(x.heard) < liveFor {
			out = append(out, a)
		}
	}
	return out
}

// Ahead returns a host that is there and has newer lists, or false.
func (m *Members) Ahead(now time.Time, table plan.Version, revision uint64) (netip.Addr, bool) {
	var best *member
	for _, x := range m.members {
		if now.Sub(x.heard) >= liveFor || (x.table <= table && x.revision <= revision) {
			continue
		}
		if best == nil || x.revision > best.revision {
			best = x
		}
	}
	if best == nil {
		return netip.Addr{}, false
	}
	return best.addr, true
}
