package ratelimit

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestAnnouncedPauses guards against times to come back that are malformed, given twice or out
// of range and are taken for none, or for one without end.
func TestAnnouncedPauses(t *testing.T) {
	type result struct {
		Pause   time.Duration
		Problem bool
	}
	for _, c := range []struct {
		name   string
		values []string
		want   result
	}{
		{"none", nil, result{}},
		{"whole seconds", []string{"3"}, result{Pause: 3 * time.Second}},
		{"broken seconds", []string{" 1.25 "}, result{Pause: 1250 * time.Millisecond}},
		{"zero", []string{"0"}, result{}},
		{"long", []string{"600"}, result{Pause: 10 * time.Minute}},
		{"too long", []string{"100000000000"}, result{Pause: maxPause}},
		{"twice", []string{"2", "5"}, result{Pause: 5 * time.Second, Problem: true}},
		{"list", []string{"5, 2"}, result{Pause: 5 * time.Second, Problem: true}},
		{"one of two malformed", []string{"x", "2"}, result{Pause: 2 * time.Second, Problem: true}},
		{"empty", []string{""}, result{Problem: true}},
		{"negative", []string{"-1"}, result{Problem: true}},
		{"not finite", []string{"Inf"}, result{Problem: true}},
		{"no number", []string{"NaN"}, result{Problem: true}},
		{"date", []string{"Wed, 21 Oct 2026 07:28:00 GMT"}, result{Problem: true}},
	} {
		got := ParsePause(c.values)
		if diff := cmp.Diff(c.want, result{got.Pause, got.Problem != nil}); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}

// TestLongPauseHoldsAtTheHostThatWasTold guards against a host that sends an upstream requests
// before the end of a long pause, and against other hosts that go without it for as long.
func TestLongPauseHoldsAtTheHostThatWasTold(t *testing.T) {
	a, b := NewTable(), NewTable()
	a.RecordPause(at(0), 1, 10*time.Minute)
	a.RecordPause(at(1000), 1, time.Second)
	b.Merge(at(1000), a.Reminders(at(1000)))
	b.Merge(at(20_000), a.Reminders(at(20_000)))
	got := []time.Duration{a.PausedUntil(1).Sub(start), b.PausedUntil(1).Sub(start)}
	if diff := cmp.Diff([]time.Duration{10 * time.Minute, maxToldPause}, got); diff != "" {
		t.Error(diff)
	}
}

// TestHostsReturnOneAfterTheOther guards against an upstream that gets the requests of all hosts
// in the moment in which a pause ends.
func TestHostsReturnOneAfterTheOther(t *testing.T) {
	const hosts, tenths = 100, 10
	var perTenth [tenths]int
	for i := range hosts {
		l := NewLimiter(start, netip.MustParseAddr(fmt.Sprintf("10.0.0.%d", i+1)), "a", nil)
		l.RecordPause(at(0), 1, 2*time.Second)
		after := l.ReturnsAt(1).Sub(at(2000))
		if after < 0 || after >= 500*time.Millisecond {
			t.Fatalf("a host returns %v after the pause", after)
		}
		perTenth[after*tenths/(500*time.Millisecond)]++
	}
	for _, n := range perTenth {
		if n > 3*hosts/tenths {
			t.Errorf("hosts return in these tenths of the spread: %v", perTenth)
			break
		}
	}
}
