package pool

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulberrydyke/plan"
)

// machine drives a scheduler with random events and checks after each one what
// must always hold.
type machine struct {
	core    *Scheduler
	now     time.Time
	next    uint64
	waiting map[RequestID]Ask
	running map[RequestID]plan.UpstreamID
	live    map[plan.UpstreamID]bool
}

func testUpstream(i int, state plan.Availability) plan.Upstream {
	return plan.Upstream{
		ID: plan.UpstreamID(fmt.Sprintf("u%d", i)), Address: "127.0.0.1:1", Domain: "d",
		Kind: plan.Engine, Models: []plan.ModelID{"m"}, Slots: 2, State: state,
	}
}

func testFloors() [plan.LowestTier + 1]float64 {
	var out [plan.LowestTier + 1]float64
	for t := plan.HighestTier; t <= plan.LowestTier; t++ {
		out[t] = 0.05
	}
	return out
}

func newMachine() *machine {
	m := &machine{
		now: time.Unix(1000, 0), waiting: map[RequestID]Ask{},
		running: map[RequestID]plan.UpstreamID{}, live: map[plan.UpstreamID]bool{},
	}
	m.core = NewScheduler(m.now, false, NewSuspects())
	return m
}

// tell hands an event to the scheduler and checks what it does.
func (m *machine) tell(t *rapid.T, e Event) {
	slots, due := m.floorSlots()
	passed := false
	for _, c := range m.core.Update(m.now, e) {
		passed = passed || c.Kind == Grant && !slots[c.ID]
		ask, ok := m.waiting[c.ID]
		if !ok {
			t.Fatalf("decision %+v on a request that does not wait", c)
		}
		delete(m.waiting, c.ID)
		if c.Kind == Grant {
			if !m.live[c.Upstream] {
				t.Fatalf("grant on upstream %s, which takes no new work", c.Upstream)
			}
			m.running[c.ID] = c.Upstream
			continue
		}
		m.checkRefusal(t, ask, c)
	}
	m.checkBooks(t)
	m.checkIdle(t)
	for id := range due {
		if _, waits := m.waiting[id]; waits && passed {
			t.Fatalf("request %d was passed over although its tier's floor was due", id.Sequence)
		}
	}
}

// floorSlots returns the requests in floor slots, and those among them whose
// turn has come and that any upstream with room may run.
func (m *machine) floorSlots() (all, due map[RequestID]bool) {
	all, due = map[RequestID]bool{}, map[RequestID]bool{}
	for _, q := range m.core.tiers[1:] {
		it := q.floorSlot
		if it == nil {
			continue
		}
		all[it.ask.ID] = true
		if q.turn(m.now) && it.ask.Content == 0 && !it.huge && it.ask.Idempotent {
			due[it.ask.ID] = true
		}
	}
	return all, due
}

// checkRefusal fails where a request is refused for lack of room while one of
// a lower tier is queued.
func (m *machine) checkRefusal(t *rapid.T, ask Ask, c Command) {
	if c.Reason != QueueFull {
		return
	}
	for tier := ask.Tier + 1; tier <= plan.LowestTier; tier++ {
		if n := m.core.tiers[tier].count; n > 0 {
			t.Fatalf("tier %d refused while %d requests of tier %d are queued", ask.Tier, n, tier)
		}
	}
}

// checkBooks compares the scheduler's counts with what really waits and runs.
func (m *machine) checkBooks(t *rapid.T) {
	queued := 0
	for _, q := range m.core.tiers[1:] {
		queued += q.count
		if q.floorSlot != nil {
			queued++
		}
		if q.queued < -1e-6 {
			t.Fatalf("tier %d has queued work %v", q.tier, q.queued)
		}
	}
	if queued != len(m.waiting) || len(m.core.waiting) != len(m.waiting) {
		t.Fatalf("%d queued and %d known, but %d wait", queued, len(m.core.waiting), len(m.waiting))
	}
	inFlight := map[plan.UpstreamID]int{}
	for _, u := range m.running {
		inFlight[u]++
	}
	for _, b := range m.core.backends {
		if b.inFlight == 0 && (b.unread != 0 || b.reading != 0 || b.suspects != 0) {
			t.Fatalf("upstream %s is idle with %d unread, %d reading, %d suspects", b.id, b.unread, b.reading, b.suspects)
		}
		if b.inFlight != inFlight[b.id] {
			t.Fatalf("upstream %s: %d in flight on the books, %d in truth", b.id, b.inFlight, inFlight[b.id])
		}
	}
}

// checkIdle fails where an ordinary request waits although a healthy upstream
// has room.
func (m *machine) checkIdle(t *rapid.T) {
	ordinaryWaits := false
	lowest := plan.HighestTier
	for _, it := range m.core.waiting {
		if it.lane == ordinary && !m.core.suspects.IsSuspect(m.now, it.ask.Content) && it.ask.Content == 0 {
			ordinaryWaits, lowest = true, max(lowest, it.ask.Tier)
		}
	}
	if !ordinaryWaits {
		return
	}
	for _, b := range m.core.backends {
		if b.live && b.health == healthy && float64(b.inFlight) < b.bound(m.core.reserves(m.now)[lowest]) && b.memory <= memoryFull && b.unread == 0 {
			t.Fatalf("upstream %s has room (%d of %.1f) while a request waits", b.id, b.inFlight, b.limit)
		}
	}
}

