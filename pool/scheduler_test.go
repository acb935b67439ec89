package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/plan"
)

// start is the time at which the tests begin.
var start = time.Unix(1000, 0)

// newTestScheduler returns a scheduler with count upstreams of two slots each.
func newTestScheduler(count int) *Scheduler {
	s := NewScheduler(start, false, NewSuspects())
	var list []plan.Upstream
	for i := range count {
		list = append(list, testUpstream(i, plan.Live))
	}
	s.Update(start, &Reconfigured{Upstreams: list, Floors: testFloors(), Quarantine: time.Minute, LimitFraction: 1})
	return s
}

// testRequest returns an idempotent request with a short prompt.
func testRequest(sequence uint64, tier plan.Tier, account string) Request {
	return Request{
		ID:      RequestID{Host: "h", Incarnation: 1, Sequence: sequence},
		Account: plan.AccountID(account), Class: "c", Tier: tier, Share: 0.5, Prompt: 10, MaxOutput: 4,
		Arrived: start, Idempotent: true,
		Target: plan.Target{FirstToken: plan.Duration(time.Second), BetweenTokens: plan.Duration(time.Second)},
	}
}

// submit submits a request and returns a copy of the commands.
func submit(s *Scheduler, now time.Time, req Request) []Command {
	return append([]Command(nil), s.Update(now, &Submitted{Request: req})...)
}

// sequences returns the sequence numbers of the requests in commands of a kind.
func sequences(commands []Command, kind CommandKind) []uint64 {
	var out []uint64
	for _, c := range commands {
		if c.Kind == kind {
			out = append(out, c.ID.Sequence)
		}
	}
	return out
}

// fillSlots submits requests until every slot of the pool is granted.
func fillSlots(s *Scheduler, now time.Time) []RequestID {
	var ids []RequestID
	for i := uint64(1_000_000); ; i++ {
		got := submit(s, now, testRequest(i, 1, "filler"))
		if len(sequences(got, Grant)) == 0 {
			s.Update(now, &Withdrawn{ID: RequestID{Host: "h", Incarnation: 1, Sequence: i}})
			return ids
		}
		ids = append(ids, got[0].ID)
	}
}

// endRun ends a run and returns a copy of the commands.
func endRun(s *Scheduler, now time.Time, id RequestID, outcome Outcome) []Command {
	return append([]Command(nil), s.Update(now, &Ended{ID: id, Outcome: outcome, Output: 10, Instance: "i"})...)
}

func TestHigherTierGoesFirst(t *testing.T) {
	s := newTestScheduler(2)
	running := fillSlots(s, start)
	submit(s, start, testRequest(1, 3, "a"))
	submit(s, start, testRequest(2, 2, "a"))
	submit(s, start, testRequest(3, 1, "a"))
	var order []uint64
	for _, id := range running {
		order = append(order, sequences(endRun(s, start, id, Done), Grant)...)
	}
	if diff := cmp.Diff([]uint64{3, 2}, order[:2]); diff != "" {
		t.Errorf("order of grants (-want +got):\n%s", diff)
	}
}

func TestAccountsShareATier(t *testing.T) {
	s := newTestScheduler(1)
	running := fillSlots(s, start)
	relaxedRequest := func(i uint64, account string) Request {
		req := testRequest(i, 1, account)
		req.Target.FirstToken = plan.Duration(time.Minute)
		return req
	}
	for i := range uint64(20) {
		submit(s, start, relaxedRequest(i, "large"))
	}
	submit(s, start, relaxedRequest(100, "small"))
	position := -1
	for n := range 20 {
		id := running[0]
		running = running[1:]
		granted := sequences(endRun(s, start, id, Done), Grant)
		for _, g := range granted {
			running = append(running, RequestID{Host: "h", Incarnation: 1, Sequence: g})
			if g == 100 {
				position = n
			}
		}
	}
	if position < 0 || position > 2 {
		t.Errorf("the request of the small account was granted at position %d, want at most 2", position)
	}
}

