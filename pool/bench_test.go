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
// queued requests, and the requests that run.
func newBenchScheduler(b *testing.B, queued int) (*Scheduler, []RequestID) {
	b.Helper()
	s := NewScheduler(start, false, NewSuspects())
	s.rate = 1e9
	var list []plan.Upstream
	for i := range benchUpstreams {
		u := testUpstream(i, plan.Live)
		u.Slots = 64
		list = append(list, u)
	}
	s.Update(start, &Reconfigured{Upstreams: list, Floors: testFloors(), Quarantine: time.Minute, LimitFraction: 1})
	running := fillSlots(s, start)
	for i := range queued {
		a := benchAsk(uint64(i))
		s.Update(start, &Submitted{Request: a})
	}
	if len(s.waiting) != queued {
		b.Fatalf("%d requests wait, want %d", len(s.waiting), queued)
	}
	return s, running
}

func benchAsk(i uint64) Request {
	a := testAsk(i, plan.Tier(i%benchTiers+1), fmt.Sprintf("account-%d", i%benchAccounts))
	a.Prefix = PrefixHash(i % 97)
	a.Target.FirstToken = plan.Duration(time.Hour)
	return a
}

// BenchmarkTurn measures one request's whole way through a saturated
// scheduler: it is queued, another one ends, and the next one is granted.
func BenchmarkTurn(b *testing.B) {
	for _, queued := range []int{10, 1_000, 100_000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			s, running := newBenchScheduler(b, queued)
			asks := make([]Submitted, 4096)
			for i := range asks {
				asks[i].Request = benchAsk(uint64(i))
			}
			ended := &Ended{Outcome: Done, Output: 10, Between: time.Millisecond}
			next := uint64(10_000_000)
			b.ReportAllocs()
			for b.Loop() {
				asked := &asks[next%uint64(len(asks))]
				asked.Request.ID.Sequence = next
				next++
				running = appendGranted(running, s.Update(start, asked))
				ended.ID = running[0]
				running = appendGranted(running[1:], s.Update(start, ended))
			}
		})
	}
}

func appendGranted(running []RequestID, commands []Command) []RequestID {
	for _, c := range commands {
		if c.Kind == Grant {
			running = append(running, c.ID)
		}
	}
	return running
}
