package pool

import (
	"testing"
	"time"
)

// TestFullTableTakesNewCrashes guards against a table that is full of old suspects and
// so never counts the crashes of new content.
func TestFullTableTakesNewCrashes(t *testing.T) {
	s := NewSuspects()
	for i := range maxSuspects {
		s.RecordCrash(start, ContentHash(i+1), Crash{Upstream: "u1", Instance: "a"}, time.Minute)
	}
	deadly := ContentHash(maxSuspects + 1)
	for i, instance := range []Instance{"b", "c"} {
		now := start.Add(time.Duration(i) * time.Second)
		s.RecordCrash(now, deadly, Crash{Upstream: "u1", Instance: instance}, time.Minute)
	}
	if s.QuarantineLeft(start.Add(time.Second), deadly) == 0 {
		t.Error("not quarantined after two crashes")
	}
	if n := len(s.List(start)); n > maxSuspects {
		t.Errorf("%d suspects, want at most %d", n, maxSuspects)
	}
}

// TestSuspectAboutToExpireIsNotTakenOver guards against hosts that tell each other of the
// same suspect for ever, since each has just forgotten it when the other tells it.
func TestSuspectAboutToExpireIsNotTakenOver(t *testing.T) {
	s := NewSuspects()
	told := []Suspect{{Content: 1, Crashes: []Crash{{Upstream: "u1", Instance: "a"}}, Left: time.Millisecond}}
	if s.Merge(start, told, time.Minute) || !s.Empty() {
		t.Error("taken over")
	}
}
