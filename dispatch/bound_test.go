package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/call"
	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// Pattern: one service, many callers at six hosts, each request held for long.
// An upstream takes a bounded number of connections from all hosts together.
func TestNoMoreRequestsThanConnections(t *testing.T) {
	c := newTestCore("h", 1)
	bounded := &route.Service{ID: "pool", MaxConnections: 3}
	c.ApplyHostReport(start, "other", Report{Loads: []Load{{Upstream: KeyOf("b0"), Plain: 2}, {Upstream: KeyOf("c0"), Plain: 3}}})
	taken := map[plan.UpstreamID]int{}
	for range 4 {
		l, err := c.Acquire(start, query(&call.Prompt{}), bounded)
		if err != nil {
			t.Fatal(err)
		}
		taken[l.Upstream.ID]++
	}
	if taken["a0"] != 3 || taken["b0"] != 1 || taken["c0"] != 0 {
		t.Errorf("taken: %v", taken)
	}
	if l, err := c.Acquire(start, query(&call.Prompt{}), bounded); err == nil {
		t.Errorf("%s was given one more than it takes", l.Upstream.ID)
	}
	if got := c.IdleConnectionLimit(c.targets["b0"].upstream, 9, 3); got != 2 {
		t.Errorf("%d idle connections may be kept, want a third of the six that are left", got)
	}
}

// Pattern: a host's own link is cut for a moment, so that it reaches hardly any
// upstream, then it heals. The few that it still reached don't take all its load.
func TestFewUpstreamsAreNotLeftWithAllTheLoad(t *testing.T) {
	c := newTestCore("h", 4)
	for id, u := range c.targets {
		if id != "a0" {
			u.shun(start)
		}
	}
	taken := map[plan.UpstreamID]int{}
	for range 300 {
		l, err := c.Acquire(at(shunFirst*9/10), query(&call.Prompt{}), plainService)
		if err != nil {
			t.Fatal(err)
		}
		taken[l.Upstream.ID]++
	}
	if taken["a0"] > 150 || len(taken) < 4 {
		t.Errorf("taken: %v", taken)
	}
}

