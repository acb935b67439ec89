package capacity

import (
	"io"
	"net"
	"sync/atomic"
)

// meter passes connections on to a target and counts their bytes.
type meter struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64
}

func newMeter(target string) (*meter, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &meter{listener: listener, target: target}
	go m.accept()
	return m, nil
}

func (m *meter) address() string { return m.listener.Addr().String() }

func (m *meter) close() { _ = m.listener.Close() }

func (m *meter) accept() {
	for {
		from, err := m.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", m.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		go m.copy(to, from)
		go m.copy(from, to)
	}
}

func (m *meter) copy(to, from net.Conn) {
	defer to.Close()
	_, _ = io.Copy(countingWriter{to, &m.bytes}, from)
}

// countingWriter counts what is written.
type countingWriter struct {
	w     io.Writer
	bytes *atomic.Int64
}

func (c countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
