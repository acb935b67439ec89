package capacity

import (
	"io"
	"net"
	"sync/atomic"
)

// countingProxy forwards TCP connections to a target and counts the bytes in
// both directions.
type countingProxy struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64
}

func newCountingProxy(target string) (*countingProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &countingProxy{listener: listener, target: target}
	go p.serve()
	return p, nil
}

func (p *countingProxy) address() string { return p.listener.Addr().String() }

func (p *countingProxy) close() { _ = p.listener.Close() }

func (p *countingProxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		go p.copy(server, client)
		go p.copy(client, server)
	}
}

func (p *countingProxy) copy(dst, src net.Conn) {
	defer dst.Close()
	_, _ = io.Copy(countingWriter{dst, &p.bytes}, src)
}

// countingWriter counts the bytes that it writes.
type countingWriter struct {
	w     io.Writer
	bytes *atomic.Int64
}

func (c countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
