package gateway

import (
	"net"
	"testing"
	"time"

	"mulberrydyke/plan"
)

// crashing ends the upstream's process on a deadly body, and answers any other.
func crashing(listener *net.Listener) script {
	return func(conn net.Conn, r seen) bool {
		if r.body != "deadly" {
			return whole(200, "alive")(conn, r)
		}
		_ = (*listener).Close()
		return false
	}
}

// newCrasher returns an upstream that a deadly body ends.
func newCrasher(t *testing.T, id plan.UpstreamID) *stub {
	t.Helper()
	listener := new(net.Listener)
	u := newStub(t, id, crashing(listener))
	*listener = u.listener
	return u
}

// crashes returns how many upstreams a deadly body reached.
func crashes(stubs []*stub) int {
	n := 0
	for _, u := range stubs {
		for _, r := range u.got() {
			if r.body == "deadly" {
				n++
			}
		}
	}
	return n
}

// A request that crashes each upstream that runs it comes again and again. Once
// two upstreams have crashed, the others are kept from it, and other requests go
// on being served.
func TestContentThatCrashesUpstreamsIsKeptFromTheOthers(t *testing.T) {
	var stubs []*stub
	for _, id := range []plan.UpstreamID{"u1", "u2", "u3", "u4", "u5"} {
		stubs = append(stubs, newCrasher(t, id))
	}
	f := newFixture(t, stubs...)
	for f.server.Quarantine.Empty() || len(f.server.Quarantine.SuspectsToShare(time.Now())[0].Crashes) < 2 {
		if got := f.post("/place/", "deadly"); got.status != 502 {
			t.Fatalf("status %d, want 502", got.status)
		}
		waitForCrash(t, f, crashes(stubs))
	}
	for range 3 {
		got := f.post("/place/", "deadly")
		if got.status != 503 || got.header.Get("Retry-After") == "" {
			t.Errorf("status %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
		}
	}
	if n := crashes(stubs); n != 2 {
		t.Errorf("%d upstreams crashed", n)
	}
	if got := f.post("/place/", "harmless"); got.status != 200 {
		t.Errorf("another request: status %d", got.status)
	}
}

// waitForCrash waits until n crashes are known.
func waitForCrash(t *testing.T, f *fixture, n int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if list := f.server.Quarantine.SuspectsToShare(time.Now()); len(list) > 0 && len(list[0].Crashes) >= n {
			return
		}
	}
	t.Fatalf("%d crashes are not known", n)
}

// An upstream that closes a connection and takes another has not crashed.
func TestClosedConnectionIsNoCrash(t *testing.T) {
	a, b, c := newStub(t, "u1", closes), newStub(t, "u2", closes), newStub(t, "u3", whole(200, "alive"))
	f := newFixture(t, a, b, c)
	for range 12 {
		if got := f.post("/place/", "order"); got.status == 503 {
			t.Fatalf("refused: %q", got.body)
		}
	}
	if len(c.got()) == 0 {
		t.Error("the sound upstream got nothing")
	}
}
