package pool

import (
	"fmt"
	"testing"
	"time"

	"mulberrydyke/plan"
)

// prefixRun submits a request with a content and a prefix of its own, and returns its ID
// and the upstream that it was granted, or false if it was refused.
func prefixRun(s *Scheduler, now time.Time, sequence uint64, prefix PrefixHash) (RequestID, plan.UpstreamID, bool) {
	req := testRequest(sequence, 1, "a")
	req.Content, req.Prefix = ContentHash(sequence+1000), prefix
	for _, c := range submit(s, now, req) {
		if c.ID == req.ID && c.Kind == Grant {
			return req.ID, c.Upstream, true
		}
	}
	return req.ID, "", false
}

func end(s *Scheduler, now time.Time, id RequestID, outcome Outcome, instance Instance) {
	s.Update(now, &Ended{ID: id, Outcome: outcome, Instance: instance})
}

// TestPrefixThatCrashesUpstreamsIsQuarantined guards against requests that are all
// different but begin alike, and crash one upstream after the other. Other requests must
// be served.
func TestPrefixThatCrashesUpstreamsIsQuarantined(t *testing.T) {
	s := newTestScheduler(8)
	now, crashes := start, 0
	for i := range uint64(20) {
		now = now.Add(prefixCrashGap)
		if id, u, ok := prefixRun(s, now, 2*i, 7); ok {
			crashes++
			end(s, now, id, Crashed, Instance(u)+Instance(now.String()))
		}
		if id, _, ok := prefixRun(s, now, 2*i+1, 8); ok {
			end(s, now, id, Done, "")
		} else {
			t.Fatalf("a request with another prefix was refused after %d crashes", crashes)
		}
	}
	if crashes != prefixCrashLimit {
		t.Errorf("%d upstreams crashed, want %d", crashes, prefixCrashLimit)
	}
}

// TestCrashOfAllUpstreamsQuarantinesNoPrefix guards against refusing a prefix that was on
// all upstreams when they ended together, and against counting crashes before a request
// with it finished.
func TestCrashOfAllUpstreamsQuarantinesNoPrefix(t *testing.T) {
	const prefix = 7
	p := newCrashingPrefixes()
	now := start
	for round := range 5 {
		for i := range 8 {
			req := &Request{Prefix: prefix, Content: ContentHash(round*10 + i + 1)}
			p.recordCrash(now.Add(time.Duration(i)*10*time.Millisecond), req, Instance(fmt.Sprint(round, i)))
		}
		if left := p.quarantineLeft(now.Add(time.Second), prefix); left > 0 {
			t.Fatalf("refused for %v in round %d", left, round)
		}
		now = now.Add(10 * time.Second)
		p.recordFinished(prefix, now)
	}
}