func TestEarliestDeadlineFirstLateRequestsLast(t *testing.T) {
	s := newTestScheduler(2)
	running := fillSlots(s, start)
	late := testRequest(1, 1, "a")
	late.Target.FirstToken = plan.Duration(time.Millisecond)
	relaxed := testRequest(2, 1, "a")
	relaxed.Target.FirstToken = plan.Duration(time.Minute)
	urgent := testRequest(3, 1, "a")
	urgent.Target.FirstToken = plan.Duration(10 * time.Second)
	for _, req := range []Request{late, relaxed, urgent} {
		submit(s, start, req)
	}
	now := start.Add(time.Second)
	var order []uint64
	for _, id := range running[:3] {
		order = append(order, sequences(endRun(s, now, id, Done), Grant)...)
	}
	if diff := cmp.Diff([]uint64{3, 2, 1}, order); diff != "" {
		t.Errorf("order of grants (-want +got):\n%s", diff)
	}
}

func TestShedRefusesLowestTierFirst(t *testing.T) {
	s := newTestScheduler(1)
	fillSlots(s, start)
	for i := range uint64(3) {
		submit(s, start, testRequest(i, 5, "low"))
	}
	var refused []uint64
	for i := uint64(10); len(refused) == 0 && i < 200; i++ {
		refused = sequences(submit(s, start, testRequest(i, 1, "high")), Refuse)
	}
	if diff := cmp.Diff([]uint64{2}, refused); diff != "" {
		t.Errorf("refused first, want the newest of the lowest tier (-want +got):\n%s", diff)
	}
}

// TestLowestTierIsNotStarved keeps the pool saturated with the highest tier and
// checks that a request of the lowest tier is granted within maxFloorWait plus the
// time until a slot is free.
func TestLowestTierIsNotStarved(t *testing.T) {
	s := newTestScheduler(2)
	running := fillSlots(s, start)
	submit(s, start, testRequest(1, 5, "low"))
	nextSequence := uint64(100)
	for step := range 100 {
		now := start.Add(time.Duration(step) * 100 * time.Millisecond)
		submit(s, now, testRequest(nextSequence, 1, "high"))
		nextSequence++
		granted := sequences(endRun(s, now, running[0], Done), Grant)
		running = running[1:]
		for _, g := range granted {
			if g == 1 {
				if waited := now.Sub(start); waited > maxFloorWait+time.Second {
					t.Errorf("the request of the lowest tier waited %s", waited)
				}
				return
			}
			running = append(running, RequestID{Host: "h", Incarnation: 1, Sequence: g})
		}
	}
	t.Error("the request of the lowest tier was never granted")
}

// TestDistantDeadlineIsNotStarved checks that a request with a distant deadline is
// granted although another class of the same account sends requests with nearer
// deadlines without a pause.
func TestDistantDeadlineIsNotStarved(t *testing.T) {
	s := newTestScheduler(1)
	running := fillSlots(s, start)
	slow := testRequest(1, 1, "a")
	slow.Class, slow.Target.FirstToken = "slow", plan.Duration(5*time.Second)
	submit(s, start, slow)
	nextSequence := uint64(100)
	for step := range 200 {
		now := start.Add(time.Duration(step) * 100 * time.Millisecond)
		req := testRequest(nextSequence, 1, "a")
		req.Arrived, req.Target.FirstToken = now, plan.Duration(200*time.Millisecond)
		submit(s, now, req)
		nextSequence++
		for _, g := range sequences(endRun(s, now, running[0], Done), Grant) {
			if g == 1 {
				return
			}
			running = append(running, RequestID{Host: "h", Incarnation: 1, Sequence: g})
		}
		running = running[1:]
	}
	t.Error("the request with the distant deadline was never granted")
}

func TestHugePromptDoesNotBlockShortPrompts(t *testing.T) {
	s := newTestScheduler(1)
	for i := range uint64(2) {
		huge := testRequest(i, 1, "a")
		huge.Prompt = 2 * hugePromptTokens
		submit(s, start, huge)
	}
	if got := sequences(submit(s, start, testRequest(9, 1, "a")), Grant); len(got) != 1 {
		t.Error("a short prompt is blocked by a huge prompt that no upstream can take")
	}
}

