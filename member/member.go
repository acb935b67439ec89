// Package member tracks which entry hosts are alive. It combines the platform's
// host list, which says which hosts should exist but lags behind, with direct
// heartbeats, which show which hosts respond. It has no clock of its own and
// does no I/O.
package member

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mulberrydyke/plan"
)

const (
	// baseHeartbeatInterval is the time between heartbeats in a domain of up to
	// hostsPerIntervalStep hosts.
	baseHeartbeatInterval = 500 * time.Millisecond
	// hostsPerIntervalStep is the number of hosts by which the interval grows
	// another baseHeartbeatInterval, so that a host's heartbeat traffic stays
	// within its budget.
	hostsPerIntervalStep = 16
	// suspectAfterMissed and deadAfterMissed are the numbers of heartbeat
	// intervals without a reply after which a host is suspect and dead.
	suspectAfterMissed = 2
	deadAfterMissed    = 4
	// absentTTL is how long another domain's report of an absent host is valid,
	// and how long a host without heartbeats is kept.
	absentTTL = 10 * time.Second
)

// Incarnation identifies one run of a host's process.
type Incarnation uint64

// Condition is the liveness of a host.
type Condition string

// Conditions of a host. Only a Live host is given new work.
const (
	Live    Condition = "live"
	Suspect Condition = "suspect"
	Dead    Condition = "dead"
	Leaving Condition = "leaving"
)

// Identity identifies a host and the incarnation of its process.
type Identity struct {
	ID          plan.HostID   `json:"id"`
	Incarnation Incarnation   `json:"incarnation"`
	Domain      plan.DomainID `json:"domain"`
	Region      plan.RegionID `json:"region"`
	// Peer is the address of the host's listener for other hosts.
	Peer string `json:"peer"`
}

// Heartbeat is what a host reports about itself.
type Heartbeat struct {
	Self Identity `json:"self"`
	// Leaving is set once a planned stop has begun.
	Leaving bool `json:"leaving"`
	// Successor is the incarnation that takes over the host's tickets after a
	// planned stop.
	Successor HostIncarnation `json:"successor"`
	Versions  plan.Versions   `json:"versions"`
}

// Host is what a Table knows about a host.
type Host struct {
	Identity  Identity        `json:"self"`
	Condition Condition       `json:"condition"`
	Successor HostIncarnation `json:"successor"`
	Versions  plan.Versions   `json:"versions"`
	// Listed reports whether the platform lists the host as live.
	Listed bool `json:"listed"`

	// lastSeen is when the host's last heartbeat arrived; lastReplied is when
	// it last replied to a heartbeat of this host. Only a reply shows that the
	// host can be reached from here.
	lastSeen    time.Time
	lastReplied time.Time
	leaving     bool
	// listedPeer is the address in the platform's list, which takes precedence
	// over the one in the host's heartbeats.
	listedPeer string
}

// Table is one host's view of the other hosts.
type Table struct {
	self    Identity
	leaving bool
	hosts   map[plan.HostID]*Host
	// byDomain indexes hosts by failure domain, sorted by name.
	byDomain map[plan.DomainID][]*Host
	// absent holds the hosts of other domains that their own domain reports as
	// absent, and when it last did so.
	absent map[plan.HostID]time.Time
	// successors maps each incarnation that left to its successor.
	successors map[HostIncarnation]HostIncarnation
}

// HostIncarnation identifies one incarnation of a host.
type HostIncarnation struct {
	Host        plan.HostID
	Incarnation Incarnation
}

const (
	// maxSuccessors bounds the successors that are remembered.
	maxSuccessors = 4096
	// maxSuccessorChain bounds the length of a chain of successors.
	maxSuccessorChain = 64
)

// NewTable returns a table that knows only this host.
func NewTable(self Identity) *Table {
	return &Table{
		self:       self,
		hosts:      map[plan.HostID]*Host{},
		byDomain:   map[plan.DomainID][]*Host{},
		absent:     map[plan.HostID]time.Time{},
		successors: map[HostIncarnation]HostIncarnation{},
	}
}

// Self returns this host's identity.
func (t *Table) Self() Identity { return t.self }

// SetLeaving marks this host as leaving.
func (t *Table) SetLeaving() { t.leaving = true }

