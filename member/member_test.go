package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/plan"
)

var start = time.Unix(1000, 0)

func testSelf(id string, incarnation Incarnation) Self {
	return Self{ID: plan.HostID(id), Incarnation: incarnation, Domain: "d", Region: "r", Peer: "127.0.0.1:1"}
}

func listOf(state plan.Availability, ids ...string) *plan.Hosts {
	out := &plan.Hosts{Version: 1}
	for _, id := range ids {
		out.Hosts = append(out.Hosts, plan.Host{ID: plan.HostID(id), Peer: "127.0.0.1:1", Domain: "d", State: state})
	}
	return out
}

func conditions(t *Table, now time.Time, ids ...plan.HostID) []Condition {
	var out []Condition
	for _, id := range ids {
		out = append(out, t.ConditionOf(now, id))
	}
	return out
}

func TestOnlyAnAnswerShowsThatAHostIsThere(t *testing.T) {
	table := NewTable(testSelf("a", 1))
	table.Listed(listOf(plan.Live, "a", "b", "c", "d"))
	table.Seen(start, Beat{Self: testSelf("b", 1)}, true)
	table.Seen(start, Beat{Self: testSelf("c", 1)}, false)
	want := []Condition{Alive, Alive, Dead, Dead}
	if diff := cmp.Diff(want, conditions(table, start, "a", "b", "c", "d")); diff != "" {
		t.Errorf("conditions (-want +got):\n%s", diff)
	}
	later := start.Add(3 * beatFirst)
	if got := table.ConditionOf(later, "b"); got != Suspect {
		t.Errorf("after three silent intervals: %s", got)
	}
	if got := table.ConditionOf(later.Add(beatFirst), "b"); got != Dead {
		t.Errorf("after four silent intervals: %s", got)
	}
}

func TestLeavingGetsNoNewWork(t *testing.T) {
	table := NewTable(testSelf("a", 1))
	table.Seen(start, Beat{Self: testSelf("b", 1)}, true)
	table.Seen(start, Beat{Self: testSelf("c", 1), Leaving: true}, true)
	table.Listed(listOf(plan.Leaving, "b"))
	if live := table.Live(start, "d"); len(live) != 1 || live[0].ID != "a" {
		t.Errorf("live hosts: %v", live)
	}
}

func TestRestartIsNoticed(t *testing.T) {
	table := NewTable(testSelf("a", 1))
	table.Seen(start, Beat{Self: testSelf("b", 1), Successor: Former{Host: "c", Incarnation: 5}}, true)
	table.Seen(start, Beat{Self: testSelf("c", 5), Successor: Former{Host: "d", Incarnation: 6}}, true)
	gone, restarted := table.Seen(start, Beat{Self: testSelf("b", 2)}, true)
	if !restarted || gone != (Former{Host: "b", Incarnation: 1}) {
		t.Errorf("got %v, %t", gone, restarted)
	}
	if successor, ok := table.Successor(Former{Host: "b", Incarnation: 1}); !ok || successor != (Former{Host: "d", Incarnation: 6}) {
		t.Errorf("last successor of the former incarnation: %v, %t", successor, ok)
	}
}

// TestRankingMovesLittle checks that when one host leaves, only its own names
// get another first choice.
func TestRankingMovesLittle(t *testing.T) {
	var hosts []Self
	for i := range 9 {
		hosts = append(hosts, testSelf(fmt.Sprintf("h%d", i), 1))
	}
	for i := range 200 {
		name := fmt.Sprint(i)
		before := Ranked(name, hosts)[0]
		after := Ranked(name, hosts[1:])[0]
		if before.ID != hosts[0].ID && before != after {
			t.Fatalf("name %s moved from %s to %s", name, before.ID, after.ID)
		}
	}
}

// TestTrafficIsBounded checks that the heartbeats of one host per second stay
// within a bound at the size to come.
func TestTrafficIsBounded(t *testing.T) {
	const perSecond = 40
	table := NewTable(testSelf("h0", 1))
	list := &plan.Hosts{Version: 1}
	for i := range 370 {
		list.Hosts = append(list.Hosts, plan.Host{
			ID: plan.HostID(fmt.Sprintf("h%d", i)), Peer: "127.0.0.1:1", State: plan.Live,
			Domain: plan.DomainID(map[bool]string{true: "d", false: fmt.Sprint("d", i%7)}[i%7 == 0]),
		})
	}
	table.Listed(list)
	rate := float64(len(table.Targets(start, 1))) / table.Interval().Seconds()
	if rate > perSecond {
		t.Errorf("%.0f heartbeats per second, want at most %d", rate, perSecond)
	}
}
