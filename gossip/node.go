package gossip

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"mulberrydyke/dispatch"
	"mulberrydyke/plan"
)

const (
	// Interval is the pause between two messages.
	Interval = 250 * time.Millisecond
	// behindFor is how long a host may be behind a peer before it fetches that
	// peer's lists: its own reader is given time to hear the same.
	behindFor = 300 * time.Millisecond
	// fetchPause is the pause between two fetches.
	fetchPause = 500 * time.Millisecond
)

// Lists are what hosts hand to each other.
type Lists interface {
	// Versions returns what this host has.
	Versions() (table plan.Version, revision uint64)
	// Snapshot returns all lists in a form that Learn takes.
	Snapshot() ([]byte, error)
	// Learn takes up another host's lists where they are newer.
	Learn(raw []byte) error
}

// Options are what a Node is made of.
type Options struct {
	Host        plan.HostID
	Domain      plan.DomainID
	Incarnation uint64
	IP          netip.Addr
	// Port is for datagrams, the same on all hosts.
	Port uint16
	// Peers is the address for calls between hosts. Its port is the same on all
	// hosts.
	Peers netip.AddrPort
	Seeds []netip.AddrPort
	Core  *dispatch.Core
	Lists Lists
	Log   *slog.Logger
	Now   func() time.Time
}

// Node exchanges messages with the other hosts.
type Node struct {
	Options
	conn *net.UDPConn
	mu   sync.Mutex
	// members is guarded by mu.
	members  *Members
	sequence uint64
	leaving  bool
	live     int
	// behindSince is when a peer was first seen to have newer lists.
	behindSince time.Time
	fetched     time.Time
}

// Listen opens the sockets of a node. The returned function closes them.
func Listen(o Options) (*Node, func(), error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(o.IP, o.Port)))
	if err != nil {
		return nil, nil, eris.Wrap(err, "listen for datagrams of peers")
	}
	n := &Node{Options: o, conn: conn, members: NewMembers(o.Now(), o.IP, o.Domain, o.Seeds), live: 1}
	closePeers, err := n.listenCalls()
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	return n, func() { closePeers(); _ = conn.Close() }, nil
}

// Seed adds hosts that may be there, after a change of the settings.
func (n *Node) Seed(seeds []netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members.Seed(n.Now(), seeds)
}

// Leave tells the peers that this host is about to stop.
func (n *Node) Leave() {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.send()
}

// Live returns the number of hosts that are there, this one included.
func (n *Node) Live() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.Live(n.Now())
}

// Known returns the number of hosts that are there or were lately, this one
// included.
func (n *Node) Known() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.Known()
}

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
	fresh := n.members.Heard(now, from, msg)
	n.mu.Unlock()
	if fresh {
		n.Core.Heard(now, msg.Host, msg.Domain, msg.Report)
	}
}

// Run sends messages, and fetches newer lists, until ctx ends.
func (n *Node) Run(ctx context.Context) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		n.send()
		n.catchUp()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// send sends one message to the hosts whose turn it is.
func (n *Node) send() {
	now := n.Now()
	table, revision := n.Lists.Versions()
	n.mu.Lock()
	n.sequence++
	msg := &Message{
		Protocol: protocolVersion, Host: n.Host, Domain: n.Domain, Incarnation: n.Incarnation, Sequence: n.sequence,
		Table: table, Revision: revision, Leaving: n.leaving, Peers: n.members.Sample(now),
	}
	targets := n.members.Targets(now)
	live := n.members.Live(now)
	changed := live != n.live
	n.live = live
	n.mu.Unlock()
	if changed {
		n.Log.Info("hosts in reach changed", "live", live)
	}
	msg.Report = n.Core.Report(now)
	raw, err := msg.Encode()
	if err != nil || len(raw) > messageMost {
		n.Log.Error("message not sent", "bytes", len(raw), "cause", err)
		return
	}
	for _, a := range targets {
		if _, err := n.conn.WriteToUDPAddrPort(raw, netip.AddrPortFrom(a, n.Port)); err != nil {
			n.Log.Warn("message not sent", "to", a.String(), "cause", err)
		}
	}
}

// catchUp fetches the lists of a peer that has been ahead for a while.
func (n *Node) catchUp() {
	now := n.Now()
	table, revision := n.Lists.Versions()
	n.mu.Lock()
	peer, behind := n.members.Ahead(now, table, revision)
	if !behind {
		n.behindSince = time.Time{}
	} else if n.behindSince.IsZero() {
		n.behindSince = now
	}
	due := behind && now.Sub(n.fetched) >= fetchPause && (table == 0 || now.Sub(n.behindSince) >= behindFor)
	if due {
		n.fetched = now
	}
	n.mu.Unlock()
	if due {
		go n.fetch(peer, table, revision)
	}
}
