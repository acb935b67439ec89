package gossip

import (
	"net/netip"
	"time"
)

// sendLimitUpdates tells all live hosts of the group, and those that a speaker or a reporter
// speaks to, of the rate limits that this host has not told yet. What it was told itself it
// passes on in the same way, so that a change reaches all hosts though some datagrams are
// lost.
func (n *Node) sendLimitUpdates(now time.Time) {
	n.mu.Lock()
	targets := n.members.UpdateTargets(now, addresses(n.members.liveInGroup(now)))
	n.mu.Unlock()
	for _, limits := range n.Limiter.Unsent(now) {
		n.sendMessage(now, targets, Message{Kind: KindLimits, Limits: limits})
	}
}

// tellLimits tells some hosts of the group, and those that a speaker or a reporter speaks
// to, of rate limits that they may not know, and reminds them of others from time to time.
func (n *Node) tellLimits(now time.Time, group []netip.Addr) {
	if n.Limiter.Empty() {
		return
	}
	n.mu.Lock()
	n.limitRounds++
	remind := n.limitRounds%reminderRounds == 0
	targets := n.members.UpdateTargets(now, group)
	n.mu.Unlock()
	for _, limits := range n.Limiter.Next(now) {
		n.sendMessage(now, targets, Message{Kind: KindLimits, Limits: limits})
	}
	if !remind {
		return
	}
	if limits := n.Limiter.Reminders(now); len(limits) > 0 {
		n.sendMessage(now, targets, Message{Kind: KindLimits, Limits: limits})
	}
}

// Leave tells the other hosts that this one stops, so that others give out the permits that
// it gave out.
func (n *Node) Leave() {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.Limiter.Holders.Leave()
	n.send(n.Now(), true)
}
