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

	"mulberrydyke/catalog"
	"mulberrydyke/dispatch"
	"mulberrydyke/drain"
	"mulberrydyke/plan"
	"mulberrydyke/quarantine"
	"mulberrydyke/ratelimit"
	"mulberrydyke/route"
)

const (
	// Interval is the time between two messages.
	Interval = 250 * time.Millisecond
	// fetchDelay is how long a host that reads the store itself may be behind a
	// peer before it fetches that peer's lists, so that its own reader has time
	// to receive the same change.
	fetchDelay = 300 * time.Millisecond
	// minFetchInterval is the minimum time between the starts of two fetches, in
	// which a host gathers the changes that follow each other.
	minFetchInterval = 250 * time.Millisecond
	// decideInterval is the time between two decisions whether to read the store, soon
	// after the start and while no reader may be known.
	decideInterval = 50 * time.Millisecond
	// SpreadTime is how long other hosts take at the most until they have what one host
	// of their domain has read, if no message is lost: those of its group fetch it, and
	// from the speakers of the other groups the rest. Either may wait for the next fetch.
	SpreadTime = 2 * max(minFetchInterval, fetchDelay)
	// membersLogInterval is the minimum time between two log lines about the hosts
	// in reach.
	membersLogInterval = time.Second
)

// Lists is this host's copy of the routing table and the upstreams published by
// the platform, as exchanged between hosts.
type Lists interface {
	// Versions returns the version of the routing table that this host has, and the
	// position in the changes of the platform's store up to which it knows them.
	Versions() (table plan.Version, position route.Position)
	// Reading reports whether this host currently reads the platform's store
	// itself.
	Reading() bool
	// SetReadDuty sets this host's part in reading the platform's store.
	SetReadDuty(d catalog.ReadDuty)
	// StoreState returns what this host tells others of the platform's store.
	StoreState() catalog.StoreState
	// RecordServedElsewhere records in which time the store has served other hosts.
	RecordServedElsewhere(s catalog.ServedSpan)
	// Snapshot returns everything after a position, for a host that has the given
	// version of the table, encoded for Merge.
	Snapshot(since route.Position, table plan.Version) ([]byte, error)
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
	// Quarantine holds the requests suspected of crashing upstreams, which hosts tell
	// each other.
	Quarantine *quarantine.Table
	// Limiter holds the rate limits of upstreams, which hosts tell each other, and gives
	// out permits for those that this host keeps.
	Limiter *ratelimit.Limiter
	// Drains holds the upstreams that have said that they are draining, which hosts tell each
	// other.
	Drains *drain.Table
	// LimitListener limits the connections of the RPC listener, which outsiders may reach as well.
	// It may be nil.
	LimitListener func(net.Listener) net.Listener
	Lists         Lists
	Log           *slog.Logger
	Now           func() time.Time
}

// Node exchanges messages with the other hosts.
type Node struct {
	Options
	conn *net.UDPConn
	// transmit sends a datagram to another host, and fetchFrom fetches its lists.
	transmit  func(raw []byte, to netip.Addr)
	fetchFrom func(peer netip.Addr, request FetchRequest) ([]byte, error)
	mu        sync.Mutex
	// members is guarded by mu, as are the fields below except the atomic
	// knownCount and the channel catchUpSignal.
	members  *Members
	sequence uint64
	// role, group and peers are what messages say since the last round.
	role  Role
	group GroupID
	peers []DomainPeers
	// store is what messages say of the platform's store since the last round. Its Served is
	// that of this host or of another one.
	store catalog.StoreState
	// loggedView is the view of the fleet that was logged last, at loggedAt.
	loggedView    fleetView
	loggedAt      time.Time
	knownCount    atomic.Int64
	refused       atomic.Uint64
	catchUpSignal chan struct{}
	// behindSince is when a peer was first seen to have newer lists, or zero.
	behindSince time.Time
	// lastFetch is when the last fetch started; fetching is set while it is in
	// progress.
	lastFetch time.Time
	fetching  bool
	// news holds all kinds of news. It does not change.
	news []news
	// newsRounds counts the calls of tell.
	newsRounds int
	// leaving is set while the host stops.
	leaving bool
	// wasReading is set if this host read the store at the last decision about it.
	wasReading bool
	// pendingAsks holds the asks for permits that are not answered, by their number.
	pendingAsks map[uint64]*pendingAsk
	lastAsk     uint64
	// awaitDecision waits for the answer to an ask.
	awaitDecision func(context.Context, *pendingAsk) (ratelimit.Decision, bool)
}

// Listen opens the sockets of a node. The returned function closes them.
func Listen(o Options) (*Node, func(), error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(o.IP, o.DatagramPort)))
	if err != nil {
		return nil, nil, eris.Wrap(err, "listen for datagrams")
	}
	n := newNode(o)
	n.conn, n.transmit, n.fetchFrom = conn, n.writeDatagram, n.callFetch
	closeRPC, err := n.listenRPC()
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	return n, func() { closeRPC(); _ = conn.Close() }, nil
}

