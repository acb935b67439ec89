package gateway

import (
	"fmt"
	"net"
	"testing"

	"mulberrydyke/plan"
)

// newEndedStub returns a stub that refuses connections. Nothing ever accepted any, so that
// its listener is closed at once, also while the machine is busy.
func newEndedStub(t *testing.T, id plan.UpstreamID) *stub {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	return &stub{id: id, listener: listener}
}

// TestOneReachableUpstreamIsFound guards against a request that is refused though an upstream
// would take it, because it was sent to upstreams that refuse connections first.
func TestOneReachableUpstreamIsFound(t *testing.T) {
	const upstreams = 9
	for reachable := range upstreams {
		var stubs []*stub
		for i := range upstreams {
			id := plan.UpstreamID(fmt.Sprintf("u%d", i))
			if i == reachable {
				stubs = append(stubs, newStub(t, id, respond(200, "ok")))
				continue
			}
			stubs = append(stubs, newEndedStub(t, id))
		}
		f := newFixture(t, stubs...)
		if got := f.post("/place/", "x"); got.status != 200 {
			t.Errorf("upstream %d of %d is reachable: status %d, body %q", reachable+1, upstreams, got.status, got.body)
		}
	}
}
