package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/plan"
)

var start = time.Unix(1000, 0)

// newTestScheduler returns a scheduler with upstreams of two slots each.
func newTestScheduler(upstreams int) *Scheduler {
	s := NewScheduler(start, false, NewSuspects())
	var list []plan.Upstream
	for i := range upstreams {
		list = append(list, testUpstream(i, plan.Live))
	}
	s.Update(start, &Reconfigured{Upstreams: list, Floors: testFloors(), Quarantine: time.Minute, LimitFraction: 1})
	return s
}

func testAsk(sequence uint64, tier plan.Tier, account string) Request {
	return Request{
		ID:      RequestID{Host: "h", Incarnation: 1, Sequence: sequence},
		Account: plan.AccountID(account), Class: "c", Tier: tier, Share: 0.5, Prompt: 10, MaxOutput: 4,
		Arrived: start, Idempotent: true,
		Target: plan.Target{FirstToken: plan.Duration(time.Second), BetweenTokens: plan.Duration(time.Second)},
	}
}

// ask queues a request and returns a copy of the commands.
func ask(s *Scheduler, now time.Time, a Request) []Command {
	return append([]Command(nil), s.Update(now, &Submitted{Request: a})...)
}

func sequences(commands []Command, kind CommandKind) []uint64 {
	var out []uint64
	for _, c := range commands {
		if c.Kind == kind {
			out = append(out, c.ID.Sequence)
		}
	}
	return out
}

// fillSlots grants every slot of the pool.
func fillSlots(s *Scheduler, now time.Time) []RequestID {
	var ids []RequestID
	for i := uint64(1_000_000); ; i++ {
		got := ask(s, now, testAsk(i, 1, "filler"))
		if len(sequences(got, Grant)) == 0 {
			s.Update(now, &Withdrawn{ID: RequestID{Host: "h", Incarnation: 1, Sequence: i}})
			return ids
		}
		ids = append(ids, got[0].ID)
	}
}

func end(s *Scheduler, now time.Time, id RequestID, o Outcome) []Command {
	return append([]Command(nil), s.Update(now, &Ended{ID: id, Outcome: o, Output: 10, Instance: "i"})...)
}

func TestHigherTierGoesFirst(t *testing.T) {
	s := newTestScheduler(2)
	running := fillSlots(s, start)
	ask(s, start, testAsk(1, 3, "a"))
	ask(s, start, testAsk(2, 2, "a"))
	ask(s, start, testAsk(3, 1, "a"))
	var order []uint64
	for _, id := range running {
		order = append(order, sequences(end(s, start, id, Done), Grant)...)
	}
	if diff := cmp.Diff([]uint64{3, 2}, order[:2]); diff != "" {
		t.Errorf("order of grants (-want +got):\n%s", diff)
	}
}

func TestAccountsShareATier(t *testing.T) {
	s := newTestScheduler(1)
	running := fillSlots(s, start)
	patient := func(i uint64, account string) Request {
		a := testAsk(i, 1, account)
		a.Target.FirstToken = plan.Duration(time.Minute)
		return a
	}
	for i := range uint64(20) {
		ask(s, start, patient(i, "large"))
	}
	ask(s, start, patient(100, "small"))
	position := -1
	for n := range 20 {
		id := running[0]
		running = running[1:]
		granted := sequences(end(s, start, id, Done), Grant)
		for _, g := range granted {
			running = append(running, RequestID{Host: "h", Incarnation: 1, Sequence: g})
			if g == 100 {
				position = n
			}
		}
	}
	if position < 0 || position > 2 {
		t.Errorf("the small account was served at position %d, behind the large account's queue", position)
	}
}

