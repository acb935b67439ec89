package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/plan"
)

var start = time.Unix(1000, 0)

func testIdentity(id string, incarnation Incarnation) Identity {
	return Identity{ID: plan.HostID(id), Incarnation: incarnation, Domain: "d", Region: "r", Peer: "127.0.0.1:1"}
}

func hostList(state plan.Availability, ids ...string) *plan.Hosts {
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

func TestConditionRequiresReply(t *testing.T) {
	table := NewTable(testIdentity("a", 1))
	table.ApplyList(hostList(plan.Live, "a", "b", "c", "d"))
	table.RecordHeartbeat(start, Heartbeat{Self: testIdentity("b", 1)}, true)
	table.RecordHeartbeat(start, Heartbeat{Self: testIdentity("c", 1)}, false)
	want := []Condition{Live, Live, Dead, Dead}
	if diff := cmp.Diff(want, conditions(table, start, "a", "b", "c", "d")); diff != "" {
		t.Errorf("conditions (-want +got):\n%s", diff)
	}
	later := start.Add(3 * baseHeartbeatInterval)
	if got := table.ConditionOf(later, "b"); got != Suspect {
		t.Errorf("after three intervals without a reply: %s", got)
	}
	if got := table.ConditionOf(later.Add(baseHeartbeatInterval), "b"); got != Dead {
		t.Errorf("after four intervals without a reply: %s", got)
	}
}

func TestLiveExcludesLeavingHosts(t *testing.T) {
	table := NewTable(testIdentity("a", 1))
	table.RecordHeartbeat(start, Heartbeat{Self: testIdentity("b", 1)}, true)
	table.RecordHeartbeat(start, Heartbeat{Self: testIdentity("c", 1), Leaving: true}, true)
	table.ApplyList(hostList(plan.Leaving, "b"))
	if live := table.Live(start, "d"); len(live) != 1 || live[0].ID != "a" {
		t.Errorf("live hosts: %v", live)
	}
}

func TestRecordHeartbeatDetectsRestart(t *testing.T) {
	table := NewTable(testIdentity("a", 1))
	table.RecordHeartbeat(start, Heartbeat{Self: testIdentity("b", 1), Successor: HostIncarnation{Host: "c", Incarnation: 5}}, true)
	table.RecordHeartbeat(start, Heartbeat{Self: testIdentity("c", 5), Successor: HostIncarnation{Host: "d", Incarnation: 6}}, true)
	previous, restarted := table.RecordHeartbeat(start, Heartbeat{Self: testIdentity("b", 2)}, true)
	if !restarted || previous != (HostIncarnation{Host: "b", Incarnation: 1}) {
		t.Errorf("got %v, %t", previous, restarted)
	}
	if successor, ok := table.Successor(HostIncarnation{Host: "b", Incarnation: 1}); !ok || successor != (HostIncarnation{Host: "d", Incarnation: 6}) {
		t.Errorf("last successor of the previous incarnation: %v, %t", successor, ok)
	}
}

// TestRankByRendezvousIsStable checks that when a host leaves, only the keys
// for which it ranked first get a new first host.
func TestRankByRendezvousIsStable(t *testing.T) {
	var hosts []Identity
	for i := range 9 {
		hosts = append(hosts, testIdentity(fmt.Sprintf("h%d", i), 1))
	}
	for i := range 200 {
		key := fmt.Sprint(i)
		before := RankByRendezvous(key, hosts)[0]
		after := RankByRendezvous(key, hosts[1:])[0]
		if before.ID != hosts[0].ID && before != after {
			t.Fatalf("key %s moved from %s to %s", key, before.ID, after.ID)
		}
	}
}

// TestHeartbeatRateIsBounded checks that the heartbeats that one host sends per
// second stay bounded in a fleet of 370 hosts, the expected future size.
func TestHeartbeatRateIsBounded(t *testing.T) {
	const maxPerSecond = 40
	table := NewTable(testIdentity("h0", 1))
	list := &plan.Hosts{Version: 1}
	for i := range 370 {
		list.Hosts = append(list.Hosts, plan.Host{
			ID: plan.HostID(fmt.Sprintf("h%d", i)), Peer: "127.0.0.1:1", State: plan.Live,
			Domain: plan.DomainID(map[bool]string{true: "d", false: fmt.Sprint("d", i%7)}[i%7 == 0]),
		})
	}
	table.ApplyList(list)
	rate := float64(len(table.HeartbeatTargets(start, 1))) / table.HeartbeatInterval().Seconds()
	if rate > maxPerSecond {
		t.Errorf("%.0f heartbeats per second, want at most %d", rate, maxPerSecond)
	}
}
