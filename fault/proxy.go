// Package fault injects network faults between processes. Its TCP proxy can
// disconnect, stall or delay connections while they carry traffic.
package fault

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is how a proxy treats connections and data.
type Mode int

// The modes of a proxy.
const (
	// Pass forwards data in both directions.
	Pass Mode = iota
	// Disconnect closes all connections and closes new ones at once.
	Disconnect
	// Stall keeps all connections open and forwards no data. New connections
	// are accepted and stall too.
	Stall
	// StallExisting stalls the connections that were open when the mode was
	// set; new ones work.
	StallExisting
	// StallReplies forwards data to the target only and holds back replies.
	StallReplies
	// Refuse closes all connections and refuses new ones, as for a process that has
	// ended.
	Refuse
)

// copyBufferBytes is the size of the buffer of each direction of a connection.
const copyBufferBytes = 32 << 10

// Proxy forwards TCP connections to one target.
type Proxy struct {
	target, address string

	mu sync.Mutex
	// listener is nil in mode Refuse.
	listener net.Listener
	mode     Mode
	// modeGeneration counts the changes of mode. StallExisting compares it with the
	// generation in which a connection was opened.
	modeGeneration int
	delay          time.Duration
	conns          map[net.Conn]bool
	// closed is set once the proxy itself is closed.
	closed bool
	// changed is closed and replaced at every change of mode, to wake goroutines
	// that hold back data.
	changed chan struct{}
}

// NewProxy starts a proxy on a free loopback port and returns it with a function
// that closes it.
func NewProxy(target string) (*Proxy, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	p := &Proxy{target: target, address: listener.Addr().String(), listener: listener, conns: map[net.Conn]bool{}, changed: make(chan struct{})}
	go p.accept(listener)
	return p, p.close, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.address }

// SetMode sets the mode of current and future connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.modeGeneration++
	p.notifyLocked()
	p.setListeningLocked(m != Refuse)
	if m == Disconnect || m == Refuse {
		p.closeConnsLocked()
	}
}

// setListeningLocked stops to listen, or listens again at the same address. The caller
// holds p.mu.
func (p *Proxy) setListeningLocked(listening bool) {
	switch {
	case !listening && p.listener != nil:
		_ = p.listener.Close()
		p.listener = nil
	case listening && p.listener == nil && !p.closed:
		listener, err := net.Listen("tcp", p.address)
		if err != nil {
			return // the address was taken meanwhile; the target stays unreachable
		}
		p.listener = listener
		go p.accept(listener)
	}
}

// SetDelay sets the delay before each chunk of data is forwarded, in either
// direction.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// CloseConnections closes all open connections; new ones work.
func (p *Proxy) CloseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeConnsLocked()
}

// notifyLocked wakes all goroutines in awaitForwarding. The caller holds p.mu.
func (p *Proxy) notifyLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// closeConnsLocked closes and unregisters all connections. The caller holds p.mu.
func (p *Proxy) closeConnsLocked() {
	for c := range p.conns {
		_ = c.Close()
	}
	p.conns = map[net.Conn]bool{}
}

// close closes the listener and all connections.
func (p *Proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.setListeningLocked(false)
	p.notifyLocked()
	p.closeConnsLocked()
}

// accept accepts connections until the listener is closed.
func (p *Proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.connect(conn)
	}
}

// connect connects a client to the target and starts to forward both directions.
func (p *Proxy) connect(client net.Conn) {
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	generation, ok := p.register(client, target)
	if !ok {
		_ = client.Close()
		_ = target.Close()
		return
	}
	go p.forward(target, client, generation, true)
	go p.forward(client, target, generation, false)
}

// register adds connections and returns the current mode generation. It returns false
// if they have to be closed instead.
func (p *Proxy) register(conns ...net.Conn) (generation int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.mode == Disconnect {
		return 0, false
	}
	for _, c := range conns {
		p.conns[c] = true
	}
	return p.modeGeneration, true
}

// forward copies data in one direction until either end closes the connection.
func (p *Proxy) forward(dst, src net.Conn, generation int, towardTarget bool) {
	defer p.closeAndUnregister(dst, src)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := src.Read(buffer)
		if n > 0 && !p.awaitForwarding(generation, towardTarget) {
			return
		}
		if _, writeErr := dst.Write(buffer[:n]); writeErr != nil {
			return
		}
		if err != nil {
			if err == io.EOF {
				p.awaitForwarding(generation, towardTarget)
			}
			return
		}
	}
}

// awaitForwarding waits while the mode stalls this direction of a connection, and then
// for the delay. It returns false if the connection has to be closed.
func (p *Proxy) awaitForwarding(generation int, towardTarget bool) bool {
	for {
		p.mu.Lock()
		closed, delay, changed := p.closed || p.mode == Disconnect, p.delay, p.changed
		stalled := p.mode == Stall || p.mode == StallExisting && generation < p.modeGeneration || p.mode == StallReplies && !towardTarget
		p.mu.Unlock()
		if closed {
			return false
		}
		if !stalled {
			time.Sleep(delay)
			return true
		}
		<-changed
	}
}

// closeAndUnregister closes and unregisters connections.
func (p *Proxy) closeAndUnregister(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}
