// Package member decides which entry hosts are there. It joins the platform's
// lagging list, which says who should exist, with direct heartbeats, which say
// who is there. It holds no clock and does no I/O.
package member

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberrydyke/plan"
)

const (
	// beatFirst is the time between heartbeats in a small domain.
	beatFirst = 500 * time.Millisecond
	// beatHosts is the size of a domain above which heartbeats become rarer,
	// so that a host's traffic stays within its budget.
	beatHosts = 16
	// suspectBeats and deadBeats are how many missed heartbeats make a host
	// suspect and dead.
	suspectBeats = 2
	deadBeats    = 4
	// absentLife is how long news of a host from outside its domain counts,
	// and how long a host without heartbeats is remembered.
	absentLife = 10 * time.Second
)

// Incarnation identifies one start of a host's process.
type Incarnation uint64

// Condition says what a host is good for.
type Condition string

// Conditions of a host.
const (
	Alive   Condition = "live"
	Suspect Condition = "suspect"
	Dead    Condition = "dead"
	Leaving Condition = "leaving"
)

// Identity names this host.
type Identity struct {
	ID          plan.HostID   `json:"id"`
	Incarnation Incarnation   `json:"incarnation"`
	Domain      plan.DomainID `json:"domain"`
	Region      plan.RegionID `json:"region"`
	// Peer is the address of the host's listener for peers.
	Peer string `json:"peer"`
}

// Heartbeat is what a host says of itself.
type Heartbeat struct {
	Self Identity `json:"self"`
	// Leaving is set once a planned stop has begun.
	Leaving bool `json:"leaving"`
	// Successor holds the host's tickets after a planned stop.
	Successor HostIncarnation `json:"successor"`
	Versions  plan.Versions   `json:"versions"`
}

// Host is what a table knows of another host.
type Host struct {
	Identity  Identity        `json:"self"`
	Condition Condition       `json:"condition"`
	Successor HostIncarnation `json:"successor"`
	Versions  plan.Versions   `json:"versions"`
	// Listed says whether the platform lists the host as live.
	Listed bool `json:"listed"`

	// seen is when the host was last heard of, answered when it last answered
	// a heartbeat of this host. Only an answer shows that the way there works.
	seen     time.Time
	answered time.Time
	leaving  bool
	// listedPeer is the address in the platform's list, which goes before the
	// host's own word.
	listedPeer string
}

// Table is what one host knows of the others.
type Table struct {
	self    Identity
	leaving bool
	hosts   map[plan.HostID]*Host
	// byDomain holds the same hosts by failure domain, ordered by name.
	byDomain map[plan.DomainID][]*Host
	// absent holds hosts of other domains that their domain misses.
	absent map[plan.HostID]time.Time
	// former gives the successor of each incarnation that left.
	former map[HostIncarnation]HostIncarnation
}

// HostIncarnation names an incarnation that is no more.
type HostIncarnation struct {
	Host        plan.HostID
	Incarnation Incarnation
}

const (
	// formerMost bounds the incarnations that are remembered.
	formerMost = 4096
	// successorsMost bounds a row of successors.
	successorsMost = 64
)

// NewTable returns a table that knows only its own host.
func NewTable(self Identity) *Table {
	return &Table{
		self:     self,
		hosts:    map[plan.HostID]*Host{},
		byDomain: map[plan.DomainID][]*Host{},
		absent:   map[plan.HostID]time.Time{},
		former:   map[HostIncarnation]HostIncarnation{},
	}
}

// Self returns the table's own host.
func (t *Table) Self() Identity { return t.self }

// SetLeaving marks the table's own host as leaving.
func (t *Table) SetLeaving() { t.leaving = true }