func TestEarliestDeadlineFirstAndLateOnesAfter(t *testing.T) {
	s := newTestScheduler(2)
	running := fillSlots(s, start)
	late := testAsk(1, 1, "a")
	late.Target.FirstToken = plan.Duration(time.Millisecond)
	relaxed := testAsk(2, 1, "a")
	relaxed.Target.FirstToken = plan.Duration(time.Minute)
	urgent := testAsk(3, 1, "a")
	urgent.Target.FirstToken = plan.Duration(10 * time.Second)
	for _, a := range []Request{late, relaxed, urgent} {
		ask(s, start, a)
	}
	now := start.Add(time.Second)
	var order []uint64
	for _, id := range running[:3] {
		order = append(order, sequences(end(s, now, id, Done), Grant)...)
	}
	if diff := cmp.Diff([]uint64{3, 2, 1}, order); diff != "" {
		t.Errorf("order of grants (-want +got):\n%s", diff)
	}
}

func TestShedTakesTheLowestTier(t *testing.T) {
	s := newTestScheduler(1)
	fillSlots(s, start)
	for i := range uint64(3) {
		ask(s, start, testAsk(i, 5, "low"))
	}
	var refused []uint64
	for i := uint64(10); len(refused) == 0 && i < 200; i++ {
		refused = sequences(ask(s, start, testAsk(i, 1, "high")), Refuse)
	}
	if diff := cmp.Diff([]uint64{2}, refused); diff != "" {
		t.Errorf("refused first, of the lowest tier and newest first (-want +got):\n%s", diff)
	}
}

// TestLowestTierIsServed keeps the pool saturated with the highest tier and
// checks that a request of the lowest is served within the stated bound: the
// floor's patience and the time until a slot is free.
func TestLowestTierIsServed(t *testing.T) {
	s := newTestScheduler(2)
	running := fillSlots(s, start)
	ask(s, start, testAsk(1, 5, "low"))
	next := uint64(100)
	for step := range 100 {
		now := start.Add(time.Duration(step) * 100 * time.Millisecond)
		ask(s, now, testAsk(next, 1, "high"))
		next++
		granted := sequences(end(s, now, running[0], Done), Grant)
		running = running[1:]
		for _, g := range granted {
			if g == 1 {
				if waited := now.Sub(start); waited > floorPatience+time.Second {
					t.Errorf("the lowest tier waited %s", waited)
				}
				return
			}
			running = append(running, RequestID{Host: "h", Incarnation: 1, Sequence: g})
		}
	}
	t.Error("the lowest tier was never served")
}

// TestEveryClassOfATierIsServed checks that a class with a distant deadline is
// served although another class of the same account never pauses.
func TestEveryClassOfATierIsServed(t *testing.T) {
	s := newTestScheduler(1)
	running := fillSlots(s, start)
	slow := testAsk(1, 1, "a")
	slow.Class, slow.Target.FirstToken = "slow", plan.Duration(5*time.Second)
	ask(s, start, slow)
	next := uint64(100)
	for step := range 200 {
		now := start.Add(time.Duration(step) * 100 * time.Millisecond)
		a := testAsk(next, 1, "a")
		a.Arrived, a.Target.FirstToken = now, plan.Duration(200*time.Millisecond)
		ask(s, now, a)
		next++
		for _, g := range sequences(end(s, now, running[0], Done), Grant) {
			if g == 1 {
				return
			}
			running = append(running, RequestID{Host: "h", Incarnation: 1, Sequence: g})
		}
		running = running[1:]
	}
	t.Error("the class with the distant deadline was never served")
}

func TestHugePromptDoesNotHoldUpShortOnes(t *testing.T) {
	s := newTestScheduler(1)
	for i := range uint64(2) {
		huge := testAsk(i, 1, "a")
		huge.Prompt = 2 * bulkyPrompt
		ask(s, start, huge)
	}
	if got := sequences(ask(s, start, testAsk(9, 1, "a")), Grant); len(got) != 1 {
		t.Error("a short request waits behind a huge prompt that has no place")
	}
}

func TestSamePrefixPrefersOneUpstream(t *testing.T) {
	s := newTestScheduler(4)
	seen := map[plan.UpstreamID]int{}
	for i := range uint64(8) {
		a := testAsk(i, 1, "a")
		a.Prefix = 77
		got := ask(s, start, a)
		seen[got[0].Upstream]++
		end(s, start, a.ID, Done)
	}
	if len(seen) != 1 {
		t.Errorf("one prefix was spread over %v", seen)
	}
}

