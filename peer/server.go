package peer

import (
	"net"
	"net/rpc"
	"sync"
)

const serviceName = "Peer"

// Server accepts calls of other hosts.
type Server struct {
	listener net.Listener
	rpc      *rpc.Server
	key      []byte
	traffic  *Traffic
	mu       sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
	wait     sync.WaitGroup
}

// connectionsMost bounds the connections of peers.
const connectionsMost = 1024

// Listen opens address and serves handler's methods to peers that hold the
// key. It returns the server and its clean-up function.
func Listen(address, key string, handler any, traffic *Traffic) (*Server, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	s := &Server{listener: listener, rpc: rpc.NewServer(), key: []byte(key), traffic: traffic, conns: map[net.Conn]bool{}}
	if err := s.rpc.RegisterName(serviceName, handler); err != nil {
		_ = listener.Close()
		return nil, nil, err
	}
	s.wait.Add(1)
	go s.accept()
	return s, s.close, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

func (s *Server) accept() {
	defer s.wait.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.add(conn) {
			_ = conn.Close()
			continue
		}
		go s.serve(conn)
	}
}

func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= connectionsMost {
		return false
	}
	s.conns[conn] = true
	s.wait.Add(1)
	return true
}

func (s *Server) serve(conn net.Conn) {
	defer s.wait.Done()
	defer s.remove(conn)
	if err := authenticate(conn, s.key, false); err != nil {
		return
	}
	s.rpc.ServeCodec(serverCodec{newCodec(countedConn{conn, s.traffic})})
}

func (s *Server) remove(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wait.Wait()
}
