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

var startTime = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

// after returns the time that is the given duration after startTime.
func after(elapsed time.Duration) time.Time { return startTime.Add(elapsed) }

var engineService = &route.Service{ID: "pool", Engine: &route.Engine{Slots: 64, TokensPerEvent: 4}}

var plainService = &route.Service{ID: "pool"}

// testUpstreams returns a list with the given number of engines in each of three
// domains.
func testUpstreams(perDomain int) *route.Upstreams {
	list := &route.Upstreams{ByID: map[plan.UpstreamID]*route.Upstream{}}
	for _, d := range []plan.DomainID{"a", "b", "c"} {
		for i := range perDomain {
			id := plan.UpstreamID(fmt.Sprintf("%s%d", d, i))
			list.ByID[id] = &route.Upstream{ID: id, Service: "pool", Domain: d, Address: string(id), Slots: 64, Position: route.Position{Revision: 1}}
		}
	}
	return list
}

// newTestBalancer returns a balancer with the given number of engines in each of
// three domains.
func newTestBalancer(host plan.HostID, perDomain int) *Balancer {
	b := NewBalancer(host, "a", 8*time.Second)
	b.SetUpstreams(startTime, testUpstreams(perDomain))
	return b
}

// newSmallEngineBalancer returns a balancer with one engine of few slots in each
// domain.
func newSmallEngineBalancer() *Balancer {
	list := testUpstreams(1)
	for _, u := range list.ByID {
		u.Slots = 8
	}
	b := NewBalancer("h", "a", 8*time.Second)
	b.SetUpstreams(startTime, list)
	return b
}

// longPromptWithPrefix returns a long prompt whose last shared part has the given
// ID.
func longPromptWithPrefix(prefixID string) *call.Prompt {
	return &call.Prompt{
		Parts:  []call.PromptPart{{ID: "book", Tokens: 2500}, {ID: prefixID, Tokens: 3800}, {ID: "own", Tokens: 2900}},
		Tokens: 9200,
	}
}

func shortPrompt() *call.Prompt {
	return &call.Prompt{Parts: []call.PromptPart{{ID: "s", Tokens: 200}, {ID: "own", Tokens: 600}}, Tokens: 800}
}

func testQuery(p *call.Prompt) Query {
	return Query{Service: "pool", Prompt: p, LatencyTarget: 500 * time.Millisecond, Urgency: 4}
}