func TestSamePrefixPrefersOneUpstream(t *testing.T) {
	s := newTestScheduler(4)
	seen := map[plan.UpstreamID]int{}
	for i := range uint64(8) {
		req := testRequest(i, 1, "a")
		req.Prefix = 77
		got := submit(s, start, req)
		seen[got[0].Upstream]++
		endRun(s, start, req.ID, Done)
	}
	if len(seen) != 1 {
		t.Errorf("requests with one prefix were placed on several upstreams: %v", seen)
	}
}

func TestStragglerIsEjectedAndProbedOnlyWithIdempotentRequests(t *testing.T) {
	s := newTestScheduler(4)
	now := start
	for i := range uint64(400) {
		now = now.Add(50 * time.Millisecond)
		req := testRequest(i, 1, "a")
		req.Prefix = PrefixHash(i + 1)
		got := submit(s, now, req)
		tokenInterval := 20 * time.Millisecond
		if got[0].Upstream == "u2" {
			tokenInterval *= 3
		}
		s.Update(now, &Ended{ID: got[0].ID, Outcome: Done, Output: 10, Between: tokenInterval})
		s.Update(now, &Ticked{})
		if s.byID["u2"].health != healthy {
			break
		}
	}
	if s.byID["u2"].health == healthy {
		t.Fatal("the straggler was not ejected")
	}
	now = now.Add(maxDownTime)
	s.Update(now, &Ticked{})
	nonIdempotent := testRequest(1000, 1, "a")
	nonIdempotent.Idempotent = false
	for i := range uint64(20) {
		nonIdempotent.ID.Sequence = 1000 + i
		if got := submit(s, now, nonIdempotent); len(got) > 0 && got[0].Upstream == "u2" {
			t.Fatal("a non-idempotent request was used as a probe")
		}
	}
}

