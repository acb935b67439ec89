package placement

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"mulberrydyke/member"
	"mulberrydyke/peer"
	"mulberrydyke/plan"
	"mulberrydyke/pool"
)

var testPool = pool.ID{Name: "m", Kind: plan.Engine, Domain: "d"}

// testState returns a function that returns a state with one upstream in testPool.
func testState(t *testing.T, slots int) func() *plan.State {
	t.Helper()
	raw := fmt.Sprintf(`{"version": 1, "upstreams": [{"id": "u", "address": "127.0.0.1:1", "domain": "d", "kind": "engine", "models": ["m"], "slots": %d, "state": "live"}]}`, slots)
	s, err := plan.NewState().WithList(plan.KindUpstreams, []byte(raw))
	if err != nil {
		t.Fatal(err)
	}
	return func() *plan.State { return s }
}

// testFleet is an in-memory fleet with one server per host.
type testFleet struct {
	self    member.Identity
	mu      sync.Mutex
	servers map[plan.HostID]*Server
	live    []plan.HostID
}

func (f *testFleet) Self() member.Identity { return f.self }

func (f *testFleet) Live(plan.DomainID) []member.Identity {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []member.Identity
	for _, id := range f.live {
		out = append(out, member.Identity{ID: id})
	}
	return out
}

func (f *testFleet) remove(id plan.HostID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live = slices.DeleteFunc(f.live, func(x plan.HostID) bool { return x == id })
}

func (f *testFleet) Call(ctx context.Context, host member.Identity, _ string, args, reply any) error {
	f.mu.Lock()
	server := f.servers[host.ID]
	removed := !slices.Contains(f.live, host.ID)
	f.mu.Unlock()
	if removed {
		return &peer.TransportError{Cause: errors.New("gone")}
	}
	switch args := args.(type) {
	case *peer.AskArgs:
		decision := server.Submit(ctx, args.Pool, args.Ask.At(time.Now()))
		*reply.(*peer.AskReply) = peer.AskReply{Moved: decision.Moved, Withdrawn: decision.Withdrawn, Command: decision.Command}
	case *peer.ReportArgs:
		for i := range args.Withdrawn {
			server.Send(args.Pool, &args.Withdrawn[i])
		}
		for i := range args.Ended {
			server.Send(args.Pool, &args.Ended[i])
		}
	}
	return nil
}

// newTestClient returns a client of host "a" in a fleet of hosts "a" and "b". The
// server "alone" is the client's fallback.
func newTestClient(t *testing.T, slots int) (*testFleet, *Client) {
	t.Helper()
	fleet := &testFleet{self: member.Identity{ID: "a", Domain: "d"}, servers: map[plan.HostID]*Server{}}
	state := testState(t, slots)
	for _, id := range []plan.HostID{"a", "b", "alone"} {
		server, cleanup := NewServer(state, func() float64 { return 1 }, nil)
		t.Cleanup(cleanup)
		fleet.servers[id] = server
	}
	fleet.live = []plan.HostID{"a", "b"}
	client, cleanup := NewClient(fleet, fleet.servers["a"], fleet.servers["alone"])
	t.Cleanup(cleanup)
	return fleet, client
}

// testRequest returns a request of host "a" with the sequence number n.
func testRequest(n uint64) pool.Request {
	return pool.Request{
		ID: pool.RequestID{Host: "a", Incarnation: 1, Sequence: n}, Account: "x", Tier: 1, Share: 1, Arrived: time.Now(),
		Target: plan.Target{FirstToken: plan.Duration(time.Hour)}, Idempotent: true,
	}
}

// scheduler returns the host that runs the scheduler of testPool.
func (f *testFleet) scheduler() plan.HostID { return RankSchedulers(testPool, f.Live("d"))[0].ID }

// mustPlace submits a request and returns its lease. It fails the test on errors.
func mustPlace(t *testing.T, c *Client, n uint64) *Lease {
	t.Helper()
	l, err := c.Place(t.Context(), testPool, testRequest(n))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func TestEndReleasesSlot(t *testing.T) {
	_, c := newTestClient(t, 1)
	for n := range uint64(5) {
		mustPlace(t, c, n).End(pool.Ended{Outcome: pool.Done})
	}
	if runs := c.Runs(testPool); len(runs) != 0 {
		t.Errorf("%d runs after all leases ended, want 0", len(runs))
	}
}

// TestWithdrawnRequestTakesNoSlot cancels a waiting request and checks that the
// next one gets the slot.
func TestWithdrawnRequestTakesNoSlot(t *testing.T) {
	_, c := newTestClient(t, 1)
	first := mustPlace(t, c, 1)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := c.Place(ctx, testPool, testRequest(2))
		done <- err
	}()
	time.Sleep(20 * time.Millisecond)
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v, want context.Canceled", err)
	}
	first.End(pool.Ended{Outcome: pool.Done})
	mustPlace(t, c, 3).End(pool.Ended{Outcome: pool.Done})
}

// TestNextHostTakesOverScheduling stops the pool's scheduler while a request is
// waiting and checks that the request is granted by another host.
func TestNextHostTakesOverScheduling(t *testing.T) {
	fleet, c := newTestClient(t, 1)
	first := mustPlace(t, c, 1)
	old := fleet.scheduler()
	done := make(chan error, 1)
	go func() {
		l, err := c.Place(t.Context(), testPool, testRequest(2))
		if err == nil {
			l.End(pool.Ended{Outcome: pool.Done})
		}
		done <- err
	}()
	time.Sleep(20 * time.Millisecond)
	fleet.remove(old)
	fleet.servers[old].Retain(func(pool.ID) bool { return false })
	first.End(pool.Ended{Outcome: pool.Done})
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestFallbackWithoutReachableScheduler checks that a request is placed even if no
// scheduler of the pool can be reached.
func TestFallbackWithoutReachableScheduler(t *testing.T) {
	fleet, c := newTestClient(t, 2)
	fleet.remove("a")
	fleet.remove("b")
	mustPlace(t, c, 1).End(pool.Ended{Outcome: pool.Done})
}
