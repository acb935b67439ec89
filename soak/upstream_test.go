package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"mulberrydyke/fault"
)

// run is one request that an upstream began to work on.
type run struct {
	id, upstream string
	at, ended    time.Time
	tenant, body string
	// leaked says that the caller's key was passed on.
	leaked bool
	path   string
}

// ledger is what all upstreams saw. It is safe for concurrent use.
type ledger struct {
	mu   sync.Mutex
	runs []*run
}

func (l *ledger) begin(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *ledger) end(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ended = time.Now()
}

// upstreamMode is how an upstream behaves.
type upstreamMode int

const (
	sound upstreamMode = iota
	// grey fails some of the requests that it runs.
	grey
	// mute runs requests and answers none.
	mute
	// full runs nothing and says so.
	full
	// torn breaks off in the middle of some answers.
	torn
)

// upstream is a stand-in of a service's back end behind a proxy that brings
// faults about.
type upstream struct {
	id, service, domain string
	ledger              *ledger
	listener            net.Listener
	proxy               *fault.Proxy
	cleanup             func()

	mu       sync.Mutex
	mode     upstreamMode
	served   int
	sequence int
	born     time.Time
}

const (
	// eventPause is the time between two events of a stream.
	eventPause = 15 * time.Millisecond
	// workMost bounds what a short request takes.
	workMost = 60 * time.Millisecond
	// muteTime is how long a mute upstream keeps a connection.
	muteTime = 4 * time.Second
	slots    = 16
)

func newUpstream(id, service, domain string, l *ledger) (*upstream, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{id: id, service: service, domain: domain, ledger: l, listener: listener, born: time.Now()}
	if u.proxy, u.cleanup, err = fault.NewProxy(listener.Addr().String()); err != nil {
		_ = listener.Close()
		return nil, err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return u, nil
}

func (u *upstream) close() {
	_ = u.listener.Close()
	u.cleanup()
}

func (u *upstream) set(m upstreamMode) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.mode = m
}

// entry returns what the upstream writes to the store of itself.
func (u *upstream) entry(state string) map[string]any {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	return map[string]any{
		"service": u.service, "address": u.proxy.Address(), "zone": u.domain, "version": "v1", "slots": slots,
		"state": state, "coldRemainingMs": 0, "sequence": u.sequence, "born": u.born.UnixMilli(),
	}
}

// next returns how the next request is treated.
func (u *upstream) next() (m upstreamMode, odd bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.served++
	return u.mode, u.served%2 == 1
}

func (u *upstream) serve(conn net.Conn) {
	defer conn.Close()
	read := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(read)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !u.answer(conn, r, string(body)) {
			return
		}
	}
}

// answer handles one request. It returns false to close the connection.
func (u *upstream) answer(conn net.Conn, r *http.Request, body string) bool {
	id := r.Header.Get("Request-Id")
	mode, odd := u.next()
	if expect := r.Header.Get("Expect-Instance"); expect != u.id || mode == full {
		status := http.StatusServiceUnavailable
		if expect != u.id {
			status = http.StatusMisdirectedRequest
		}
		fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, id)
		return true
	}
	it := &run{
		id: id, upstream: u.id, at: time.Now(), tenant: r.Header.Get("Tenant"), body: body,
		leaked: r.Header.Get("Authorization") != "", path: r.URL.Path,
	}
	u.ledger.begin(it)
	defer u.ledger.end(it)
	switch {
	case mode == mute:
		_ = conn.SetReadDeadline(time.Now().Add(muteTime))
		_, _ = conn.Read(make([]byte, 1))
		return false
	case mode == grey && odd:
		fmt.Fprintf(conn, "HTTP/1.1 500 X\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Length: 0\r\n\r\n", id, u.id)
		return true
	case strings.HasPrefix(r.URL.Path, "/letter/"), strings.HasPrefix(r.URL.Path, "/draft/"):
		return u.stream(conn, r, id, mode == torn && odd)
	}
	time.Sleep(rand.N(workMost))
	text := answerOf(id)
	if mode == torn && odd {
		fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", id, u.id, len(text), text[:len(text)/2])
		return false
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", id, u.id, len(text), text)
	return err == nil
}

// stream answers with as many events as the path says, from the one after the
// caller's last.
func (u *upstream) stream(conn net.Conn, r *http.Request, id string, torn bool) bool {
	fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id, u.id)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= eventsOf(r.URL.Path); i++ {
		time.Sleep(eventPause)
		if torn && i == last+4 {
			fmt.Fprintf(conn, "40\r\nid: %d\nda", i)
			return false
		}
		text := eventOf(id, i)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// answerOf returns the whole answer to a short request.
func answerOf(id string) string { return strings.Repeat("answer of "+id+"\n", 20) }

// eventOf returns one event of the answer to a stream.
func eventOf(id string, i int) string { return fmt.Sprintf("id: %d\ndata: %s.%d\n\n", i, id, i) }

// eventsOf returns how many events a stream has, the last part of its path.
func eventsOf(path string) int {
	n, _ := strconv.Atoi(path[strings.LastIndexByte(path, '/')+1:])
	return n
}
