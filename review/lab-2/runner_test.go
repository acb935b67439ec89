//go:build review

package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// runner is a stand-in for a runner. It answers by a function that a case gives.
type runner struct {
	id, service, zone string
	listener          net.Listener
	born              time.Time
	// answer writes the answer to a request whose body was read.
	answer func(c net.Conn, r *http.Request, body []byte)

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// newRunner starts a runner. The returned function stops it.
func newRunner(id, service, zone string, answer func(net.Conn, *http.Request, []byte)) (*runner, func(), error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	r := &runner{id: id, service: service, zone: zone, listener: listener, born: time.Now(), answer: answer, conns: map[net.Conn]bool{}}
	go r.accept()
	return r, r.stop, nil
}

func (r *runner) stop() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// entry returns the entry of the runner in the store.
func (r *runner) entry(state string) map[string]any {
	return map[string]any{
		"service": r.service, "address": r.listener.Addr().String(), "zone": r.zone, "version": "v1", "slots": 64,
		"state": state, "coldRemainingMs": 0, "sequence": 1, "born": r.born.UnixMilli(),
	}
}

func (r *runner) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.serve(c)
	}
}

func (r *runner) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	reader := bufio.NewReaderSize(c, 1<<10)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id)
			continue
		}
		r.answer(c, request, body)
	}
}
