package gateway

import (
	"testing"
	"time"

	"mulberrydyke/dispatch"
	"mulberrydyke/plan"
	"mulberrydyke/route"
	"mulberrydyke/setting"
)

var testStart = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

func spendRetries(b *RetryBudget, now time.Time) int {
	n := 0
	for b.AcquireRetry(now, "pool") {
		n++
	}
	return n
}

// TestRetriesOfAllHostsStayWithinBudget checks that the retries of all hosts
// together stay within the operators' limit in any window.
func TestRetriesOfAllHostsStayWithinBudget(t *testing.T) {
	bounds := setting.EdgeBounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 52}
	const hosts, firstAttempts = 6, 100
	total := 0
	for range hosts {
		b := NewRetryBudget(bounds, func() int { return hosts }, newTestBalancer())
		for range firstAttempts {
			b.RecordFirstAttempt(testStart, "pool")
		}
		total += spendRetries(b, testStart)
	}
	if limit := int(bounds.RetryRatio*hosts*firstAttempts + bounds.RetryExtra); total == 0 || total > limit {
		t.Errorf("%d retries, limit is %d", total, limit)
	}
}

func TestRetryBudgetRefillsWithWindow(t *testing.T) {
	b := NewRetryBudget(setting.EdgeBounds{RetryWindow: 10 * time.Second, RetryExtra: 50}, func() int { return 1 }, newTestBalancer())
	first := spendRetries(b, testStart)
	if again := spendRetries(b, testStart.Add(8*time.Second)); again != 0 {
		t.Errorf("%d retries within the window after the budget was spent", again)
	}
	if later := spendRetries(b, testStart.Add(11*time.Second)); later != first {
		t.Errorf("%d retries in the next window, %d in the first", later, first)
	}
}

// TestSetBoundsTakesEffectImmediately checks that bounds that the operators change
// take effect at once.
func TestSetBoundsTakesEffectImmediately(t *testing.T) {
	b := NewRetryBudget(setting.EdgeBounds{RetryWindow: 10 * time.Second, RetryExtra: 100}, func() int { return 1 }, newTestBalancer())
	if spendRetries(b, testStart) == 0 {
		t.Fatal("no retry is allowed under the first bounds")
	}
	b.SetBounds(setting.EdgeBounds{RetryWindow: 10 * time.Second, RetryExtra: 0})
	if n := spendRetries(b, testStart.Add(20*time.Second)); n != 0 {
		t.Errorf("%d retries after RetryExtra was set to 0", n)
	}
}

// newTestBalancer returns a balancer that knows the service of these tests.
func newTestBalancer() *dispatch.Balancer {
	b := dispatch.NewBalancer("h", "a", time.Second)
	b.SetUpstreams(testStart, &route.Upstreams{ByID: map[plan.UpstreamID]*route.Upstream{"u1": {ID: "u1", Service: "pool"}}})
	return b
}

// TestRetriesOfOtherHostsCountAgainstBudget checks that retries that other hosts
// report count against the budget, even if hostCount is lower than the number of
// hosts.
func TestRetriesOfOtherHostsCountAgainstBudget(t *testing.T) {
	bounds := setting.EdgeBounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 20}
	balancer := newTestBalancer()
	b := NewRetryBudget(bounds, func() int { return 1 }, balancer)
	report := func(retries int) dispatch.Report {
		return dispatch.Report{Services: []dispatch.ServiceReport{{Service: "pool", Sent: dispatch.SendCounts{FirstAttempts: 10, Retries: retries}}}}
	}
	balancer.ApplyHostReport(testStart, "g", report(12))
	balancer.ApplyDomainReport(testStart, testStart, "b", 4, report(9))
	if b.CanRetry(testStart, "pool") {
		t.Error("a retry is allowed though other hosts have spent the whole budget")
	}
	balancer.ApplyHostReport(testStart, "g", report(0))
	if !b.CanRetry(testStart, "pool") {
		t.Error("no retry is allowed though other hosts have spent only half of the budget")
	}
	b.RecordFirstAttempt(testStart, "pool")
	want := dispatch.SendCounts{FirstAttempts: 1}
	if services := balancer.Report(testStart).Services; len(services) != 1 || services[0].Sent != want {
		t.Errorf("counts reported to other hosts: %+v", services)
	}
}