// oneOf draws a key of a map in a repeatable way.
func oneOf[V any](t *rapid.T, m map[RequestID]V) (RequestID, bool) {
	if len(m) == 0 {
		return RequestID{}, false
	}
	least := RequestID{}
	pick := rapid.Uint64Range(0, 400).Draw(t, "pick")
	found := false
	for id := range m {
		if !found || distance(id, pick) < distance(least, pick) ||
			distance(id, pick) == distance(least, pick) && id.Sequence < least.Sequence {
			least, found = id, true
		}
	}
	return least, true
}

func distance(id RequestID, pick uint64) uint64 {
	return max(id.Sequence, pick) - min(id.Sequence, pick)
}

func (m *machine) ask(t *rapid.T) {
	m.next++
	a := Ask{
		ID:      RequestID{Host: "h", Incarnation: 1, Sequence: m.next},
		Account: plan.AccountID(fmt.Sprintf("a%d", rapid.IntRange(0, 3).Draw(t, "account"))),
		Class:   "c", Tier: plan.Tier(rapid.IntRange(1, 5).Draw(t, "tier")), Share: 0.5,
		Prompt:  Tokens(rapid.SampledFrom([]int{10, 100, 8000}).Draw(t, "prompt")),
		Content: ContentHash(rapid.SampledFrom([]int{0, 0, 0, 7, 9}).Draw(t, "content")),
		Arrived: m.now, Target: plan.Target{FirstToken: plan.Duration(time.Second), BetweenTokens: plan.Duration(30 * time.Millisecond)},
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
	}
	m.waiting[a.ID] = a
	m.tell(t, &Asked{Ask: a})
}

func (m *machine) end(t *rapid.T) {
	id, ok := oneOf(t, m.running)
	if !ok {
		return
	}
	delete(m.running, id)
	outcome := rapid.SampledFrom([]Outcome{Done, Done, Done, Done, Cancelled, Crashed, Refused, Silent, Unused}).Draw(t, "outcome")
	m.tell(t, &Ended{ID: id, Outcome: outcome, Output: 20, Between: 20 * time.Millisecond, Instance: Instance(fmt.Sprint(m.next))})
}

func (m *machine) change(t *rapid.T) {
	var list []plan.Upstream
	states := map[plan.UpstreamID]bool{}
	for i := range 4 {
		state := rapid.SampledFrom([]plan.Availability{plan.Live, plan.Live, plan.Leaving, ""}).Draw(t, "state")
		if state == "" {
			continue
		}
		u := testUpstream(i, state)
		list = append(list, u)
		states[u.ID] = state == plan.Live
	}
	m.live = states
	m.tell(t, &Changed{Upstreams: list, Floors: testFloors(), Quarantine: time.Minute, Part: 1})
}

// TestSchedulerKeepsItsPromises drives a scheduler with random events. It
// checks that no request is refused while one of a lower tier is queued, that no
// floor whose turn has come is passed over, that leaving upstreams get no new work, that no healthy upstream idles while
// requests wait, and that the books are right.
func TestSchedulerKeepsItsPromises(t *testing.T) {
	fixedSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		m.live = map[plan.UpstreamID]bool{"u0": true, "u1": true}
		m.tell(t, &Changed{
			Upstreams: []plan.Upstream{testUpstream(0, plan.Live), testUpstream(1, plan.Live)},
			Floors:    testFloors(), Quarantine: time.Minute, Part: 1,
		})
		t.Repeat(map[string]func(*rapid.T){
			"ask":  m.ask,
			"ask2": m.ask,
			"end":  m.end,
			"start": func(t *rapid.T) {
				if id, ok := oneOf(t, m.running); ok {
					m.tell(t, &Started{ID: id, Latency: 100 * time.Millisecond})
				}
			},
			"ask again": func(t *rapid.T) {
				// The answer to a grant was lost, so its host asks again.
				if id, ok := oneOf(t, m.running); ok {
					delete(m.running, id)
					a := testAsk(id.Sequence, 1, "a0")
					m.waiting[id] = a
					m.tell(t, &Asked{Ask: a})
				}
			},
			"withdraw": func(t *rapid.T) {
				if id, ok := oneOf(t, m.waiting); ok {
					delete(m.waiting, id)
					m.tell(t, &Withdrawn{ID: id})
				}
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				m.tell(t, &Ticked{})
			},
			"change": m.change,
		})
	})
}

// fixedSeed makes random tests draw the same events in each run, and more of them
// than by default, unless the command line says otherwise.
func fixedSeed(t *testing.T) {
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
