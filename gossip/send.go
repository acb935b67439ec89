package gossip

import (
	"net/netip"
	"time"

	"mulberrydyke/catalog"
)

// fleetView is what this host logs of the fleet.
type fleetView struct {
	live     int
	role     Role
	mustRead bool
}

// send sends the messages of one round. If urgent is set, this host's own report
// goes to its whole group.
func (n *Node) send(now time.Time, urgent bool) {
	reading, store := n.Lists.Reading(), n.Lists.StoreState()
	n.mu.Lock()
	targets := n.members.Targets(now, urgent)
	n.role, n.group, n.peers = n.members.Role(now), n.members.Group(), n.members.SamplePeers(now, maxLocalPeers)
	n.store = catalog.StoreState{Served: n.members.longestServed(now, store.Served), Failing: store.Failing}
	duty := n.members.ReadDuty(now, reading)
	view := fleetView{live: n.members.LiveCount(now), role: n.role, mustRead: duty.MustRead}
	n.knownCount.Store(int64(n.members.KnownCount() + n.Balancer.RemoteHostCount()))
	n.logView(now, view)
	hosts, leaving := n.members.hostsByDomain()
	n.Limiter.Holders.SetHosts(now, hosts, leaving)
	n.mu.Unlock()
	n.Lists.SetReadDuty(duty)
	n.Balancer.SetSources(now, view.role >= RoleSpeaker, view.role == RoleReporter)
	n.sendReport(now, targets.Group, Message{Kind: KindHost, Report: n.Balancer.Report(now)})
	n.sendToGroups(now, targets)
	n.tell(now, targets.Group)
	if len(targets.Domains) > 0 {
		report, hosts := n.Balancer.DomainReport(now)
		n.sendReport(now, targets.Domains, Message{Kind: KindDomain, Hosts: hosts, Report: report})
	}
}

// sendToGroups sends what a speaker tells the other groups of its domain, and its
// own group of the rest of the fleet.
func (n *Node) sendToGroups(now time.Time, targets Targets) {
	if len(targets.Speakers) > 0 {
		report, hosts := n.Balancer.GroupReport(now)
		n.sendReport(now, targets.Speakers, Message{Kind: KindGroup, Hosts: hosts, Report: report})
	}
	if len(targets.RemoteSpeakers) > 0 {
		report, hosts := n.Balancer.RemoteReport(now)
		n.sendReport(now, targets.RemoteSpeakers, Message{Kind: KindRemote, Hosts: hosts, Report: report})
	}
	if len(targets.Rest) > 0 {
		report, hosts := n.Balancer.RestReport(now)
		n.sendReport(now, targets.Rest, Message{Kind: KindRest, Hosts: hosts, Report: report})
	}
}

// logView logs the hosts in reach if they have changed. n.mu must be held.
func (n *Node) logView(now time.Time, view fleetView) {
	if view == n.loggedView || now.Sub(n.loggedAt) < membersLogInterval {
		return
	}
	n.loggedView, n.loggedAt = view, now
	n.Log.Info("hosts of the group in reach changed", "live", view.live, "speaker", view.role >= RoleSpeaker,
		"reporter", view.role == RoleReporter, "reading", view.mustRead, "known", n.knownCount.Load())
}

// sendReport sends a message, whose report may take several datagrams, to the given
// hosts.
func (n *Node) sendReport(now time.Time, targets []netip.Addr, msg Message) {
	if len(targets) == 0 {
		return
	}
	for _, part := range msg.Report.Split(maxReportBytes) {
		msg.Report = part
		n.sendMessage(now, targets, msg)
	}
}

// sendMessage completes a message with what all messages carry, and sends it.
func (n *Node) sendMessage(now time.Time, targets []netip.Addr, msg Message) {
	msg.Protocol, msg.Host, msg.Domain, msg.Incarnation = protocolVersion, n.Host, n.Domain, n.Incarnation
	msg.TableVersion, msg.Position = n.Lists.Versions()
	reading := n.Lists.Reading()
	n.mu.Lock()
	n.sequence++
	msg.Sequence, msg.Role, msg.Group, msg.Leaving = n.sequence, n.role, n.group, n.leaving
	if msg.carriesReport() {
		msg.Peers = n.peers
	}
	if msg.tellsStore() {
		msg.Served, msg.StoreFailing = newServed(now, n.store.Served), n.store.Failing
	}
	reader, knownAt := n.members.Reader(now, reading && !n.leaving)
	if reader.IsValid() {
		msg.Reader, msg.ReaderAge = reader, now.Sub(knownAt)
	}
	n.mu.Unlock()
	raw, err := msg.Encode()
	if err != nil || len(raw) > maxMessageBytes {
		n.refused.Add(1)
		n.Log.Error("message could not be encoded or is too large", "bytes", len(raw), "cause", err)
		return
	}
	for _, a := range targets {
		n.transmit(raw, a)
	}
}
