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

// upstreamRun is one execution of a request by an upstream.
type upstreamRun struct {
	id, upstream       string
	domain             string
	startedAt, endedAt time.Time
	account, body      string
	// keyForwarded reports whether the request carried an Authorization header, that is
	// the caller's API key.
	keyForwarded bool
	path         string
	poisoned     bool
}

// runLog records the runs at all upstreams. It is safe for concurrent use.
type runLog struct {
	mu   sync.Mutex
	runs []*upstreamRun
}

// beginRun adds a run that has started.
func (l *runLog) beginRun(r *upstreamRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// endRun records the end of a run.
func (l *runLog) endRun(r *upstreamRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.endedAt = time.Now()
}

// upstreamMode is how an upstream behaves.
type upstreamMode int

// The modes of an upstream.
const (
	// modeNormal answers every request.
	modeNormal upstreamMode = iota
	// modeFailing runs every request and answers every other one with status 500.
	modeFailing
	// modeUnresponsive starts to run requests and never answers.
	modeUnresponsive
	// modeOverloaded runs nothing and answers 503 with Not-Executed.
	modeOverloaded
	// modeTruncating closes the connection in the middle of every other response.
	modeTruncating
)

// fakeUpstream is a stand-in for an upstream of a service, behind a proxy that injects
// network faults.
type fakeUpstream struct {
	id, service, domain string
	runLog              *runLog
	listener            net.Listener
	proxy               *fault.Proxy
	closeProxy          func()
	// crash lets the upstream's process end and come back.
	crash func(*fakeUpstream)

	mu           sync.Mutex
	mode         upstreamMode
	requestCount int
	sequence     int
	startedAt    time.Time
	// crashed is set from the end of the process to its next start.
	crashed bool
	limit   namedLimit
	// coldStart is how long each process is cold, and coldArrivals what arrived then, but for
	// requests that were answered with 421.
	coldStart    time.Duration
	coldArrivals []coldArrival
	// saysDraining is set while its answers say that it is draining.
	saysDraining bool
	// endless, if set, holds the start of all answers and the text that follows without end.
	endless *[2]string
	// workTime is how long requests without a stream take at least.
	workTime time.Duration
}

// setEndless lets the upstream answer without end.
func (u *fakeUpstream) setEndless(answer [2]string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.endless = &answer
}

// setWorkTime sets how long requests take.
func (u *fakeUpstream) setWorkTime(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.workTime = d
}

// behaviour returns what setEndless and setWorkTime have set.
func (u *fakeUpstream) behaviour() (endless *[2]string, workTime time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.endless, u.workTime
}

const (
	// eventInterval is the time between two events of a stream.
	eventInterval = 15 * time.Millisecond
	// maxWorkTime bounds the random time that a request without a stream takes.
	maxWorkTime = 60 * time.Millisecond
	// unresponsiveTime is how long modeUnresponsive keeps a connection open.
	unresponsiveTime = 4 * time.Second
	// upstreamSlots is the number of concurrent requests that an upstream announces. The
	// stand-in does not enforce it.
	upstreamSlots = 16
)

// newFakeUpstream starts an upstream on a loopback address.
func newFakeUpstream(id, service, domain string, log *runLog, crash func(*fakeUpstream)) (*fakeUpstream, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &fakeUpstream{id: id, service: service, domain: domain, runLog: log, crash: crash, listener: listener, startedAt: time.Now()}
	if u.proxy, u.closeProxy, err = fault.NewProxy(listener.Addr().String()); err != nil {
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

// close closes the listener and the proxy.
func (u *fakeUpstream) close() {
	_ = u.listener.Close()
	u.closeProxy()
}

// setMode changes how the upstream treats later requests.
func (u *fakeUpstream) setMode(mode upstreamMode) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.mode = mode
}

// storeValue returns the value that describes the upstream in the store.
func (u *fakeUpstream) storeValue(state string) map[string]any {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	return map[string]any{
		"service": u.service, "address": u.proxy.Address(), "zone": u.domain, "version": "v1", "slots": upstreamSlots,
		"state": state, "coldRemainingMs": max(0, u.coldStart-time.Since(u.startedAt)).Milliseconds(), "sequence": u.sequence, "born": u.startedAt.UnixMilli(),
	}
}

// nextRequest counts a request. It returns the mode and whether the number of requests
// is odd, which selects the requests that a mode fails.
func (u *fakeUpstream) nextRequest() (mode upstreamMode, oddRequest bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requestCount++
	return u.mode, u.requestCount%2 == 1
}

// serve handles the requests of one connection.
func (u *fakeUpstream) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !u.handle(conn, r, string(body)) {
			return
		}
	}
}

