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

func TestAnswerPassesUnchanged(t *testing.T) {
	u := newStub(t, "u1", whole(200, "body"))
	f := newFixture(t, u)
	got := f.post("/place/x?y=%2F", "order")
	if got.status != 200 || got.body != "body" || got.header.Get("Response-Seal") != "s" || got.header.Get("Date") != "" {
		t.Errorf("%+v", got)
	}
	ledger := u.got()
	if len(ledger) != 1 {
		t.Fatalf("%d requests reached the upstream", len(ledger))
	}
	r := ledger[0]
	want := []string{"POST", "/place/x?y=%2F", "order", "u1", "acme", ""}
	have := []string{r.Method, r.RequestURI, r.body, r.Header.Get("Expect-Instance"), r.Header.Get("Tenant"), r.Header.Get("Authorization")}
	if diff := cmp.Diff(want, have); diff != "" {
		t.Error(diff)
	}
}

func TestUnknownRouteKeyAndTable(t *testing.T) {
	f := newFixture(t, newStub(t, "u1", whole(200, "")))
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

// After the request may have left, a request that must not run twice is never
// sent again, and its answer promises nothing.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	a, b := newStub(t, "u1", closes), newStub(t, "u2", closes)
	f := newFixture(t, a, b)
	if got := f.post("/place/", "order"); got.status != 502 {
		t.Errorf("status %d, want 502", got.status)
	}
	if n := len(a.got()) + len(b.got()); n != 1 {
		t.Errorf("sent %d times", n)
	}
}

func TestIdempotentRequestIsSentAgain(t *testing.T) {
	a := newStub(t, "u1", closes)
	b := newStub(t, "u2", closes)
	f := newFixture(t, a, b)
	if got := f.get("/status/"); got.status != 502 {
		t.Errorf("status %d, want 502", got.status)
	}
	if len(a.got()) != 1 || len(b.got()) != 1 {
		t.Errorf("sent %d and %d times, want once to each", len(a.got()), len(b.got()))
	}
}

// What an upstream says it did not run may go to another one, of any kind.
func TestRefusedRequestIsOfferedElsewhere(t *testing.T) {
	a, b := newStub(t, "u1", notRun), newStub(t, "u2", notRun)
	f := newFixture(t, a, b)
	got := f.post("/place/", "order")
	if got.status != 503 || got.header.Get("Retry-After") == "" || got.header.Get("Not-Executed") != "" {
		t.Errorf("%+v", got)
	}
	if len(a.got()) != 1 || len(b.got()) != 1 {
		t.Errorf("offered %d and %d times", len(a.got()), len(b.got()))
	}
}

// A status that promises that nothing ran is not passed on where it may have.
func TestRefusalWithoutProofIsNotPassedOn(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		f := newFixture(t, newStub(t, "u1", whole(status, "")))
		if got := f.post("/place/", "order"); got.status != 502 || got.header.Get("Response-Seal") != "" {
			t.Errorf("upstream's %d reached the caller as %d with seal %q", status, got.status, got.header.Get("Response-Seal"))
		}
	}
}

func TestFailureOfAnUpstreamPassesWithItsSeal(t *testing.T) {
	f := newFixture(t, newStub(t, "u1", whole(500, "why")))
	if got := f.post("/place/", "order"); got.status != 500 || got.body != "why" || got.header.Get("Response-Seal") != "s" {
		t.Errorf("%+v", got)
	}
}

func TestSuccessWithoutSealIsNotPassedOn(t *testing.T) {
	f := newFixture(t, newStub(t, "u1", func(conn net.Conn, r seen) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Request-Id"))
		return true
	}))
	if got := f.post("/place/", "order"); got.status != 502 {
		t.Errorf("status %d", got.status)
	}
}

func TestTruncatedAnswerIsNotPassedOn(t *testing.T) {
	f := newFixture(t, newStub(t, "u1", func(conn net.Conn, r seen) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 20\r\n\r\nhalf", r.Header.Get("Request-Id"))
		return false
	}))
	if got := f.post("/place/", "order"); got.status != 502 {
		t.Errorf("status %d", got.status)
	}
}

// An answer to another request, where the next one is expected, is skipped.
func TestLateExtraAnswerIsSkipped(t *testing.T) {
	f := newFixture(t, newStub(t, "u1", func(conn net.Conn, r seen) bool {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Seal: s\r\nContent-Length: 5\r\n\r\nwrong")
		return whole(200, "right")(conn, r)
	}))
	if got := f.get("/status/"); got.body != "right" {
		t.Errorf("%+v", got)
	}
}

