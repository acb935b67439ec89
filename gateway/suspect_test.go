package gateway

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"mulberrydyke/call"
	"mulberrydyke/plan"
	"mulberrydyke/quarantine"
	"mulberrydyke/route"
)

// crashOnDeadlyBody simulates a process that crashes on the body "deadly": it
// closes the connection and the listener. It responds to any other request.
func crashOnDeadlyBody(listener *net.Listener) stubHandler {
	return func(conn net.Conn, r receivedRequest) bool {
		if r.body != "deadly" {
			return respond(200, "alive")(conn, r)
		}
		_ = (*listener).Close()
		return false
	}
}

// newCrashingStub returns a stub that crashes on the body "deadly".
func newCrashingStub(t *testing.T, id plan.UpstreamID) *stub {
	t.Helper()
	listener := new(net.Listener)
	u := newStub(t, id, crashOnDeadlyBody(listener))
	*listener = u.listener
	return u
}

// countCrashes returns how many requests with the body "deadly" reached upstreams.
func countCrashes(stubs []*stub) int {
	n := 0
	for _, u := range stubs {
		for _, r := range u.requests() {
			if r.body == "deadly" {
				n++
			}
		}
	}
	return n
}

// TestContentThatCrashesUpstreamsIsQuarantined repeats a request that crashes each
// upstream that runs it. Once it has crashed two upstreams it must be refused, and
// other requests must still be served.
func TestContentThatCrashesUpstreamsIsQuarantined(t *testing.T) {
	var stubs []*stub
	for _, id := range []plan.UpstreamID{"u1", "u2", "u3", "u4", "u5"} {
		stubs = append(stubs, newCrashingStub(t, id))
	}
	f := newFixture(t, stubs...)
	for countQuarantined(f) == 0 {
		if got := f.post("/place/", "deadly"); got.status != 502 {
			t.Fatalf("status %d, want 502", got.status)
		}
		waitForCrash(t, f, countCrashes(stubs))
	}
	for range 3 {
		got := f.post("/place/", "deadly")
		if got.status != 503 || got.header.Get("Retry-After") == "" {
			t.Errorf("status %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
		}
	}
	if n := countCrashes(stubs); n != 2 {
		t.Errorf("%d upstreams crashed", n)
	}
	if got := f.post("/place/", "harmless"); got.status != 200 {
		t.Errorf("another request: status %d", got.status)
	}
}

func countQuarantined(f *fixture) int {
	_, n := f.server.Quarantine.Counts(time.Now())
	return n
}

// waitForCrash waits until the quarantine has recorded n crashes, one or two, under
// one content.
func waitForCrash(t *testing.T, f *fixture, n int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if !f.server.Quarantine.Empty() && countQuarantined(f) >= n-1 {
			return
		}
	}
	t.Fatalf("the quarantine did not record %d crashes", n)
}

// TestClosedConnIsNotACrash checks that an upstream that closes a connection and
// accepts another does not count as crashed.
func TestClosedConnIsNotACrash(t *testing.T) {
	a, b, c := newStub(t, "u1", closeConn), newStub(t, "u2", closeConn), newStub(t, "u3", respond(200, "alive"))
	f := newFixture(t, a, b, c)
	for range 12 {
		if got := f.post("/place/", "order"); got.status == 503 {
			t.Fatalf("refused: %q", got.body)
		}
	}
	if len(c.requests()) == 0 {
		t.Error("the working upstream received no request")
	}
}

// TestRetryWaitsForNewsOfTheCrash guards against a request that has crashed an upstream
// before, crashes another one, and is sent to a third before that crash counts.
func TestRetryWaitsForNewsOfTheCrash(t *testing.T) {
	for range 20 {
		stubs := []*stub{newCrashingStub(t, "u1"), newCrashingStub(t, "u2"), newCrashingStub(t, "u3")}
		f := newFixture(t, stubs...)
		k := quarantine.TraitsOf(&call.Request{APIKey: "key", Method: "POST", Host: f.frontend.Listener.Addr().String(), Target: "/status/", Body: []byte("deadly")})
		f.server.Quarantine.RecordCrash(time.Now(), k, &route.Upstream{ID: "u0"})
		f.post("/status/", "deadly")
		if n := countCrashes(stubs); n != 1 {
			t.Fatalf("%d upstreams crashed, want 1", n)
		}
	}
}

// crashOnPart returns a stub that crashes on prompts with the part "bad" once it has sent
// the head of its response.
func crashOnPart(t *testing.T, id plan.UpstreamID) *stub {
	t.Helper()
	listener := new(net.Listener)
	u := newStub(t, id, func(conn net.Conn, r receivedRequest) bool {
		if !strings.Contains(r.Header.Get("Prompt-Prefix"), "bad:") {
			return respondStream(1, 3)(conn, r)
		}
		writeStreamHeader(conn, r)
		_ = (*listener).Close()
		return false
	})
	*listener = u.listener
	return u
}

// TestPromptPartThatCrashesUpstreamsIsQuarantined guards against requests that are all
// different but for one part of their prompts, and crash each upstream that begins to
// answer them. At most three may reach upstreams after the fifth crash, and the requests
// that share the caller and the other parts must be served throughout.
func TestPromptPartThatCrashesUpstreamsIsQuarantined(t *testing.T) {
	var stubs []*stub
	for i := range 12 {
		stubs = append(stubs, crashOnPart(t, plan.UpstreamID(fmt.Sprintf("u%02d", i))))
	}
	f := newFixture(t, stubs...)
	refused := 0
	for i := range 30 {
		bad := f.postPrompt("/draft/", fmt.Sprintf("rules:100,bad:10,own%d:5", i), fmt.Sprintf("bad %d", i))
		if bad.status == 503 && bad.header.Get("Retry-After") != "" {
			refused++
		}
		for _, parts := range []string{"rules:100,fine:10", "rules:100"} {
			sound := f.postPrompt("/draft/", fmt.Sprintf("%s,own%d:5", parts, i), fmt.Sprintf("sound %d", i))
			if sound.status != 200 || sound.err != nil {
				t.Fatalf("sound request %d: status %d, error %v, body %q", i, sound.status, sound.err, sound.body)
			}
		}
		time.Sleep(150 * time.Millisecond)
	}
	if refused < 15 {
		t.Errorf("%d of 30 requests with the part refused", refused)
	}
	if n := countPart(stubs, "bad:"); n > 5+3 {
		t.Errorf("%d upstreams crashed, want at most 8", n)
	}
}

// countPart returns how many requests with a part of a prompt reached upstreams.
func countPart(stubs []*stub, part string) int {
	n := 0
	for _, u := range stubs {
		for _, r := range u.requests() {
			if strings.Contains(r.Header.Get("Prompt-Prefix"), part) {
				n++
			}
		}
	}
	return n
}