func TestStragglerIsEjectedAndComesBackThroughAProbe(t *testing.T) {
	s := newTestScheduler(4)
	now := start
	for i := range uint64(400) {
		now = now.Add(50 * time.Millisecond)
		a := testAsk(i, 1, "a")
		a.Prefix = PrefixHash(i + 1)
		got := ask(s, now, a)
		between := 20 * time.Millisecond
		if got[0].Upstream == "u2" {
			between *= 3
		}
		s.Update(now, &Ended{ID: got[0].ID, Outcome: Done, Output: 10, Between: between})
		s.Update(now, &Ticked{})
		if s.byID["u2"].health != healthy {
			break
		}
	}
	if s.byID["u2"].health == healthy {
		t.Fatal("the straggler was not ejected")
	}
	now = now.Add(downMost)
	s.Update(now, &Ticked{})
	once := testAsk(1000, 1, "a")
	once.Idempotent = false
	for i := range uint64(20) {
		once.ID.Sequence = 1000 + i
		if got := ask(s, now, once); len(got) > 0 && got[0].Upstream == "u2" {
			t.Fatal("a request that must not run twice was used as a probe")
		}
	}
}

// TestSlowUpstreamIsLeftToPatientRequests makes one of two upstreams too slow for
// the target of a class. Requests of that class must go to the other one as long
// as it has room, others may use both.
func TestSlowUpstreamIsLeftToPatientRequests(t *testing.T) {
	s := newTestScheduler(2)
	s.byID["u0"].between, s.byID["u0"].samples = 50*time.Millisecond, stragglerSamples
	s.byID["u1"].between, s.byID["u1"].samples = 60*time.Millisecond, stragglerSamples
	urgent, patient := testAsk(1, 1, "a"), testAsk(2, 1, "a")
	urgent.Target.BetweenTokens = plan.Duration(55 * time.Millisecond)
	second := urgent
	second.ID.Sequence = 3
	var got []plan.UpstreamID
	for _, a := range []Request{urgent, second, patient} {
		for _, c := range ask(s, start, a) {
			got = append(got, c.Upstream)
		}
	}
	if diff := cmp.Diff([]plan.UpstreamID{"u0", "u0", "u1"}, got); diff != "" {
		t.Errorf("upstreams (-want +got):\n%s", diff)
	}
}

func TestTwoCrashesQuarantine(t *testing.T) {
	s := newTestScheduler(3)
	crashed := map[plan.UpstreamID]bool{}
	for i := range uint64(5) {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		a := testAsk(i, 1, "a")
		a.Content = 42
		got := ask(s, now, a)
		if len(got) == 0 || got[0].Kind != Grant {
			continue
		}
		crashed[got[0].Upstream] = true
		s.Update(now, &Ended{ID: a.ID, Outcome: Crashed, Instance: Instance(fmt.Sprint(i))})
	}
	if len(crashed) != 2 {
		t.Errorf("one request crashed %d upstreams, want 2", len(crashed))
	}
	got := ask(s, start.Add(time.Second), func() Request { a := testAsk(9, 1, "a"); a.Content = 42; return a }())
	if len(got) != 1 || got[0].Reason != Quarantined {
		t.Errorf("the request was not quarantined: %+v", got)
	}
}

// TestParallelResendsOfANewContent checks that a content that never finished
// runs on two upstreams at the most, however often it is sent at once.
func TestParallelResendsOfANewContent(t *testing.T) {
	s := newTestScheduler(5)
	used := map[plan.UpstreamID]bool{}
	for i := range uint64(20) {
		a := testAsk(i, 1, "a")
		a.Content = 42
		for _, c := range ask(s, start, a) {
			used[c.Upstream] = true
		}
	}
	if len(used) > crashLimit {
		t.Errorf("a content that never finished ran on %d upstreams at once", len(used))
	}
}