// Pattern: the upstream that takes the calls of a quiet service fails them for some
// seconds, then recovers. They go elsewhere meanwhile, and come back afterwards:
// nothing but time can show that an avoided upstream is sound again.
func TestUpstreamThatFailedIsTriedAgain(t *testing.T) {
	c := newTestCore("h", 2)
	call := func(now time.Time) *Lease {
		l, err := c.Acquire(now, query(&call.Prompt{}), plainService)
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	first := call(start)
	home := first.Upstream.ID
	c.Release(start, first, Done)
	run := func(now time.Time, r Result) (atHome int) {
		for range 20 {
			l := call(now)
			result := Done
			if l.Upstream.ID == home {
				atHome++
				result = r
			}
			c.Release(now, l, result)
		}
		return atHome
	}
	if n := run(start, Done); n < 15 {
		t.Fatalf("%d of 20 at home while it is sound", n)
	}
	for i := range 40 {
		run(at(time.Duration(i)*50*time.Millisecond), Failed)
	}
	if n := run(at(2*time.Second), Failed); n > 5 {
		t.Errorf("%d of 20 at home while it fails", n)
	}
	if n := run(at(14*time.Second), Done); n < 15 {
		t.Errorf("%d of 20 at home after it recovered", n)
	}
}

// Pattern: all hosts start again at once, and their callers come back within the
// next second. The moment without load leaves more than one of nine engines to
// short prompts.
func TestShortPromptsKeepEnginesThroughAMomentWithoutLoad(t *testing.T) {
	c := newTestCore("h", 3)
	for i := range 6 {
		now := at(time.Duration(i) * 600 * time.Millisecond)
		l := take(t, c, now, short())
		c.Release(now, l, Done)
		if l.ShortEngines < 2 {
			t.Fatalf("%d engine for short prompts after %v", l.ShortEngines, now.Sub(start))
		}
	}
}

// Pattern: an engine crashes in a burst and stays listed for seconds. Hosts that
// have not met it themselves learn of it, and divide the engines without it.
func TestEngineThatOtherHostsFindDownIsLeftAlone(t *testing.T) {
	c := newTestCore("h", 2)
	down := Report{Down: []UpstreamKey{KeyOf("a0")}}
	c.ApplyHostReport(start, "g", down)
	c.ApplyHostReport(start, "i", Report{})
	if c.down(start, c.targets["a0"]) {
		t.Error("one host of three is believed")
	}
	c.ApplyHostReport(start, "i", down)
	for i := range 100 {
		l := take(t, c, start, longOn(fmt.Sprint(i)))
		if l.Upstream.ID == "a0" {
			t.Fatal("the engine that is down was taken")
		}
		c.Release(start, l, Done)
	}
	if c.targets["a0"].usable {
		t.Error("the engine that is down takes part in the division")
	}
}

// Pattern: another host of the domain is cut off from nearly all upstreams. What it
// says of them does not keep this host from using them.
func TestCutHostDoesNotStopTheOthers(t *testing.T) {
	c := newTestCore("h", 2)
	var all Report
	for id := range c.targets {
		if id != "a0" {
			all.Down = append(all.Down, KeyOf(id))
		}
	}
	c.ApplyHostReport(start, "cut", all)
	taken := map[plan.UpstreamID]int{}
	for range 60 {
		l, err := c.Acquire(start, query(&call.Prompt{}), plainService)
		if err != nil {
			t.Fatal(err)
		}
		taken[l.Upstream.ID]++
	}
	if taken["a0"] > 30 {
		t.Errorf("taken: %v", taken)
	}
}

// Pattern: callers ask for many letters at once. Before the slots of the engines for
// short prompts are full, they get another engine: the more requests run, the slower
// each token comes, and what overflows goes among long prompts.
func TestShortPromptsGetAnotherEngineBeforeSlotsAreFull(t *testing.T) {
	c := newTestCore("h", 3)
	first := take(t, c, start, short()).ShortEngines
	slots := engines.Engine.Slots
	for range first * slots * 3 / 4 {
		take(t, c, at(time.Millisecond), short())
	}
	if n := take(t, c, at(divideEvery+time.Millisecond), short()).ShortEngines; n <= first {
		t.Errorf("%d engines for short prompts that fill three quarters of %d", n, first)
	}
}

// The sums that reports change one by one are those of all reports added up.
func TestSumsFollowEachReport(t *testing.T) {
	c := newTestCore("h", 2)
	report := func(n int) Report {
		return Report{
			Loads: []Load{{Upstream: KeyOf("a0"), Short: n, PendingTokens: 10 * n}, {Upstream: KeyOf("b1"), Long: 2 * n}},
			Down:  []UpstreamKey{KeyOf("c0")},
		}
	}
	for i := range 12 {
		now := at(time.Duration(i) * 200 * time.Millisecond)
		c.ApplyHostReport(now, plan.HostID(fmt.Sprint("near", i%3)), report(i))
		c.ApplyDomainReport(now, now, plan.DomainID(fmt.Sprint("b", i%2)), 3, report(2*i))
		type sums struct {
			Near, Far work
			Votes     int
		}
		list := func() map[plan.UpstreamID]sums {
			out := map[plan.UpstreamID]sums{}
			for id, x := range c.targets {
				out[id] = sums{x.near, x.far, x.downVotes}
			}
			return out
		}
		one := list()
		c.sumUp(now)
		if diff := cmp.Diff(list(), one, cmp.AllowUnexported(work{})); diff != "" {
			t.Fatalf("after report %d: %s", i, diff)
		}
	}
}

// Pattern: a burst of long prompts at the start of a day, when the caches are empty:
// engines read far more than the hosts reckon, so first events come late. What was
// observed at the home of a popular subject sends further prompts to its next home,
// until the first has caught up.
func TestObservedWaitsCountWhereReckonedOnesDoNot(t *testing.T) {
	c := smallEngines()
	popular := longOn("popular")
	var running []*Lease
	for range 3 {
		running = append(running, take(t, c, start, popular))
	}
	home := running[0].Upstream.ID
	late := at(900 * time.Millisecond)
	for _, l := range running {
		c.RecordFirstEvent(late, l)
		c.Release(late, l, Done)
	}
	next := func(now time.Time) plan.UpstreamID {
		l := take(t, c, now, popular)
		c.Release(now, l, Abandoned)
		return l.Upstream.ID
	}
	if id := next(late); id == home {
		t.Error("sent to the engine whose first events come late")
	}
	if wait := c.targets[home].waited(late.Add(5 * time.Second)); wait > 1 {
		t.Errorf("a wait of %.0f ms counts after the engine caught up", wait)
	}
}

// Pattern: one of three upstreams of a plain service turns slow, its answers good.
// Calls go to the others, and come back once it has had time to recover.
func TestSlowUpstreamIsAvoided(t *testing.T) {
	c := NewBalancer("h", "d", 8*time.Second)
	c.SetUpstreams(start, fleet(1))
	slow := plan.UpstreamID("a0")
	run := func(now time.Time, n int) (atSlow int) {
		for i := range n {
			l, err := c.Acquire(now, query(&call.Prompt{}), plainService)
			if err != nil {
				t.Fatal(err)
			}
			span := 15 * time.Millisecond
			if l.Upstream.ID == slow {
				atSlow++
				span = 120 * time.Millisecond
			}
			// Calls overlap, so that each upstream gets some.
			if i%3 != 0 {
				defer c.Release(now.Add(span), l, Done)
			}
			c.RecordFirstEvent(now.Add(span), l)
		}
		return atSlow
	}
	run(start, 9)
	if n := run(at(100*time.Millisecond), 30); n > 3 {
		t.Errorf("%d of 30 calls at the slow upstream", n)
	}
	if n := run(at(20*time.Second), 30); n == 0 {
		t.Error("no call at the slow upstream after 20 s")
	}
}

// Pattern: an upstream of a service that places orders comes back after a crash. The
// first request it gets is one that may be sent once more; only where there is none
// for a while does it get any other.
func TestUpstreamIsTriedWithRepeatableRequests(t *testing.T) {
	c := NewBalancer("h", "d", 8*time.Second)
	c.SetUpstreams(start, fleet(1))
	taken := func(now time.Time, repeatable bool) bool {
		for range 60 {
			q := query(&call.Prompt{})
			q.Retryable = repeatable
			l, err := c.Acquire(now, q, plainService)
			if err != nil {
				t.Fatal(err)
			}
			if l.Upstream.ID == "a0" {
				c.Release(now, l, Abandoned)
				return true
			}
		}
		return false
	}
	c.targets["a0"].shun(start)
	back := at(shunFirst + time.Millisecond)
	if taken(back, false) {
		t.Error("tried with a request that may not be sent twice")
	}
	if !taken(back, true) {
		t.Error("not tried with a request that may")
	}
	if !taken(back.Add(trialTime), false) {
		t.Error("never tried where no request may be sent twice")
	}
}
