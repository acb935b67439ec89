package gateway

import (
	"testing"
	"time"

	"mulberrydyke/dispatch"
	"mulberrydyke/plan"
	"mulberrydyke/route"
	"mulberrydyke/setting"
)

var budgetStart = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

func spend(b *Budget, now time.Time) int {
	n := 0
	for b.Repeat(now, "pool") {
		n++
	}
	return n
}

// All hosts together must stay under what the operators allow in any window.
func TestRepeatsOfAllHostsStayWithinTheBudget(t *testing.T) {
	bounds := setting.EdgeBounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 52}
	const hosts, fresh = 6, 100
	total := 0
	for range hosts {
		b := NewBudget(bounds, func() int { return hosts }, newCore())
		for range fresh {
			b.Fresh(budgetStart, "pool")
		}
		total += spend(b, budgetStart)
	}
	if most := int(bounds.RetryRatio*hosts*fresh + bounds.RetryExtra); total == 0 || total > most {
		t.Errorf("%d repeats, allowed are %d", total, most)
	}
}

func TestBudgetComesBackWithItsWindow(t *testing.T) {
	b := NewBudget(setting.EdgeBounds{RetryWindow: 10 * time.Second, RetryExtra: 50}, func() int { return 1 }, newCore())
	first := spend(b, budgetStart)
	if again := spend(b, budgetStart.Add(8*time.Second)); again != 0 {
		t.Errorf("%d repeats inside the window", again)
	}
	if later := spend(b, budgetStart.Add(11*time.Second)); later != first {
		t.Errorf("%d repeats in the next window, %d in the first", later, first)
	}
}

// Bounds that the operators change hold at once.
func TestChangedBoundsHoldAtOnce(t *testing.T) {
	b := NewBudget(setting.EdgeBounds{RetryWindow: 10 * time.Second, RetryExtra: 100}, func() int { return 1 }, newCore())
	if spend(b, budgetStart) == 0 {
		t.Fatal("nothing may be spent at first")
	}
	b.SetBounds(setting.EdgeBounds{RetryWindow: 10 * time.Second, RetryExtra: 0})
	if n := spend(b, budgetStart.Add(20*time.Second)); n != 0 {
		t.Errorf("%d repeats after the operators forbade them", n)
	}
}

// newCore returns a core that knows the service of these tests.
func newCore() *dispatch.Balancer {
	c := dispatch.NewBalancer("h", "a", time.Second)
	c.SetUpstreams(budgetStart, &route.Upstreams{ByID: map[plan.UpstreamID]*route.Upstream{"u1": {ID: "u1", Service: "pool"}}})
	return c
}

// What other hosts have spent counts, also where this host knows of fewer than there
// are.
func TestRepeatsOfOtherHostsCount(t *testing.T) {
	bounds := setting.EdgeBounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 20}
	core := newCore()
	b := NewBudget(bounds, func() int { return 1 }, core)
	told := func(repeats int) dispatch.Report {
		return dispatch.Report{Services: []dispatch.ServiceReport{{Service: "pool", Sent: dispatch.SendCounts{FirstAttempts: 10, Retries: repeats}}}}
	}
	core.ApplyHostReport(budgetStart, "g", told(12))
	core.ApplyDomainReport(budgetStart, budgetStart, "b", 4, told(9))
	if b.Allows(budgetStart, "pool") {
		t.Error("a repeat is allowed where the others have spent all")
	}
	core.ApplyHostReport(budgetStart, "g", told(0))
	if !b.Allows(budgetStart, "pool") {
		t.Error("no repeat is allowed where the others have spent half")
	}
	b.Fresh(budgetStart, "pool")
	want := dispatch.SendCounts{FirstAttempts: 1}
	if rates := core.Report(budgetStart).Services; len(rates) != 1 || rates[0].Sent != want {
		t.Errorf("told to others: %+v", rates)
	}
}