// TestTooSlowUpstreamIsAvoided makes one of two upstreams too slow for the target
// of a class. Requests of that class must go to the other one as long as it can
// take them; other requests may use both.
func TestTooSlowUpstreamIsAvoided(t *testing.T) {
	s := newTestScheduler(2)
	s.byID["u0"].tokenInterval, s.byID["u0"].speedSamples = 50*time.Millisecond, minSpeedSamples
	s.byID["u1"].tokenInterval, s.byID["u1"].speedSamples = 60*time.Millisecond, minSpeedSamples
	strict, lenient := testRequest(1, 1, "a"), testRequest(2, 1, "a")
	strict.Target.BetweenTokens = plan.Duration(55 * time.Millisecond)
	secondStrict := strict
	secondStrict.ID.Sequence = 3
	var got []plan.UpstreamID
	for _, req := range []Request{strict, secondStrict, lenient} {
		for _, c := range submit(s, start, req) {
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
		req := testRequest(i, 1, "a")
		req.Content = 42
		got := submit(s, now, req)
		if len(got) == 0 || got[0].Kind != Grant {
			continue
		}
		crashed[got[0].Upstream] = true
		s.Update(now, &Ended{ID: req.ID, Outcome: Crashed, Instance: Instance(fmt.Sprint(i))})
	}
	if len(crashed) != 2 {
		t.Errorf("the content crashed %d upstreams, want 2", len(crashed))
	}
	got := submit(s, start.Add(time.Second), func() Request { req := testRequest(9, 1, "a"); req.Content = 42; return req }())
	if len(got) != 1 || got[0].Reason != Quarantined {
		t.Errorf("the request was not quarantined: %+v", got)
	}
}

// TestUnprovenContentRunsOnFewUpstreams checks that content that has never
// finished runs on at most two upstreams, however many requests carry it at once.
func TestUnprovenContentRunsOnFewUpstreams(t *testing.T) {
	s := newTestScheduler(5)
	used := map[plan.UpstreamID]bool{}
	for i := range uint64(20) {
		req := testRequest(i, 1, "a")
		req.Content = 42
		for _, c := range submit(s, start, req) {
			used[c.Upstream] = true
		}
	}
	if len(used) > crashLimit {
		t.Errorf("content that never finished ran on %d upstreams at once", len(used))
	}
}

// TestCrashDuringConcurrentUnprovenRun reports the first crash while a second
// upstream still runs the content. No third upstream may get the content.
func TestCrashDuringConcurrentUnprovenRun(t *testing.T) {
	s := newTestScheduler(5)
	used := map[plan.UpstreamID]bool{}
	send := func(i uint64) {
		req := testRequest(i, 1, "a")
		req.Content = 42
		for _, c := range submit(s, start, req) {
			used[c.Upstream] = true
		}
	}
	send(1)
	send(2)
	endRun(s, start, testRequest(1, 1, "a").ID, Crashed)
	send(3)
	if len(used) > crashLimit {
		t.Errorf("after one crash the content was sent to a third upstream: %v", used)
	}
}

func TestTakeoverWaitsForRestoredRuns(t *testing.T) {
	s := NewScheduler(start, true, NewSuspects())
	s.Update(start, &Reconfigured{Upstreams: []plan.Upstream{testUpstream(0, plan.Live)}, Floors: testFloors(), Quarantine: time.Minute, LimitFraction: 1})
	if got := submit(s, start, testRequest(1, 1, "a")); len(got) != 0 {
		t.Fatal("a new scheduler granted a request before the restored runs were reported")
	}
	for i := range uint64(100) {
		large := testRequest(100+i, 1, "a")
		large.MaxOutput = 1000
		if got := submit(s, start, large); len(got) != 0 {
			t.Fatalf("a new scheduler refused a request before the restored runs were reported: %+v", got)
		}
	}
	for i := range uint64(100) {
		s.Update(start, &Withdrawn{ID: testRequest(100+i, 1, "a").ID})
	}
	var runs []Run
	for i := range uint64(3) {
		runs = append(runs, Run{Ask: testRequest(10+i, 1, "b"), Upstream: "u0"})
	}
	s.Update(start, &RunsRestored{Runs: runs})
	if got := s.Update(start.Add(takeoverHold), &Ticked{}); len(got) != 0 {
		t.Errorf("granted a request on an upstream that is full: %+v", got)
	}
}

func TestLostEndReportsAreReconciled(t *testing.T) {
	s := newTestScheduler(1)
	running := fillSlots(s, start)
	now := start.Add(time.Minute)
	got := s.Update(now, &GrantsConfirmed{Host: "h", Incarnation: 1, Held: []uint64{running[0].Sequence}, QueriedAt: now})
	if len(got) != 0 || len(s.runs) != 1 {
		t.Errorf("%d runs after the confirmation, want only the one that is held", len(s.runs))
	}
}

// TestOverloadedTierIsShedAfterLowerTiers leaves a fifth of the pool to a middle
// tier that needs all of it, with requests of a lower tier with a lenient target
// queued. The lower tier must be shed first, and then the excess of the middle
// tier, so that its queue is not longer than what it can serve in about its target.
func TestOverloadedTierIsShedAfterLowerTiers(t *testing.T) {
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
			req := testRequest(10*i+uint64(tier), tier, "a")
			req.Arrived, req.MaxOutput = now, 100
			if tier == 5 {
				req.Target.FirstToken = plan.Duration(time.Hour)
			}
			for _, c := range submit(s, now, req) {
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
	// Four requests of the tier are granted per second, and the queue may be two
	// seconds long before requests are shed (minShedWait).
	const maxQueued = 2*4 + 2
	if n := s.tiers[2].count; n > maxQueued {
		t.Errorf("%d requests of the overloaded tier are queued", n)
	}
	if refused[1] > 0 || refused[2] == 0 || refused[5] == 0 {
		t.Errorf("refused requests by tier: %v, want some of tiers 2 and 5 and none of tier 1", refused)
	}
}