// ApplyList adopts the platform's list.
func (t *Table) ApplyList(list *plan.Hosts) {
	listed := make(map[plan.HostID]bool, len(list.Hosts))
	for _, h := range list.Hosts {
		if h.ID == t.self.ID {
			continue
		}
		listed[h.ID] = true
		known := t.host(h.ID)
		known.Listed = h.State == plan.Live
		known.leaving = known.leaving || h.State == plan.Leaving
		known.listedPeer = h.Peer
		if known.seen.IsZero() {
			known.Identity = Identity{ID: h.ID, Domain: h.Domain, Region: h.Region}
		}
		known.Identity.Peer = h.Peer
	}
	for id, h := range t.hosts {
		if !listed[id] {
			h.Listed = false
		}
	}
	t.index()
}

// index sorts the hosts into their failure domains.
func (t *Table) index() {
	t.byDomain = map[plan.DomainID][]*Host{}
	for _, h := range t.hosts {
		t.byDomain[h.Identity.Domain] = append(t.byDomain[h.Identity.Domain], h)
	}
	for _, hosts := range t.byDomain {
		slices.SortFunc(hosts, func(a, b *Host) int { return strings.Compare(string(a.Identity.ID), string(b.Identity.ID)) })
	}
}

func (t *Table) host(id plan.HostID) *Host {
	h := t.hosts[id]
	if h == nil {
		h = &Host{}
		t.hosts[id] = h
	}
	return h
}

// RecordHeartbeat takes in a heartbeat, as the answer to one of this host's own or not. It
// returns whether the host began anew, so that what its former incarnation ran
// is gone.
func (t *Table) RecordHeartbeat(now time.Time, b Heartbeat, answer bool) (gone HostIncarnation, restarted bool) {
	if b.Self.ID == t.self.ID {
		return HostIncarnation{}, false
	}
	h := t.host(b.Self.ID)
	old, domain := h.Identity.Incarnation, h.Identity.Domain
	restarted = old != 0 && old != b.Self.Incarnation
	if restarted {
		h.Successor = HostIncarnation{}
		h.answered = time.Time{}
	}
	if answer {
		h.answered = now
	}
	h.Identity, h.Versions, h.seen = b.Self, b.Versions, now
	h.leaving = b.Leaving
	if h.listedPeer != "" {
		h.Identity.Peer = h.listedPeer
	}
	if b.Successor.Host != "" {
		h.Successor = b.Successor
		t.rememberFormer(HostIncarnation{Host: b.Self.ID, Incarnation: b.Self.Incarnation}, b.Successor)
	}
	delete(t.absent, b.Self.ID)
	if domain != b.Self.Domain {
		t.index()
	}
	return HostIncarnation{Host: b.Self.ID, Incarnation: old}, restarted
}

func (t *Table) rememberFormer(f, successor HostIncarnation) {
	if len(t.former) < formerMost {
		t.former[f] = successor
	}
}

// Successor returns who holds the tickets of an incarnation that left: the last
// of a row of successors.
func (t *Table) Successor(f HostIncarnation) (HostIncarnation, bool) {
	successor, ok := t.former[f]
	for range successorsMost {
		next, more := t.former[successor]
		if !more {
			break
		}
		successor = next
	}
	return successor, ok
}

// RecordAbsent adopts what another domain says of its own hosts.
func (t *Table) RecordAbsent(now time.Time, absent []plan.HostID) {
	for _, id := range absent {
		t.absent[id] = now
	}
}

// HeartbeatInterval returns the time between heartbeats. It grows with the domain, so
// that the traffic of one host is bounded.
func (t *Table) HeartbeatInterval() time.Duration {
	n := 1 + len(t.byDomain[t.self.Domain])
	return beatFirst * time.Duration(max(1, (n+beatHosts-1)/beatHosts))
}

// ConditionOf returns what a host is good for.
func (t *Table) ConditionOf(now time.Time, id plan.HostID) Condition {
	if id == t.self.ID {
		if t.leaving {
			return Leaving
		}
		return Alive
	}
	h := t.hosts[id]
	if h == nil {
		return Dead
	}
	if h.leaving {
		return Leaving
	}
	if h.Identity.Domain != t.self.Domain {
		return t.remote(now, h)
	}
	silent := now.Sub(h.answered)
	switch {
	case silent < suspectBeats*t.HeartbeatInterval():
		return Alive
	case silent < deadBeats*t.HeartbeatInterval():
		return Suspect
	}
	return Dead
}

