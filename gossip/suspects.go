package gossip

import (
	"context"
	"net/netip"
	"time"

	"mulberrydyke/clock"
	"mulberrydyke/quarantine"
)

const (
	// updateInterval is the minimum time between two messages of one kind that are sent at once.
	updateInterval = 50 * time.Millisecond
	// reminderRounds is the number of rounds from one reminder of the requests in
	// quarantine to the next.
	reminderRounds = 2
)

// runUpdates calls send each time that changed signals something to tell other hosts, at
// most once per updateInterval, until ctx ends.
func (n *Node) runUpdates(ctx context.Context, changed <-chan struct{}, send func(time.Time)) {
	for {
		select {
		case <-changed:
			send(n.Now())
			clock.Sleep(ctx, updateInterval)
		case <-ctx.Done():
			return
		}
	}
}

// sendSuspectUpdates tells all live hosts of the group, and those that a speaker or a
// reporter speaks to, of what they were not sent yet. Hosts that speak for nobody
// leave it to the others to pass on at once what they were told.
func (n *Node) sendSuspectUpdates(now time.Time) {
	n.mu.Lock()
	role, targets := n.role, n.members.UpdateTargets(now, addresses(n.members.liveInGroup(now)))
	n.mu.Unlock()
	for _, suspects := range n.Quarantine.UnsentUpdates(now, role < RoleSpeaker) {
		n.sendMessage(now, targets, Message{Kind: KindSuspects, Suspects: suspects})
	}
}

// tellSuspects tells some hosts of the group, and those that a speaker or a reporter
// speaks to, of suspects that they may not know. If there is nothing new, it reminds
// them of the requests in quarantine from time to time.
func (n *Node) tellSuspects(now time.Time, group []netip.Addr) {
	n.mu.Lock()
	n.suspectRounds++
	remind := n.suspectRounds%reminderRounds == 0
	targets := n.members.UpdateTargets(now, group)
	n.mu.Unlock()
	for _, suspects := range n.Quarantine.NextUpdates(now) {
		n.sendMessage(now, targets, Message{Kind: KindSuspects, Suspects: suspects})
	}
	if !remind {
		return
	}
	if suspects := n.Quarantine.Reminders(now); len(suspects) > 0 {
		n.sendMessage(now, targets, Message{Kind: KindSuspects, Suspects: suspects})
	}
}

// keysOf returns the keys of suspects, for the log.
func keysOf(suspects []quarantine.Suspect) []uint64 {
	out := make([]uint64, 0, len(suspects))
	for _, s := range suspects {
		out = append(out, uint64(s.Key))
	}
	return out
}
