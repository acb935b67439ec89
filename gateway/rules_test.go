package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/route"
)

func TestResponseIsForwardedUnchanged(t *testing.T) {
	u := newStub(t, "u1", respond(200, "body"))
	f := newFixture(t, u)
	got := f.post("/place/x?y=%2F", "order")
	if got.status != 200 || got.body != "body" || got.header.Get("Response-Seal") != "s" || got.header.Get("Date") != "" {
		t.Errorf("%+v", got)
	}
	received := u.requests()
	if len(received) != 1 {
		t.Fatalf("%d requests reached the upstream", len(received))
	}
	r := received[0]
	want := []string{"POST", "/place/x?y=%2F", "order", "u1", "acme", ""}
	fields := []string{r.Method, r.RequestURI, r.body, r.Header.Get("Expect-Instance"), r.Header.Get("Tenant"), r.Header.Get("Authorization")}
	if diff := cmp.Diff(want, fields); diff != "" {
		t.Error(diff)
	}
}

func TestUnknownRouteKeyOrTableIsRejected(t *testing.T) {
	f := newFixture(t, newStub(t, "u1", respond(200, "")))
	if got := f.get("/none/"); got.status != 404 {
		t.Errorf("no route: %d", got.status)
	}
	f.setTable(testTable(2, testRoutes(), "another"))
	if got := f.get("/status/"); got.status != 401 {
		t.Errorf("unknown key: %d", got.status)
	}
	f.setTable(nil)
	if got := f.get("/status/"); got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("no table: %d, retry after %q", got.status, got.header.Get("Retry-After"))
	}
}

// TestNonIdempotentRequestIsSentOnce checks that a request that must not run twice
// is never sent again once it may have reached an upstream. Its response is a 502,
// which does not tell the caller that it did not run.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	a, b := newStub(t, "u1", closeConn), newStub(t, "u2", closeConn)
	f := newFixture(t, a, b)
	if got := f.post("/place/", "order"); got.status != 502 {
		t.Errorf("status %d, want 502", got.status)
	}
	if n := len(a.requests()) + len(b.requests()); n != 1 {
		t.Errorf("sent %d times", n)
	}
}

func TestIdempotentRequestIsRetried(t *testing.T) {
	a := newStub(t, "u1", closeConn)
	b := newStub(t, "u2", closeConn)
	f := newFixture(t, a, b)
	if got := f.get("/status/"); got.status != 502 {
		t.Errorf("status %d, want 502", got.status)
	}
	if len(a.requests()) != 1 || len(b.requests()) != 1 {
		t.Errorf("sent %d and %d times, want once to each", len(a.requests()), len(b.requests()))
	}
}

// TestNotExecutedRequestIsRetried checks that a request that an upstream declares
// as not executed is retried even if it is not idempotent.
func TestNotExecutedRequestIsRetried(t *testing.T) {
	a, b := newStub(t, "u1", respondNotRun), newStub(t, "u2", respondNotRun)
	f := newFixture(t, a, b)
	got := f.post("/place/", "order")
	if got.status != 503 || got.header.Get("Retry-After") == "" || got.header.Get("Not-Executed") != "" {
		t.Errorf("%+v", got)
	}
	if len(a.requests()) != 1 || len(b.requests()) != 1 {
		t.Errorf("sent %d and %d times", len(a.requests()), len(b.requests()))
	}
}

// TestNotRunStatusWithoutProofIsNotForwarded checks that a status that tells the
// caller that the request did not run is not forwarded if the request may have run.
func TestNotRunStatusWithoutProofIsNotForwarded(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		f := newFixture(t, newStub(t, "u1", respond(status, "")))
		if got := f.post("/place/", "order"); got.status != 502 || got.header.Get("Response-Seal") != "" {
			t.Errorf("upstream's %d reached the caller as %d with signature %q", status, got.status, got.header.Get("Response-Seal"))
		}
	}
}

func TestUpstreamFailureIsForwardedWithSignature(t *testing.T) {
	f := newFixture(t, newStub(t, "u1", respond(500, "why")))
	if got := f.post("/place/", "order"); got.status != 500 || got.body != "why" || got.header.Get("Response-Seal") != "s" {
		t.Errorf("%+v", got)
	}
}

