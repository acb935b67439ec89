package dispatch

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/call"
	"mulberrydyke/plan"
	"mulberrydyke/route"
)

var start = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

func at(span time.Duration) time.Time { return start.Add(span) }

var engines = &route.Service{ID: "pool", Engine: &route.Engine{Slots: 64, TokensPerEvent: 4}}

var plainService = &route.Service{ID: "pool"}

// fleet returns a view with a number of engines in each of three domains.
func fleet(perDomain int) *route.Upstreams {
	v := &route.Upstreams{ByID: map[plan.UpstreamID]*route.Upstream{}}
	for _, d := range []plan.DomainID{"a", "b", "c"} {
		for i := range perDomain {
			id := plan.UpstreamID(fmt.Sprintf("%s%d", d, i))
			v.ByID[id] = &route.Upstream{ID: id, Service: "pool", Domain: d, Address: string(id), Slots: 64, Revision: 1}
		}
	}
	return v
}

func newTestCore(host plan.HostID, perDomain int) *Balancer {
	c := NewBalancer(host, "a", 8*time.Second)
	c.SetUpstreams(start, fleet(perDomain))
	return c
}

// smallEngines returns a core with one engine of few slots in each domain.
func smallEngines() *Balancer {
	v := fleet(1)
	for _, u := range v.ByID {
		u.Slots = 8
	}
	c := NewBalancer("h", "a", 8*time.Second)
	c.SetUpstreams(start, v)
	return c
}

func longOn(subject string) *call.Prompt {
	return &call.Prompt{
		Parts:  []call.PromptPart{{ID: "book", Tokens: 2500}, {ID: subject, Tokens: 3800}, {ID: "own", Tokens: 2900}},
		Tokens: 9200,
	}
}

func short() *call.Prompt {
	return &call.Prompt{Parts: []call.PromptPart{{ID: "s", Tokens: 200}, {ID: "own", Tokens: 600}}, Tokens: 800}
}

func query(p *call.Prompt) Query {
	return Query{Service: "pool", Prompt: p, LatencyTarget: 500 * time.Millisecond, Urgency: 4}
}

