package pool

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulberrydyke/plan"
)

// schedulerMachine is a state machine that drives a scheduler with random events
// and checks its invariants after each one. Its fields model the expected state.
type schedulerMachine struct {
	scheduler    *Scheduler
	now          time.Time
	nextSequence uint64
	waiting      map[RequestID]Request
	running      map[RequestID]plan.UpstreamID
	live         map[plan.UpstreamID]bool
}

// testUpstream returns an upstream with two slots.
func testUpstream(i int, state plan.Availability) plan.Upstream {
	return plan.Upstream{
		ID: plan.UpstreamID(fmt.Sprintf("u%d", i)), Address: "127.0.0.1:1", Domain: "d",
		Kind: plan.Engine, Models: []plan.ModelID{"m"}, Slots: 2, State: state,
	}
}

// testFloors returns a floor of 5% for every tier.
func testFloors() [plan.LowestTier + 1]float64 {
	var out [plan.LowestTier + 1]float64
	for t := plan.HighestTier; t <= plan.LowestTier; t++ {
		out[t] = 0.05
	}
	return out
}

// newSchedulerMachine returns a machine whose scheduler has no upstreams.
func newSchedulerMachine() *schedulerMachine {
	m := &schedulerMachine{
		now: time.Unix(1000, 0), waiting: map[RequestID]Request{},
		running: map[RequestID]plan.UpstreamID{}, live: map[plan.UpstreamID]bool{},
	}
	m.scheduler = NewScheduler(m.now, false, NewSuspects())
	return m
}

// update passes an event to the scheduler and checks its commands and state.
func (m *schedulerMachine) update(t *rapid.T, e Event) {
	inFloorSlot, due := m.floorSlots()
	overtaken := false
	for _, c := range m.scheduler.Update(m.now, e) {
		overtaken = overtaken || c.Kind == Grant && !inFloorSlot[c.ID]
		req, ok := m.waiting[c.ID]
		if !ok {
			t.Fatalf("command %+v for a request that is not waiting", c)
		}
		delete(m.waiting, c.ID)
		if c.Kind == Grant {
			if !m.live[c.Upstream] {
				t.Fatalf("grant on upstream %s, which takes no new work", c.Upstream)
			}
			m.running[c.ID] = c.Upstream
			continue
		}
		m.checkRefusal(t, req, c)
	}
	m.checkCounts(t)
	m.checkNoIdleUpstream(t)
	for id := range due {
		if _, waits := m.waiting[id]; waits && overtaken {
			t.Fatalf("another request was granted before request %d, whose floor was due", id.Sequence)
		}
	}
}

// floorSlots returns the requests in floor slots, and those among them that are
// due and that any upstream with a free slot may run.
func (m *schedulerMachine) floorSlots() (all, due map[RequestID]bool) {
	all, due = map[RequestID]bool{}, map[RequestID]bool{}
	for _, q := range m.scheduler.tiers[1:] {
		it := q.floorSlot
		if it == nil {
			continue
		}
		all[it.req.ID] = true
		if q.floorDue(m.now) && it.req.Content == 0 && !it.huge && it.req.Idempotent {
			due[it.req.ID] = true
		}
	}
	return all, due
}

// checkRefusal fails if a request is shed while one of a lower tier is queued.
func (m *schedulerMachine) checkRefusal(t *rapid.T, req Request, c Command) {
	if c.Reason != QueueFull {
		return
	}
	for tier := req.Tier + 1; tier <= plan.LowestTier; tier++ {
		if n := m.scheduler.tiers[tier].count; n > 0 {
			t.Fatalf("tier %d refused while %d requests of tier %d are queued", req.Tier, n, tier)
		}
	}
}

// checkCounts compares the scheduler's counts with the requests that are waiting
// and running according to the machine.
func (m *schedulerMachine) checkCounts(t *rapid.T) {
	queued := 0
	for _, q := range m.scheduler.tiers[1:] {
		queued += q.count
		if q.floorSlot != nil {
			queued++
		}
		if q.queuedWork < -1e-6 {
			t.Fatalf("tier %d has queued work %v", q.tier, q.queuedWork)
		}
	}
	if queued != len(m.waiting) || len(m.scheduler.waiting) != len(m.waiting) {
		t.Fatalf("%d requests in queues and %d in the index, want %d in both", queued, len(m.scheduler.waiting), len(m.waiting))
	}
	inFlight := map[plan.UpstreamID]int{}
	for _, u := range m.running {
		inFlight[u]++
	}
	for _, b := range m.scheduler.backends {
		if b.inFlight == 0 && (b.pendingPrefill != 0 || b.hugePrefills != 0 || b.suspectRuns != 0) {
			t.Fatalf("upstream %s is idle with %d pending prefill tokens, %d huge prefills, %d suspects", b.id, b.pendingPrefill, b.hugePrefills, b.suspectRuns)
		}
		if b.inFlight != inFlight[b.id] {
			t.Fatalf("upstream %s: %d runs in flight, want %d", b.id, b.inFlight, inFlight[b.id])
		}
	}
}

// checkNoIdleUpstream fails if a request of the ordinary lane is waiting although
// a healthy upstream could take it.
func (m *schedulerMachine) checkNoIdleUpstream(t *rapid.T) {
	ordinaryWaits := false
	lowest := plan.HighestTier
	for _, it := range m.scheduler.waiting {
		if it.lane == ordinaryLane && !m.scheduler.suspects.IsSuspect(m.now, it.req.Content) && it.req.Content == 0 {
			ordinaryWaits, lowest = true, max(lowest, it.req.Tier)
		}
	}
	if !ordinaryWaits {
		return
	}
	for _, b := range m.scheduler.backends {
		if b.live && b.health == healthy && float64(b.inFlight) < b.runLimit(m.scheduler.tierReserves(m.now)[lowest]) && b.memoryUsed <= maxMemoryFraction && b.pendingPrefill == 0 {
			t.Fatalf("upstream %s is below its limit (%d of %.1f) while a request is waiting", b.id, b.inFlight, b.limit)
		}
	}
}

