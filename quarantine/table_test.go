package quarantine

import (
	"testing"
	"time"

	"mulberrydyke/call"
	"mulberrydyke/plan"
	"mulberrydyke/route"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func upstream(id plan.UpstreamID) *route.Upstream { return &route.Upstream{ID: id, Born: start} }

// Crashes that two hosts saw of one content add up at both.
func TestCrashesOfAllHostsAddUp(t *testing.T) {
	deadly := HashRequest(&call.Request{Key: "k", Target: "/x", Body: []byte("deadly")})
	a, b := NewTable(), NewTable()
	a.RecordCrash(start, deadly, upstream("u1"))
	b.RecordCrash(start, deadly, upstream("u2"))
	if a.Remaining(start, deadly) != 0 || b.Remaining(start, deadly) != 0 {
		t.Error("refused after one crash")
	}
	if !a.Merge(start, b.SuspectsToShare(start)) || a.Merge(start, b.SuspectsToShare(start)) {
		t.Error("what is new was not told from what is known")
	}
	b.Merge(start, a.SuspectsToShare(start))
	if got := a.Remaining(start, deadly); got != Duration {
		t.Errorf("refused for %v here", got)
	}
	if got := b.Remaining(start, deadly); got != Duration {
		t.Errorf("refused for %v there", got)
	}
	other := HashRequest(&call.Request{Key: "other", Target: "/x", Body: []byte("deadly")})
	if a.Remaining(start, other) != 0 {
		t.Error("another caller's request is refused")
	}
}

// Hosts that tell each other the same again and again don't prolong it.
func TestTellingDoesNotProlong(t *testing.T) {
	a, b := NewTable(), NewTable()
	c := HashRequest(&call.Request{Target: "/x"})
	a.RecordCrash(start, c, upstream("u1"))
	now := start
	for ; now.Sub(start) < time.Hour; now = now.Add(10 * time.Second) {
		b.Merge(now, a.SuspectsToShare(now))
		a.Merge(now, b.SuspectsToShare(now))
	}
	if !a.Empty() || !b.Empty() {
		t.Error("one crash is remembered for ever")
	}
}

// A content that runs to its end after one crash was not its cause.
func TestContentThatFinishesIsNoSuspect(t *testing.T) {
	table := NewTable()
	c := HashRequest(&call.Request{Target: "/x"})
	table.RecordCrash(start, c, upstream("u1"))
	table.RecordCompletion(start, c)
	if !table.Empty() {
		t.Error("still suspected")
	}
	table.RecordCrash(start, c, upstream("u2"))
	if table.Remaining(start, c) != 0 {
		t.Error("the first crash still counts")
	}
}