// Bytes after a whole answer belong to no request: the connection is closed.
func TestConnectionWithBytesLeftOverIsNotUsedAgain(t *testing.T) {
	u := newStub(t, "u1", func(conn net.Conn, r seen) bool {
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
	if u.opened != 2 {
		t.Errorf("%d connections for two requests", u.opened)
	}
}

// An upstream may answer before it has read a long body. The rest of the body
// must not be followed by another request.
func TestConnectionWithAnUnsentBodyIsNotUsedAgain(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	const size = 16 << 20
	answered := make(chan struct{})
	received := make(chan int64, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Read(make([]byte, 64))
		io.WriteString(conn, "HTTP/1.1 503 X\r\nRequest-Id: id-1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		<-answered
		n, _ := io.Copy(io.Discard, conn) // ends when the product closes the connection
		received <- n
	}()
	f := newFixture(t, &stub{id: "u1", listener: listener})
	if got := f.post("/place/", strings.Repeat("x", size)); got.status != 503 {
		t.Errorf("%d", got.status)
	}
	close(answered)
	if n := <-received; n >= size {
		t.Errorf("%d bytes arrived after the answer", n)
	}
}

func TestStreamPassesEventByEvent(t *testing.T) {
	f := newFixture(t, newStub(t, "u1", stream(1, 5)))
	got := f.post("/draft/", "p")
	if got.err != nil || got.body != events(1, 5) || got.header.Get("Response-Seal") != "seal-of-u1" {
		t.Errorf("%+v", got)
	}
}

// A stream that breaks off must not look complete, nor end in half an event.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	u := newStub(t, "u1", cutStream(3))
	f := newFixture(t, u)
	got := f.post("/draft/", "p")
	if got.err == nil || got.body != events(1, 3) {
		t.Errorf("body %q, error %v", got.body, got.err)
	}
	if len(u.got()) != 1 {
		t.Errorf("sent %d times", len(u.got()))
	}
}

// A stream that may be resumed goes on at another upstream inside one answer,
// which keeps the head of the first.
func TestStreamGoesOnAtAnotherUpstream(t *testing.T) {
	first := true
	var resumed seen
	s := func(conn net.Conn, r seen) bool {
		if first {
			first = false
			return cutStream(3)(conn, r)
		}
		resumed = r
		return stream(4, 6)(conn, r)
	}
	f := newFixture(t, newStub(t, "u1", s), newStub(t, "u2", s))
	got := f.post("/letter/", "p")
	if got.err != nil || got.body != events(1, 6) {
		t.Errorf("body %q, error %v", got.body, got.err)
	}
	if resumed.Request == nil || resumed.Header.Get("Last-Event-Id") != "3" {
		t.Errorf("resumed with %v", resumed.Request)
	}
}

// Seen on bluemahoe scale-1: a key was revoked while its stream ran; when the
// stream broke, the refusal's text ended it as complete.
func TestBrokenStreamOfARevokedKeyDoesNotLookComplete(t *testing.T) {
	var f *fixture
	s := func(conn net.Conn, r seen) bool {
		f.setTable(testTable(2, testRoutes(), "another"))
		return cutStream(3)(conn, r)
	}
	f = newFixture(t, newStub(t, "u1", s), newStub(t, "u2", s))
	got := f.post("/letter/", "p")
	if got.err == nil || got.body != events(1, 3) {
		t.Errorf("body %q, error %v", got.body, got.err)
	}
}

// Events that go back would give the caller a piece twice.
func TestStreamWhoseEventsGoBackIsBrokenOff(t *testing.T) {
	f := newFixture(t, newStub(t, "u1", func(conn net.Conn, r seen) bool {
		streamHead(conn, r)
		writeEvents(conn, 1, 3)
		writeEvents(conn, 2, 4)
		io.WriteString(conn, "0\r\n\r\n")
		return true
	}))
	if got := f.post("/draft/", "p"); got.err == nil || got.body != events(1, 3) {
		t.Errorf("body %q, error %v", got.body, got.err)
	}
}

func TestCallerThatLeavesEndsTheRun(t *testing.T) {
	for _, path := range []string{"/status/", "/letter/"} {
		u := newStub(t, "u1", hangs)
		f := newFixture(t, u)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan reply, 1)
		go func() { done <- f.do(ctx, http.MethodGet, path, "") }()
		for len(u.got()) == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
		<-done
		<-u.left // the upstream sees its connection close
		if n := len(u.got()); n != 1 {
			t.Errorf("%s: sent %d times", path, n)
		}
	}
}

func TestRequestIsAnsweredWhenItsRoutesTimeIsUp(t *testing.T) {
	f := newFixture(t, newStub(t, "u1", hangs))
	if got := f.get("/brief/"); got.status != 504 {
		t.Errorf("status %d", got.status)
	}
}

// A dial that fails has sent nothing: the request goes elsewhere, also one that
// must not run twice.
func TestUnreachableUpstreamIsPassedOver(t *testing.T) {
	dead := newStub(t, "u1", closes)
	_ = dead.listener.Close()
	live := newStub(t, "u2", whole(200, "ok"))
	f := newFixture(t, dead, live)
	for range 6 {
		if got := f.post("/place/", "x"); got.status != 200 {
			t.Errorf("status %d", got.status)
		}
	}
}

// A request that waits for a connection when its upstream begins to leave is not
// sent there.
func TestLeavingUpstreamGetsNoRequest(t *testing.T) {
	u := newStub(t, "u1", whole(200, "ok"))
	f := newFixture(t, u)
	f.mu.Lock()
	gone := *f.view.ByID["u1"]
	gone.State = route.Draining
	f.view.ByID["u1"] = &gone
	f.mu.Unlock()
	if got := f.post("/place/", "x"); got.status != 503 {
		t.Errorf("status %d", got.status)
	}
	if n := len(u.got()); n != 0 {
		t.Errorf("%d requests reached the leaving upstream", n)
	}
}

func TestMisdirectedRequestIsOfferedElsewhere(t *testing.T) {
	wrong := newStub(t, "u1", func(conn net.Conn, r seen) bool {
		io.WriteString(conn, "HTTP/1.1 421 X\r\nInstance-Id: i-2\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	f := newFixture(t, wrong, newStub(t, "u2", whole(200, "ok")))
	for range 8 {
		if got := f.post("/place/", "x"); got.status != 200 {
			t.Errorf("status %d", got.status)
		}
	}
	if n := len(wrong.got()); n > 1 {
		t.Errorf("%d requests went to an address that belongs to another upstream", n)
	}
}
