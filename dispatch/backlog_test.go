package dispatch

import (
	"errors"
	"testing"
	"time"

	"mulberrydyke/plan"
)

// reportBacklog reports that requests of another host wait at engines, on average for as long as
// given so far beyond their own prefill.
func reportBacklog(b *Balancer, waited time.Duration, engines ...plan.UpstreamID) {
	var r Report
	for _, id := range engines {
		r.Loads = append(r.Loads, Load{Upstream: KeyOf(id), Long: 4, Waiting: 4, OverdueMs: 4 * int(waited.Milliseconds())})
	}
	b.ApplyHostReport(startTime, "other", r)
}

// longEngines returns the engines for long prompts, after the partition of the first request.
func longEngines(t *testing.T, b *Balancer) []plan.UpstreamID {
	t.Helper()
	l, err := b.Acquire(startTime, testQuery(longPromptWithPrefix("s")), engineService)
	if err != nil {
		t.Fatal(err)
	}
	b.Release(startTime, l, Done)
	var ids []plan.UpstreamID
	for id, target := range b.targets {
		if target.servesLong {
			ids = append(ids, id)
		}
	}
	return ids
}

// TestLongWaitsRefusePrompts guards against prompts that are accepted though all before them wait
// for longer than the latency target, as in a burst of long prompts on empty caches, whose prefill
// takes more than the hosts expect. More urgent prompts must not be refused sooner.
func TestLongWaitsRefusePrompts(t *testing.T) {
	for _, c := range []struct {
		name    string
		waited  time.Duration
		urgency int
		refused bool
	}{
		{"below the bound", 1100 * time.Millisecond, 4, false},
		{"beyond the bound", 1400 * time.Millisecond, 4, true},
		{"beyond the bound, urgent", 1400 * time.Millisecond, 1, false},
		{"beyond the bound of urgent ones", 1900 * time.Millisecond, 1, true},
	} {
		b := newSmallEngineBalancer()
		reportBacklog(b, c.waited, longEngines(t, b)...)
		q := testQuery(longPromptWithPrefix("s"))
		q.LatencyTarget, q.Urgency = time.Second, c.urgency
		_, err := b.Acquire(startTime, q, engineService)
		var overload *OverloadError
		if errors.As(err, &overload) != c.refused {
			t.Errorf("%s: %v", c.name, err)
		}
		if c.refused && overload.RetryAfter < minRetryAfter {
			t.Errorf("%s: retry after %v", c.name, overload.RetryAfter)
		}
	}
}

// TestLongWaitsRefuseLessUrgentFirst guards against refusing a more urgent prompt with a shorter
// target where a less urgent one with a longer target is accepted.
func TestLongWaitsRefuseLessUrgentFirst(t *testing.T) {
	b := newSmallEngineBalancer()
	reportBacklog(b, 1700*time.Millisecond, longEngines(t, b)...)
	for _, c := range []struct {
		urgency int
		target  time.Duration
	}{{5, 2 * time.Second}, {4, time.Second}} {
		q := testQuery(longPromptWithPrefix("s"))
		q.LatencyTarget, q.Urgency = c.target, c.urgency
		if _, err := b.Acquire(startTime, q, engineService); err != nil {
			t.Errorf("urgency %d, target %v: %v", c.urgency, c.target, err)
		}
	}
}

// TestOverloadKeepsPromptsAtTheirEngines guards against an overload that feeds itself: prompts that
// spill to engines without their shared prefix have it prefilled once more there. A single busy
// engine is no overload, and its prompts may spill.
func TestOverloadKeepsPromptsAtTheirEngines(t *testing.T) {
	for _, all := range []bool{true, false} {
		b := newTestBalancer("h", 8)
		engines := longEngines(t, b)
		g := b.groups["pool"]
		preferred := map[plan.UpstreamID]bool{}
		for _, i := range g.preferredEngines(longPromptWithPrefix("s").SharedPrefixID(), ClassLong) {
			preferred[g.targets[i].upstream.ID] = true
		}
		busy := engines
		if !all {
			busy = nil
			for id := range preferred {
				busy = append(busy, id)
			}
		}
		reportBacklog(b, 1200*time.Millisecond, busy...)
		q := testQuery(longPromptWithPrefix("s"))
		q.LatencyTarget, q.Urgency = time.Second, 1
		l, err := b.Acquire(startTime.Add(backlogInterval), q, engineService)
		if err != nil {
			t.Fatal(err)
		}
		if all && !preferred[l.Upstream.ID] {
			t.Errorf("a prompt spilled to %s under overload", l.Upstream.ID)
		}
		if overloaded := g.overloaded(startTime.Add(2*backlogInterval), q.LatencyTarget); overloaded != all {
			t.Errorf("all engines busy: %v, overloaded: %v", all, overloaded)
		}
	}
}

// TestOverloadLeavesOtherHealthyEngines guards against an engine on probation that is chosen while
// healthy ones are free, because the preferred engines of a prefix can't be had under overload.
func TestOverloadLeavesOtherHealthyEngines(t *testing.T) {
	b := newTestBalancer("h", 8)
	engines := longEngines(t, b)
	g := b.groups["pool"]
	q := testQuery(longPromptWithPrefix("s"))
	q.LatencyTarget, q.Urgency = time.Second, 1
	preferred := g.preferredEngines(q.Prompt.SharedPrefixID(), ClassLong)
	for _, i := range preferred {
		q.Exclude = append(q.Exclude, g.targets[i].upstream.ID)
	}
	probation := plan.UpstreamID("")
	for _, id := range engines {
		if !excluded(q.Exclude, id) && probation == "" {
			probation = id
			b.targets[id].eject(startTime.Add(-baseEjectionTime))
		}
	}
	reportBacklog(b, 1200*time.Millisecond, engines...)
	l, err := b.Acquire(startTime.Add(backlogInterval), q, engineService)
	if err != nil {
		t.Fatal(err)
	}
	if l.Upstream.ID == probation {
		t.Errorf("%s was chosen on probation", probation)
	}
}

// TestWaitsEndWithTheFirstEvent guards against refusals because of waits that are over.
func TestWaitsEndWithTheFirstEvent(t *testing.T) {
	b := newSmallEngineBalancer()
	var leases []*Lease
	for range 3 {
		l, err := b.Acquire(startTime, testQuery(longPromptWithPrefix("s")), engineService)
		if err != nil {
			t.Fatal(err)
		}
		leases = append(leases, l)
	}
	b.Report(after(time.Second))
	for _, l := range leases {
		b.RecordFirstEvent(after(time.Second), l)
	}
	for id, target := range b.targets {
		if wait := target.backlogWait(after(time.Second)); wait != 0 {
			t.Errorf("%s: prompts wait for %v", id, wait)
		}
	}
}