func TestSuccessWithoutSignatureIsNotForwarded(t *testing.T) {
	f := newFixture(t, newStub(t, "u1", func(conn net.Conn, r receivedRequest) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Request-Id"))
		return true
	}))
	if got := f.post("/place/", "order"); got.status != 502 {
		t.Errorf("status %d", got.status)
	}
}

func TestTruncatedResponseIsNotForwarded(t *testing.T) {
	f := newFixture(t, newStub(t, "u1", func(conn net.Conn, r receivedRequest) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 20\r\n\r\nhalf", r.Header.Get("Request-Id"))
		return false
	}))
	if got := f.post("/place/", "order"); got.status != 502 {
		t.Errorf("status %d", got.status)
	}
}

// TestStrayResponseIsSkipped checks that a response to another request that arrives
// before the expected one is skipped.
func TestStrayResponseIsSkipped(t *testing.T) {
	f := newFixture(t, newStub(t, "u1", func(conn net.Conn, r receivedRequest) bool {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Seal: s\r\nContent-Length: 5\r\n\r\nwrong")
		return respond(200, "right")(conn, r)
	}))
	if got := f.get("/status/"); got.body != "right" {
		t.Errorf("%+v", got)
	}
}

// TestConnWithExtraBytesIsNotReused checks that a connection is closed if bytes
// follow a complete response, since they belong to no request.
func TestConnWithExtraBytesIsNotReused(t *testing.T) {
	u := newStub(t, "u1", func(conn net.Conn, r receivedRequest) bool {
		id := r.Header.Get("Request-Id")
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok"+
			"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 3\r\n\r\nbad", id, id)
		return true
	})
	f := newFixture(t, u)
	for range 2 {
		if got := f.get("/status/"); got.body != "ok" {
			t.Errorf("%+v", got)
		}
	}
	if u.accepted != 2 {
		t.Errorf("%d connections for two requests", u.accepted)
	}
}

// TestConnWithUnsentBodyIsNotReused lets an upstream respond before it has read a
// long body. The connection must be closed then, since the rest of the body was not
// sent.
func TestConnWithUnsentBodyIsNotReused(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	const size = 16 << 20
	responded := make(chan struct{})
	received := make(chan int64, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Read(make([]byte, 64))
		io.WriteString(conn, "HTTP/1.1 503 X\r\nRequest-Id: id-1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		<-responded
		n, _ := io.Copy(io.Discard, conn) // ends when the gateway closes the connection
		received <- n
	}()
	f := newFixture(t, &stub{id: "u1", listener: listener})
	if got := f.post("/place/", strings.Repeat("x", size)); got.status != 503 {
		t.Errorf("%d", got.status)
	}
	close(responded)
	if n := <-received; n >= size {
		t.Errorf("%d bytes arrived after the response", n)
	}
}

func TestStreamIsForwarded(t *testing.T) {
	f := newFixture(t, newStub(t, "u1", respondStream(1, 5)))
	got := f.post("/draft/", "p")
	if got.err != nil || got.body != eventText(1, 5) || got.header.Get("Response-Seal") != "seal-of-u1" {
		t.Errorf("%+v", got)
	}
}

// TestTruncatedStreamIsAborted checks that a truncated stream neither looks
// complete to the caller nor ends within an event.
func TestTruncatedStreamIsAborted(t *testing.T) {
	u := newStub(t, "u1", respondTruncatedStream(3))
	f := newFixture(t, u)
	got := f.post("/draft/", "p")
	if got.err == nil || got.body != eventText(1, 3) {
		t.Errorf("body %q, error %v", got.body, got.err)
	}
	if len(u.requests()) != 1 {
		t.Errorf("sent %d times", len(u.requests()))
	}
}

// TestStreamResumesAtAnotherUpstream checks that a truncated stream of a resumable
// route resumes at another upstream within the same response, which keeps the
// header of the first.
func TestStreamResumesAtAnotherUpstream(t *testing.T) {
	first := true
	var resumed receivedRequest
	handler := func(conn net.Conn, r receivedRequest) bool {
		if first {
			first = false
			return respondTruncatedStream(3)(conn, r)
		}
		resumed = r
		return respondStream(4, 6)(conn, r)
	}
	f := newFixture(t, newStub(t, "u1", handler), newStub(t, "u2", handler))
	got := f.post("/letter/", "p")
	if got.err != nil || got.body != eventText(1, 6) {
		t.Errorf("body %q, error %v", got.body, got.err)
	}
	if resumed.Request == nil || resumed.Header.Get("Last-Event-Id") != "3" {
		t.Errorf("resumed with %v", resumed.Request)
	}
}

// TestTruncatedStreamWithRevokedKeyIsAborted revokes a key while its stream runs,
// and then truncates the stream. The gateway once appended the text of a refusal
// and ended the response normally, so that it looked complete (seen on bluemahoe
// scale-1).
func TestTruncatedStreamWithRevokedKeyIsAborted(t *testing.T) {
	var f *fixture
	handler := func(conn net.Conn, r receivedRequest) bool {
		f.setTable(testTable(2, testRoutes(), "another"))
		return respondTruncatedStream(3)(conn, r)
	}
	f = newFixture(t, newStub(t, "u1", handler), newStub(t, "u2", handler))
	got := f.post("/letter/", "p")
	if got.err == nil || got.body != eventText(1, 3) {
		t.Errorf("body %q, error %v", got.body, got.err)
	}
}

// TestStreamWithDecreasingEventIDsIsAborted checks that a stream is aborted if its
// event IDs decrease, since the caller would receive events twice.
func TestStreamWithDecreasingEventIDsIsAborted(t *testing.T) {
	f := newFixture(t, newStub(t, "u1", func(conn net.Conn, r receivedRequest) bool {
		writeStreamHeader(conn, r)
		writeEvents(conn, 1, 3)
		writeEvents(conn, 2, 4)
		io.WriteString(conn, "0\r\n\r\n")
		return true
	}))
	if got := f.post("/draft/", "p"); got.err == nil || got.body != eventText(1, 3) {
		t.Errorf("body %q, error %v", got.body, got.err)
	}
}

func TestCallerDisconnectCancelsRequest(t *testing.T) {
	for _, path := range []string{"/status/", "/letter/"} {
		u := newStub(t, "u1", hang)
		f := newFixture(t, u)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan callerResponse, 1)
		go func() { done <- f.do(ctx, http.MethodGet, path, "") }()
		for len(u.requests()) == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
		<-done
		<-u.firstConnClosed // the upstream sees its connection close
		if n := len(u.requests()); n != 1 {
			t.Errorf("%s: sent %d times", path, n)
		}
	}
}

