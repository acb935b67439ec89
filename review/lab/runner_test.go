//go:build review

package lab

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// run is one request at a runner.
type run struct {
	id, runner  string
	at, endedAt time.Time
	// bodyBytes is the length of the body, once it has been read.
	bodyBytes int
	// ended tells how the run ended.
	ended string
}

// runLog holds the runs at all runners.
type runLog struct {
	mu   sync.Mutex
	runs map[string][]*run
}

func (l *runLog) add(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.id] = append(l.runs[r.id], r)
}

// end records how a run ended.
func (l *runLog) end(r *run, ended string, bodyBytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ended, r.bodyBytes, r.endedAt = ended, bodyBytes, time.Now()
}

// of returns the runs of a request as they are now.
func (l *runLog) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []run
	for _, r := range l.runs[id] {
		out = append(out, *r)
	}
	return out
}

// runner stands in for a runner of a service.
type runner struct {
	id, service, zone string
	listener          net.Listener
	log               *runLog
	started           time.Time
	// bodyDelay is how long after the head of a long request the rest of its body is read.
	// The answer begins before.
	bodyDelay time.Duration
	// window is the size of the receive buffer of its connections, in bytes. Zero leaves the
	// default.
	window int
	// events and eventGap are those of the streams that it answers. Without events it answers
	// with a short body.
	events   int
	eventGap time.Duration
}

// listen starts the runner on a free loopback port.
func (r *runner) listen() error {
	config := net.ListenConfig{Control: r.setWindow}
	listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.listener, r.started = listener, time.Now()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return nil
}

// setWindow sets the receive buffer of a listener, whose connections inherit it.
func (r *runner) setWindow(_, _ string, c syscall.RawConn) error {
	if r.window == 0 {
		return nil
	}
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, r.window)
	})
	return errors.Join(err, sockErr)
}

// entry returns what the runner writes of itself to the store.
func (r *runner) entry() map[string]any {
	return map[string]any{
		"service": r.service, "address": r.listener.Addr().String(), "zone": r.zone, "version": "v1", "slots": 64,
		"state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": r.started.UnixMilli(),
	}
}

// serve answers the requests of one connection, one after the other.
func (r *runner) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !r.answer(conn, request) {
			return
		}
	}
}

// answer runs one request. It returns false if the connection can't be used again.
func (r *runner) answer(conn net.Conn, request *http.Request) bool {
	id := request.Header.Get("Request-Id")
	if request.Header.Get("Expect-Instance") != r.id {
		_, _ = io.Copy(io.Discard, request.Body)
		fmt.Fprintf(conn, "HTTP/1.1 421 X\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return true
	}
	x := &run{id: id, runner: r.id, at: time.Now(), ended: "running"}
	r.log.add(x)
	var bodyBytes int64
	var bodyErr error
	var reading sync.WaitGroup
	reading.Go(func() {
		time.Sleep(r.bodyDelay)
		bodyBytes, bodyErr = io.Copy(io.Discard, request.Body)
	})
	err := r.write(conn, id)
	wroteUntil := time.Now()
	reading.Wait()
	switch {
	case err != nil:
		r.log.end(x, fmt.Sprintf("broken off by the host after %.3f s (%v)", wroteUntil.Sub(x.at).Seconds(), err), int(bodyBytes))
	case bodyErr != nil:
		r.log.end(x, "body: "+bodyErr.Error(), int(bodyBytes))
	default:
		r.log.end(x, "complete", int(bodyBytes))
	}
	return err == nil && bodyErr == nil
}

// write writes the answer to a request.
func (r *runner) write(conn net.Conn, id string) error {
	if r.events == 0 {
		body := strings.Repeat("answer of "+id+"\n", 20)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", id, r.id, len(body), body)
		return err
	}
	head := "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := fmt.Fprintf(conn, head, id, r.id); err != nil {
		return err
	}
	for i := 1; i <= r.events; i++ {
		event := eventText(id, i)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
		time.Sleep(r.eventGap)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}

// eventText is event i of the stream that answers a request.
func eventText(id string, i int) string { return fmt.Sprintf("id: %d\ndata: %s.%d\n\n", i, id, i) }