// ApplyList applies the platform's host list.
func (t *Table) ApplyList(list *plan.Hosts) {
	listed := make(map[plan.HostID]bool, len(list.Hosts))
	for _, h := range list.Hosts {
		if h.ID == t.self.ID {
			continue
		}
		listed[h.ID] = true
		entry := t.getOrCreateHost(h.ID)
		entry.Listed = h.State == plan.Live
		entry.leaving = entry.leaving || h.State == plan.Leaving
		entry.listedPeer = h.Peer
		if entry.lastSeen.IsZero() {
			entry.Identity = Identity{ID: h.ID, Domain: h.Domain, Region: h.Region}
		}
		entry.Identity.Peer = h.Peer
	}
	for id, h := range t.hosts {
		if !listed[id] {
			h.Listed = false
		}
	}
	t.rebuildIndex()
}

// rebuildIndex rebuilds the index by failure domain.
func (t *Table) rebuildIndex() {
	t.byDomain = map[plan.DomainID][]*Host{}
	for _, h := range t.hosts {
		t.byDomain[h.Identity.Domain] = append(t.byDomain[h.Identity.Domain], h)
	}
	for _, hosts := range t.byDomain {
		slices.SortFunc(hosts, func(a, b *Host) int { return strings.Compare(string(a.Identity.ID), string(b.Identity.ID)) })
	}
}

func (t *Table) getOrCreateHost(id plan.HostID) *Host {
	h := t.hosts[id]
	if h == nil {
		h = &Host{}
		t.hosts[id] = h
	}
	return h
}

// RecordHeartbeat records another host's heartbeat. isReply is set if it
// replies to a heartbeat of this host. It returns the incarnation known before,
// and whether the host has restarted since, which means that the work of the
// previous incarnation is lost.
func (t *Table) RecordHeartbeat(now time.Time, heartbeat Heartbeat, isReply bool) (previous HostIncarnation, restarted bool) {
	if heartbeat.Self.ID == t.self.ID {
		return HostIncarnation{}, false
	}
	h := t.getOrCreateHost(heartbeat.Self.ID)
	oldIncarnation, oldDomain := h.Identity.Incarnation, h.Identity.Domain
	restarted = oldIncarnation != 0 && oldIncarnation != heartbeat.Self.Incarnation
	if restarted {
		h.Successor = HostIncarnation{}
		h.lastReplied = time.Time{}
	}
	if isReply {
		h.lastReplied = now
	}
	h.Identity, h.Versions, h.lastSeen = heartbeat.Self, heartbeat.Versions, now
	h.leaving = heartbeat.Leaving
	if h.listedPeer != "" {
		h.Identity.Peer = h.listedPeer
	}
	if heartbeat.Successor.Host != "" {
		h.Successor = heartbeat.Successor
		t.recordSuccessor(HostIncarnation{Host: heartbeat.Self.ID, Incarnation: heartbeat.Self.Incarnation}, heartbeat.Successor)
	}
	delete(t.absent, heartbeat.Self.ID)
	if oldDomain != heartbeat.Self.Domain {
		t.rebuildIndex()
	}
	return HostIncarnation{Host: heartbeat.Self.ID, Incarnation: oldIncarnation}, restarted
}

func (t *Table) recordSuccessor(from, successor HostIncarnation) {
	if len(t.successors) < maxSuccessors {
		t.successors[from] = successor
	}
}

// Successor returns the incarnation that now holds the tickets of an
// incarnation that left, which is the last of a chain of successors.
func (t *Table) Successor(from HostIncarnation) (HostIncarnation, bool) {
	successor, ok := t.successors[from]
	for range maxSuccessorChain {
		next, more := t.successors[successor]
		if !more {
			break
		}
		successor = next
	}
	return successor, ok
}

// RecordAbsent records the hosts that another domain reports as absent from it.
func (t *Table) RecordAbsent(now time.Time, absent []plan.HostID) {
	for _, id := range absent {
		t.absent[id] = now
	}
}

// HeartbeatInterval returns the time between heartbeats. It grows with the size
// of the domain, so that the heartbeat traffic of one host stays bounded.
func (t *Table) HeartbeatInterval() time.Duration {
	n := 1 + len(t.byDomain[t.self.Domain])
	return baseHeartbeatInterval * time.Duration(max(1, (n+hostsPerIntervalStep-1)/hostsPerIntervalStep))
}

