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

// run is one execution of a request by a runner.
type run struct {
	id, runner string
	at         time.Time
}

// runList holds all runs of a case.
type runList struct {
	mu   sync.Mutex
	runs []run
}

func (l *runList) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// of returns the runs of a request.
func (l *runList) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []run
	for _, r := range l.runs {
		if r.id == id {
			out = append(out, r)
		}
	}
	return out
}

// at returns the runs of a runner that began after a time.
func (l *runList) at(runner string, after time.Time) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []run
	for _, r := range l.runs {
		if r.runner == runner && r.at.After(after) {
			out = append(out, r)
		}
	}
	return out
}

// runner is a stand-in for a runner of a service.
type runner struct {
	id, service, zone string
	born              time.Time
	sequence          int
	listener          net.Listener
	record            *record
	runs              *runList
	// work is how long a request takes.
	work time.Duration
	// answer, if set, answers requests in place of the usual answer. It returns false if the
	// connection is to be closed.
	answer func(conn net.Conn, id string) bool

	mu    sync.Mutex
	conns map[net.Conn]bool
	// leaving is set once its answers say that it leaves.
	leaving bool
}

func newRunner(id, service, zone string, rec *record, runs *runList) (*runner, error) {
	return newRunnerAt("127.0.0.1:0", id, service, zone, rec, runs)
}

func newRunnerAt(address, id, service, zone string, rec *record, runs *runList) (*runner, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	u := &runner{id: id, service: service, zone: zone, born: time.Now(), listener: listener, record: rec, runs: runs, work: 15 * time.Millisecond, conns: map[net.Conn]bool{}}
	go u.accept()
	return u, nil
}

// startAgain starts another process of a runner that has ended, under its id and at its address.
func (u *runner) startAgain() (*runner, error) {
	again, err := newRunnerAt(u.listener.Addr().String(), u.id, u.service, u.zone, u.record, u.runs)
	if err == nil {
		again.work = u.work
	}
	return again, err
}

// entry is what the runner writes about itself into the store.
func (u *runner) entry(state string) map[string]any {
	u.sequence++
	return map[string]any{
		"service": u.service, "address": u.listener.Addr().String(), "zone": u.zone, "version": "v1", "slots": 64,
		"state": state, "coldRemainingMs": 0, "sequence": u.sequence, "born": u.born.UnixMilli(),
	}
}

func (u *runner) accept() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[conn] = true
		u.mu.Unlock()
		go u.serve(conn)
	}
}

// end ends the runner's process: it takes no more connections, and those that are open are closed.
func (u *runner) end() {
	_ = u.listener.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for conn := range u.conns {
		_ = conn.Close()
	}
}

// setLeaving makes the runner say in all answers that it leaves.
func (u *runner) setLeaving() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

// leavingLine returns the header line of a runner that leaves, or nothing.
func (u *runner) leavingLine() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.leaving {
		return "Server-Leaving: 1\r\n"
	}
	return ""
}

func (u *runner) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		u.mu.Lock()
		delete(u.conns, conn)
		u.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil || !u.handle(conn, request) {
			return
		}
	}
}

// handle answers one request. It returns false if the connection is to be closed.
func (u *runner) handle(conn net.Conn, request *http.Request) bool {
	id := request.Header.Get("Request-Id")
	if request.Header.Get("Expect-Instance") != u.id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\n%sContent-Length: 0\r\n\r\n", id, u.id, u.leavingLine())
		return err == nil
	}
	u.runs.add(run{id: id, runner: u.id, at: time.Now()})
	u.record.add("runner %s runs %s", u.id, id)
	if u.answer != nil {
		return u.answer(conn, id)
	}
	time.Sleep(u.work)
	body := "answer to " + id
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, u.id, u.leavingLine(), len(body), body)
	return err == nil
}
