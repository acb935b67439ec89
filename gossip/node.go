package gossip

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"mulberrydyke/dispatch"
	"mulberrydyke/plan"
	"mulberrydyke/quarantine"
)

const (
	// Interval is the time between two messages.
	Interval = 250 * time.Millisecond
	// fetchDelay is how long a host that reads the store itself may be behind a
	// peer before it fetches that peer's lists, so that its own reader has time
	// to receive the same change.
	fetchDelay = 300 * time.Millisecond
	// minFetchInterval is the minimum time between the starts of two fetches.
	minFetchInterval = 100 * time.Millisecond
)

// Lists is this host's copy of the routing table and the upstreams published by
// the platform, as exchanged between hosts.
type Lists interface {
	// Versions returns the version of the routing table and the revision of the
	// platform's store that this host has.
	Versions() (table plan.Version, revision uint64)
	// Reading reports whether this host currently reads the platform's store
	// itself.
	Reading() bool
	// SetMustRead sets whether this host has to read the platform's store
	// itself.
	SetMustRead(mustRead bool)
	// Snapshot returns everything newer than a revision, encoded for Merge.
	Snapshot(since uint64) ([]byte, error)
	// Merge applies the parts of another host's snapshot that are newer.
	Merge(raw []byte) error
}

// Options configures a Node.
type Options struct {
	Host        plan.HostID
	Domain      plan.DomainID
	Incarnation uint64
	IP          netip.Addr
	// DatagramPort is the UDP port for messages, the same on all hosts.
	DatagramPort uint16
	// RPCAddr is the address of this host's RPC listener. Its port is the same
	// on all hosts.
	RPCAddr  netip.AddrPort
	Seeds    []netip.AddrPort
	Balancer *dispatch.Balancer
	// Quarantine holds the requests suspected of crashing upstreams.
	Quarantine *quarantine.Table
	Lists      Lists
	Log        *slog.Logger
	Now        func() time.Time
}

// Node exchanges messages with the other hosts.
type Node struct {
	Options
	conn *net.UDPConn
	mu   sync.Mutex
	// members is guarded by mu, as are the fields below except the atomic
	// knownCount and the channel catchUpSignal.
	members       *Members
	sequence      uint64
	lastLiveCount int
	knownCount    atomic.Int64
	catchUpSignal chan struct{}
	// behindSince is when a peer was first seen to have newer lists, or zero.
	behindSince time.Time
	// lastFetch is when the last fetch started; fetching is set while it is in
	// progress.
	lastFetch time.Time
	fetching  bool
}

// Listen opens the sockets of a node. The returned function closes them.
func Listen(o Options) (*Node, func(), error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(o.IP, o.DatagramPort)))
	if err != nil {
		return nil, nil, eris.Wrap(err, "listen for datagrams")
	}
	n := &Node{Options: o, conn: conn, members: NewMembers(o.Now(), o.IP, o.Host, o.Domain, o.Seeds), lastLiveCount: 1, catchUpSignal: make(chan struct{}, 1)}
	closeRPC, err := n.listenRPC()
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	return n, func() { closeRPC(); _ = conn.Close() }, nil
}

// AddSeeds adds candidate hosts after the settings have changed.
func (n *Node) AddSeeds(seeds []netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members.AddSeeds(n.Now(), seeds)
}

// LiveCount returns the number of live hosts of the local domain, including
// this one.
func (n *Node) LiveCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.LiveCount(n.Now())
}

// KnownCount returns the number of known hosts of all domains, including this
// one, as of the last message sent.
func (n *Node) KnownCount() int { return int(max(1, n.knownCount.Load())) }

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
			n.Log.Warn("invalid datagram dropped", "from", from.String(), "cause", err)
			continue
		}
		n.handleMessage(from.Addr().Unmap(), msg)
	}
}

func (n *Node) handleMessage(from netip.Addr, msg *Message) {
	now := n.Now()
	n.mu.Lock()
	fresh := n.members.HandleMessage(now, from, msg)
	n.mu.Unlock()
	if !fresh {
		return
	}
	if msg.Domain == n.Domain {
		n.Balancer.ApplyHostReport(now, msg.Host, msg.Report)
	}
	for _, d := range msg.Domains {
		if d.Domain != n.Domain {
			n.Balancer.ApplyDomainReport(now.Add(-d.Age), now, d.Domain, d.Hosts, d.Report)
		}
	}
	if len(msg.Suspects) > 0 && n.Quarantine.Merge(now, msg.Suspects) {
		n.Log.Info("suspects told", "by", string(msg.Host), "suspects", len(msg.Suspects))
	}
	n.requestCatchUp()
}

