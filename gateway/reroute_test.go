package gateway

import (
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"mulberrydyke/route"
)

// refusesAfter changes the table while the request is with the first upstream,
// which then says that it did not run it.
func refusesAfter(change func()) script {
	return func(conn net.Conn, r seen) bool {
		change()
		return notRun(conn, r)
	}
}

// A request that has not run is routed by the table that is in force when it is
// offered anew.
func TestRequestIsRoutedAnewBeforeItIsOfferedAgain(t *testing.T) {
	var f *fixture
	moved := testRoutes()
	for _, r := range moved {
		r.Splits = []route.Split{{Service: "other", Weight: 1}}
	}
	old := newStub(t, "u1", refusesAfter(func() { f.setTable(testTable(2, moved, "key")) }))
	next := newStub(t, "u2", whole(200, "new"))
	f = newFixture(t, old, next)
	f.mu.Lock()
	f.view.ByID["u2"].Service = "other"
	f.core.SetUpstreams(time.Now(), f.view)
	f.mu.Unlock()
	if got := f.post("/place/", "x"); got.status != 200 || got.body != "new" {
		t.Errorf("status %d, body %q", got.status, got.body)
	}
}

func TestRequestOfARevokedKeyIsNotOfferedAgain(t *testing.T) {
	var f *fixture
	withdraw := refusesAfter(func() { f.setTable(testTable(2, testRoutes(), "another")) })
	a, b := newStub(t, "u1", withdraw), newStub(t, "u2", withdraw)
	f = newFixture(t, a, b)
	if got := f.post("/place/", "x"); got.status != 503 {
		t.Errorf("status %d", got.status)
	}
	if n := len(a.got()) + len(b.got()); n != 1 {
		t.Errorf("offered %d times", n)
	}
}

// A second upstream is handed the time that is left, not the caller's first.
func TestTimeLeftIsHandedOn(t *testing.T) {
	const held = 300 * time.Millisecond
	late := refusesAfter(func() { time.Sleep(held) })
	a, b := newStub(t, "u1", late), newStub(t, "u2", late)
	f := newFixture(t, a, b)
	f.post("/place/", "x")
	var left []int
	for _, r := range append(a.got(), b.got()...) {
		ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
		if err != nil {
			t.Fatal(err)
		}
		left = append(left, ms)
	}
	if len(left) != 2 || max(left[0], left[1])-min(left[0], left[1]) < int(held.Milliseconds()) {
		t.Errorf("times left: %v ms", left)
	}
}

// A connection that its upstream closed while it was idle is not used for a
// request that may not be sent twice.
func TestConnectionThatWasClosedWhileIdleIsNotUsed(t *testing.T) {
	u := newStub(t, "u1", func(conn net.Conn, r seen) bool {
		whole(200, "ok")(conn, r)
		return false
	})
	f := newFixture(t, u)
	if got := f.post("/place/", "first"); got.status != 200 {
		t.Fatalf("status %d", got.status)
	}
	<-u.left
	time.Sleep(20 * time.Millisecond) // the end of the connection is on its way
	if got := f.post("/place/", "second"); got.status != 200 {
		t.Errorf("status %d", got.status)
	}
}

// An upstream that takes a request and stays mute does not hold a request that may
// be sent once more until its time is up.
func TestMuteUpstreamDoesNotHoldARequestThatMayBeRepeated(t *testing.T) {
	var asked atomic.Int32
	first := func(conn net.Conn, r seen) bool {
		if asked.Add(1) == 1 {
			return hangs(conn, r)
		}
		return whole(200, "ok")(conn, r)
	}
	f := newFixture(t, newStub(t, "u1", first), newStub(t, "u2", first))
	if got := f.get("/status/"); got.status != 200 || asked.Load() != 2 {
		t.Errorf("status %d after %d upstreams", got.status, asked.Load())
	}
}

// A request that may not run twice stays where it was sent, however long it takes.
func TestMuteUpstreamKeepsARequestThatMayNotBeRepeated(t *testing.T) {
	a, b := newStub(t, "u1", slowAnswer), newStub(t, "u2", slowAnswer)
	f := newFixture(t, a, b)
	if got := f.post("/place/", "x"); got.status != 200 || got.body != "late" {
		t.Errorf("status %d, body %q", got.status, got.body)
	}
	if n := len(a.got()) + len(b.got()); n != 1 {
		t.Errorf("sent %d times", n)
	}
}

// slowAnswer answers well after the bound on mute upstreams of fast services.
func slowAnswer(conn net.Conn, r seen) bool {
	time.Sleep(headLeast + 200*time.Millisecond)
	return whole(200, "late")(conn, r)
}

// A route without a target may be as slow as its time-out allows.
func TestSlowAnswerOfARouteWithoutATargetIsAwaited(t *testing.T) {
	a, b := newStub(t, "u1", slowAnswer), newStub(t, "u2", slowAnswer)
	f := newFixture(t, a, b)
	if got := f.get("/export/"); got.status != 200 || len(a.got())+len(b.got()) != 1 {
		t.Errorf("status %d after %d sends", got.status, len(a.got())+len(b.got()))
	}
}

// Where all upstreams of a service take longer than the target says, requests are
// not taken from one to the other.
func TestSlowServiceIsAwaitedAsLongAsItUsuallyTakes(t *testing.T) {
	a, b := newStub(t, "u1", slowAnswer), newStub(t, "u2", slowAnswer)
	f := newFixture(t, a, b)
	for range 2 {
		if got := f.post("/place/", "x"); got.status != 200 {
			t.Fatalf("status %d", got.status)
		}
	}
	before := len(a.got()) + len(b.got())
	if got := f.get("/status/"); got.status != 200 || len(a.got())+len(b.got()) != before+1 {
		t.Errorf("status %d after %d sends", got.status, len(a.got())+len(b.got())-before)
	}
}
