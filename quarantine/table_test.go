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

// Crashes that two hosts saw of one content add up at both.
func TestCrashesOfAllHostsAddUp(t *testing.T) {
	deadly := ContentOf(&call.Request{APIKey: "k", Target: "/x", Body: []byte("deadly")})
	a, b := NewTable(), NewTable()
	a.Crashed(start, deadly, upstream("u1"))
	b.Crashed(start, deadly, upstream("u2"))
	if a.Left(start, deadly) != 0 || b.Left(start, deadly) != 0 {
		t.Error("refused after one crash")
	}
	if !a.Learn(start, b.Told(start)) || a.Learn(start, b.Told(start)) {
		t.Error("what is new was not told from what is known")
	}
	b.Learn(start, a.Told(start))
	if got := a.Left(start, deadly); got != Span {
		t.Errorf("refused for %v here", got)
	}
	if got := b.Left(start, deadly); got != Span {
		t.Errorf("refused for %v there", got)
	}
	other := ContentOf(&call.Request{APIKey: "other", Target: "/x", Body: []byte("deadly")})
	if a.Left(start, other) != 0 {
		t.Error("another caller's request is refused")
	}
}

// Hosts that tell each other the same again and again don't prolong it.
func TestTellingDoesNotProlong(t *testing.T) {
	a, b := NewTable(), NewTable()
	c := ContentOf(&call.Request{Target: "/x"})
	a.Crashed(start, c, upstream("u1"))
	now := start
	for ; now.Sub(start) < time.Hour; now = now.Add(10 * time.Second) {
		b.Learn(now, a.Told(now))
		a.Learn(now, b.Told(now))
	}
	if !a.Empty() || !b.Empty() {
		t.Error("one crash is remembered for ever")
	}
}

// A content that runs to its end after one crash was not its cause.
func TestContentThatFinishesIsNoSuspect(t *testing.T) {
	table := NewTable()
	c := ContentOf(&call.Request{Target: "/x"})
	table.Crashed(start, c, upstream("u1"))
	table.Finished(start, c)
	if !table.Empty() {
		t.Error("still suspected")
	}
	table.Crashed(start, c, upstream("u2"))
	if table.Left(start, c) != 0 {
		t.Error("the first crash still counts")
	}
}
