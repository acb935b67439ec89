package gossip

import (
	"net"
	"net/netip"
	"net/rpc"
	"time"

	"github.com/rotisserie/eris"

	"mulberrydyke/link"
	"mulberrydyke/plan"
)

const (
	// fetchTimeout bounds a fetch of lists from a peer.
	fetchTimeout = 1500 * time.Millisecond
	// serveTimeout bounds a connection of a peer that fetches lists.
	serveTimeout = 5 * time.Second
	// ackTimeout is how long bytes to a peer may go without acknowledgement.
	ackTimeout = time.Second
	// snapshotMost bounds a snapshot.
	snapshotMost = 16 << 20
)

// listsMethod is the name of the call.
const listsMethod = "Lists.Fetch"

// FetchRequest asks for what a host has in its lists after a revision.
type FetchRequest struct {
	Host  plan.HostID
	Since uint64
}

// FetchReply holds the lists of a host.
type FetchReply struct{ Snapshot []byte }

// listsService answers peers.
type listsService struct{ lists Lists }

// Fetch returns this host's lists.
func (s *listsService) Fetch(in FetchRequest, out *FetchReply) error {
	raw, err := s.lists.Snapshot(in.Since)
	out.Snapshot = raw
	return err
}

// listenCalls serves calls of peers, one connection a call.
func (n *Node) listenCalls() (func(), error) {
	server := rpc.NewServer()
	if err := server.RegisterName("Lists", &listsService{lists: n.Lists}); err != nil {
		return nil, eris.Wrap(err, "register calls of peers")
	}
	listener, err := net.Listen("tcp4", n.Peers.String())
	if err != nil {
		return nil, eris.Wrap(err, "listen for calls of peers")
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.SetDeadline(time.Now().Add(serveTimeout)) // fails only on a closed connection
			go server.ServeConn(conn)
		}
	}()
	return func() { _ = listener.Close() }, nil
}

// fetch asks a peer for its lists and takes them up.
func (n *Node) fetch(peer netip.Addr, table plan.Version, revision uint64) {
	raw, err := fetchFrom(netip.AddrPortFrom(peer, n.Peers.Port()), FetchRequest{Host: n.Host, Since: revision})
	if err == nil {
		err = n.Lists.Learn(raw)
	}
	if err != nil {
		n.Log.Warn("lists not fetched", "peer", peer.String(), "cause", err)
		return
	}
	newTable, newRevision := n.Lists.Versions()
	n.Log.Info("lists fetched", "peer", peer.String(), "table-before", uint64(table), "table", uint64(newTable),
		"revision-before", revision, "revision", newRevision)
}

func fetchFrom(address netip.AddrPort, request FetchRequest) ([]byte, error) {
	dialer := net.Dialer{Timeout: fetchTimeout, Control: link.UserTimeout(ackTimeout)}
	conn, err := dialer.Dial("tcp4", address.String())
	if err != nil {
		return nil, eris.Wrap(err, "dial")
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(fetchTimeout)); err != nil {
		return nil, eris.Wrap(err, "set a deadline")
	}
	client := rpc.NewClient(conn)
	defer client.Close()
	var reply FetchReply
	if err := client.Call(listsMethod, request, &reply); err != nil {
		return nil, eris.Wrap(err, "call")
	}
	if len(reply.Snapshot) > snapshotMost {
		return nil, eris.Errorf("%d bytes are too many", len(reply.Snapshot))
	}
	return reply.Snapshot, nil
}
