package host

import (
	"context"
	"sync"
	"time"

	"mulberrydyke/member"
	"mulberrydyke/peer"
	"mulberrydyke/plan"
)

// fleet holds what this host knows of the other hosts and calls them. It is safe for
// concurrent use.
type fleet struct {
	self   member.Identity
	client *peer.Client

	mu        sync.Mutex
	table     *member.Table
	leaving   bool
	successor member.HostIncarnation
	// pendingHeartbeats holds the addresses whose last heartbeat has neither got a
	// reply nor timed out.
	pendingHeartbeats map[string]bool
	// round counts the rounds of heartbeats. It selects the host of each other
	// domain that gets one.
	round int
}

func newFleet(self member.Identity, client *peer.Client) *fleet {
	return &fleet{self: self, client: client, table: member.NewTable(self), pendingHeartbeats: map[string]bool{}}
}

// Self returns this host.
func (f *fleet) Self() member.Identity { return f.self }

// Live returns the hosts of a domain that take new work.
func (f *fleet) Live(domain plan.DomainID) []member.Identity {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Live(time.Now(), domain)
}

// Find returns the host with the given ID.
func (f *fleet) Find(id plan.HostID) (member.Host, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Find(time.Now(), id)
}

// Successor returns the incarnation that took over the tickets of one that left.
func (f *fleet) Successor(from member.HostIncarnation) (member.HostIncarnation, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Successor(from)
}

// Call calls a method of another host over the peer protocol.
func (f *fleet) Call(ctx context.Context, host member.Identity, method string, args, reply any) error {
	return f.client.Call(ctx, host.Peer, method, args, reply)
}

// hosts returns all other known hosts.
func (f *fleet) hosts() []member.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Hosts(time.Now())
}

// setLeaving marks this host as leaving.
func (f *fleet) setLeaving() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = true
	f.table.SetLeaving()
}

// setSuccessor stores the incarnation that holds this host's tickets after its
// planned stop.
func (f *fleet) setSuccessor(successor member.HostIncarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.successor = successor
}

// setHostList applies the host list in force to the table.
func (f *fleet) setHostList(list *plan.Hosts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.ApplyList(list)
}

// heartbeat returns the heartbeat of this host.
func (f *fleet) heartbeat(versions plan.Versions) member.Heartbeat {
	f.mu.Lock()
	defer f.mu.Unlock()
	return member.Heartbeat{Self: f.self, Leaving: f.leaving, Successor: f.successor, Versions: versions}
}

// recordHeartbeat records a heartbeat of another host and the hosts that it reported
// as absent. If the host has restarted, it returns the previous incarnation and true.
func (f *fleet) recordHeartbeat(now time.Time, heartbeat member.Heartbeat, absent []plan.HostID, isReply bool) (member.HostIncarnation, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.RecordAbsent(now, absent)
	return f.table.RecordHeartbeat(now, heartbeat, isReply)
}

// absentHosts returns the other hosts of this domain that are dead or leaving.
func (f *fleet) absentHosts(now time.Time) []plan.HostID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Absent(now)
}

// removeExpired removes hosts that are neither listed nor heard from, and returns
// the incarnations that expired since the last call, those of listed hosts too.
func (f *fleet) removeExpired(now time.Time) []member.HostIncarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.RemoveExpired(now)
}

// heartbeatInterval returns the time between two rounds of heartbeats.
func (f *fleet) heartbeatInterval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.HeartbeatInterval()
}

// heartbeatTargets returns the addresses for the next round of heartbeats: the hosts
// that the table selects, and those seed addresses from the settings at which no
// host is known yet.
func (f *fleet) heartbeatTargets(now time.Time, seeds []string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.round++
	known := map[string]bool{f.self.Peer: true}
	for _, h := range f.table.Hosts(now) {
		known[h.Identity.Peer] = true
	}
	var addresses []string
	for _, h := range f.table.HeartbeatTargets(now, f.round) {
		addresses = append(addresses, h.Peer)
	}
	for _, address := range seeds {
		if !known[address] {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// beginHeartbeat marks a heartbeat to an address as pending. It returns false if one
// already was.
func (f *fleet) beginHeartbeat(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pendingHeartbeats[address] {
		return false
	}
	f.pendingHeartbeats[address] = true
	return true
}

// endHeartbeat marks the heartbeat to an address as finished.
func (f *fleet) endHeartbeat(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pendingHeartbeats, address)
}