// drawRequest draws a key of a map. The result does not depend on the iteration
// order of the map, so that a seed can be repeated.
func drawRequest[V any](t *rapid.T, m map[RequestID]V) (RequestID, bool) {
	if len(m) == 0 {
		return RequestID{}, false
	}
	nearest := RequestID{}
	target := rapid.Uint64Range(0, 400).Draw(t, "pick")
	found := false
	for id := range m {
		if !found || distance(id, target) < distance(nearest, target) ||
			distance(id, target) == distance(nearest, target) && id.Sequence < nearest.Sequence {
			nearest, found = id, true
		}
	}
	return nearest, true
}

// distance returns the absolute difference of a request's sequence number and
// target.
func distance(id RequestID, target uint64) uint64 {
	return max(id.Sequence, target) - min(id.Sequence, target)
}

// submit submits a random request.
func (m *schedulerMachine) submit(t *rapid.T) {
	m.nextSequence++
	req := Request{
		ID:      RequestID{Host: "h", Incarnation: 1, Sequence: m.nextSequence},
		Account: plan.AccountID(fmt.Sprintf("a%d", rapid.IntRange(0, 3).Draw(t, "account"))),
		Class:   "c", Tier: plan.Tier(rapid.IntRange(1, 5).Draw(t, "tier")), Share: 0.5,
		Prompt:  Tokens(rapid.SampledFrom([]int{10, 100, 8000}).Draw(t, "prompt")),
		Content: ContentHash(rapid.SampledFrom([]int{0, 0, 0, 7, 9}).Draw(t, "content")),
		Arrived: m.now, Target: plan.Target{FirstToken: plan.Duration(time.Second), BetweenTokens: plan.Duration(30 * time.Millisecond)},
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
	}
	m.waiting[req.ID] = req
	m.update(t, &Submitted{Request: req})
}

// endRun ends a random run with a random outcome.
func (m *schedulerMachine) endRun(t *rapid.T) {
	id, ok := drawRequest(t, m.running)
	if !ok {
		return
	}
	delete(m.running, id)
	outcome := rapid.SampledFrom([]Outcome{Done, Done, Done, Done, Canceled, Crashed, Refused, Stalled, Unused}).Draw(t, "outcome")
	m.update(t, &Ended{ID: id, Outcome: outcome, Output: 20, Between: 20 * time.Millisecond, Instance: Instance(fmt.Sprint(m.nextSequence))})
}

// reconfigure lists up to four upstreams, each of them live or leaving.
func (m *schedulerMachine) reconfigure(t *rapid.T) {
	var list []plan.Upstream
	live := map[plan.UpstreamID]bool{}
	for i := range 4 {
		state := rapid.SampledFrom([]plan.Availability{plan.Live, plan.Live, plan.Leaving, ""}).Draw(t, "state")
		if state == "" {
			continue
		}
		u := testUpstream(i, state)
		list = append(list, u)
		live[u.ID] = state == plan.Live
	}
	m.live = live
	m.update(t, &Reconfigured{Upstreams: list, Floors: testFloors(), Quarantine: time.Minute, LimitFraction: 1})
}

// TestSchedulerInvariants drives a scheduler with random events. It checks that no
// request is shed while one of a lower tier is queued, that no due floor is
// skipped, that leaving upstreams get no new work, that no healthy upstream stays
// below its limit while requests are waiting, and that the counts are correct.
func TestSchedulerInvariants(t *testing.T) {
	useFixedSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		m := newSchedulerMachine()
		m.live = map[plan.UpstreamID]bool{"u0": true, "u1": true}
		m.update(t, &Reconfigured{
			Upstreams: []plan.Upstream{testUpstream(0, plan.Live), testUpstream(1, plan.Live)},
			Floors:    testFloors(), Quarantine: time.Minute, LimitFraction: 1,
		})
		// Rapid draws from the sorted labels, so that changing a label changes
		// the events that a seed draws.
		t.Repeat(map[string]func(*rapid.T){
			"ask":  m.submit,
			"ask2": m.submit,
			"end":  m.endRun,
			"start": func(t *rapid.T) {
				if id, ok := drawRequest(t, m.running); ok {
					m.update(t, &Started{ID: id, Latency: 100 * time.Millisecond})
				}
			},
			"ask again": func(t *rapid.T) {
				// The reply with a grant was lost, so the host submits the
				// request again.
				if id, ok := drawRequest(t, m.running); ok {
					delete(m.running, id)
					req := testRequest(id.Sequence, 1, "a0")
					m.waiting[id] = req
					m.update(t, &Submitted{Request: req})
				}
			},
			"withdraw": func(t *rapid.T) {
				if id, ok := drawRequest(t, m.waiting); ok {
					delete(m.waiting, id)
					m.update(t, &Withdrawn{ID: id})
				}
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				m.update(t, &Ticked{})
			},
			"change": m.reconfigure,
		})
	})
}

// useFixedSeed makes property tests draw the same events in each run, and runs
// more checks than by default, unless the command line sets the flags.
func useFixedSeed(t *testing.T) {
	for name, value := range map[string][2]string{"rapid.seed": {"0", "20261204"}, "rapid.checks": {"100", "2000"}} {
		f := flag.Lookup(name)
		if f == nil || f.Value.String() != value[0] {
			continue
		}
		if err := f.Value.Set(value[1]); err != nil {
			t.Fatal(err)
		}
	}
}