// handle handles one request. It returns false to close the connection.
func (u *fakeUpstream) handle(conn net.Conn, r *http.Request, body string) bool {
	id := r.Header.Get("Request-Id")
	u.recordArrival(id)
	if r.Header.Get("Expect-Instance") == u.id {
		u.recordColdArrival()
	}
	mode, oddRequest := u.nextRequest()
	if expectedInstance := r.Header.Get("Expect-Instance"); expectedInstance != u.id || mode == modeOverloaded {
		status := http.StatusServiceUnavailable
		if expectedInstance != u.id {
			status = http.StatusMisdirectedRequest
		}
		fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, id, u.termsHeader())
		return true
	}
	run := &upstreamRun{
		id: id, upstream: u.id, domain: u.domain, startedAt: time.Now(), account: r.Header.Get("Tenant"), body: body,
		keyForwarded: r.Header.Get("Authorization") != "", path: r.URL.Path,
		poisoned: strings.Contains(r.Header.Get("Prompt-Prefix"), poisonPart),
	}
	u.runLog.beginRun(run)
	defer u.runLog.endRun(run)
	endless, workTime := u.behaviour()
	switch {
	case endless != nil:
		sendEndlessly(conn, fmt.Sprintf(endless[0], id), endless[1])
		return false
	case strings.Contains(r.Header.Get("Prompt-Prefix"), poisonPart):
		u.writeStreamHead(conn, id)
		time.Sleep(poisonDelay)
		u.crash(u)
		return false
	case mode == modeUnresponsive:
		_ = conn.SetReadDeadline(time.Now().Add(unresponsiveTime))
		_, _ = conn.Read(make([]byte, 1))
		return false
	case mode == modeFailing && oddRequest:
		fmt.Fprintf(conn, "HTTP/1.1 500 X\r\nRequest-Id: %s\r\n%sResponse-Seal: %s\r\nContent-Length: 0\r\n\r\n", id, u.termsHeader(), u.id)
		return true
	case strings.HasPrefix(r.URL.Path, "/letter/"), strings.HasPrefix(r.URL.Path, "/draft/"):
		return u.serveStream(conn, r, id, mode == modeTruncating && oddRequest)
	}
	time.Sleep(workTime + rand.N(maxWorkTime))
	response := responseBody(id)
	if mode == modeTruncating && oddRequest {
		fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\n%sResponse-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", id, u.termsHeader(), u.id, len(response), response[:len(response)/2])
		return false
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\n%sResponse-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", id, u.termsHeader(), u.id, len(response), response)
	return err == nil
}

// serveStream sends the events after Last-Event-Id, up to the count in the path. If
// truncate is set it breaks off in the middle of the fourth event that it sends. It
// returns false to close the connection.
func (u *fakeUpstream) serveStream(conn net.Conn, r *http.Request, id string, truncate bool) bool {
	u.writeStreamHead(conn, id)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= eventCount(r.URL.Path); i++ {
		time.Sleep(eventInterval)
		if truncate && i == last+4 {
			fmt.Fprintf(conn, "40\r\nid: %d\nda", i)
			return false
		}
		event := eventText(id, i)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

func (u *fakeUpstream) writeStreamHead(conn net.Conn, requestID string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\n%sResponse-Seal: %s\r\nTransfer-Encoding: chunked\r\n\r\n", requestID, u.termsHeader(), u.id)
}

// responseBody returns the complete response body of a request without a stream.
func responseBody(id string) string { return strings.Repeat("answer of "+id+"\n", 20) }

// eventText returns event i of a streamed response, as server-sent event text.
func eventText(id string, i int) string { return fmt.Sprintf("id: %d\ndata: %s.%d\n\n", i, id, i) }

// eventCount returns the number of events that a request for a stream asks for. It is
// the last element of the path.
func eventCount(path string) int {
	n, _ := strconv.Atoi(path[strings.LastIndexByte(path, '/')+1:])
	return n
}
