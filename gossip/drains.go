package gossip

import (
	"net/netip"
	"time"

	"mulberrydyke/drain"
)

// drainReminderFanout bounds the hosts of the group that one host reminds at once of draining
// upstreams. Each host is reminded by as many on average.
const drainReminderFanout = 2

// sendDrainUpdates tells all live hosts of the group, and those that a speaker or a reporter
// speaks to, of the draining upstreams that this host has not told yet. Hosts that speak for
// nobody leave it to the others to pass on what they were told.
func (n *Node) sendDrainUpdates(now time.Time) {
	n.mu.Lock()
	targets := n.members.UpdateTargets(now, addresses(n.members.liveInGroup(now)))
	n.mu.Unlock()
	n.sendDrains(now, targets, n.Drains.Unsent(now)...)
}

// tellDrains tells some hosts of the group, and those that a speaker or a reporter speaks to, of
// draining upstreams that they may not know, and reminds a few of others from time to time.
func (n *Node) tellDrains(now time.Time, group []netip.Addr) {
	if n.Drains.Count() == 0 {
		return
	}
	n.mu.Lock()
	n.drainRounds++
	remind := n.drainRounds%reminderRounds == 0
	targets := n.members.UpdateTargets(now, group)
	live := n.members.liveInGroup(now)
	first := n.members.countBefore(live) + n.drainRounds/reminderRounds*drainReminderFanout
	reminded := n.members.UpdateTargets(now, cyclic(addresses(live), first, drainReminderFanout))
	n.mu.Unlock()
	n.sendDrains(now, targets, n.Drains.Next(now)...)
	if remind {
		n.sendDrains(now, reminded, n.Drains.Reminders(now))
	}
}

// cyclic returns up to n elements of a list from an index on, which goes on at the beginning.
func cyclic(list []netip.Addr, first, n int) []netip.Addr {
	var out []netip.Addr
	for i := range min(n, len(list)) {
		out = append(out, list[(first+i)%len(list)])
	}
	return out
}

// sendDrains sends each list in a message of its own.
func (n *Node) sendDrains(now time.Time, targets []netip.Addr, lists ...[]drain.Update) {
	for _, list := range lists {
		if len(list) > 0 {
			n.sendMessage(now, targets, Message{Kind: KindDrains, Drains: list})
		}
	}
}
