package peer

import (
	"net"
	"net/rpc"
	"sync"
)

// serviceName is the net/rpc service under which the handler is registered.
const serviceName = "Peer"

// Server accepts connections of other hosts and serves their calls.
type Server struct {
	listener net.Listener
	rpc      *rpc.Server
	key      []byte
	traffic  *Traffic
	mu       sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
	// wg counts the accept loop and the connections being served.
	wg sync.WaitGroup
}

// maxConnections limits the open connections from peers. Further ones are closed at
// once.
const maxConnections = 1024

// Listen listens on address and serves the methods of handler to peers that hold the
// shared key. It returns the server and a function that stops it.
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
	s.wg.Add(1)
	go s.accept()
	return s, s.close, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// accept accepts connections until the listener is closed.
func (s *Server) accept() {
	defer s.wg.Done()
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

// add registers a connection. It returns false if the server is closed or has too many
// connections.
func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxConnections {
		return false
	}
	s.conns[conn] = true
	s.wg.Add(1)
	return true
}

// serve authenticates a connection and serves its calls until it is closed.
func (s *Server) serve(conn net.Conn) {
	defer s.wg.Done()
	defer s.remove(conn)
	if err := authenticate(conn, s.key, false); err != nil {
		return
	}
	s.rpc.ServeCodec(serverCodec{newCodec(countingConn{conn, s.traffic})})
}

// remove closes a connection and removes it from the server.
func (s *Server) remove(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// close closes the listener and all connections and waits for the goroutines to end.
func (s *Server) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
