package gossip

import (
	"bytes"
	"compress/flate"
	"io"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
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

// FetchReply holds the lists of a host, compressed.
type FetchReply struct{ Snapshot []byte }

// listsService answers peers.
type listsService struct {
	lists Lists
	mu    sync.Mutex
	// since, revision and packed are of the last answer: when lists change, all
	// hosts of a domain ask for the same.
	since, revision uint64
	packed          []byte
}

// Fetch returns this host's lists.
func (s *listsService) Fetch(in FetchRequest, out *FetchReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, revision := s.lists.Versions()
	if s.packed == nil || s.since != in.Since || s.revision != revision {
		raw, err := s.lists.Snapshot(in.Since)
		if err != nil {
			return err
		}
		if s.packed, err = pack(raw); err != nil {
			return err
		}
		s.since, s.revision = in.Since, revision
	}
	out.Snapshot = s.packed
	return nil
}

// pack compresses a snapshot: links of small hosts are narrow, and lists compress
// well.
func pack(raw []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	if _, err := w.Write(raw); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	return b.Bytes(), nil
}

// unpack is the inverse of pack. It fails above snapshotMost.
func unpack(packed []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), snapshotMost+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	if len(raw) > snapshotMost {
		return nil, eris.New("snapshot is too large")
	}
	return raw, nil
}

// listenCalls serves calls of peers, one connection a call.
func (n *Node) listenCalls() (func(), error) {
	server := rpc.NewServer()
	if err := server.RegisterName("Lists", &listsService{lists: n.Lists}); err != nil {
		return nil, eris.Wrap(err, "register calls of peers")
	}
	listener, err := net.Listen("tcp4", n.RPCAddr.String())
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
	raw, err := fetchFrom(netip.AddrPortFrom(peer, n.RPCAddr.Port()), FetchRequest{Host: n.Host, Since: revision})
	if err == nil {
		err = n.Lists.Merge(raw)
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
	return unpack(reply.Snapshot)
}
