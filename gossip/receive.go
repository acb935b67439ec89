package gossip

import (
	"net/netip"
	"time"

	"mulberrydyke/catalog"
	"mulberrydyke/quarantine"
)

// Receive handles incoming messages until the socket is closed.
func (n *Node) Receive() {
	buffer := make([]byte, maxMessageBytes)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		msg, err := Decode(buffer[:size])
		if err != nil {
			n.refused.Add(1)
			n.Log.Warn("invalid datagram dropped", "from", from.String(), "cause", err)
			continue
		}
		n.handleMessage(from.Addr().Unmap(), msg)
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

func (n *Node) handleMessage(from netip.Addr, msg *Message) {
	if msg.Kind == KindPermitAsk || msg.Kind == KindPermitDecision {
		n.handlePermitMessage(from, msg)
		return
	}
	now := n.Now()
	n.mu.Lock()
	fresh := n.members.HandleMessage(now, from, msg)
	reply := fresh && n.members.NeedsReply(now, from)
	role, group := n.role, n.group
	elsewhere := n.members.longestServed(now, catalog.ServedSpan{})
	n.mu.Unlock()
	if !fresh {
		return
	}
	n.Lists.RecordServedElsewhere(elsewhere)
	n.applyReport(now, msg, role, group)
	if n.Quarantine.Merge(now, msg.Suspects) {
		n.Log.Info("suspects told", "by", string(msg.Host), "traits", keysOf(msg.Suspects))
	}
	if n.Limiter.Merge(now, msg.Limits) {
		n.Log.Info("rate limits told", "by", string(msg.Host), "limits", len(msg.Limits))
	}
	if n.Drains.Merge(now, msg.Drains, role >= RoleSpeaker) {
		n.Log.Info("draining upstreams told", "by", string(msg.Host), "upstreams", len(msg.Drains))
	}
	if reply {
		n.sendHello(now, from)
	}
	n.requestCatchUp()
}

// sendHello sends a message without a report.
func (n *Node) sendHello(now time.Time, to netip.Addr) {
	n.mu.Lock()
	peers := n.members.SamplePeers(now, maxHelloPeers)
	n.mu.Unlock()
	n.sendMessage(now, []netip.Addr{to}, Message{Kind: KindHello, Peers: peers})
}

// applyReport passes the report in a message to the balancer. Each role takes only
// the reports that together cover the fleet once.
func (n *Node) applyReport(now time.Time, msg *Message, role Role, group GroupID) {
	local := msg.Domain == n.Domain
	switch msg.Kind {
	case KindHost:
		if local && msg.Group.overlaps(group) {
			n.Balancer.ApplyHostReport(now, msg.Host, msg.Report)
		}
	case KindGroup:
		if local && role >= RoleSpeaker && !msg.Group.overlaps(group) {
			n.Balancer.ApplyGroupReport(now, int(msg.Group), msg.Hosts, msg.Report)
		}
	case KindDomain:
		if !local && role == RoleReporter {
			n.Balancer.ApplyDomainReport(now, now, msg.Domain, msg.Hosts, msg.Report)
		}
	case KindRemote:
		if local && role == RoleSpeaker {
			n.Balancer.ApplyRestReport(now, msg.Hosts, msg.Report)
		}
	case KindRest:
		if local && role == RoleMember && msg.Group == group {
			n.Balancer.ApplyRestReport(now, msg.Hosts, msg.Report)
		}
	case KindHello, KindSuspects, KindLimits, KindPermitAsk, KindPermitDecision, KindDrains:
	}
}
