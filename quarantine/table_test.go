package quarantine

import (
	"testing"
	"time"

	"mulberrydyke/call"
	"mulberrydyke/plan"
	"mulberrydyke/route"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func upstream(id plan.UpstreamID) *route.Upstream { return &route.Upstream{ID: id, StartedAt: start} }

// TestCrashesSeenByAllHostsAreCounted checks that one crash seen by each of two
// hosts puts the request in quarantine on both once they have exchanged their
// suspects.
func TestCrashesSeenByAllHostsAreCounted(t *testing.T) {
	content := HashRequest(&call.Request{APIKey: "k", Target: "/x", Body: []byte("deadly")})
	a, b := NewTable(), NewTable()
	a.RecordCrash(start, content, upstream("u1"))
	b.RecordCrash(start, content, upstream("u2"))
	if a.QuarantineLeft(start, content) != 0 || b.QuarantineLeft(start, content) != 0 {
		t.Error("refused after one crash")
	}
	if !a.Merge(start, b.SuspectsToShare(start)) || a.Merge(start, b.SuspectsToShare(start)) {
		t.Error("Merge did not distinguish a new crash from a known one")
	}
	b.Merge(start, a.SuspectsToShare(start))
	if got := a.QuarantineLeft(start, content); got != Duration {
		t.Errorf("the first host refuses it for %v", got)
	}
	if got := b.QuarantineLeft(start, content); got != Duration {
		t.Errorf("the second host refuses it for %v", got)
	}
	other := HashRequest(&call.Request{APIKey: "other", Target: "/x", Body: []byte("deadly")})
	if a.QuarantineLeft(start, other) != 0 {
		t.Error("another caller's request is refused")
	}
}

// TestExchangeDoesNotExtendExpiry checks that hosts that exchange the same suspect
// repeatedly do not postpone its expiry.
func TestExchangeDoesNotExtendExpiry(t *testing.T) {
	a, b := NewTable(), NewTable()
	c := HashRequest(&call.Request{Target: "/x"})
	a.RecordCrash(start, c, upstream("u1"))
	now := start
	for ; now.Sub(start) < time.Hour; now = now.Add(10 * time.Second) {
		b.Merge(now, a.SuspectsToShare(now))
		a.Merge(now, b.SuspectsToShare(now))
	}
	if !a.Empty() || !b.Empty() {
		t.Error("a single crash never expires")
	}
}

// TestFinishedRequestIsNoLongerSuspected checks that a crash no longer counts
// against a request that finishes afterwards, since the request did not cause it.
func TestFinishedRequestIsNoLongerSuspected(t *testing.T) {
	table := NewTable()
	c := HashRequest(&call.Request{Target: "/x"})
	table.RecordCrash(start, c, upstream("u1"))
	table.RecordFinished(start, c)
	if !table.Empty() {
		t.Error("still suspected")
	}
	table.RecordCrash(start, c, upstream("u2"))
	if table.QuarantineLeft(start, c) != 0 {
		t.Error("the first crash still counts")
	}
}
