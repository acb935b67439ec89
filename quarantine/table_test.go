package quarantine

import (
	"fmt"
	"testing"
	"time"

	"mulberrydyke/call"
	"mulberrydyke/plan"
	"mulberrydyke/route"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func upstream(id plan.UpstreamID) *route.Upstream { return &route.Upstream{ID: id, StartedAt: start} }

// content returns the traits of a request without a prompt.
func content(k Key) []Trait { return []Trait{{Key: k, Depth: contentDepth}} }

func mergeAll(t *Table, now time.Time, batches [][]Suspect) {
	for _, list := range batches {
		t.Merge(now, list)
	}
}

// TestCrashesSeenByAllHostsAreCounted checks that one crash seen by each of two
// hosts puts the request in quarantine on both once they have exchanged their
// suspects.
func TestCrashesSeenByAllHostsAreCounted(t *testing.T) {
	content := TraitsOf(&call.Request{APIKey: "k", Target: "/x", Body: []byte("deadly")})
	a, b := NewTable("a"), NewTable("b")
	a.RecordCrash(start, content, upstream("u1"))
	b.RecordCrash(start, content, upstream("u2"))
	if a.QuarantineLeft(start, content) != 0 || b.QuarantineLeft(start, content) != 0 {
		t.Error("refused after one crash")
	}
	told := b.NextUpdates(start)[0]
	if !a.Merge(start, told) || a.Merge(start, told) {
		t.Error("Merge did not distinguish a new crash from a known one")
	}
	mergeAll(b, start, a.NextUpdates(start))
	if got := a.QuarantineLeft(start, content); got < Duration || got > Duration+trialSpread {
		t.Errorf("the first host refuses it for %v", got)
	}
	if got := b.QuarantineLeft(start, content); got < Duration || got > Duration+trialSpread {
		t.Errorf("the second host refuses it for %v", got)
	}
	other := TraitsOf(&call.Request{APIKey: "other", Target: "/x", Body: []byte("deadly")})
	if a.QuarantineLeft(start, other) != 0 {
		t.Error("another caller's request is refused")
	}
}

// TestExchangeDoesNotExtendExpiry checks that hosts that exchange the same suspect
// repeatedly do not postpone its expiry, though a message takes a while.
func TestExchangeDoesNotExtendExpiry(t *testing.T) {
	a, b := NewTable("a"), NewTable("b")
	k := TraitsOf(&call.Request{Target: "/x"})
	a.RecordCrash(start, k, upstream("u1"))
	now := start
	for ; now.Sub(start) < time.Hour; now = now.Add(10 * time.Second) {
		toB := a.NextUpdates(now)
		now = now.Add(50 * time.Millisecond)
		mergeAll(b, now, toB)
		mergeAll(a, now, b.NextUpdates(now))
	}
	if s, _ := a.Counts(now); s > 0 {
		t.Error("a single crash never expires at the first host")
	}
	if s, _ := b.Counts(now); s > 0 {
		t.Error("a single crash never expires at the second host")
	}
}

// TestRemindersDoNotExtendQuarantine checks that hosts that remind each other of a
// quarantine all the time let it end.
func TestRemindersDoNotExtendQuarantine(t *testing.T) {
	a, b := NewTable("a"), NewTable("b")
	k := TraitsOf(&call.Request{Target: "/x"})
	a.RecordCrash(start, k, upstream("u1"))
	a.RecordCrash(start, k, upstream("u2"))
	for now := start; now.Sub(start) < 3*Duration; now = now.Add(100 * time.Millisecond) {
		b.Merge(now.Add(30*time.Millisecond), a.Reminders(now))
		a.Merge(now.Add(30*time.Millisecond), b.Reminders(now))
	}
	end := start.Add(3 * Duration)
	if a.QuarantineLeft(end, k) > 0 || b.QuarantineLeft(end, k) > 0 {
		t.Error("the quarantine does not end")
	}
}

// TestFinishedRequestIsNoLongerSuspected checks that a crash no longer counts
// against a request that finishes afterwards, since the request did not cause it.
func TestFinishedRequestIsNoLongerSuspected(t *testing.T) {
	table := NewTable("a")
	k := TraitsOf(&call.Request{Target: "/x"})
	table.RecordCrash(start, k, upstream("u1"))
	table.RecordHarmless(start.Add(time.Second), start.Add(time.Second), k)
	later := start.Add(2 * time.Second)
	table.RecordCrash(later, k, upstream("u2"))
	if table.QuarantineLeft(later, k) != 0 {
		t.Error("the first crash still counts")
	}
	if suspects, _ := table.Counts(later.Add(2 * suspectTTL)); suspects != 0 {
		t.Error("suspected for ever")
	}
}

// TestFullTableTakesNewCrashes guards against a table that is full of old suspects and
// so never counts the crashes of a new one.
func TestFullTableTakesNewCrashes(t *testing.T) {
	table := NewTable("a")
	for i := range maxSuspects {
		table.RecordCrash(start, content(Key(i+1)), upstream("u1"))
	}
	deadly := content(maxSuspects + 1)
	for i, u := range []plan.UpstreamID{"u2", "u3"} {
		table.RecordCrash(start.Add(time.Duration(i)*time.Second), deadly, upstream(u))
	}
	if table.QuarantineLeft(start.Add(time.Second), deadly) == 0 {
		t.Error("not refused after two crashes")
	}
	if n, _ := table.Counts(start); n > maxSuspects {
		t.Errorf("%d suspects, want at most %d", n, maxSuspects)
	}
}

// TestRequestThatGoesOnCrashingIsTriedSeldom guards against a request that comes back
// all the time, and crashes an upstream for each host when its quarantine ends. Nine
// hosts get it in turn, and know of each other's crashes 100 ms later.
func TestRequestThatGoesOnCrashingIsTriedSeldom(t *testing.T) {
	const hosts = 9
	deadly := content(7)
	tables := make([]*Table, hosts)
	for i := range tables {
		tables[i] = NewTable(plan.HostID(fmt.Sprintf("host-%d", i)))
	}
	crashes, early := 0, 0
	for now := start; now.Sub(start) < 5*time.Minute; now = now.Add(100 * time.Millisecond) {
		for i, table := range tables {
			if table.QuarantineLeft(now, deadly) > 0 || now.Equal(start) && i > 1 {
				continue
			}
			crashes++
			table.RecordCrash(now, deadly, upstream(plan.UpstreamID(fmt.Sprintf("u%d-%d", crashes, i))))
		}
		for _, from := range tables {
			told := from.NextUpdates(now)
			for _, to := range tables {
				mergeAll(to, now, told)
			}
		}
		if now.Sub(start) < 3*time.Second {
			early = crashes
		}
	}
	if crashes-early > 3 {
		t.Errorf("%d crashes in 5 minutes, after the first 3 s", crashes-early)
	}
}

// TestToldSuspectsAreValid guards against suspects whose oldest crashes are so old that
// the hosts that are told of them refuse the whole message.
func TestToldSuspectsAreValid(t *testing.T) {
	table := NewTable("a")
	now := start
	for i := range 8 {
		now = now.Add(suspectTTL - time.Minute)
		table.RecordCrash(now, content(7), upstream(plan.UpstreamID(fmt.Sprintf("u%d", i))))
		for _, s := range table.NextUpdates(now.Add(suspectTTL - time.Second))[0] {
			if !s.Valid() {
				t.Errorf("after %d crashes: %+v", i+1, s)
			}
		}
	}
}

// TestPartThatAllPromptsShareIsNotBlamedForLateNews guards against hosts that refuse all
// prompts because requests that only ran beside the cause lost their connections a little
// later, so that the crashes look further apart for the part that they share.
func TestPartThatAllPromptsShareIsNotBlamedForLateNews(t *testing.T) {
	table := NewTable("a")
	rules, poison := Trait{Key: 1, Depth: 1}, Trait{Key: 2, Depth: 2}
	crashes := []struct {
		at     time.Duration
		id     plan.UpstreamID
		traits []Trait
	}{
		{0, "u1", []Trait{rules, poison}},
		{200 * time.Millisecond, "u2", []Trait{rules, poison}},
		{320 * time.Millisecond, "u3", []Trait{poison}},
		{410 * time.Millisecond, "u3", []Trait{rules}},
	}
	for _, c := range crashes {
		table.RecordCrash(start.Add(c.at), c.traits, upstream(c.id))
	}
	if left := table.QuarantineLeft(start.Add(time.Second), []Trait{rules}); left > 0 {
		t.Errorf("all prompts are refused for %v", left)
	}
	table.RecordCrash(start.Add(2*time.Second), []Trait{rules, poison}, upstream("u4"))
	now := start.Add(3 * time.Second)
	if table.QuarantineLeft(now, []Trait{poison}) == 0 || table.QuarantineLeft(now, []Trait{rules}) > 0 {
		t.Error("the part that crashes upstreams is not refused, or all prompts are")
	}
}
