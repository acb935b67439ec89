package gateway

import (
	"fmt"
	"net"
	"testing"
	"time"

	"mulberrydyke/call"
	"mulberrydyke/quarantine"
	"mulberrydyke/route"
)

// respondUnframed returns a handler that sends a response with neither a length nor
// chunks, which ends with its connection.
func respondUnframed(body string) stubHandler {
	return func(conn net.Conn, r receivedRequest) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n\r\n%s", r.Header.Get("Request-Id"), body)
		return false
	}
}

// resetAfter returns a handler that resets the connection after a response without a
// length.
func resetAfter(body string) stubHandler {
	return func(conn net.Conn, r receivedRequest) bool {
		respondUnframed(body)(conn, r)
		time.Sleep(20 * time.Millisecond) // the body arrives before the reset
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	}
}

// TestAnswerWithoutLengthIsWhole guards against answers that are cut, or taken to be
// broken off, because only the end of their connection marks their end.
func TestAnswerWithoutLengthIsWhole(t *testing.T) {
	f := newFixture(t, newStub(t, "u1", respondUnframed("the whole answer")))
	got := f.post("/place/", "order")
	if got.status != 200 || got.err != nil || got.body != "the whole answer" || got.header.Get("Response-Seal") != "s" {
		t.Errorf("status %d, body %q, error %v", got.status, got.body, got.err)
	}
}

// TestResetAnswerWithoutLengthIsNotWhole guards against passing on the part of an answer
// that arrived before its connection was reset.
func TestResetAnswerWithoutLengthIsNotWhole(t *testing.T) {
	f := newFixture(t, newStub(t, "u1", resetAfter("half an ans")))
	if got := f.post("/place/", "order"); got.status == 200 {
		t.Errorf("body %q", got.body)
	}
}

// TestStreamWithoutLengthIsWhole guards against streams that are cut, or taken to be
// broken off, because only the end of their connection marks their end.
func TestStreamWithoutLengthIsWhole(t *testing.T) {
	f := newFixture(t, newStub(t, "u1", respondUnframed(eventText(1, 3))))
	if got := f.get("/draft/"); got.status != 200 || got.err != nil || got.body != eventText(1, 3) {
		t.Errorf("status %d, body %q, error %v", got.status, got.body, got.err)
	}
}

// TestStreamThatEndsInsideAnEventIsBrokenOff guards against streams that look complete
// to the caller though they ended inside an event. Where the stream may be resumed, the
// rest comes from another upstream; else the caller sees that it broke off.
func TestStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	for _, part := range []string{"id: 3\nda", "id: 3\ndata: d3\n", "id"} {
		brokenOff := respondUnframed(eventText(1, 2) + part)
		f := newFixture(t, newStub(t, "u1", brokenOff))
		if got := f.get("/draft/"); got.err == nil || got.body != eventText(1, 2) {
			t.Errorf("%q: body %q, error %v", part, got.body, got.err)
		}
		resumable := func(conn net.Conn, r receivedRequest) bool {
			if r.Header.Get("Last-Event-Id") == "2" {
				return respondUnframed(eventText(3, 4))(conn, r)
			}
			return brokenOff(conn, r)
		}
		f = newFixture(t, newStub(t, "u1", resumable), newStub(t, "u2", resumable))
		if got := f.get("/letter/"); got.err != nil || got.body != eventText(1, 4) {
			t.Errorf("%q resumed: body %q, error %v", part, got.body, got.err)
		}
	}
}

// TestCrashThatLooksLikeTheEndClearsNothing guards against a request that crashes its
// upstreams after a whole event of a stream without a length, which looks complete, and
// is cleared of its other crashes by that.
func TestCrashThatLooksLikeTheEndClearsNothing(t *testing.T) {
	listener := new(net.Listener)
	u := newStub(t, "u1", func(conn net.Conn, r receivedRequest) bool {
		_ = (*listener).Close()
		return respondUnframed(eventText(1, 1))(conn, r)
	})
	*listener = u.listener
	f := newFixture(t, u)
	deadly := quarantine.TraitsOf(&call.Request{APIKey: "key", Method: "POST", Host: f.frontend.Listener.Addr().String(), Target: "/draft/", Body: []byte("deadly")})
	f.server.Quarantine.RecordCrash(time.Now(), deadly, &route.Upstream{ID: "u0"})
	f.post("/draft/", "deadly")
	for end := time.Now().Add(2 * time.Second); countQuarantined(f) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not refused after its second crash")
		}
	}
}
