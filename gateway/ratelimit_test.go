package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"mulberrydyke/ratelimit"
	"mulberrydyke/route"
)

// respondWithLimit returns a handler that sends a complete response which names a rate.
func respondWithLimit(rate string) stubHandler {
	return func(conn net.Conn, r receivedRequest) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nServer-Limit: %s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Request-Id"), rate)
		return true
	}
}

// outcomes counts the responses that one class of callers received.
type outcomes struct{ served, refused, refusedWithoutTime, other int }

func (o *outcomes) add(r callerResponse) {
	switch {
	case r.err == nil && r.status == 200:
		o.served++
	case r.status == 503 && r.header.Get("Retry-After") == "":
		o.refusedWithoutTime++
	case r.status == 503:
		o.refused++
	default:
		o.other++
	}
}

// TestAllUpstreamsAtTheirRates guards against hosts that, when all upstreams of a service
// have named a rate, send more than they take, leave much of it unused, refuse requests
// without the time to come back, serve less urgent requests before more urgent ones, or let
// those starve.
func TestAllUpstreamsAtTheirRates(t *testing.T) {
	const perSecond, span = 40, 9 * time.Second
	stubs := []*stub{newStub(t, "u1", respondWithLimit("4")), newStub(t, "u2", respondWithLimit("4"))}
	f := newFixture(t, stubs...)
	routes := testRoutes()
	urgent := *routes[0]
	urgent.Prefix, urgent.Priority = "/urgent/", 0
	routes[0].Priority = 2
	f.setTable(testTable(2, append(routes, &urgent), "key"))
	var mu sync.Mutex
	var wg sync.WaitGroup
	got := map[string]*outcomes{"/urgent/": {}, "/status/": {}}
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	began := time.Now()
	for time.Since(began) < span {
		<-ticker.C
		path := []string{"/urgent/", "/status/"}[rand.IntN(2)]
		wg.Go(func() {
			r := f.do(context.Background(), "GET", path, "")
			mu.Lock()
			defer mu.Unlock()
			got[path].add(r)
		})
	}
	wg.Wait()
	sent := len(stubs[0].requests()) + len(stubs[1].requests())
	// Until the limit is known, requests are sent without permits; then 8 a second.
	if want := 0.7 * 8 * span.Seconds(); float64(sent) < want {
		t.Errorf("%d requests were sent, want at least %v", sent, want)
	}
	if allowed := 2*(1.5*4*span.Seconds()+5) + perSecond/10; float64(sent) > allowed {
		t.Errorf("%d requests were sent, want at most %v", sent, allowed)
	}
	high, low := got["/urgent/"], got["/status/"]
	if high.served <= 2*low.served {
		t.Errorf("%d urgent requests were served and %d others", high.served, low.served)
	}
	if low.served == 0 {
		t.Error("the less urgent requests starve")
	}
	if n := high.other + low.other + high.refusedWithoutTime + low.refusedWithoutTime; n > 0 {
		t.Errorf("%d responses are neither complete nor refusals with the time to come back", n)
	}
	t.Logf("%d sent; urgent %+v, others %+v", sent, *high, *low)
}

// TestLimitedUpstreamKeepsOthersServed guards against hosts that refuse requests, or hold
// them up, because an upstream that they prefer takes no more now while another one does.
func TestLimitedUpstreamKeepsOthersServed(t *testing.T) {
	limited, other := newStub(t, "u1", respondWithLimit("0.5")), newStub(t, "u2", respond(200, "ok"))
	f := newFixture(t, limited, other)
	slowest := time.Duration(0)
	for range 200 {
		began := time.Now()
		if got := f.get("/status/"); got.status != 200 {
			t.Fatalf("status %d: %s", got.status, got.body)
		}
		slowest = max(slowest, time.Since(began))
	}
	if slowest > 500*time.Millisecond {
		t.Errorf("a request took %v", slowest)
	}
	if n := len(limited.requests()); n > 5 {
		t.Errorf("%d requests were sent to the upstream with a rate of 0.5", n)
	}
}

// TestLimitEndsWithItsProcess guards against hosts that keep to the limit of an upstream
// that has started anew.
func TestLimitEndsWithItsProcess(t *testing.T) {
	stub := newStub(t, "u1", respondWithLimit("0.5"))
	f := newFixture(t, stub)
	f.get("/status/")
	if n := f.server.RateLimits.Count(time.Now()); n != 1 {
		t.Fatalf("%d limits are known, want 1", n)
	}
	restarted := *f.upstreams.ByID["u1"]
	restarted.StartedAt = time.Now()
	if rate := f.server.RateLimits.Rate(time.Now(), restarted.ProcessKey()); rate != 0 {
		t.Errorf("the process that has started anew has the rate %v", rate)
	}
}

// TestUpstreamThatPausesGetsNoRequests guards against hosts that send an upstream requests
// before the time at which it said that it takes them again.
func TestUpstreamThatPausesGetsNoRequests(t *testing.T) {
	paused := newStub(t, "u1", func(conn net.Conn, r receivedRequest) bool {
		fmt.Fprintf(conn, "HTTP/1.1 503 X\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
		return true
	})
	f := newFixture(t, paused)
	for range 5 {
		if got := f.post("/place/", "order"); got.status != 503 || got.header.Get("Retry-After") == "" {
			t.Errorf("status %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
		}
	}
	if n := len(paused.requests()); n != 1 {
		t.Errorf("%d requests were sent to an upstream that had said when to come back, want 1", n)
	}
}

// lateDenial denies each permit once the caller has left.
type lateDenial struct{}

func (lateDenial) RequestPermit(ctx context.Context, _ *route.Upstream, _ int) (ratelimit.Permit, bool) {
	<-ctx.Done()
	return ratelimit.Permit{}, false
}

// TestCallerThatLeavesWhileAPermitIsAskedForEndsItsRequest guards against a host that goes
// on asking for a permit, without a pause, after the caller has left.
func TestCallerThatLeavesWhileAPermitIsAskedForEndsItsRequest(t *testing.T) {
	f := newFixture(t, newStub(t, "u1", respondWithLimit("0.5")))
	f.get("/status/")
	f.server.Permits = lateDenial{}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	f.do(ctx, "GET", "/export/", "")
	for end := time.Now().Add(time.Second); f.server.InFlight() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the request is still in progress a second after its caller left")
		}
	}
}

// TestPauseIsReadFromEveryTurningAway guards against hosts that go on sending an upstream
// requests which has answered 503 with the time to come back, whether or not it says that it has
// not run the request, and in whole or broken seconds.
func TestPauseIsReadFromEveryTurningAway(t *testing.T) {
	for _, fields := range []string{"Not-Executed: 1\r\nRetry-After: 2\r\n", "Not-Executed: 1\r\nRetry-After: 1.5\r\n", "Response-Seal: s\r\nRetry-After: 2\r\n", "Retry-After: 2, 1\r\n"} {
		paused := newStub(t, "u1", func(conn net.Conn, r receivedRequest) bool {
			fmt.Fprintf(conn, "HTTP/1.1 503 X\r\nRequest-Id: %s\r\n%sContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"), fields)
			return true
		})
		f := newFixture(t, paused)
		f.post("/status/", "")
		var callers sync.WaitGroup
		for range 20 {
			callers.Go(func() { f.post("/place/", "order") })
		}
		time.Sleep(1200 * time.Millisecond)
		n := len(paused.requests())
		callers.Wait()
		if n != 1 {
			t.Errorf("%q: %d requests were sent in 1.2 s, want 1", fields, n)
		}
	}
}
