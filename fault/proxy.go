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
)

const copyBytes = 32 << 10

// Proxy forwards TCP connections to one target.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  Mode
	epoch int
	delay time.Duration
	conns map[net.Conn]bool
	shut  bool
	// changed is closed and replaced at every change of mode.
	changed chan struct{}
}

// NewProxy starts a proxy on a free loopback port and returns it with a function
// that closes it.
func NewProxy(target string) (*Proxy, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	p := &Proxy{target: target, listener: listener, conns: map[net.Conn]bool{}, changed: make(chan struct{})}
	go p.accept()
	return p, p.close, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode sets the mode of current and future connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.epoch++
	p.wake()
	if m == Disconnect {
		p.closeAll()
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
	p.closeAll()
}

func (p *Proxy) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) closeAll() {
	for c := range p.conns {
		_ = c.Close()
	}
	p.conns = map[net.Conn]bool{}
}

func (p *Proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shut = true
	p.wake()
	p.closeAll()
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(conn)
	}
}

func (p *Proxy) connect(from net.Conn) {
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = from.Close()
		return
	}
	epoch, ok := p.add(from, to)
	if !ok {
		_ = from.Close()
		_ = to.Close()
		return
	}
	go p.copy(to, from, epoch, true)
	go p.copy(from, to, epoch, false)
}

func (p *Proxy) add(conns ...net.Conn) (epoch int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shut || p.mode == Disconnect {
		return 0, false
	}
	for _, c := range conns {
		p.conns[c] = true
	}
	return p.epoch, true
}

// copy passes one direction on until either end closes.
func (p *Proxy) copy(to, from net.Conn, epoch int, forth bool) {
	defer p.drop(to, from)
	buffer := make([]byte, copyBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.await(epoch, forth) {
			return
		}
		if _, werr := to.Write(buffer[:n]); werr != nil {
			return
		}
		if err != nil {
			if err == io.EOF {
				p.await(epoch, forth)
			}
			return
		}
	}
}

// await holds traffic back while the mode says so. It returns false once the
// proxy is closed.
func (p *Proxy) await(epoch int, forth bool) bool {
	for {
		p.mu.Lock()
		shut, delay, changed := p.shut || p.mode == Disconnect, p.delay, p.changed
		silent := p.mode == Stall || p.mode == StallExisting && epoch < p.epoch || p.mode == StallReplies && !forth
		p.mu.Unlock()
		if shut {
			return false
		}
		if !silent {
			time.Sleep(delay)
			return true
		}
		<-changed
	}
}

func (p *Proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}
