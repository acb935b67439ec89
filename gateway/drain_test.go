package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"mulberrydyke/ratelimit"
)

// respondDraining returns a handler that sends a response with a status and further header
// fields, in which the upstream says that it is draining.
func respondDraining(status int, fields string) stubHandler {
	return func(conn net.Conn, r receivedRequest) bool {
		fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nServer-Leaving: 1\r\n%sContent-Length: 2\r\n\r\nok", status, r.Header.Get("Request-Id"), fields)
		return true
	}
}

const (
	sealField   = "Response-Seal: s\r\n"
	notRunField = "Not-Executed: 1\r\n"
)

// writeDrainingStreamHeader writes the header of a stream in which the upstream says that it is
// draining.
func writeDrainingStreamHeader(conn net.Conn, r receivedRequest) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nServer-Leaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Request-Id"))
}

// breakDrainingStream is a handler that breaks a stream off after three events.
func breakDrainingStream(conn net.Conn, r receivedRequest) bool {
	writeDrainingStreamHeader(conn, r)
	writeEvents(conn, 1, 3)
	return false
}

// TestDrainingIsReadFromAllOwnAnswers guards against hosts that overlook that an upstream is
// draining, because its answer is a refusal or a failure or isn't passed on.
func TestDrainingIsReadFromAllOwnAnswers(t *testing.T) {
	for _, c := range []struct {
		name    string
		path    string
		handler stubHandler
		want    bool
	}{
		{"success", "/place/", respondDraining(200, sealField), true},
		{"refusal", "/place/", respondDraining(503, notRunField), true},
		{"refusal of a stream", "/letter/", respondDraining(503, notRunField), true},
		{"refusal that names the upstream", "/place/", respondDraining(421, "Instance-Id: u1\r\n"), true},
		{"refusal of another upstream", "/place/", respondDraining(421, "Instance-Id: u9\r\n"), false},
		{"refusal of an unknown upstream", "/place/", respondDraining(421, ""), false},
		{"failure", "/place/", respondDraining(500, sealField), true},
		{"failure that isn't passed on", "/place/", respondDraining(503, sealField), true},
		{"unsigned answer", "/place/", respondDraining(200, ""), true},
		{"truncated answer", "/status/", func(conn net.Conn, r receivedRequest) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Leaving: 1\r\nResponse-Seal: s\r\nContent-Length: 9\r\n\r\nhalf", r.Header.Get("Request-Id"))
			return false
		}, true},
		{"broken stream", "/letter/", breakDrainingStream, true},
		{"answer to another request", "/place/", func(conn net.Conn, r receivedRequest) bool {
			io.WriteString(conn, "HTTP/1.1 200 X\r\nRequest-Id: other\r\nServer-Leaving: 1\r\nResponse-Seal: s\r\nContent-Length: 0\r\n\r\n")
			return respond(200, "ok")(conn, r)
		}, false},
		{"answer to no request", "/place/", func(conn net.Conn, r receivedRequest) bool {
			io.WriteString(conn, "HTTP/1.1 503 X\r\nServer-Leaving: 1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		}, false},
	} {
		u := newStub(t, "u1", c.handler)
		f := newFixture(t, u)
		f.post(c.path, "x")
		if got := f.draining(u); got != c.want {
			t.Errorf("%s: draining %v, want %v", c.name, got, c.want)
		}
	}
}

// TestAnswerSpeaksForTheUpstreamThatItNames guards against hosts that take the upstream which
// had an address before for draining, because the one which has it now says that it is.
func TestAnswerSpeaksForTheUpstreamThatItNames(t *testing.T) {
	old := newStub(t, "u1", respondDraining(421, "Instance-Id: u2\r\n"))
	next := &stub{id: "u2", listener: old.listener}
	f := newFixture(t, old, next)
	f.mu.Lock()
	f.upstreams.ByID["u2"].Service = "other"
	f.mu.Unlock()
	f.balancer.SetUpstreams(time.Now(), f.upstreams)
	f.post("/place/", "x")
	if f.draining(old) || !f.draining(next) {
		t.Errorf("draining %v and %v, want only the second", f.draining(old), f.draining(next))
	}
}

// TestDrainingUpstreamGetsNoMoreRequests guards against requests that reach an upstream after
// it said that it is draining: further ones, and streams that go on elsewhere.
func TestDrainingUpstreamGetsNoMoreRequests(t *testing.T) {
	u1 := newStub(t, "u1", breakDrainingStream)
	u2 := newStub(t, "u2", respondStream(4, 6))
	f := newFixture(t, u1, u2)
	f.server.Drains.Record(time.Now(), f.upstreams.ByID["u2"].ProcessKey())
	if got := f.post("/letter/", "p"); got.err == nil || got.body != eventText(1, 3) {
		t.Errorf("body %q, error %v, want three events of a broken stream", got.body, got.err)
	}
	if got := f.post("/letter/", "p"); got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want that no upstream takes it", got.status)
	}
	if len(u1.requests()) != 1 || len(u2.requests()) != 0 {
		t.Errorf("%d and %d requests, want 1 and 0", len(u1.requests()), len(u2.requests()))
	}
}

// TestRequestThatWaitsDoesNotGoToADrainingUpstream guards against requests that wait for a
// permit and are sent to an upstream that has meanwhile said that it is draining.
func TestRequestThatWaitsDoesNotGoToADrainingUpstream(t *testing.T) {
	u := newStub(t, "u1", respond(200, "ok"))
	f := newFixture(t, u)
	key, now := f.upstreams.ByID["u1"].ProcessKey(), time.Now()
	f.server.RateLimits.Record(now, ratelimit.Statement{Key: key, Rate: 2, SentAt: now, ReceivedAt: now})
	time.AfterFunc(100*time.Millisecond, func() { f.server.Drains.Record(time.Now(), key) })
	for f.post("/place/", "x").status == http.StatusOK {
	}
	time.Sleep(100 * time.Millisecond)
	before := len(u.requests())
	if got := f.post("/place/", "x"); got.status != http.StatusServiceUnavailable || len(u.requests()) != before {
		t.Errorf("status %d, %d requests, want that none follows %d", got.status, len(u.requests()), before)
	}
}

// TestStreamOfADrainingUpstreamGoesOn guards against streams that are cut because their
// upstream says that it is draining, and against idle connections that are kept to it.
func TestStreamOfADrainingUpstreamGoesOn(t *testing.T) {
	var f *fixture
	var recorded atomic.Bool
	u := newStub(t, "u1", func(conn net.Conn, r receivedRequest) bool {
		writeDrainingStreamHeader(conn, r)
		writeEvents(conn, 1, 1)
		for deadline := time.Now().Add(time.Second); !recorded.Load() && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			recorded.Store(f.server.Drains.Count() > 0)
		}
		writeEvents(conn, 2, 5)
		io.WriteString(conn, "0\r\n\r\n")
		return true
	})
	f = newFixture(t, u)
	if got := f.post("/draft/", "p"); got.err != nil || got.body != eventText(1, 5) {
		t.Errorf("body %q, error %v", got.body, got.err)
	}
	if !recorded.Load() {
		t.Error("not recorded before the end of the stream")
	}
	select {
	case <-u.firstConnClosed:
	case <-time.After(time.Second):
		t.Error("the connection is kept")
	}
}

// TestIdleConnectionsToADrainingUpstreamAreClosed guards against idle connections that take
// places of an upstream which is draining.
func TestIdleConnectionsToADrainingUpstreamAreClosed(t *testing.T) {
	u := newStub(t, "u1", respond(200, "ok"))
	f := newFixture(t, u)
	f.post("/place/", "x")
	f.server.Drains.Record(time.Now(), f.upstreams.ByID["u1"].ProcessKey())
	select {
	case <-u.firstConnClosed:
	case <-time.After(time.Second):
		t.Error("the connection is kept")
	}
}