// newNode returns a node without sockets.
func newNode(o Options) *Node {
	n := &Node{Options: o, members: NewMembers(o.Now(), o.IP, o.Host, o.Domain, o.Seeds), catchUpSignal: make(chan struct{}, 1)}
	n.news = newsOf(o)
	n.pendingAsks, n.awaitDecision = map[uint64]*pendingAsk{}, waitForDecision
	n.group = n.members.Group()
	return n
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

// writeDatagram sends a datagram through the node's socket.
func (n *Node) writeDatagram(raw []byte, to netip.Addr) {
	if _, err := n.conn.WriteToUDPAddrPort(raw, netip.AddrPortFrom(to, n.DatagramPort)); err != nil {
		n.Log.Warn("failed to send message", "to", to.String(), "cause", err)
	}
}

// AddSeeds adds candidate hosts after the settings have changed.
func (n *Node) AddSeeds(seeds []netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members.AddSeeds(n.Now(), seeds)
}

// LiveCount returns the number of live hosts of all domains in reach, including
// this one.
func (n *Node) LiveCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.LiveCount(n.Now()) + n.Balancer.RemoteHostCount()
}

// KnownCount returns the number of known hosts of all domains, including this
// one, as of the last message sent.
func (n *Node) KnownCount() int { return int(max(1, n.knownCount.Load())) }

// RefusedMessages returns how many messages were not sent or not accepted because
// of their size or content.
func (n *Node) RefusedMessages() uint64 { return n.refused.Load() }

// Broadcast tells other hosts of newer lists without waiting for the next
// interval. Hosts that neither read the store nor speak for their group leave that
// to those that do.
func (n *Node) Broadcast() {
	n.mu.Lock()
	role := n.role
	n.mu.Unlock()
	if role >= RoleSpeaker || n.Lists.Reading() {
		n.send(n.Now(), true)
	}
}

// requestCatchUp wakes Run to fetch lists if a peer has newer ones.
func (n *Node) requestCatchUp() {
	tableVersion, position := n.Lists.Versions()
	n.mu.Lock()
	_, behind := n.members.PeerWithNewerLists(n.Now(), tableVersion, position)
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
	decideTicker := time.NewTicker(decideInterval)
	defer decideTicker.Stop()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for _, x := range n.news {
		tasks.Go(func() { n.runUpdates(ctx, x) })
	}
	n.send(n.Now(), false)
	for {
		select {
		case <-decideTicker.C:
			if n.decideReading(n.Now()) {
				decideTicker.Stop()
			}
		case <-ticker.C:
			n.send(n.Now(), false)
			n.catchUp()
			if !n.readerKnown(n.Now()) {
				decideTicker.Reset(decideInterval)
			}
		case <-n.catchUpSignal:
			n.catchUp()
		case <-ctx.Done():
			return
		}
	}
}

// decideReading decides whether this host reads the store, and tells the others at once
// that it does. It reports whether one decision per round is enough from now on.
func (n *Node) decideReading(now time.Time) bool {
	reading := n.Lists.Reading()
	n.mu.Lock()
	duty := n.members.ReadDuty(now, reading)
	began := reading && !n.wasReading
	n.wasReading = reading
	n.mu.Unlock()
	n.Lists.SetReadDuty(duty)
	if began {
		n.send(now, true)
	}
	return n.readerKnown(now)
}

// readerKnown reports whether this host knows until the next round which host reads the
// store, because it does so itself or has heard of another one.
func (n *Node) readerKnown(now time.Time) bool {
	reading := n.Lists.Reading()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.readers.settled(now) && (reading || n.members.ReaderKnownUntil(now).After(now.Add(Interval)))
}

// catchUp fetches the lists of a peer that has newer ones.
func (n *Node) catchUp() {
	if peer, before, ok := n.beginFetch(n.Now()); ok {
		go n.fetch(peer, before)
	}
}

// beginFetch returns the peer to fetch lists from now, and what this host has before
// that. It returns false if there is none, or if a fetch is in progress. A host that
// reads the store itself first waits for fetchDelay.
func (n *Node) beginFetch(now time.Time) (peer netip.Addr, before listsVersion, ok bool) {
	before.table, before.position = n.Lists.Versions()
	reading := n.Lists.Reading()
	n.mu.Lock()
	defer n.mu.Unlock()
	peer, behind := n.members.PeerWithNewerLists(now, before.table, before.position)
	if !behind {
		n.behindSince = time.Time{}
	} else if n.behindSince.IsZero() {
		n.behindSince = now
	}
	due := behind && !n.fetching && (!reading || now.Sub(n.behindSince) >= fetchDelay) && now.Sub(n.lastFetch) >= minFetchInterval
	if due {
		n.lastFetch, n.fetching = now, true
	}
	return peer, before, due
}