// remote judges a host of another domain by that domain's own word.
func (t *Table) remote(now time.Time, h *Host) Condition {
	missed, ok := t.absent[h.Identity.ID]
	if ok && now.Sub(missed) < absentLife {
		return Dead
	}
	if h.Listed || now.Sub(h.seen) < absentLife {
		return Alive
	}
	return Dead
}

// Live returns the hosts of a domain that may be given new work, this one first.
func (t *Table) Live(now time.Time, domain plan.DomainID) []Identity {
	out := make([]Identity, 0, len(t.byDomain[domain])+1)
	if domain == t.self.Domain && !t.leaving {
		out = append(out, t.self)
	}
	for _, h := range t.byDomain[domain] {
		if t.ConditionOf(now, h.Identity.ID) == Alive {
			out = append(out, h.Identity)
		}
	}
	return out
}

// Absent returns the listed hosts of the own domain that are dead or leaving.
func (t *Table) Absent(now time.Time) []plan.HostID {
	var out []plan.HostID
	for _, h := range t.byDomain[t.self.Domain] {
		if c := t.ConditionOf(now, h.Identity.ID); c == Dead || c == Leaving {
			out = append(out, h.Identity.ID)
		}
	}
	return out
}

// RankByRendezvous returns hosts by rendezvous hashing for a name, the first choice first.
func RankByRendezvous(name string, hosts []Identity) []Identity {
	out := slices.Clone(hosts)
	score := func(h Identity) uint64 { return xxhash.Sum64String(name + "\x00" + string(h.ID)) }
	slices.SortFunc(out, func(a, b Identity) int {
		sa, sb := score(a), score(b)
		switch {
		case sa > sb:
			return -1
		case sa < sb:
			return 1
		}
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return out
}

// Find returns what the table knows of a host.
func (t *Table) Find(now time.Time, id plan.HostID) (Host, bool) {
	if id == t.self.ID {
		return Host{Identity: t.self, Condition: t.ConditionOf(now, id), Listed: true}, true
	}
	h := t.hosts[id]
	if h == nil {
		return Host{}, false
	}
	out := *h
	out.Condition = t.ConditionOf(now, id)
	return out, true
}

// Hosts returns all other hosts, in order.
func (t *Table) Hosts(now time.Time) []Host {
	var out []Host
	for id := range t.hosts {
		h, _ := t.Find(now, id)
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b Host) int { return strings.Compare(string(a.Identity.ID), string(b.Identity.ID)) })
	return out
}

// RemoveExpired drops hosts that are neither listed nor heard of for a while. It
// returns the incarnations that died since the last call.
func (t *Table) RemoveExpired(now time.Time) []HostIncarnation {
	var gone []HostIncarnation
	for id, h := range t.hosts {
		if h.seen.IsZero() || now.Sub(h.seen) < absentLife {
			continue
		}
		gone = append(gone, HostIncarnation{Host: id, Incarnation: h.Identity.Incarnation})
		if !h.Listed {
			delete(t.hosts, id)
			continue
		}
		h.seen, h.answered = time.Time{}, time.Time{}
	}
	if len(gone) > 0 {
		t.index()
	}
	return gone
}

// HeartbeatTargets returns the hosts to send heartbeats to: all of the own domain, and
// one of each other domain, another one at each turn.
func (t *Table) HeartbeatTargets(now time.Time, turn int) []Identity {
	var out []Identity
	others := map[plan.DomainID][]Identity{}
	for _, h := range t.Hosts(now) {
		switch {
		case h.Identity.Peer == "" || h.Condition == Leaving && !h.Listed && now.Sub(h.seen) > absentLife:
		case h.Identity.Domain == t.self.Domain:
			out = append(out, h.Identity)
		default:
			others[h.Identity.Domain] = append(others[h.Identity.Domain], h.Identity)
		}
	}
	for _, hosts := range others {
		out = append(out, hosts[turn%len(hosts)])
	}
	return out
}
