package drain

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func upstream(id string, startedAt time.Time) *route.Upstream {
	return &route.Upstream{ID: plan.UpstreamID(id), StartedAt: startedAt}
}

func listOf(upstreams ...*route.Upstream) *route.Upstreams {
	out := &route.Upstreams{ByID: map[plan.UpstreamID]*route.Upstream{}}
	for _, u := range upstreams {
		out.ByID[u.ID] = u
	}
	return out
}

// TestNextProcessOfADrainingUpstreamStartsClean guards against upstreams that get no requests
// after a restart, and against draining ones that do because the platform lists them.
func TestNextProcessOfADrainingUpstreamStartsClean(t *testing.T) {
	table := NewTable(func() {})
	old, restarted := upstream("a", start), upstream("a", start.Add(time.Second))
	table.SetListed(start, listOf(old))
	if !table.Record(start, old.ProcessKey()) || table.Record(start, old.ProcessKey()) {
		t.Error("want that only the first statement is new")
	}
	table.SetListed(start.Add(time.Hour), listOf(old))
	if !table.Draining(old.ProcessKey()) || table.Draining(restarted.ProcessKey()) {
		t.Error("want that the old process drains for as long as it is listed, and not the next one")
	}
}

// TestProcessThatIsGoneIsForgotten guards against tables that grow without end, against hosts
// that keep reminding each other, and against a process that comes back to use because an older
// copy of the platform's list still names it.
func TestProcessThatIsGoneIsForgotten(t *testing.T) {
	a, b := NewTable(func() {}), NewTable(func() {})
	u := upstream("a", start)
	a.SetListed(start, listOf(u))
	a.Record(start, u.ProcessKey())
	a.SetListed(start.Add(time.Hour), listOf())
	now := start.Add(time.Hour + retention - time.Second)
	b.Merge(now, a.Reminders(now), true)
	if !a.Draining(u.ProcessKey()) || !b.Draining(u.ProcessKey()) {
		t.Error("forgotten too early")
	}
	for range 4 {
		now = now.Add(500 * time.Millisecond)
		b.Merge(now, a.Reminders(now), true)
		a.Merge(now, b.Reminders(now), true)
	}
	if diff := cmp.Diff([]int{0, 0}, []int{a.Count(), b.Count()}); diff != "" {
		t.Error(diff)
	}
}

// TestTableIsBounded guards against a table that grows without end while many processes drain
// within a short time.
func TestTableIsBounded(t *testing.T) {
	table := NewTable(func() {})
	listed := upstream("listed", start)
	table.SetListed(start, listOf(listed))
	table.Record(start, listed.ProcessKey())
	for i := range maxEntries + 10 {
		table.Record(start.Add(time.Duration(i)*time.Millisecond), route.ProcessKey(i+1))
	}
	if n := table.Count(); n > maxEntries || !table.Draining(listed.ProcessKey()) {
		t.Errorf("%d entries, want at most %d and among them the one that is listed", n, maxEntries)
	}
}

// TestChangeIsReported guards against hosts that learn that an upstream is draining and don't
// act on it.
func TestChangeIsReported(t *testing.T) {
	changes := 0
	table := NewTable(func() { changes++ })
	table.Record(start, 1)
	table.Record(start, 1)
	table.Merge(start, []Update{{Key: 1}, {Key: 2}}, true)
	table.Merge(start, []Update{{Key: 2}}, true)
	if changes != 2 {
		t.Errorf("%d changes, want 2", changes)
	}
}
