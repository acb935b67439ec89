package pool

import (
	"testing"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/ratelimit"
)

// endGranted ends the runs that commands grant, and those that are granted then, and counts
// them by upstream.
func endGranted(s *Scheduler, now time.Time, commands []Command, granted map[plan.UpstreamID]int) {
	for len(commands) > 0 {
		c := commands[0]
		commands = commands[1:]
		if c.Kind == Grant {
			granted[c.Upstream]++
			commands = append(commands, endRun(s, now, c.ID, Done)...)
		}
	}
}

// grantsOver submits requests for a while, ends each run at once, and returns how many
// grants each upstream got.
func grantsOver(s *Scheduler, from time.Time, span time.Duration, firstSequence uint64) map[plan.UpstreamID]int {
	granted := map[plan.UpstreamID]int{}
	sequence := firstSequence
	for now := from; now.Sub(from) < span; now = now.Add(50 * time.Millisecond) {
		req := testRequest(sequence, 1, "a")
		req.Arrived, req.Target.FirstToken = now, plan.Duration(time.Hour)
		sequence++
		endGranted(s, now, submit(s, now, req), granted)
		endGranted(s, now, append([]Command(nil), s.Update(now, &Ticked{})...), granted)
	}
	return granted
}

// state tells a scheduler of a rate that was just heard.
func state(s *Scheduler, now time.Time, u plan.UpstreamID, rate ratelimit.Rate) {
	commands := s.Update(now, &TermsStated{Upstream: u, Rate: rate, SentAge: 20 * time.Millisecond})
	endGranted(s, now, append([]Command(nil), commands...), map[plan.UpstreamID]int{})
}

// TestSchedulerKeepsToTheRateOfAnUpstream guards against schedulers that grant more runs on
// an upstream than the rate that it has named to any host, and against ones that keep to a
// limit that has ended.
func TestSchedulerKeepsToTheRateOfAnUpstream(t *testing.T) {
	s := newTestScheduler(1)
	only := testUpstream(0, plan.Live).ID
	state(s, start, only, 4)
	if n := grantsOver(s, start, 10*time.Second, 1)[only]; n < 30 || n > 45 {
		t.Errorf("%d grants in 10 s at a rate of 4", n)
	}
	now := start.Add(10 * time.Second)
	state(s, now, only, ratelimit.NoLimit)
	if n := grantsOver(s, now, 5*time.Second, 1000)[only]; n < 90 {
		t.Errorf("%d grants in 5 s without a limit, want about 100", n)
	}
}

// TestOtherUpstreamsServeBesideALimitedOne guards against requests that wait for an upstream
// at its rate while another one is free.
func TestOtherUpstreamsServeBesideALimitedOne(t *testing.T) {
	s := newTestScheduler(2)
	limited, other := testUpstream(0, plan.Live).ID, testUpstream(1, plan.Live).ID
	state(s, start, limited, 0.5)
	granted := grantsOver(s, start, 10*time.Second, 1)
	if granted[limited] > 6 || granted[limited]+granted[other] < 200 {
		t.Errorf("%d grants on the limited upstream and %d on the other one", granted[limited], granted[other])
	}
}

// TestUpstreamRestsForAsLongAsItSays guards against schedulers that go on granting runs on
// an upstream which has told one host when to come back.
func TestUpstreamRestsForAsLongAsItSays(t *testing.T) {
	s := newTestScheduler(1)
	only := testUpstream(0, plan.Live).ID
	s.Update(start, &TermsStated{Upstream: only, RateUnknown: true, RetryAfter: 2 * time.Second})
	if n := grantsOver(s, start, 1900*time.Millisecond, 1)[only]; n > 0 {
		t.Errorf("%d grants before the upstream takes work again", n)
	}
	if n := grantsOver(s, start.Add(2*time.Second), time.Second, 1000)[only]; n == 0 {
		t.Error("no grants afterwards")
	}
}

// TestSchedulerGrantsNothingOnADrainingUpstream guards against schedulers that grant runs on an
// upstream which has said to any host that it is draining, and against ones that leave out its
// next process.
func TestSchedulerGrantsNothingOnADrainingUpstream(t *testing.T) {
	s := newTestScheduler(1)
	only := testUpstream(0, plan.Live).ID
	s.Update(start, &TermsStated{Upstream: only, Draining: true, Instance: "p1"})
	now := start.Add(time.Second)
	s.Update(now, &LoadReported{Upstream: only, Instance: "p1"})
	if n := grantsOver(s, now, 2*maxUnreportedDrain, 1)[only]; n != 0 {
		t.Errorf("%d grants while the upstream drains", n)
	}
	now = now.Add(2 * maxUnreportedDrain)
	granted := map[plan.UpstreamID]int{}
	endGranted(s, now, append([]Command(nil), s.Update(now, &LoadReported{Upstream: only, Instance: "p2"})...), granted)
	if granted[only] == 0 {
		t.Error("no grants after a restart")
	}
}

// TestDrainOfAnUpstreamWithoutReportsEnds guards against an upstream that is left out for good
// because nothing tells that it has restarted.
func TestDrainOfAnUpstreamWithoutReportsEnds(t *testing.T) {
	s := newTestScheduler(1)
	only := testUpstream(0, plan.Live).ID
	s.Update(start, &TermsStated{Upstream: only, Draining: true})
	if n := grantsOver(s, start, maxUnreportedDrain-time.Second, 1)[only]; n != 0 {
		t.Errorf("%d grants while the upstream drains", n)
	}
	if n := grantsOver(s, start.Add(maxUnreportedDrain), time.Second, 10_000)[only]; n == 0 {
		t.Error("no grants afterwards")
	}
}
