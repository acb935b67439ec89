package gateway

import (
	"sync/atomic"
	"testing"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// TestRequestGoesToTheListedProcess guards against requests that are sent, without a permit, to a process
// of an upstream which the list names only since they have chosen it. They choose anew.
func TestRequestGoesToTheListedProcess(t *testing.T) {
	f := newFixture(t, newStub(t, "u1", respond(200, "done")))
	var lookups atomic.Int64
	f.server.AwaitUpstream = func(id plan.UpstreamID) *route.Upstream {
		u := *f.lookupUpstream(id)
		if lookups.Add(1) == 1 {
			u.StartedAt = u.StartedAt.Add(time.Second) // the list has changed since the choice
		}
		return &u
	}
	if got := f.post("/place/x", "order"); got.status != 200 || got.body != "done" {
		t.Errorf("status %d, body %q, error %v", got.status, got.body, got.err)
	}
	if n := lookups.Load(); n != 2 {
		t.Errorf("the request was checked %d times before it was sent, want 2", n)
	}
}
