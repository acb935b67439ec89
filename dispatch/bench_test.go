package dispatch

import (
	"fmt"
	"testing"
	"time"

	"mulberrydyke/plan"
)

// BenchmarkAcquire measures acquiring and releasing a lease with 60 engines and
// the reports of 24 other hosts.
func BenchmarkAcquire(b *testing.B) {
	balancer := newTestBalancer("h", 20)
	for i := range 24 {
		var r Report
		for id := range balancer.targets {
			r.Loads = append(r.Loads, Load{Upstream: KeyOf(id), Short: 1, Long: 1, ArrivalRate: 500})
		}
		balancer.ApplyHostReport(startTime, plan.HostID(fmt.Sprintf("peer-%d", i)), r)
	}
	queries := make([]Query, 64)
	for i := range queries {
		queries[i] = testQuery(longPromptWithPrefix(fmt.Sprint(i)))
	}
	b.ReportAllocs()
	now := startTime
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Microsecond)
		l, err := balancer.Acquire(now, queries[i%len(queries)], engineService)
		if err != nil {
			b.Fatal(err)
		}
		balancer.RecordFirstEvent(now.Add(50*time.Millisecond), l)
		balancer.Release(now.Add(100*time.Millisecond), l, Done)
	}
}

// BenchmarkApplyHostReport measures applying the report of another host.
func BenchmarkApplyHostReport(b *testing.B) {
	balancer := newTestBalancer("h", 20)
	var r Report
	for id := range balancer.targets {
		r.Loads = append(r.Loads, Load{Upstream: KeyOf(id), Short: 1, Long: 1, ArrivalRate: 500})
	}
	for i := range 24 {
		balancer.ApplyHostReport(startTime, plan.HostID(fmt.Sprintf("peer-%d", i)), r)
	}
	b.ReportAllocs()
	for b.Loop() {
		balancer.ApplyHostReport(startTime, "peer-0", r)
	}
}
