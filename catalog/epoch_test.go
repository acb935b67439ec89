package catalog

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// pos returns a position in an epoch.
func pos(epoch route.Epoch, revision uint64) route.Position {
	return route.Position{Epoch: epoch, Revision: revision}
}

// TestTableOfAnOlderCopyIsNotAdopted guards against hosts that go back to an older table because
// the store has come back from an older copy, and against hosts that don't adopt what is written
// after that.
func TestTableOfAnOlderCopyIsNotAdopted(t *testing.T) {
	c := New(testDecoder{})
	read(c, start, pos(1, 40), tableItem(8, 30))
	if changed := read(c, at(time.Second), pos(2, 10), tableItem(4, 9)); changed.Table || c.table.Version != 8 {
		t.Errorf("version %d after the return, want 8", c.table.Version)
	}
	if !c.ApplyTable(at(2*time.Second), TableEntry{Value: []byte("table 11"), Position: pos(2, 11)}) || c.table.Version != 11 {
		t.Errorf("version %d, want 11, which was written after the return", c.table.Version)
	}
}

// TestVersionThatIsGivenTwiceCountsByItsEpoch guards against hosts that keep a table which the
// store has lost, though another one was written under the same version.
func TestVersionThatIsGivenTwiceCountsByItsEpoch(t *testing.T) {
	first := TableEntry{Value: []byte("table 8 first"), Position: pos(1, 30)}
	second := TableEntry{Value: []byte("table 8 second"), Position: pos(2, 12)}
	for name, entries := range map[string][]TableEntry{"in order": {first, second}, "the other way": {second, first}, "twice": {first, second, second}} {
		c := New(testDecoder{})
		for _, e := range entries {
			c.ApplyTable(start, e)
		}
		if diff := cmp.Diff(string(second.Value), string(c.tableEntry.Value)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// TestFullReadOfAnEarlierEpochIsIgnored guards against an answer that was long under way and
// takes a host back behind the store's return.
func TestFullReadOfAnEarlierEpochIsIgnored(t *testing.T) {
	c := New(testDecoder{})
	read(c, start, pos(2, 10), serverItem("a", 9, "ready", 1))
	_, stale := c.ApplyFullRead(start, FullRead{AsOf: pos(1, 50), Upstreams: []Entry{serverItem("b", 40, "ready", 1)}})
	if diff := cmp.Diff(map[plan.UpstreamID]route.State{"a": route.Ready}, upstreamStates(c)); diff != "" || !stale {
		t.Errorf("stale %v: %s", stale, diff)
	}
}

// TestUpstreamsOfAnOlderCopy guards against upstreams that come back to use because an older copy
// lists them, and against ones that are lost because it does not.
func TestUpstreamsOfAnOlderCopy(t *testing.T) {
	c := New(testDecoder{})
	read(c, start, pos(1, 10), sequencedItem("left", 3, "ready", 1, 5), sequencedItem("drained", 4, "ready", 1, 5),
		sequencedItem("draining", 5, "ready", 1, 5), sequencedItem("silent", 6, "ready", 1, 5), sequencedItem("restarted", 7, "ready", 1, 5))
	apply(c, start, sequencedItem("drained", 11, "draining", 1, 6))
	apply(c, start, sequencedItem("draining", 12, "draining", 1, 6))
	for _, id := range []string{"left", "drained", "silent", "restarted"} {
		apply(c, start, removedItem(id, 13))
	}
	apply(c, start, sequencedItem("joined", 14, "ready", 1, 1))
	c.Advance(14)

	returned := at(5 * time.Second)
	read(c, returned, pos(2, 8), sequencedItem("left", 3, "ready", 1, 5), sequencedItem("drained", 4, "ready", 1, 5),
		sequencedItem("draining", 5, "ready", 1, 5), sequencedItem("silent", 6, "ready", 1, 5), sequencedItem("restarted", 7, "ready", 2, 1))
	want := map[plan.UpstreamID]route.State{"draining": route.Draining, "joined": route.Ready, "restarted": route.Ready}
	if diff := cmp.Diff(want, upstreamStates(c)); diff != "" {
		t.Errorf("after the return: %s", diff)
	}

	apply(c, returned, sequencedItem("joined", 9, "ready", 1, 3))
	apply(c, returned, sequencedItem("left", 10, "ready", 1, 7))
	apply(c, returned, removedItem("silent", 11))
	c.Expire(returned.Add(MissingGracePeriod))
	want["left"] = route.Ready
	if diff := cmp.Diff(want, upstreamStates(c)); diff != "" {
		t.Errorf("after upstreams wrote again: %s", diff)
	}

	c.Expire(returned.Add(holdTime))
	want["drained"] = route.Draining
	if diff := cmp.Diff(want, upstreamStates(c)); diff != "" {
		t.Errorf("after the store had time to remove dead entries: %s", diff)
	}
}

// TestOddEntryDoesNotHideThatAProcessWasDraining guards against a draining process that comes back
// to use after another writer left an odd entry under its ID.
func TestOddEntryDoesNotHideThatAProcessWasDraining(t *testing.T) {
	c := New(testDecoder{})
	apply(c, start, sequencedItem("a", 1, "draining", 1, 5))
	apply(c, start, removedItem("a", 2))
	apply(c, start, Entry{ID: "a", Value: []byte("noise"), Revision: 3})
	apply(c, start, sequencedItem("a", 4, "ready", 1, 6))
	if diff := cmp.Diff(map[plan.UpstreamID]route.State{"a": route.Draining}, upstreamStates(c)); diff != "" {
		t.Error(diff)
	}
}

// TestUpstreamThatJoinedBeforeTheReturnLeavesAfterItsGracePeriod guards against an upstream that
// stays in use though it has not written its entry again.
func TestUpstreamThatJoinedBeforeTheReturnLeavesAfterItsGracePeriod(t *testing.T) {
	c := New(testDecoder{})
	read(c, start, pos(1, 10), serverItem("joined", 9, "ready", 1))
	read(c, at(time.Second), pos(2, 5))
	if n := len(upstreamStates(c)); n != 1 {
		t.Errorf("%d upstreams right after the return, want 1", n)
	}
	if !c.Expire(at(time.Second+MissingGracePeriod)) || len(upstreamStates(c)) != 0 {
		t.Error("still in use after the grace period")
	}
}

// TestSnapshotOfALaterEpochIsMerged guards against hosts that hold what they have of the epoch
// before for newer, because its revisions are higher.
func TestSnapshotOfALaterEpochIsMerged(t *testing.T) {
	reader, follower, starter := New(testDecoder{}), New(testDecoder{}), New(testDecoder{})
	for _, c := range []*Catalog{reader, follower} {
		read(c, start, pos(1, 90), tableItem(8, 80), serverItem("a", 70, "ready", 1), serverItem("joined", 85, "ready", 1))
	}
	read(reader, at(time.Second), pos(2, 50), tableItem(4, 10), serverItem("a", 40, "ready", 1))
	apply(reader, at(time.Second), serverItem("b", 51, "ready", 1))
	reader.Advance(51)
	now := at(1500 * time.Millisecond)
	follower.Merge(now, reader.SnapshotSince(now, follower.Position(), 8))
	starter.Merge(now, reader.SnapshotSince(now, starter.Position(), 0))
	want := map[plan.UpstreamID]route.State{"a": route.Ready, "b": route.Ready, "joined": route.Ready}
	for name, c := range map[string]*Catalog{"reader": reader, "follower": follower, "starter": starter} {
		if diff := cmp.Diff(want, upstreamStates(c)); diff != "" || c.Position() != pos(2, 51) || c.table.Version != 8 {
			t.Errorf("%s at %v, version %d: %s", name, c.Position(), c.table.Version, diff)
		}
	}
	// The upstream that joined does not write again; its grace period began with the epoch.
	end := at(time.Second + MissingGracePeriod)
	for name, c := range map[string]*Catalog{"reader": reader, "follower": follower, "starter": starter} {
		if c.Expire(end); len(upstreamStates(c)) != 2 {
			t.Errorf("%s: in use after the grace period: %v", name, upstreamStates(c))
		}
	}
}

// TestSnapshotOfAnEarlierEpochBringsOnlyItsTable guards against hosts that go back to the
// upstreams of an epoch that has ended, and against hosts that miss a newer table because only
// hosts which the store refuses still have it.
func TestSnapshotOfAnEarlierEpochBringsOnlyItsTable(t *testing.T) {
	behind, started := New(testDecoder{}), New(testDecoder{})
	read(behind, start, pos(1, 90), tableItem(8, 80), serverItem("a", 70, "ready", 1))
	read(started, start, pos(2, 20), tableItem(4, 10), serverItem("b", 15, "ready", 1))
	s := behind.SnapshotSince(start, started.Position(), 4)
	if len(s.Upstreams) != 0 {
		t.Errorf("%d upstreams sent to a host of a later epoch", len(s.Upstreams))
	}
	changed := started.Merge(start, s)
	if diff := cmp.Diff(Changes{Table: true}, changed); diff != "" || started.table.Version != 8 {
		t.Errorf("version %d, changes %s", started.table.Version, diff)
	}
	if diff := cmp.Diff(map[plan.UpstreamID]route.State{"b": route.Ready}, upstreamStates(started)); diff != "" {
		t.Error(diff)
	}
}

// TestTwoReturnsOneAfterTheOther guards against hosts that miss an epoch in between and hold on
// to what was lost.
func TestTwoReturnsOneAfterTheOther(t *testing.T) {
	reader, asleep := New(testDecoder{}), New(testDecoder{})
	for _, c := range []*Catalog{reader, asleep} {
		read(c, start, pos(1, 9), tableItem(3, 2), serverItem("a", 8, "ready", 1))
	}
	read(reader, at(time.Second), pos(2, 4), tableItem(3, 2), serverItem("a", 3, "ready", 1))
	apply(reader, at(time.Second), tableItem(5, 5))
	read(reader, at(2*time.Second), pos(3, 4), tableItem(3, 2), serverItem("a", 3, "ready", 1))
	reader.ApplyTable(at(3*time.Second), TableEntry{Value: []byte("table 9"), Position: pos(3, 5)})
	reader.Advance(5)
	asleep.Merge(at(3*time.Second), reader.SnapshotSince(at(3*time.Second), asleep.Position(), 3))
	if asleep.table.Version != 9 || asleep.Position() != pos(3, 5) {
		t.Errorf("version %d at %v, want 9 at %v", asleep.table.Version, asleep.Position(), pos(3, 5))
	}
}

// TestEarlierProcessOfAnOlderCopyIsNotUsed guards against requests to an upstream that is draining,
// because an older copy of the store lists the process that ran there before as ready.
func TestEarlierProcessOfAnOlderCopyIsNotUsed(t *testing.T) {
	for name, removed := range map[string]bool{"still listed": false, "removed": true} {
		c := New(testDecoder{})
		read(c, start, pos(1, 10), sequencedItem("a", 9, "draining", 2, 1))
		if removed {
			apply(c, start, removedItem("a", 11))
		}
		read(c, at(time.Second), pos(2, 5), sequencedItem("a", 4, "ready", 1, 7))
		if u := c.Upstreams().ByID["a"]; u != nil && u.State == route.Ready {
			t.Errorf("%s: an earlier process is in use", name)
		}
		apply(c, at(2*time.Second), sequencedItem("a", 12, "ready", 3, 1))
		if u := c.Upstreams().ByID["a"]; u == nil || u.State != route.Ready {
			t.Errorf("%s: the next process is not in use: %+v", name, u)
		}
	}
}