// Broadcast sends a message to all live hosts of the local domain without
// waiting for the next interval. It is called when this host has newer lists.
func (n *Node) Broadcast() { n.send(true) }

// requestCatchUp wakes Run to fetch lists if a peer has newer ones.
func (n *Node) requestCatchUp() {
	tableVersion, revision := n.Lists.Versions()
	n.mu.Lock()
	_, behind := n.members.PeerWithNewerLists(n.Now(), tableVersion, revision)
	n.mu.Unlock()
	if !behind {
		return
	}
	select {
	case n.catchUpSignal <- struct{}{}:
	default:
	}
}

// Run sends messages and fetches newer lists until ctx ends.
func (n *Node) Run(ctx context.Context) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.send(false)
			n.catchUp()
		case <-n.catchUpSignal:
			n.catchUp()
		case <-ctx.Done():
			return
		}
	}
}

// send sends one message to the next targets, or to the whole local domain.
func (n *Node) send(wholeDomain bool) {
	now := n.Now()
	tableVersion, revision := n.Lists.Versions()
	reading := n.Lists.Reading()
	n.mu.Lock()
	n.sequence++
	msg := &Message{
		Protocol: protocolVersion, Host: n.Host, Domain: n.Domain, Incarnation: n.Incarnation, Sequence: n.sequence,
		TableVersion: tableVersion, Revision: revision, Reading: reading, Peers: n.members.SamplePeers(now),
	}
	local, remote := n.members.Targets(now, wholeDomain)
	reporter := n.members.IsReporter(now)
	mustRead := n.members.MustRead(now)
	live := n.members.LiveCount(now)
	changed := live != n.lastLiveCount
	n.lastLiveCount = live
	n.knownCount.Store(int64(n.members.KnownCount() + n.Balancer.RemoteHostCount()))
	n.mu.Unlock()
	n.Lists.SetMustRead(mustRead)
	if changed {
		n.Log.Info("hosts of the domain in reach changed", "live", live, "reporter", reporter, "reading", mustRead)
	}
	msg.Suspects = n.Quarantine.SuspectsToShare(now)
	msg.Report = n.Balancer.Report(now)
	if reporter {
		for _, d := range n.Balancer.RemoteDomains(now) {
			msg.Domains = append(msg.Domains, DomainReport{Domain: d.Domain, Hosts: d.Hosts, Age: now.Sub(d.ReportedAt), Report: d.Report})
		}
	}
	n.sendTo(msg, local)
	if len(remote) == 0 {
		return
	}
	domainReport, hosts := n.Balancer.DomainReport(now)
	msg.Report = dispatch.Report{}
	msg.Domains = []DomainReport{{Domain: n.Domain, Hosts: hosts, Report: domainReport}}
	n.sendTo(msg, remote)
}

// sendTo encodes a message and sends it to the given hosts.
func (n *Node) sendTo(msg *Message, targets []netip.Addr) {
	if len(targets) == 0 {
		return
	}
	raw, err := msg.Encode()
	if err != nil || len(raw) > maxMessageBytes {
		n.Log.Error("message could not be encoded or is too large", "bytes", len(raw), "cause", err)
		return
	}
	for _, a := range targets {
		if _, err := n.conn.WriteToUDPAddrPort(raw, netip.AddrPortFrom(a, n.DatagramPort)); err != nil {
			n.Log.Warn("failed to send message", "to", a.String(), "cause", err)
		}
	}
}

// catchUp fetches the lists of a peer that has newer ones. A host that reads
// the store itself first waits for fetchDelay.
func (n *Node) catchUp() {
	now := n.Now()
	tableVersion, revision := n.Lists.Versions()
	reading := n.Lists.Reading()
	n.mu.Lock()
	peer, behind := n.members.PeerWithNewerLists(now, tableVersion, revision)
	if !behind {
		n.behindSince = time.Time{}
	} else if n.behindSince.IsZero() {
		n.behindSince = now
	}
	due := behind && !n.fetching && (!reading || now.Sub(n.behindSince) >= fetchDelay) && now.Sub(n.lastFetch) >= minFetchInterval
	if due {
		n.lastFetch, n.fetching = now, true
	}
	n.mu.Unlock()
	if !due {
		return
	}
	go func() {
		n.fetch(peer, tableVersion, revision)
		n.mu.Lock()
		n.fetching = false
		n.mu.Unlock()
	}()
}
