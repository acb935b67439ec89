package dispatch

import (
	"fmt"
	"testing"
	"time"

	"mulberrydyke/plan"
)

// BenchmarkTake measures one decision among 60 engines with the reports of 24 other
// hosts, and its end.
func BenchmarkTake(b *testing.B) {
	c := newTestCore("h", 20)
	for i := range 24 {
		var r Report
		for id := range c.targets {
			r.Loads = append(r.Loads, Load{Upstream: KeyOf(id), Short: 1, Long: 1, ArrivalRate: 500})
		}
		c.ApplyHostReport(start, plan.HostID(fmt.Sprintf("peer-%d", i)), r)
	}
	prompts := make([]Query, 64)
	for i := range prompts {
		prompts[i] = query(longOn(fmt.Sprint(i)))
	}
	b.ReportAllocs()
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Microsecond)
		l, err := c.Acquire(now, prompts[i%len(prompts)], engines)
		if err != nil {
			b.Fatal(err)
		}
		c.RecordFirstEvent(now.Add(50*time.Millisecond), l)
		c.Release(now.Add(100*time.Millisecond), l, Done)
	}
}

// BenchmarkHeard measures taking up the report of another host.
func BenchmarkHeard(b *testing.B) {
	c := newTestCore("h", 20)
	var r Report
	for id := range c.targets {
		r.Loads = append(r.Loads, Load{Upstream: KeyOf(id), Short: 1, Long: 1, ArrivalRate: 500})
	}
	for i := range 24 {
		c.ApplyHostReport(start, plan.HostID(fmt.Sprintf("peer-%d", i)), r)
	}
	b.ReportAllocs()
	for b.Loop() {
		c.ApplyHostReport(start, "peer-0", r)
	}
}
