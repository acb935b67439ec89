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
	// Interval is the pause between two messages.
	Interval = 250 * time.Millisecond
	// behindFor is how long a host may be behind a peer before it fetches that
	// peer's lists: its own reader is given time to hear the same.
	behindFor = 300 * time.Millisecond
	// fetchPause is the pause between two fetches.
	fetchPause = 100 * time.Millisecond
)

// Lists are what hosts hand to each other.
type Lists interface {
	// Versions returns what this host has.
	Versions() (table plan.Version, revision uint64)
	// Reading says whether this host hears changes from the platform.
	Reading() bool
	// SetMustRead says whether this host has to hear changes from the platform.
	SetMustRead(must bool)
	// Snapshot returns what is newer than a revision, in a form that Learn takes.
	Snapshot(since uint64) ([]byte, error)
	// Merge takes up another host's lists where they are newer.
	Merge(raw []byte) error
}

// Options are what a Node is made of.
type Options struct {
	Host        plan.HostID
	Domain      plan.DomainID
	Incarnation uint64
	IP          netip.Addr
	// Port is for datagrams, the same on all hosts.
	DatagramPort uint16
	// Peers is the address for calls between hosts. Its port is the same on all
	// hosts.
	RPCAddr    netip.AddrPort
	Seeds      []netip.AddrPort
	Dispatcher *dispatch.Core
	// Quarantine holds what hosts saw of contents that crash upstreams.
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
	// members is guarded by mu.
	members  *Members
	sequence uint64
	live     int
	known    atomic.Int64
	kicks    chan struct{}
	// behindSince is when a peer was first seen to have newer lists.
	behindSince time.Time
	// fetched is when the last fetch began, fetching whether it goes on.
	fetched  time.Time
	fetching bool
}

// Listen opens the sockets of a node. The returned function closes them.
func Listen(o Options) (*Node, func(), error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(o.IP, o.DatagramPort)))
	if err != nil {
		return nil, nil, eris.Wrap(err, "listen for datagrams of peers")
	}
	n := &Node{Options: o, conn: conn, members: NewMembers(o.Now(), o.IP, o.Host, o.Domain, o.Seeds), live: 1, kicks: make(chan struct{}, 1)}
	closePeers, err := n.listenCalls()
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	return n, func() { closePeers(); _ = conn.Close() }, nil
}

// AddSeeds adds hosts that may be there, after a change of the settings.
func (n *Node) AddSeeds(seeds []netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members.AddSeeds(n.Now(), seeds)
}

// LiveCount returns the number of hosts of the own domain that are there, this one
// included.
func (n *Node) LiveCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.LiveCount(n.Now())
}

// KnownCount returns the number of hosts of all domains that are there or were
// lately, this one included, as of the last message sent.
func (n *Node) KnownCount() int { return int(max(1, n.known.Load())) }

// Receive reads messages until the socket is closed.
func (n *Node) Receive() {
	buffer := make([]byte, messageMost)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		msg, err := Decode(buffer[:size])
		if err != nil {
			n.Log.Warn("datagram left out", "from", from.String(), "cause", err)
			continue
		}
		n.heard(from.Addr().Unmap(), msg)
	}
}

func (n *Node) heard(from netip.Addr, msg *Message) {
	now := n.Now()
	n.mu.Lock()
	fresh := n.members.HandleMessage(now, from, msg)
	n.mu.Unlock()
	if !fresh {
		return
	}
	if msg.Domain == n.Domain {
		n.Dispatcher.Heard(now, msg.Host, msg.Report)
	}
	for _, d := range msg.Domains {
		if d.Domain != n.Domain {
			n.Dispatcher.HeardDomain(now.Add(-d.Age), now, d.Domain, d.Hosts, d.Report)
		}
	}
	if len(msg.Suspects) > 0 && n.Quarantine.Merge(now, msg.Suspects) {
		n.Log.Info("suspects told", "by", string(msg.Host), "suspects", len(msg.Suspects))
	}
	n.kick()
}

