package host

import (
	"context"
	"sync"
	"time"

	"mulberrydyke/member"
	"mulberrydyke/peer"
	"mulberrydyke/plan"
)

// fleet is what this host knows of the others, for use by several goroutines.
type fleet struct {
	self   member.Identity
	client *peer.Client

	mu        sync.Mutex
	table     *member.Table
	leaving   bool
	successor member.HostIncarnation
	// busy marks addresses whose last heartbeat has not been answered yet.
	busy map[string]bool
	turn int
}

func newFleet(self member.Identity, client *peer.Client) *fleet {
	return &fleet{self: self, client: client, table: member.NewTable(self), busy: map[string]bool{}}
}

// Self returns this host.
func (f *fleet) Self() member.Identity { return f.self }

// Live returns the hosts of a domain that take new work.
func (f *fleet) Live(domain plan.DomainID) []member.Identity {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Live(time.Now(), domain)
}

// Find returns a host by name.
func (f *fleet) Find(id plan.HostID) (member.Host, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Find(time.Now(), id)
}

// Successor returns who holds the handover of an incarnation that left.
func (f *fleet) Successor(of member.HostIncarnation) (member.HostIncarnation, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Successor(of)
}

// Call calls a method of another host.
func (f *fleet) Call(ctx context.Context, host member.Identity, method string, args, reply any) error {
	return f.client.Call(ctx, host.Peer, method, args, reply)
}

func (f *fleet) hosts() []member.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Hosts(time.Now())
}

func (f *fleet) setLeaving() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = true
	f.table.SetLeaving()
}

func (f *fleet) setSuccessor(successor member.HostIncarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.successor = successor
}

func (f *fleet) listed(list *plan.Hosts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.ApplyList(list)
}

// beat returns what this host says of itself.
func (f *fleet) beat(versions plan.Versions) member.Heartbeat {
	f.mu.Lock()
	defer f.mu.Unlock()
	return member.Heartbeat{Self: f.self, Leaving: f.leaving, Successor: f.successor, Versions: versions}
}

// seen takes in another host's heartbeat.
func (f *fleet) seen(now time.Time, b member.Heartbeat, absent []plan.HostID, answer bool) (member.HostIncarnation, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.RecordAbsent(now, absent)
	return f.table.RecordHeartbeat(now, b, answer)
}

func (f *fleet) absent(now time.Time) []plan.HostID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Absent(now)
}

func (f *fleet) forget(now time.Time) []member.HostIncarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.RemoveExpired(now)
}

func (f *fleet) interval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.HeartbeatInterval()
}

// targets returns the addresses to send heartbeats to now: the hosts that the
// table gives, and addresses from the settings that no known host has.
func (f *fleet) targets(now time.Time, seeds []string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.turn++
	known := map[string]bool{f.self.Peer: true}
	for _, h := range f.table.Hosts(now) {
		known[h.Identity.Peer] = true
	}
	var out []string
	for _, h := range f.table.HeartbeatTargets(now, f.turn) {
		out = append(out, h.Peer)
	}
	for _, address := range seeds {
		if !known[address] {
			out = append(out, address)
		}
	}
	return out
}

// take marks an address as busy. It returns false where it already was.
func (f *fleet) take(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy[address] {
		return false
	}
	f.busy[address] = true
	return true
}

func (f *fleet) release(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.busy, address)
}