// TestCrashWhileAnotherRunIsOpen reports the first of two crashes while the
// second upstream still runs the content. No third upstream may get it.
func TestCrashWhileAnotherRunIsOpen(t *testing.T) {
	s := newTestScheduler(5)
	used := map[plan.UpstreamID]bool{}
	send := func(i uint64) {
		a := testAsk(i, 1, "a")
		a.Content = 42
		for _, c := range ask(s, start, a) {
			used[c.Upstream] = true
		}
	}
	send(1)
	send(2)
	end(s, start, testAsk(1, 1, "a").ID, Crashed)
	send(3)
	if len(used) > crashLimit {
		t.Errorf("after one crash the content was sent to a third upstream: %v", used)
	}
}

func TestNewSchedulerWaitsForNews(t *testing.T) {
	s := NewScheduler(start, true, NewSuspects())
	s.Update(start, &Reconfigured{Upstreams: []plan.Upstream{testUpstream(0, plan.Live)}, Floors: testFloors(), Quarantine: time.Minute, LimitFraction: 1})
	if got := ask(s, start, testAsk(1, 1, "a")); len(got) != 0 {
		t.Fatal("a new scheduler granted before it knew what runs")
	}
	for i := range uint64(100) {
		large := testAsk(100+i, 1, "a")
		large.MaxOutput = 1000
		if got := ask(s, start, large); len(got) != 0 {
			t.Fatalf("a new scheduler refused before it knew what runs: %+v", got)
		}
	}
	for i := range uint64(100) {
		s.Update(start, &Withdrawn{ID: testAsk(100+i, 1, "a").ID})
	}
	var runs []Run
	for i := range uint64(3) {
		runs = append(runs, Run{Ask: testAsk(10+i, 1, "b"), Upstream: "u0"})
	}
	s.Update(start, &RunsRestored{Runs: runs})
	if got := s.Update(start.Add(holdBack), &Ticked{}); len(got) != 0 {
		t.Errorf("granted on an upstream that was full: %+v", got)
	}
}

func TestLostReportsAreFound(t *testing.T) {
	s := newTestScheduler(1)
	running := fillSlots(s, start)
	now := start.Add(time.Minute)
	got := s.Update(now, &GrantsConfirmed{Host: "h", Incarnation: 1, Held: []uint64{running[0].Sequence}, QueriedAt: now})
	if len(got) != 0 || len(s.runs) != 1 {
		t.Errorf("%d runs on the books, want the one that is held", len(s.runs))
	}
}

// TestOverrunTierIsTrimmedAfterLowerOnes leaves a fifth of the pool to a middle
// tier that wants all of it, with a patient lower tier queued. The lower tier
// must be refused, and then the middle tier's excess, so that its queue is not
// longer than it can serve in about its target.
func TestOverrunTierIsTrimmedAfterLowerOnes(t *testing.T) {
	const step = 50 * time.Millisecond
	s := newTestScheduler(2)
	running := fillSlots(s, start)
	refused := map[plan.Tier]int{}
	for i := range uint64(600) {
		now := start.Add(time.Duration(i) * step)
		for _, tier := range []plan.Tier{1, 2, 5} {
			if tier == 1 && i%5 == 0 {
				continue
			}
			a := testAsk(10*i+uint64(tier), tier, "a")
			a.Arrived, a.MaxOutput = now, 100
			if tier == 5 {
				a.Target.FirstToken = plan.Duration(time.Hour)
			}
			for _, c := range ask(s, now, a) {
				if c.Kind == Refuse {
					refused[plan.Tier(c.ID.Sequence%10)]++
				}
			}
		}
		commands := s.Update(now, &Ended{ID: running[0], Outcome: Done, Output: 100})
		running = running[1:]
		for _, g := range sequences(commands, Grant) {
			running = append(running, RequestID{Host: "h", Incarnation: 1, Sequence: g})
		}
		s.Update(now, &Ticked{})
	}
	// The tier is served four times a second, and may be two seconds behind.
	const most = 2*4 + 2
	if n := s.tiers[2].count; n > most {
		t.Errorf("%d requests of the overloaded tier are queued", n)
	}
	if refused[1] > 0 || refused[2] == 0 || refused[5] == 0 {
		t.Errorf("refused by tier: %v", refused)
	}
}
