package gossip

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"mulberrydyke/link"
	"mulberrydyke/plan"
	"mulberrydyke/route"
)

const (
	// fetchTimeout bounds one fetch of the lists from a peer.
	fetchTimeout = 1500 * time.Millisecond
	// serveTimeout bounds one connection from a peer that fetches the lists.
	serveTimeout = 5 * time.Second
	// acceptRetryDelay is the time after a failed accept, for example for lack of descriptors.
	acceptRetryDelay = 100 * time.Millisecond
	// ackTimeout is the TCP user timeout: how long sent data may stay
	// unacknowledged.
	ackTimeout = time.Second
	// maxSnapshotBytes bounds a decompressed snapshot, maxReplyBytes a compressed
	// one, and maxRequestBytes the request for it.
	maxSnapshotBytes = 16 << 20
	maxReplyBytes    = 8 << 20
	maxRequestBytes  = 4 << 10
	// replyLifetime is how long a reply is sent to further hosts. Grace periods in it
	// grow old.
	replyLifetime = 250 * time.Millisecond
)

// fetchMethod is the net/rpc service and method that returns the lists.
const fetchMethod = "Lists.Fetch"

// FetchRequest asks a host for all changes to its lists after a position.
type FetchRequest struct {
	// Host is the host that sends the request.
	Host  plan.HostID
	Since route.Position
	// Table is the version of the table that the host has.
	Table plan.Version
}

// listsVersion tells which lists a host has: the version of its routing table, and
// its position in the changes of the platform's store.
type listsVersion struct {
	table    plan.Version
	position route.Position
}

// FetchReply holds a compressed snapshot of a host's lists.
type FetchReply struct{ Snapshot []byte }

// listsService is the net/rpc service through which peers fetch the lists.
type listsService struct {
	lists Lists
	now   func() time.Time
	mu    sync.Mutex
	// compressed is the last reply, made at madeAt, which took a host from one version
	// to the other. When the lists change, all hosts of a domain send the same request.
	compressed []byte
	madeAt     time.Time
	from, to   listsVersion
}

// Fetch returns a compressed snapshot of this host's lists.
func (s *listsService) Fetch(in FetchRequest, out *FetchReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	from, to := listsVersion{in.Table, in.Since}, listsVersion{}
	to.table, to.position = s.lists.Versions()
	now := s.now()
	if s.compressed == nil || s.from != from || s.to != to || now.Sub(s.madeAt) >= replyLifetime {
		raw, err := s.lists.Snapshot(in.Since, in.Table)
		if err != nil {
			return err
		}
		if s.compressed, err = compress(raw); err != nil {
			return err
		}
		s.from, s.to, s.madeAt = from, to, now
	}
	out.Snapshot = s.compressed
	return nil
}

// boundedConn is a connection from which a bounded number of bytes is read.
type boundedConn struct {
	net.Conn
	left int
}

// Read implements net.Conn. It returns io.EOF when nothing is left.
func (c *boundedConn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// compress compresses a snapshot with DEFLATE. Small hosts have low-bandwidth
// links, and the lists compress well.
func compress(raw []byte) ([]byte, error) {
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

// decompress is the inverse of compress. It returns an error if the result
// exceeds maxSnapshotBytes.
func decompress(compressed []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxSnapshotBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	if len(raw) > maxSnapshotBytes {
		return nil, eris.New("snapshot exceeds the size limit")
	}
	return raw, nil
}

// listenRPC accepts RPC connections from peers. Each connection carries one
// call. The returned function closes the listener.
func (n *Node) listenRPC() (func(), error) {
	server := rpc.NewServer()
	if err := server.RegisterName("Lists", &listsService{lists: n.Lists, now: n.Now}); err != nil {
		return nil, eris.Wrap(err, "register the RPC service")
	}
	listener, err := net.Listen("tcp4", n.RPCAddr.String())
	if err != nil {
		return nil, eris.Wrap(err, "listen for RPC connections")
	}
	if n.LimitListener != nil {
		listener = n.LimitListener(listener)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				n.Log.Warn("peer connection not accepted", "cause", err)
				time.Sleep(acceptRetryDelay)
				continue
			}
			_ = conn.SetDeadline(time.Now().Add(serveTimeout)) // can fail only on a closed connection
			go server.ServeConn(&boundedConn{Conn: conn, left: maxRequestBytes})
		}
	}()
	return func() { _ = listener.Close() }, nil
}

// fetch fetches a peer's lists, after beginFetch, and merges them into this host's
// lists.
func (n *Node) fetch(peer netip.Addr, before listsVersion) {
	defer func() {
		n.mu.Lock()
		n.fetching = false
		n.mu.Unlock()
	}()
	raw, err := n.fetchFrom(peer, FetchRequest{Host: n.Host, Since: before.position, Table: before.table})
	if err == nil {
		err = n.Lists.Merge(raw)
	}
	if err != nil {
		n.Log.Warn("failed to fetch lists", "peer", peer.String(), "cause", err)
		return
	}
	table, position := n.Lists.Versions()
	n.Log.Info("lists fetched", "peer", peer.String(), "table-before", uint64(before.table), "table", uint64(table),
		"revision-before", before.position.Revision, "revision", position.Revision, "epoch", uint64(position.Epoch), "bytes", len(raw))
}

// callFetch fetches a snapshot over a connection of its own.
func (n *Node) callFetch(peer netip.Addr, request FetchRequest) ([]byte, error) {
	address := netip.AddrPortFrom(peer, n.RPCAddr.Port())
	dialer := net.Dialer{Timeout: fetchTimeout, Control: link.TCPUserTimeout(ackTimeout)}
	conn, err := dialer.Dial("tcp4", address.String())
	if err != nil {
		return nil, eris.Wrap(err, "dial")
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(fetchTimeout)); err != nil {
		return nil, eris.Wrap(err, "set deadline")
	}
	client := rpc.NewClient(&boundedConn{Conn: conn, left: maxReplyBytes})
	defer client.Close()
	var reply FetchReply
	if err := client.Call(fetchMethod, request, &reply); err != nil {
		return nil, eris.Wrap(err, "call")
	}
	return decompress(reply.Snapshot)
}
