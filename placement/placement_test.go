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

func testState(t *testing.T, slots int) func() *plan.State {
	t.Helper()
	raw := fmt.Sprintf(`{"version": 1, "upstreams": [{"id": "u", "address": "127.0.0.1:1", "domain": "d", "kind": "engine", "models": ["m"], "slots": %d, "state": "live"}]}`, slots)
	s, err := plan.NewState().With(plan.KindUpstreams, []byte(raw))
	if err != nil {
		t.Fatal(err)
	}
	return func() *plan.State { return s }
}

// testFleet is a fleet in memory whose hosts each have a server.
type testFleet struct {
	self    member.Self
	mu      sync.Mutex
	servers map[plan.HostID]*Server
	order   []plan.HostID
}

func (f *testFleet) Self() member.Self { return f.self }

func (f *testFleet) Live(plan.DomainID) []member.Self {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []member.Self
	for _, id := range f.order {
		out = append(out, member.Self{ID: id})
	}
	return out
}

func (f *testFleet) remove(id plan.HostID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.order = slices.DeleteFunc(f.order, func(x plan.HostID) bool { return x == id })
}

func (f *testFleet) Call(ctx context.Context, host member.Self, _ string, args, reply any) error {
	f.mu.Lock()
	server := f.servers[host.ID]
	gone := !slices.Contains(f.order, host.ID)
	f.mu.Unlock()
	if gone {
		return &peer.TransportError{Cause: errors.New("gone")}
	}
	switch args := args.(type) {
	case *peer.AskArgs:
		d := server.Ask(ctx, args.Pool, args.Ask.At(time.Now()))
		*reply.(*peer.AskReply) = peer.AskReply{Moved: d.Moved, Withdrawn: d.Withdrawn, Command: d.Command}
	case *peer.ReportArgs:
		for i := range args.Withdrawn {
			server.Tell(args.Pool, &args.Withdrawn[i])
		}
		for i := range args.Ended {
			server.Tell(args.Pool, &args.Ended[i])
		}
	}
	return nil
}

// newTestClient returns a client of host "a" in a fleet of hosts "a" and "b".
func newTestClient(t *testing.T, slots int) (*testFleet, *Client) {
	t.Helper()
	f := &testFleet{self: member.Self{ID: "a", Domain: "d"}, servers: map[plan.HostID]*Server{}}
	state := testState(t, slots)
	for _, id := range []plan.HostID{"a", "b", "alone"} {
		server, cleanup := NewServer(state, func() float64 { return 1 }, nil)
		t.Cleanup(cleanup)
		f.servers[id] = server
	}
	f.order = []plan.HostID{"a", "b"}
	client, cleanup := NewClient(f, f.servers["a"], f.servers["alone"])
	t.Cleanup(cleanup)
	return f, client
}

func testAsk(n uint64) pool.Ask {
	return pool.Ask{
		ID: pool.RequestID{Host: "a", Incarnation: 1, Sequence: n}, Account: "x", Tier: 1, Share: 1, Arrived: time.Now(),
		Target: plan.Target{FirstToken: plan.Duration(time.Hour)}, Idempotent: true,
	}
}

// scheduler returns the host that decides for the pool.
func (f *testFleet) scheduler() plan.HostID { return SchedulerOf(testPool, f.Live("d"))[0].ID }

func place(t *testing.T, c *Client, n uint64) *Lease {
	t.Helper()
	l, err := c.Place(t.Context(), testPool, testAsk(n))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func TestPlaceIsGivenBack(t *testing.T) {
	_, c := newTestClient(t, 1)
	for n := range uint64(5) {
		place(t, c, n).End(pool.Ended{Outcome: pool.Done})
	}
	if runs := c.Runs(testPool); len(runs) != 0 {
		t.Errorf("%d runs are left", len(runs))
	}
}

// TestWithdrawnRequestTakesNoPlace cancels a request that waits and checks that
// the next one gets the place.
func TestWithdrawnRequestTakesNoPlace(t *testing.T) {
	_, c := newTestClient(t, 1)
	first := place(t, c, 1)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := c.Place(ctx, testPool, testAsk(2))
		done <- err
	}()
	time.Sleep(20 * time.Millisecond)
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
	first.End(pool.Ended{Outcome: pool.Done})
	place(t, c, 3).End(pool.Ended{Outcome: pool.Done})
}

// TestNextSchedulerTakesOver stops the pool's scheduler while a request waits.
func TestNextSchedulerTakesOver(t *testing.T) {
	f, c := newTestClient(t, 1)
	first := place(t, c, 1)
	old := f.scheduler()
	done := make(chan error, 1)
	go func() {
		l, err := c.Place(t.Context(), testPool, testAsk(2))
		if err == nil {
			l.End(pool.Ended{Outcome: pool.Done})
		}
		done <- err
	}()
	time.Sleep(20 * time.Millisecond)
	f.remove(old)
	f.servers[old].Keep(func(pool.ID) bool { return false })
	first.End(pool.Ended{Outcome: pool.Done})
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestHostDecidesAlone checks that a request is placed though no scheduler of
// the pool can be reached.
func TestHostDecidesAlone(t *testing.T) {
	f, c := newTestClient(t, 2)
	f.remove("a")
	f.remove("b")
	place(t, c, 1).End(pool.Ended{Outcome: pool.Done})
}
