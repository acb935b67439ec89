package gossip

import (
	"net/netip"
	"time"

	"mulberrydyke/catalog"
)

const (
	// readerTimeout is how long news that a host reads the platform's store is
	// believed. It spans several messages of several hosts.
	readerTimeout = time.Second
	// readerTurn is the time between the turns of two hosts to read the store when
	// no reader is known.
	readerTurn = 200 * time.Millisecond
	// startWait is how long a host that starts waits at least for the lists of a
	// peer before it reads the store.
	startWait = 60 * time.Millisecond
	// settleTime is how long after its start a host may not know yet which hosts
	// come before it.
	settleTime = 3 * time.Second
)

// TakeoverTime is how long after the last readers of a domain were killed another host
// reads at the most, if no message is lost.
const TakeoverTime = readerTimeout + decideInterval

// readerNews names a host of the domain that reads the platform's store.
type readerNews struct {
	// addr is not valid if no reader is known.
	addr netip.Addr
	// at is when the host was known to read.
	at time.Time
}

// readers decides whether this host has to read the platform's store.
type readers struct {
	startedAt time.Time
	// starvedSince is when the last reader was lost, or startWait after the start of
	// this host. It is zero while a reader is known.
	starvedSince time.Time
}

func newReaders(now time.Time) readers {
	return readers{startedAt: now, starvedSince: now.Add(startWait)}
}

// settled reports whether this host had time to hear of the others since its start.
func (r *readers) settled(now time.Time) bool { return now.Sub(r.startedAt) >= settleTime }

// Reader returns the reader of the platform's store that this host tells its peers
// of, and when it was known to read: itself if it reads, else the first by address
// of those that it has heard of.
func (m *Members) Reader(now time.Time, reading bool) (netip.Addr, time.Time) {
	if reading {
		return m.self, now
	}
	news := m.firstReader(now)
	return news.addr, news.at
}

// firstReader returns the reader of the domain with the lowest address, apart from
// this host, according to live hosts.
func (m *Members) firstReader(now time.Time) readerNews {
	var first readerNews
	for _, x := range m.members {
		r := x.reader
		if x.domain != m.domain || !x.live(now) || !r.addr.IsValid() || r.addr == m.self || now.Sub(r.at) >= readerTimeout {
			continue
		}
		if !first.addr.IsValid() || r.addr.Less(first.addr) || r.addr == first.addr && r.at.After(first.at) {
			first = r
		}
	}
	return first
}

// MustRead reports whether this host has to read the platform's store itself. The
// reporters of the domain do, from settleTime after their start. Any other host
// reads only while no other reader is known, when it is its turn, until a reader
// that comes before it is known.
func (m *Members) MustRead(now time.Time, reading bool) bool {
	first := m.firstReader(now)
	if first.addr.IsValid() {
		m.readers.starvedSince = time.Time{}
		return m.readers.settled(now) && m.Role(now) == RoleReporter || reading && m.self.Less(first.addr)
	}
	if m.readers.starvedSince.IsZero() {
		m.readers.starvedSince = now
	}
	return reading || now.Sub(m.readers.starvedSince) >= time.Duration(m.readerRank(now))*readerTurn
}

// ReadDuty returns the part of this host in reading the platform's store. It is the
// first of its domain unless it hears one that reads and comes before it.
func (m *Members) ReadDuty(now time.Time, reading bool) catalog.ReadDuty {
	before := m.selectMembers(func(x *member) bool {
		return x.domain == m.domain && x.reader.addr == x.addr && now.Sub(x.reader.at) < readerTimeout && x.addr.Less(m.self)
	})
	return catalog.ReadDuty{MustRead: m.MustRead(now, reading), First: len(before) == 0, FailingSince: m.failingSince(now)}
}

// ReaderKnownUntil returns when the last news of a reader of the domain ends, unless more
// comes. It is zero if no reader is known.
func (m *Members) ReaderKnownUntil(now time.Time) time.Time {
	first := m.firstReader(now)
	if !first.addr.IsValid() {
		return time.Time{}
	}
	return first.at.Add(readerTimeout)
}

// readerRank returns how many hosts have their turn to read the store before this
// one, when no reader is known: those of the group that were heard since the readers
// fell silent. Each group finds a reader by itself. While this host
// does not hear its group yet, the hosts of the domain that it knows of count.
func (m *Members) readerRank(now time.Time) int {
	if m.readers.settled(now) {
		inGroup := m.inGroup()
		return m.countBefore(m.selectMembers(func(x *member) bool { return inGroup(x) && now.Sub(x.lastHeard) < readerTimeout }))
	}
	return m.countBefore(m.selectMembers(func(x *member) bool { return x.domain == m.domain && now.Sub(x.lastSeen) < maxPeerAge }))
}