func acquire(t *testing.T, b *Balancer, now time.Time, p *call.Prompt) *Lease {
	t.Helper()
	l, err := b.Acquire(now, testQuery(p), engineService)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// TestUrgencyOrdersByAccountThenByRoute checks that routes of one account differ
// in urgency even if the account has a priority. When the account's priority
// replaced the route's, letters and drafts of one account had the same urgency,
// and engines out of memory preempted letters while drafts ran on.
func TestUrgencyOrdersByAccountThenByRoute(t *testing.T) {
	letter, draft := &route.Route{Priority: 0}, &route.Route{Priority: 1}
	first, second := &route.Account{Priority: 0, HasPriority: true}, &route.Account{Priority: 1, HasPriority: true}
	urgencies := []int{Urgency(letter, first), Urgency(draft, first), Urgency(letter, second), Urgency(draft, second)}
	for i := 1; i < len(urgencies); i++ {
		if urgencies[i] <= urgencies[i-1] {
			t.Errorf("urgencies %v are not in ascending order", urgencies)
		}
	}
	if Urgency(draft, nil) <= Urgency(letter, nil) {
		t.Error("route priority has no effect without an account priority")
	}
	if got := Urgency(&route.Route{Priority: 50}, nil); got > 9 {
		t.Errorf("urgency %d is above 9", got)
	}
}

// TestShortAndLongPromptsRunOnSeparateEngines checks that no engine runs both
// short and long prompts, since the prefill of a long prompt delays the tokens of
// all requests on its engine.
func TestShortAndLongPromptsRunOnSeparateEngines(t *testing.T) {
	b := newTestBalancer("h", 3)
	classesByEngine := map[plan.UpstreamID]map[Class]bool{}
	for i := range 40 {
		now := after(time.Duration(i) * 50 * time.Millisecond)
		for _, p := range []*call.Prompt{shortPrompt(), longPromptWithPrefix(fmt.Sprint(i % 10))} {
			l := acquire(t, b, now, p)
			if classesByEngine[l.Upstream.ID] == nil {
				classesByEngine[l.Upstream.ID] = map[Class]bool{}
			}
			classesByEngine[l.Upstream.ID][l.Class] = true
			b.RecordFirstEvent(now, l)
			b.Release(now, l, Done)
		}
	}
	for id, classes := range classesByEngine {
		if len(classes) > 1 {
			t.Errorf("%s ran both short and long prompts", id)
		}
	}
}

// TestPreferredEngineIsSameOnAllHosts checks that all hosts send prompts with one
// prefix to the same engine, which has the parts of the prefix in its cache.
func TestPreferredEngineIsSameOnAllHosts(t *testing.T) {
	one, two := newTestBalancer("h1", 3), newTestBalancer("h2", 3)
	for i := range 30 {
		p := longPromptWithPrefix(fmt.Sprint(i))
		a, b := acquire(t, one, startTime, p), acquire(t, two, startTime, p)
		if a.Upstream.ID != b.Upstream.ID {
			t.Errorf("prefix %d: hosts chose %s and %s", i, a.Upstream.ID, b.Upstream.ID)
		}
		one.Release(startTime, a, Done)
		two.Release(startTime, b, Done)
	}
}

// TestHotPrefixOverflowsToFewEngines checks that a prefix with more requests than
// one engine can take overflows to few engines, not to all.
func TestHotPrefixOverflowsToFewEngines(t *testing.T) {
	b := newTestBalancer("h", 6)
	used := map[plan.UpstreamID]bool{}
	for range 60 {
		l, err := b.Acquire(startTime, testQuery(longPromptWithPrefix("hot")), engineService)
		if err == nil {
			used[l.Upstream.ID] = true
		}
	}
	if len(used) < 2 || len(used) > maxPreferredEngines {
		t.Errorf("%d engines run the prefix, want 2 to %d", len(used), maxPreferredEngines)
	}
}

// TestOverloadRefusesLongPromptsByUrgency checks that, with more long prompts than
// the engines can prefill in time, those that would be late are refused with a
// time to retry. Accounts with the highest priority are refused later than the
// others.
func TestOverloadRefusesLongPromptsByUrgency(t *testing.T) {
	b := newSmallEngineBalancer()
	var overload *OverloadError
	acceptedBeforeRefusal := func(urgency int) int {
		for i := range 1000 {
			q := testQuery(longPromptWithPrefix("s"))
			q.Urgency, q.Jitter = urgency, 0.5
			if _, err := b.Acquire(startTime, q, engineService); errors.As(err, &overload) {
				return i
			}
		}
		return -1
	}
	normal := acceptedBeforeRefusal(4)
	if normal < 0 || overload.RetryAfter < minRetryAfter || overload.RetryAfter > maxRetryAfter {
		t.Fatalf("refused after %d prompts, retry after %v", normal, overload.RetryAfter)
	}
	if urgent := acceptedBeforeRefusal(1); urgent <= 0 {
		t.Errorf("accounts with the highest priority are refused as early as the others")
	}
	if _, err := b.Acquire(startTime, testQuery(shortPrompt()), engineService); err != nil {
		t.Errorf("short prompt was refused: %v", err)
	}
}

// TestOverloadRefusesLessUrgentFirst checks that a more urgent prompt with a shorter
// latency target is not refused at an engine that takes a less urgent one with a longer
// target (workload hollins-fogline, inspections against digests).
func TestOverloadRefusesLessUrgentFirst(t *testing.T) {
	b := newSmallEngineBalancer()
	acquireWith := func(urgency int, target time.Duration) error {
		q := testQuery(longPromptWithPrefix("s"))
		q.Urgency, q.LatencyTarget = urgency, target
		_, err := b.Acquire(startTime, q, engineService)
		return err
	}
	for range 1000 {
		lessUrgent := acquireWith(5, 2*time.Second)
		if moreUrgent := acquireWith(4, time.Second); moreUrgent != nil {
			if lessUrgent == nil {
				t.Errorf("the more urgent prompt was refused after a less urgent one was taken: %v", moreUrgent)
			}
			return
		}
	}
	t.Error("no prompt was refused")
}

// TestOverloadRefusalIgnoresPromptSize checks that large prompts are refused no
// earlier than small ones.
func TestOverloadRefusalIgnoresPromptSize(t *testing.T) {
	b := newSmallEngineBalancer()
	for {
		if _, err := b.Acquire(startTime, testQuery(longPromptWithPrefix("s")), engineService); err != nil {
			break
		}
	}
	large, small := longPromptWithPrefix("s"), longPromptWithPrefix("s")
	large.Tokens += 30000
	large.Parts[2].Tokens += 30000
	_, errLarge := b.Acquire(startTime, testQuery(large), engineService)
	_, errSmall := b.Acquire(startTime, testQuery(small), engineService)
	if (errLarge == nil) != (errSmall == nil) {
		t.Errorf("large prompt: %v, small prompt: %v", errLarge, errSmall)
	}
}

func TestUnreachableUpstreamIsEjected(t *testing.T) {
	b := newTestBalancer("h", 1)
	first := acquire(t, b, startTime, shortPrompt())
	b.Release(startTime, first, Unreachable)
	for i := range 20 {
		if l := acquire(t, b, after(time.Duration(i)*time.Millisecond), shortPrompt()); l.Upstream.ID == first.Upstream.ID {
			t.Fatal("acquired an unreachable upstream again at once")
		}
	}
}

// TestAcquireWhenAllUpstreamsAreEjected checks that a request gets an upstream even
// if all of them have failed recently. The one that failed longest ago is tried.
func TestAcquireWhenAllUpstreamsAreEjected(t *testing.T) {
	b := NewBalancer("h", "a", time.Second)
	list := testUpstreams(1)
	b.SetUpstreams(startTime, list)
	for range len(list.ByID) {
		l, err := b.Acquire(startTime, Query{Service: "pool", Prompt: &call.Prompt{}}, plainService)
		if err != nil {
			t.Fatal(err)
		}
		b.Release(startTime, l, Unreachable)
	}
	if _, err := b.Acquire(startTime, Query{Service: "pool", Prompt: &call.Prompt{}}, plainService); err != nil {
		t.Errorf("request was refused although upstreams are listed: %v", err)
	}
}

// TestMisdirectedUpstreamIsExcludedUntilRelisted checks that a misdirected upstream
// gets no requests until the platform lists a new revision of it. Until then its
// address may belong to another upstream.
func TestMisdirectedUpstreamIsExcludedUntilRelisted(t *testing.T) {
	b := newTestBalancer("h", 1)
	l := acquire(t, b, startTime, shortPrompt())
	id := l.Upstream.ID
	b.Release(startTime, l, Misdirected)
	for range 20 {
		if l := acquire(t, b, after(10*time.Second), shortPrompt()); l.Upstream.ID == id {
			t.Fatal("acquired a misdirected upstream")
		}
	}
	list := testUpstreams(1)
	list.ByID[id].Position.Revision = 2
	b.SetUpstreams(after(11*time.Second), list)
	found := false
	for range 20 {
		found = found || acquire(t, b, after(11*time.Second), shortPrompt()).Upstream.ID == id
	}
	if !found {
		t.Error("upstream with a new revision was never acquired")
	}
}

func TestDrainingUpstreamIsNotAcquired(t *testing.T) {
	b := newTestBalancer("h", 1)
	list := testUpstreams(1)
	list.ByID["a0"].State = route.Draining
	b.SetUpstreams(startTime, list)
	for range 30 {
		if l := acquire(t, b, startTime, shortPrompt()); l.Upstream.ID == "a0" {
			t.Fatal("acquired a draining upstream")
		}
	}
}

// TestUnresponsiveUpstreamIsAvoided checks that an upstream is avoided, before any
// time-out, once a request has waited for its first event much longer than the
// load explains.
func TestUnresponsiveUpstreamIsAvoided(t *testing.T) {
	b := newTestBalancer("h", 1)
	stuck, err := b.Acquire(startTime, Query{Service: "pool", Prompt: &call.Prompt{}}, plainService)
	if err != nil {
		t.Fatal(err)
	}
	for range 10 {
		l, err := b.Acquire(after(time.Second), Query{Service: "pool", Prompt: &call.Prompt{}}, plainService)
		if err != nil {
			t.Fatal(err)
		}
		if l.Upstream.ID == stuck.Upstream.ID {
			t.Fatal("acquired an unresponsive upstream")
		}
		b.Release(after(time.Second), l, Done)
	}
}

// TestSilentDomainIsExcludedFromPartition checks that the engines of a domain that
// is cut off take no part in the partition.
func TestSilentDomainIsExcludedFromPartition(t *testing.T) {
	b := newTestBalancer("h", 3)
	b.ApplyDomainReport(startTime, startTime, "b", 2, Report{})
	b.ApplyDomainReport(startTime, startTime, "c", 2, Report{})
	later := after(silentAfter + time.Second)
	b.ApplyDomainReport(later, later, "c", 2, Report{})
	for i := range 30 {
		if l := acquire(t, b, later, longPromptWithPrefix(fmt.Sprint(i))); l.Upstream.Domain == "b" {
			t.Fatalf("long prompt was sent to the silent domain")
		}
	}
}

// TestPartitionUsesMedianOfDomains checks that all hosts partition alike: the first
// host of each domain by name determines the domain's number of engines, and the
// median of the domains is used.
func TestPartitionUsesMedianOfDomains(t *testing.T) {
	b := newTestBalancer("h2", 6)
	report := func(shortEngines int) Report {
		return Report{Services: []ServiceReport{{Service: "pool", WantedShortEngines: shortEngines}}}
	}
	b.ApplyHostReport(startTime, "h1", report(5))
	b.ApplyHostReport(startTime, "h3", report(9))
	b.ApplyDomainReport(startTime, startTime, "b", 2, report(7))
	b.ApplyDomainReport(startTime, startTime, "c", 2, report(2))
	if got := acquire(t, b, startTime, shortPrompt()).ShortEngines; got != 5 {
		t.Errorf("%d engines for short prompts, want the median of 5, 7 and 2", got)
	}
}

func TestReportsAreSummed(t *testing.T) {
	b := newTestBalancer("h1", 1)
	l := acquire(t, b, startTime, longPromptWithPrefix("s"))
	key := KeyOf(l.Upstream.ID)
	b.ApplyHostReport(startTime, "h2", Report{Loads: []Load{{Upstream: key, Long: 2, PendingTokens: 100, ArrivalRate: 50}}})
	b.ApplyDomainReport(startTime, startTime, "b", 3, Report{Loads: []Load{{Upstream: key, Short: 1}}})
	report, hosts := b.DomainReport(startTime)
	if hosts != 2 || b.RemoteHostCount() != 3 {
		t.Errorf("%d hosts in this domain, %d in others, want 2 and 3", hosts, b.RemoteHostCount())
	}
	var got Load
	for _, load := range report.Loads {
		if load.Upstream == key {
			got = load
		}
	}
	if got.Long != 3 || got.Short != 0 || got.PendingTokens != l.UncachedTokens+100 {
		t.Errorf("load of the domain is %+v", got)
	}
	if total := b.targets[l.Upstream.ID].totalLoad(); total.short != 1 || total.long != 3 {
		t.Errorf("total load is %+v", total)
	}
	if expired, _ := b.DomainReport(after(reportTTL + time.Second)); len(expired.Loads) == 0 || expired.Loads[0].Long != 1 {
		t.Errorf("expired reports are included: %+v", expired.Loads)
	}
}

// TestReleasedLeasesLeaveNoLoad checks that leases leave no load behind once they
// are released.
func TestReleasedLeasesLeaveNoLoad(t *testing.T) {
	b := newTestBalancer("h", 2)
	results := []Result{Done, Failed, Refused, Broken, Abandoned}
	for i := range 100 {
		now := after(time.Duration(i) * time.Second)
		l := acquire(t, b, now, longPromptWithPrefix(fmt.Sprint(i)))
		if i%2 == 0 {
			b.RecordFirstEvent(now, l)
		}
		b.Release(now, l, results[i%len(results)])
		b.Release(now, l, Done)
	}
	for id, target := range b.targets {
		load := target.localLoad
		load.arrivalRate = 0
		if diff := cmp.Diff(loadCounts{}, load, cmp.AllowUnexported(loadCounts{})); diff != "" || len(target.awaitingFirstEvent) != 0 {
			t.Errorf("%s: load left: %s, %d leases awaiting their first event", id, diff, len(target.awaitingFirstEvent))
		}
	}
}

// TestPrefillTimingIgnoresCongestion checks that the measured speed does not fall
// when prompts share a congested engine.
func TestPrefillTimingIgnoresCongestion(t *testing.T) {
	var p PrefillTiming
	for i := range 400 {
		congestion := time.Duration(1 + i%4)
		p.record(600, 600, 90*time.Millisecond)
		p.record(3000, 3000, 83*time.Millisecond+congestion*30*time.Millisecond)
	}
	speed, _ := p.valuesOrDefault()
	if speed < 70 || speed > 130 {
		t.Errorf("prefill speed is %.0f tokens per millisecond, want about 100", speed)
	}
	if merged, _ := (PrefillTiming{}).merge(p).valuesOrDefault(); math.Abs(merged-speed) > 1e-6 {
		t.Errorf("speed after merging with an empty timing: %v", merged)
	}
}