func TestRouteTimeoutReturnsGatewayTimeout(t *testing.T) {
	f := newFixture(t, newStub(t, "u1", hang))
	if got := f.get("/brief/"); got.status != 504 {
		t.Errorf("status %d", got.status)
	}
}

// TestUnreachableUpstreamIsSkipped checks that even a request that must not run
// twice is sent to another upstream after a failed dial, which has sent nothing.
func TestUnreachableUpstreamIsSkipped(t *testing.T) {
	unreachable := newStub(t, "u1", closeConn)
	_ = unreachable.listener.Close()
	reachable := newStub(t, "u2", respond(200, "ok"))
	f := newFixture(t, unreachable, reachable)
	for range 6 {
		if got := f.post("/place/", "x"); got.status != 200 {
			t.Errorf("status %d", got.status)
		}
	}
}

// TestDrainingUpstreamGetsNoRequest checks that a request is not sent to an
// upstream that began to shut down after it was selected.
func TestDrainingUpstreamGetsNoRequest(t *testing.T) {
	u := newStub(t, "u1", respond(200, "ok"))
	f := newFixture(t, u)
	f.mu.Lock()
	draining := *f.upstreams.ByID["u1"]
	draining.State = route.Draining
	f.upstreams.ByID["u1"] = &draining
	f.mu.Unlock()
	if got := f.post("/place/", "x"); got.status != 503 {
		t.Errorf("status %d", got.status)
	}
	if n := len(u.requests()); n != 0 {
		t.Errorf("%d requests reached the draining upstream", n)
	}
}

func TestMisdirectedRequestIsRetried(t *testing.T) {
	misdirecting := newStub(t, "u1", func(conn net.Conn, r receivedRequest) bool {
		io.WriteString(conn, "HTTP/1.1 421 X\r\nInstance-Id: i-2\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	f := newFixture(t, misdirecting, newStub(t, "u2", respond(200, "ok")))
	for range 8 {
		if got := f.post("/place/", "x"); got.status != 200 {
			t.Errorf("status %d", got.status)
		}
	}
	if n := len(misdirecting.requests()); n > 1 {
		t.Errorf("%d requests were sent to an address that belongs to another upstream", n)
	}
}
