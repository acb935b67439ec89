package quarantine

import (
	"fmt"
	"testing"
	"time"

	"mulberrydyke/plan"
)

var (
	sharedPart   = Trait{Key: 1, Depth: 1}
	crashingPart = Trait{Key: 2, Depth: 2}
	soundPart    = Trait{Key: 3, Depth: 2}
	otherPart    = Trait{Key: 4, Depth: 2}
)

// partEvent is a crash under requests with the given traits, or an answer to one of them.
type partEvent struct {
	at       time.Duration
	traits   []Trait
	harmless bool
}

// play records events and returns a table and the time of the last.
func play(events []partEvent) (*Table, time.Time) {
	table, now := NewTable("a"), start
	for i, e := range events {
		now = start.Add(e.at)
		if e.harmless {
			table.RecordHarmless(now, now.Add(-300*time.Millisecond), e.traits)
			continue
		}
		table.RecordCrash(now, e.traits, upstream(plan.UpstreamID(fmt.Sprintf("u%d", i))))
	}
	return table, now
}

// TestCrashesForAnotherReasonBlameNoPart guards against hosts that refuse sound requests
// because upstreams that ended within a second for another reason were running them.
func TestCrashesForAnotherReasonBlameNoPart(t *testing.T) {
	const ms = time.Millisecond
	all := []Trait{sharedPart, soundPart, crashingPart}
	tests := map[string][]partEvent{
		"nothing cleared": {{0, []Trait{sharedPart, soundPart}, false}, {250 * ms, []Trait{sharedPart, otherPart}, false}, {500 * ms, []Trait{sharedPart, soundPart}, false}, {900 * ms, []Trait{sharedPart, otherPart}, false}},
		"same crashes":    {{0, all, false}, {250 * ms, all, false}, {500 * ms, all, false}, {900 * ms, []Trait{sharedPart}, true}},
		"cleared after restart": {{0, []Trait{sharedPart, soundPart}, false}, {250 * ms, []Trait{sharedPart, soundPart}, false}, {500 * ms, []Trait{sharedPart, soundPart}, false},
			{4 * time.Second, []Trait{sharedPart, otherPart}, true}},
		"other crashes between": {{0, []Trait{sharedPart, soundPart}, false}, {250 * ms, []Trait{sharedPart, soundPart}, false}, {400 * ms, []Trait{sharedPart, otherPart}, false},
			{500 * ms, []Trait{sharedPart, soundPart}, false}, {900 * ms, []Trait{sharedPart, otherPart}, true}},
	}
	for name, events := range tests {
		t.Run(name, func(t *testing.T) {
			table, last := play(events)
			if left := table.QuarantineLeft(last.Add(settleTime), all); left > 0 {
				t.Errorf("sound requests are refused for %v", left)
			}
		})
	}
}

// TestPartThatStandsOutIsBlamed guards against a part that goes on crashing upstreams once
// it can be told from the parts that ran beside it, and against refusals of these.
func TestPartThatStandsOutIsBlamed(t *testing.T) {
	const ms = time.Millisecond
	both := []Trait{sharedPart, soundPart, crashingPart}
	table, last := play([]partEvent{{0, both, false}, {250 * ms, both, false}, {500 * ms, both, false},
		{900 * ms, []Trait{sharedPart, otherPart}, true}, {1000 * ms, []Trait{sharedPart, crashingPart}, false}})
	now := last.Add(settleTime)
	if table.QuarantineLeft(now, []Trait{crashingPart}) == 0 {
		t.Error("the part that crashes upstreams is not refused")
	}
	if left := table.QuarantineLeft(now, []Trait{sharedPart, soundPart}); left > 0 {
		t.Errorf("sound requests are refused for %v", left)
	}
}

// TestPartThatGoesOnCrashingIsBlamed guards against a part that crashes one upstream after
// the other because no other requests run that could be told from it.
func TestPartThatGoesOnCrashingIsBlamed(t *testing.T) {
	const ms = time.Millisecond
	bad := []Trait{sharedPart, crashingPart}
	table, last := play([]partEvent{{0, bad, false}, {800 * ms, bad, false}, {1600 * ms, bad, false}})
	if table.QuarantineLeft(last.Add(settleTime), bad) == 0 {
		t.Error("not refused after three crashes")
	}
}
