package pool

import (
	"fmt"
	"testing"
	"time"

	"mulberrydyke/plan"
)

const (
	benchUpstreams = 86
	benchAccounts  = 560
	benchTiers     = 5
)

// newBenchScheduler returns a saturated scheduler with the given number of
// waiting requests, and the IDs of the running requests.
func newBenchScheduler(b *testing.B, queued int) (*Scheduler, []RequestID) {
	b.Helper()
	s := NewScheduler(start, false, NewSuspects())
	s.slotRate = 1e9
	var list []plan.Upstream
	for i := range benchUpstreams {
		u := testUpstream(i, plan.Live)
		u.Slots = 64
		list = append(list, u)
	}
	s.Update(start, &Reconfigured{Upstreams: list, Floors: testFloors(), Quarantine: time.Minute, LimitFraction: 1})
	running := fillSlots(s, start)
	for i := range queued {
		req := benchRequest(uint64(i))
		s.Update(start, &Submitted{Request: req})
	}
	if len(s.waiting) != queued {
		b.Fatalf("%d requests are waiting, want %d", len(s.waiting), queued)
	}
	return s, running
}

// benchRequest returns a request whose tier, account and prefix depend on i.
func benchRequest(i uint64) Request {
	req := testRequest(i, plan.Tier(i%benchTiers+1), fmt.Sprintf("account-%d", i%benchAccounts))
	req.Prefix = PrefixHash(i % 97)
	req.Target.FirstToken = plan.Duration(time.Hour)
	return req
}

// BenchmarkRequestLifecycle measures the scheduling of one request in a saturated
// pool: a request is queued, a running one ends, and the next one is granted.
func BenchmarkRequestLifecycle(b *testing.B) {
	for _, queued := range []int{10, 1_000, 100_000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			s, running := newBenchScheduler(b, queued)
			submissions := make([]Submitted, 4096)
			for i := range submissions {
				submissions[i].Request = benchRequest(uint64(i))
			}
			ended := &Ended{Outcome: Done, Output: 10, Between: time.Millisecond}
			nextSequence := uint64(10_000_000)
			b.ReportAllocs()
			for b.Loop() {
				submitted := &submissions[nextSequence%uint64(len(submissions))]
				submitted.Request.ID.Sequence = nextSequence
				nextSequence++
				running = appendGranted(running, s.Update(start, submitted))
				ended.ID = running[0]
				running = appendGranted(running[1:], s.Update(start, ended))
			}
		})
	}
}

// appendGranted appends the IDs of the granted requests to running.
func appendGranted(running []RequestID, commands []Command) []RequestID {
	for _, c := range commands {
		if c.Kind == Grant {
			running = append(running, c.ID)
		}
	}
	return running
}
