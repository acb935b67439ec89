package gateway

import (
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"mulberrydyke/route"
)

// refuseAfter returns a handler that calls change, for example to replace the
// routing table, and then responds that it did not run the request.
func refuseAfter(change func()) stubHandler {
	return func(conn net.Conn, r receivedRequest) bool {
		change()
		return respondNotRun(conn, r)
	}
}

// TestRequestIsReroutedByNewTableBeforeRetry checks that a request that an upstream
// did not run is retried by the routing table that is in force at the retry.
func TestRequestIsReroutedByNewTableBeforeRetry(t *testing.T) {
	var f *fixture
	reroutedRoutes := testRoutes()
	for _, r := range reroutedRoutes {
		r.Splits = []route.Split{{Service: "other", Weight: 1}}
	}
	old := newStub(t, "u1", refuseAfter(func() { f.setTable(testTable(2, reroutedRoutes, "key")) }))
	next := newStub(t, "u2", respond(200, "new"))
	f = newFixture(t, old, next)
	f.mu.Lock()
	f.upstreams.ByID["u2"].Service = "other"
	f.balancer.SetUpstreams(time.Now(), f.upstreams)
	f.mu.Unlock()
	if got := f.post("/place/", "x"); got.status != 200 || got.body != "new" {
		t.Errorf("status %d, body %q", got.status, got.body)
	}
}

func TestRequestWithRevokedKeyIsNotRetried(t *testing.T) {
	var f *fixture
	refuseAndRevoke := refuseAfter(func() { f.setTable(testTable(2, testRoutes(), "another")) })
	a, b := newStub(t, "u1", refuseAndRevoke), newStub(t, "u2", refuseAndRevoke)
	f = newFixture(t, a, b)
	if got := f.post("/place/", "x"); got.status != 503 {
		t.Errorf("status %d", got.status)
	}
	if n := len(a.requests()) + len(b.requests()); n != 1 {
		t.Errorf("sent %d times", n)
	}
}

// TestRetryCarriesRemainingTime checks that a retry carries the time that remains
// until the caller's deadline, not the whole timeout.
func TestRetryCarriesRemainingTime(t *testing.T) {
	const delay = 300 * time.Millisecond
	refuseLate := refuseAfter(func() { time.Sleep(delay) })
	a, b := newStub(t, "u1", refuseLate), newStub(t, "u2", refuseLate)
	f := newFixture(t, a, b)
	f.post("/place/", "x")
	var remaining []int
	for _, r := range append(a.requests(), b.requests()...) {
		ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
		if err != nil {
			t.Fatal(err)
		}
		remaining = append(remaining, ms)
	}
	if len(remaining) != 2 || max(remaining[0], remaining[1])-min(remaining[0], remaining[1]) < int(delay.Milliseconds()) {
		t.Errorf("remaining times: %v ms", remaining)
	}
}

// TestConnClosedWhileIdleIsNotReused checks that a connection that the upstream
// closed while it was idle is not used for a request that can't be retried.
func TestConnClosedWhileIdleIsNotReused(t *testing.T) {
	u := newStub(t, "u1", func(conn net.Conn, r receivedRequest) bool {
		respond(200, "ok")(conn, r)
		return false
	})
	f := newFixture(t, u)
	if got := f.post("/place/", "first"); got.status != 200 {
		t.Fatalf("status %d", got.status)
	}
	<-u.firstConnClosed
	time.Sleep(20 * time.Millisecond) // until the FIN has arrived
	if got := f.post("/place/", "second"); got.status != 200 {
		t.Errorf("status %d", got.status)
	}
}

// TestRetryableRequestLeavesSilentUpstream checks that a request that can be
// retried is sent to another upstream if the first accepts it and sends no response
// header.
func TestRetryableRequestLeavesSilentUpstream(t *testing.T) {
	var requests atomic.Int32
	hangFirst := func(conn net.Conn, r receivedRequest) bool {
		if requests.Add(1) == 1 {
			return hang(conn, r)
		}
		return respond(200, "ok")(conn, r)
	}
	f := newFixture(t, newStub(t, "u1", hangFirst), newStub(t, "u2", hangFirst))
	if got := f.get("/status/"); got.status != 200 || requests.Load() != 2 {
		t.Errorf("status %d after %d attempts", got.status, requests.Load())
	}
}

// TestNonRetryableRequestWaitsForSlowUpstream checks that a request that must not
// run twice waits for its upstream until the request's timeout.
func TestNonRetryableRequestWaitsForSlowUpstream(t *testing.T) {
	a, b := newStub(t, "u1", respondSlowly), newStub(t, "u2", respondSlowly)
	f := newFixture(t, a, b)
	if got := f.post("/place/", "x"); got.status != 200 || got.body != "late" {
		t.Errorf("status %d, body %q", got.status, got.body)
	}
	if n := len(a.requests()) + len(b.requests()); n != 1 {
		t.Errorf("sent %d times", n)
	}
}

// respondSlowly responds well after the minimum header timeout.
func respondSlowly(conn net.Conn, r receivedRequest) bool {
	time.Sleep(minHeaderTimeout + 200*time.Millisecond)
	return respond(200, "late")(conn, r)
}

// TestRouteWithoutTargetWaitsForSlowUpstream checks that only the route's timeout
// applies on a route without a target latency.
func TestRouteWithoutTargetWaitsForSlowUpstream(t *testing.T) {
	a, b := newStub(t, "u1", respondSlowly), newStub(t, "u2", respondSlowly)
	f := newFixture(t, a, b)
	if got := f.get("/export/"); got.status != 200 || len(a.requests())+len(b.requests()) != 1 {
		t.Errorf("status %d after %d sends", got.status, len(a.requests())+len(b.requests()))
	}
}

// TestHeaderTimeoutFollowsMedianLatencyOfService checks that the header timeout
// follows the median latency if all upstreams of a service usually take longer than
// the route's target, so that requests are not retried.
func TestHeaderTimeoutFollowsMedianLatencyOfService(t *testing.T) {
	a, b := newStub(t, "u1", respondSlowly), newStub(t, "u2", respondSlowly)
	f := newFixture(t, a, b)
	for range 2 {
		if got := f.post("/place/", "x"); got.status != 200 {
			t.Fatalf("status %d", got.status)
		}
	}
	before := len(a.requests()) + len(b.requests())
	if got := f.get("/status/"); got.status != 200 || len(a.requests())+len(b.requests()) != before+1 {
		t.Errorf("status %d after %d sends", got.status, len(a.requests())+len(b.requests())-before)
	}
}