// ConditionOf returns the condition of a host.
func (t *Table) ConditionOf(now time.Time, id plan.HostID) Condition {
	if id == t.self.ID {
		if t.leaving {
			return Leaving
		}
		return Live
	}
	h := t.hosts[id]
	if h == nil {
		return Dead
	}
	if h.leaving {
		return Leaving
	}
	if h.Identity.Domain != t.self.Domain {
		return t.remoteCondition(now, h)
	}
	silent := now.Sub(h.lastReplied)
	switch {
	case silent < suspectAfterMissed*t.HeartbeatInterval():
		return Live
	case silent < deadAfterMissed*t.HeartbeatInterval():
		return Suspect
	}
	return Dead
}

// remoteCondition returns the condition of a host of another domain, as
// reported by that domain.
func (t *Table) remoteCondition(now time.Time, h *Host) Condition {
	reportedAt, ok := t.absent[h.Identity.ID]
	if ok && now.Sub(reportedAt) < absentTTL {
		return Dead
	}
	if h.Listed || now.Sub(h.lastSeen) < absentTTL {
		return Live
	}
	return Dead
}

// Live returns the hosts of a domain that may be given new work, this one
// first.
func (t *Table) Live(now time.Time, domain plan.DomainID) []Identity {
	out := make([]Identity, 0, len(t.byDomain[domain])+1)
	if domain == t.self.Domain && !t.leaving {
		out = append(out, t.self)
	}
	for _, h := range t.byDomain[domain] {
		if t.ConditionOf(now, h.Identity.ID) == Live {
			out = append(out, h.Identity)
		}
	}
	return out
}

// Absent returns the other hosts of this domain that are dead or leaving.
func (t *Table) Absent(now time.Time) []plan.HostID {
	var out []plan.HostID
	for _, h := range t.byDomain[t.self.Domain] {
		if c := t.ConditionOf(now, h.Identity.ID); c == Dead || c == Leaving {
			out = append(out, h.Identity.ID)
		}
	}
	return out
}

// RankByRendezvous returns the hosts in order of their rendezvous hashes for a
// key, highest first.
func RankByRendezvous(key string, hosts []Identity) []Identity {
	out := slices.Clone(hosts)
	score := func(h Identity) uint64 { return xxhash.Sum64String(key + "\x00" + string(h.ID)) }
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

// Find returns what the table knows about a host.
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

// Hosts returns all other hosts, sorted by name.
func (t *Table) Hosts(now time.Time) []Host {
	var out []Host
	for id := range t.hosts {
		h, _ := t.Find(now, id)
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b Host) int { return strings.Compare(string(a.Identity.ID), string(b.Identity.ID)) })
	return out
}

// RemoveExpired removes hosts that are not listed and have sent no heartbeat
// for absentTTL. It returns the incarnations that expired since the last call,
// including those of hosts that remain because they are listed.
func (t *Table) RemoveExpired(now time.Time) []HostIncarnation {
	var expired []HostIncarnation
	for id, h := range t.hosts {
		if h.lastSeen.IsZero() || now.Sub(h.lastSeen) < absentTTL {
			continue
		}
		expired = append(expired, HostIncarnation{Host: id, Incarnation: h.Identity.Incarnation})
		if !h.Listed {
			delete(t.hosts, id)
			continue
		}
		h.lastSeen, h.lastReplied = time.Time{}, time.Time{}
	}
	if len(expired) > 0 {
		t.rebuildIndex()
	}
	return expired
}

// HeartbeatTargets returns the hosts to send heartbeats to: all of this domain and
// one of each other domain, a different one in each round. Hosts without a known
// address, and those that left and are no longer listed, are omitted.
func (t *Table) HeartbeatTargets(now time.Time, round int) []Identity {
	var out []Identity
	remote := map[plan.DomainID][]Identity{}
	for _, h := range t.Hosts(now) {
		switch {
		case h.Identity.Peer == "" || h.Condition == Leaving && !h.Listed && now.Sub(h.lastSeen) > absentTTL:
		case h.Identity.Domain == t.self.Domain:
			out = append(out, h.Identity)
		default:
			remote[h.Identity.Domain] = append(remote[h.Identity.Domain], h.Identity)
		}
	}
	for _, hosts := range remote {
		out = append(out, hosts[round%len(hosts)])
	}
	return out
}