// Broadcast sends a message to all hosts of the own domain at once, because this host
// has newer lists.
func (n *Node) Broadcast() { n.send(true) }

// kick has the lists of a peer that is ahead fetched soon.
func (n *Node) kick() {
	table, revision := n.Lists.Versions()
	n.mu.Lock()
	_, behind := n.members.PeerWithNewerLists(n.Now(), table, revision)
	n.mu.Unlock()
	if !behind {
		return
	}
	select {
	case n.kicks <- struct{}{}:
	default:
	}
}

// Run sends messages, and fetches newer lists, until ctx ends.
func (n *Node) Run(ctx context.Context) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.send(false)
			n.catchUp()
		case <-n.kicks:
			n.catchUp()
		case <-ctx.Done():
			return
		}
	}
}

// send sends one message to the hosts whose turn it is, or to all of the domain.
func (n *Node) send(all bool) {
	now := n.Now()
	table, revision := n.Lists.Versions()
	reading := n.Lists.Reading()
	n.mu.Lock()
	n.sequence++
	msg := &Message{
		Protocol: protocolVersion, Host: n.Host, Domain: n.Domain, Incarnation: n.Incarnation, Sequence: n.sequence,
		TableVersion: table, Revision: revision, Reading: reading, Peers: n.members.SamplePeers(now),
	}
	near, far := n.members.Targets(now, all)
	reporter := n.members.IsReporter(now)
	must := n.members.MustRead(now)
	live := n.members.LiveCount(now)
	changed := live != n.live
	n.live = live
	n.known.Store(int64(n.members.KnownCount() + n.Dispatcher.OtherHosts()))
	n.mu.Unlock()
	n.Lists.SetMustRead(must)
	if changed {
		n.Log.Info("hosts of the domain in reach changed", "live", live, "reporter", reporter, "reading", must)
	}
	msg.Suspects = n.Quarantine.SuspectsToShare(now)
	msg.Report = n.Dispatcher.Report(now)
	if reporter {
		for _, d := range n.Dispatcher.OtherDomains(now) {
			msg.Domains = append(msg.Domains, DomainReport{Domain: d.Domain, Hosts: d.Hosts, Age: now.Sub(d.At), Report: d.Report})
		}
	}
	n.write(msg, near)
	if len(far) == 0 {
		return
	}
	whole, hosts := n.Dispatcher.DomainReport(now)
	msg.Report = dispatch.Report{}
	msg.Domains = []DomainReport{{Domain: n.Domain, Hosts: hosts, Report: whole}}
	n.write(msg, far)
}

// write sends a message to hosts.
func (n *Node) write(msg *Message, to []netip.Addr) {
	if len(to) == 0 {
		return
	}
	raw, err := msg.Encode()
	if err != nil || len(raw) > messageMost {
		n.Log.Error("message not sent", "bytes", len(raw), "cause", err)
		return
	}
	for _, a := range to {
		if _, err := n.conn.WriteToUDPAddrPort(raw, netip.AddrPortFrom(a, n.DatagramPort)); err != nil {
			n.Log.Warn("message not sent", "to", a.String(), "cause", err)
		}
	}
}

// catchUp fetches the lists of a peer that is ahead. A host that hears the
// platform itself gives it time to say the same.
func (n *Node) catchUp() {
	now := n.Now()
	table, revision := n.Lists.Versions()
	reading := n.Lists.Reading()
	n.mu.Lock()
	peer, behind := n.members.PeerWithNewerLists(now, table, revision)
	if !behind {
		n.behindSince = time.Time{}
	} else if n.behindSince.IsZero() {
		n.behindSince = now
	}
	due := behind && !n.fetching && (!reading || now.Sub(n.behindSince) >= behindFor) && now.Sub(n.fetched) >= fetchPause
	if due {
		n.fetched, n.fetching = now, true
	}
	n.mu.Unlock()
	if !due {
		return
	}
	go func() {
		n.fetch(peer, table, revision)
		n.mu.Lock()
		n.fetching = false
		n.mu.Unlock()
	}()
}