func take(t *testing.T, c *Balancer, now time.Time, p *call.Prompt) *Lease {
	t.Helper()
	l, err := c.Acquire(now, query(p), engines)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Seen by a hunt on scale days: accounts carry a priority, so letters and drafts
// of one account had one urgency, and engines out of memory preempted letters
// while drafts ran on.
func TestUrgencyOrdersByAccountThenByRoute(t *testing.T) {
	letter, draft := &route.Route{Priority: 0}, &route.Route{Priority: 1}
	first, second := &route.Account{Priority: 0, HasPriority: true}, &route.Account{Priority: 1, HasPriority: true}
	order := []int{Urgency(letter, first), Urgency(draft, first), Urgency(letter, second), Urgency(draft, second)}
	for i := 1; i < len(order); i++ {
		if order[i] <= order[i-1] {
			t.Errorf("urgencies %v do not rise", order)
		}
	}
	if Urgency(draft, nil) <= Urgency(letter, nil) {
		t.Error("without an account's priority, the route's does not decide")
	}
	if got := Urgency(&route.Route{Priority: 50}, nil); got > 9 {
		t.Errorf("urgency %d is off the engines' scale", got)
	}
}

// Long prompts hold up the tokens of all requests on their engine.
func TestShortAndLongPromptsAreKeptApart(t *testing.T) {
	c := newTestCore("h", 3)
	sides := map[plan.UpstreamID]map[Class]bool{}
	for i := range 40 {
		now := at(time.Duration(i) * 50 * time.Millisecond)
		for _, p := range []*call.Prompt{short(), longOn(fmt.Sprint(i % 10))} {
			l := take(t, c, now, p)
			if sides[l.Upstream.ID] == nil {
				sides[l.Upstream.ID] = map[Class]bool{}
			}
			sides[l.Upstream.ID][l.Class] = true
			c.RecordFirstEvent(now, l)
			c.Release(now, l, Done)
		}
	}
	for id, classes := range sides {
		if len(classes) > 1 {
			t.Errorf("%s ran both classes", id)
		}
	}
}

// A subject stays where its parts are, on every host alike.
func TestSubjectsHaveTheSameHomeOnAllHosts(t *testing.T) {
	one, two := newTestCore("h1", 3), newTestCore("h2", 3)
	for i := range 30 {
		p := longOn(fmt.Sprint(i))
		a, b := take(t, one, start, p), take(t, two, start, p)
		if a.Upstream.ID != b.Upstream.ID {
			t.Errorf("subject %d: %s and %s", i, a.Upstream.ID, b.Upstream.ID)
		}
		one.Release(start, a, Done)
		two.Release(start, b, Done)
	}
}

// Pattern of scale days: a hot subject. It overflows to few engines, not to all.
func TestHotSubjectOverflowsToFewEngines(t *testing.T) {
	c := newTestCore("h", 6)
	used := map[plan.UpstreamID]bool{}
	for range 60 {
		l, err := c.Acquire(start, query(longOn("hot")), engines)
		if err == nil {
			used[l.Upstream.ID] = true
		}
	}
	if len(used) < 2 || len(used) > homesMost {
		t.Errorf("%d engines hold the subject, want 2 to %d", len(used), homesMost)
	}
}

// Pattern of scale days: more long prompts than engines can read in time. Those
// that would be late are refused with a time to come back; an account of the
// first rank is refused only later.
func TestOverloadRefusesLongPromptsByRank(t *testing.T) {
	c := smallEngines()
	var overload *OverloadError
	refusedAt := func(urgency int) int {
		for i := range 1000 {
			q := query(longOn("s"))
			q.Urgency, q.Jitter = urgency, 0.5
			if _, err := c.Acquire(start, q, engines); errors.As(err, &overload) {
				return i
			}
		}
		return -1
	}
	low := refusedAt(4)
	if low < 0 || overload.RetryAfter < returnLeast || overload.RetryAfter > returnMost {
		t.Fatalf("refused after %d, retry after %v", low, overload.RetryAfter)
	}
	if more := refusedAt(1); more <= 0 {
		t.Errorf("the first rank is refused with the others")
	}
	if _, err := c.Acquire(start, query(short()), engines); err != nil {
		t.Errorf("a short prompt was refused: %v", err)
	}
}

// Large prompts are refused no sooner than small ones.
func TestOverloadDoesNotLookAtTheSize(t *testing.T) {
	c := smallEngines()
	for {
		if _, err := c.Acquire(start, query(longOn("s")), engines); err != nil {
			break
		}
	}
	large, small := longOn("s"), longOn("s")
	large.Tokens += 30000
	large.Parts[2].Tokens += 30000
	_, errLarge := c.Acquire(start, query(large), engines)
	_, errSmall := c.Acquire(start, query(small), engines)
	if (errLarge == nil) != (errSmall == nil) {
		t.Errorf("large: %v, small: %v", errLarge, errSmall)
	}
}

func TestUnreachableUpstreamIsLeftAlone(t *testing.T) {
	c := newTestCore("h", 1)
	first := take(t, c, start, short())
	c.Release(start, first, Unreachable)
	for i := range 20 {
		if l := take(t, c, at(time.Duration(i)*time.Millisecond), short()); l.Upstream.ID == first.Upstream.ID {
			t.Fatal("an unreachable upstream was taken again at once")
		}
	}
}

// Where every upstream failed lately, the one that failed longest ago is tried.
func TestAllUpstreamsFailedLately(t *testing.T) {
	c := NewBalancer("h", "a", time.Second)
	v := fleet(1)
	c.SetUpstreams(start, v)
	for range len(v.ByID) {
		l, err := c.Acquire(start, Query{Service: "pool", Prompt: &call.Prompt{}}, plainService)
		if err != nil {
			t.Fatal(err)
		}
		c.Release(start, l, Unreachable)
	}
	if _, err := c.Acquire(start, Query{Service: "pool", Prompt: &call.Prompt{}}, plainService); err != nil {
		t.Errorf("refused although an upstream is listed: %v", err)
	}
}

// An address may belong to another upstream until the platform lists anew.
func TestMisdirectedUpstreamIsOutUntilItIsListedAnew(t *testing.T) {
	c := newTestCore("h", 1)
	l := take(t, c, start, short())
	id := l.Upstream.ID
	c.Release(start, l, Misdirected)
	for range 20 {
		if l := take(t, c, at(10*time.Second), short()); l.Upstream.ID == id {
			t.Fatal("a misdirected upstream was taken")
		}
	}
	v := fleet(1)
	v.ByID[id].Revision = 2
	c.SetUpstreams(at(11*time.Second), v)
	found := false
	for range 20 {
		found = found || take(t, c, at(11*time.Second), short()).Upstream.ID == id
	}
	if !found {
		t.Error("an upstream that was listed anew is never taken")
	}
}

func TestLeavingUpstreamIsNotTaken(t *testing.T) {
	c := newTestCore("h", 1)
	v := fleet(1)
	v.ByID["a0"].State = route.Draining
	c.SetUpstreams(start, v)
	for range 30 {
		if l := take(t, c, start, short()); l.Upstream.ID == "a0" {
			t.Fatal("a leaving upstream was taken")
		}
	}
}

// A request that waits for its first event much longer than its engine's load
// explains makes that engine suspect before any time-out.
func TestMuteUpstreamIsAvoided(t *testing.T) {
	c := newTestCore("h", 1)
	stuck, err := c.Acquire(start, Query{Service: "pool", Prompt: &call.Prompt{}}, plainService)
	if err != nil {
		t.Fatal(err)
	}
	for range 10 {
		l, err := c.Acquire(at(time.Second), Query{Service: "pool", Prompt: &call.Prompt{}}, plainService)
		if err != nil {
			t.Fatal(err)
		}
		if l.Upstream.ID == stuck.Upstream.ID {
			t.Fatal("a mute upstream was taken")
		}
		c.Release(at(time.Second), l, Done)
	}
}

// Pattern of cut domains: its engines take no part in the division.
func TestSilentDomainTakesNoPart(t *testing.T) {
	c := newTestCore("h", 3)
	c.ApplyDomainReport(start, start, "b", 2, Report{})
	c.ApplyDomainReport(start, start, "c", 2, Report{})
	later := at(silentAfter + time.Second)
	c.ApplyDomainReport(later, later, "c", 2, Report{})
	for i := range 30 {
		if l := take(t, c, later, longOn(fmt.Sprint(i))); l.Upstream.Domain == "b" {
			t.Fatalf("a long prompt went to the silent domain")
		}
	}
}

// Hosts agree on the division: the first host of a domain speaks for it, and the
// median of the domains counts.
func TestDivisionIsTheMedianOfTheDomains(t *testing.T) {
	c := newTestCore("h2", 6)
	rates := func(shorts int) Report {
		return Report{Services: []ServiceReport{{Service: "pool", ShortEngines: shorts}}}
	}
	c.ApplyHostReport(start, "h1", rates(5))
	c.ApplyHostReport(start, "h3", rates(9))
	c.ApplyDomainReport(start, start, "b", 2, rates(7))
	c.ApplyDomainReport(start, start, "c", 2, rates(2))
	if got := take(t, c, start, short()).ShortEngines; got != 5 {
		t.Errorf("%d engines for short prompts, want the median of 5, 7 and 2", got)
	}
}

func TestReportsAddUp(t *testing.T) {
	c := newTestCore("h1", 1)
	l := take(t, c, start, longOn("s"))
	key := KeyOf(l.Upstream.ID)
	c.ApplyHostReport(start, "h2", Report{Loads: []Load{{Upstream: key, Long: 2, PendingTokens: 100, ArrivalRate: 50}}})
	c.ApplyDomainReport(start, start, "b", 3, Report{Loads: []Load{{Upstream: key, Short: 1}}})
	report, hosts := c.DomainReport(start)
	if hosts != 2 || c.RemoteHostCount() != 3 {
		t.Errorf("%d hosts here, %d elsewhere", hosts, c.RemoteHostCount())
	}
	var got Load
	for _, x := range report.Loads {
		if x.Upstream == key {
			got = x
		}
	}
	if got.Long != 3 || got.Short != 0 || got.PendingTokens != l.UncachedTokens+100 {
		t.Errorf("the domain's load is %+v", got)
	}
	if w := c.targets[l.Upstream.ID].load(); w.short != 1 || w.long != 3 {
		t.Errorf("the whole load is %+v", w)
	}
	if old, _ := c.DomainReport(at(reportLife + time.Second)); len(old.Loads) == 0 || old.Loads[0].Long != 1 {
		t.Errorf("old reports count: %+v", old.Loads)
	}
}

// All leases that end leave no load behind.
func TestLeasesLeaveNothingBehind(t *testing.T) {
	c := newTestCore("h", 2)
	results := []Result{Done, Failed, Refused, Broken, Abandoned}
	for i := range 100 {
		now := at(time.Duration(i) * time.Second)
		l := take(t, c, now, longOn(fmt.Sprint(i)))
		if i%2 == 0 {
			c.RecordFirstEvent(now, l)
		}
		c.Release(now, l, results[i%len(results)])
		c.Release(now, l, Done)
	}
	for id, target := range c.targets {
		w := target.own
		w.arriving = 0
		if diff := cmp.Diff(work{}, w, cmp.AllowUnexported(work{})); diff != "" || len(target.waiting) != 0 {
			t.Errorf("%s: %s, %d waiting", id, diff, len(target.waiting))
		}
	}
}

// Under load, prompts share an engine; the speed must not follow the congestion.
func TestPaceIsThatOfAnUnloadedEngine(t *testing.T) {
	var p PrefillTiming
	for i := range 400 {
		congestion := time.Duration(1 + i%4)
		p.measured(600, 600, 90*time.Millisecond)
		p.measured(3000, 3000, 83*time.Millisecond+congestion*30*time.Millisecond)
	}
	speed, _ := p.known()
	if speed < 70 || speed > 130 {
		t.Errorf("%.0f tokens a millisecond, want about 100", speed)
	}
	if mixed, _ := (PrefillTiming{}).mix(p).known(); math.Abs(mixed-speed) > 1e-6 {
		t.Errorf("mixed with nothing: %v", mixed)
	}
}
