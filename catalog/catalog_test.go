package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

var start = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

func at(offset time.Duration) time.Time { return start.Add(offset) }

// rev returns a position in an epoch that the store doesn't name.
func rev(revision uint64) route.Position { return route.Position{Revision: revision} }

// testDecoder decodes what serverItem and tableItem write.
type testDecoder struct{}

func (testDecoder) DecodeTable(raw []byte) (*route.Table, error) {
	var version uint64
	var coldTime time.Duration
	if n, err := fmt.Sscanf(string(raw), "table %d %d", &version, &coldTime); n < 1 {
		return nil, err
	}
	services := []*route.Service{{ID: "s", ColdStart: coldTime * time.Second}}
	return route.NewTable(plan.Version(version), route.Limits{}, nil, services, nil), nil
}

func (testDecoder) DecodeUpstream(id plan.UpstreamID, position route.Position, raw []byte) (*route.Upstream, error) {
	var state string
	var born, sequence int64
	u := &route.Upstream{ID: id, Service: "s", Position: position}
	// The domain and the rest of the cold time may be absent.
	if n, err := fmt.Sscanf(string(raw), "%s %d %d %s %d", &state, &born, &sequence, &u.Domain, &u.ColdRemaining); n < 3 {
		return nil, err
	}
	u.StartedAt, u.Sequence = time.UnixMilli(born), sequence
	u.ColdRemaining *= time.Second
	if state == "draining" {
		u.State = route.Draining
	}
	return u, nil
}

func serverItem(id string, revision uint64, state string, born int64) Entry {
	return sequencedItem(id, revision, state, born, 1)
}

// sequencedItem returns the entry that a process wrote with a sequence number.
func sequencedItem(id string, revision uint64, state string, born, sequence int64) Entry {
	return Entry{ID: plan.UpstreamID(id), Value: fmt.Appendf(nil, "%s %d %d", state, born, sequence), Revision: revision}
}

// coldItem returns the entry of an upstream that is cold for some more seconds.
func coldItem(id string, revision uint64, sequence, coldSeconds int64) Entry {
	e := sequencedItem(id, revision, "ready", 1, sequence)
	e.Value = fmt.Appendf(e.Value, " z %d", coldSeconds)
	return e
}

func removedItem(id string, revision uint64) Entry {
	return Entry{ID: plan.UpstreamID(id), Revision: revision, Deleted: true}
}

func tableItem(version, revision uint64) TableEntry {
	return TableEntry{Value: fmt.Appendf(nil, "table %d", version), Position: rev(revision)}
}

// apply applies an entry of an upstream or of the table.
func apply(c *Catalog, now time.Time, entry any) Changes {
	switch e := entry.(type) {
	case Entry:
		return Changes{Upstreams: c.ApplyUpstream(now, e)}
	case TableEntry:
		return Changes{Table: c.ApplyTable(now, e)}
	}
	panic("neither an upstream nor a table")
}

// read applies a full read as of a position.
func read(c *Catalog, now time.Time, asOf route.Position, entries ...any) Changes {
	r := FullRead{AsOf: asOf}
	for _, entry := range entries {
		switch e := entry.(type) {
		case Entry:
			r.Upstreams = append(r.Upstreams, e)
		case TableEntry:
			e.Position.Epoch = asOf.Epoch
			r.Table = &e
		}
	}
	changed, _ := c.ApplyFullRead(now, r)
	return changed
}

func upstreamStates(m *Catalog) map[plan.UpstreamID]route.State {
	out := map[plan.UpstreamID]route.State{}
	for id, u := range m.Upstreams().ByID {
		out[id] = u.State
	}
	return out
}

func TestTableVersionNeverDecreases(t *testing.T) {
	m := New(testDecoder{})
	apply(m, start, tableItem(7, 10))
	for _, older := range []TableEntry{tableItem(6, 11), tableItem(7, 12), tableItem(8, 9)} {
		if c := apply(m, start, older); c.Table {
			t.Errorf("the table of revision %d replaced version 7 of revision 10", older.Position.Revision)
		}
	}
	if c := apply(m, start, tableItem(8, 13)); !c.Table || m.table.Version != 8 {
		t.Errorf("version 8 was not adopted, current version is %d", m.table.Version)
	}
}

func TestInvalidTableKeepsPrevious(t *testing.T) {
	m := New(testDecoder{})
	apply(m, start, tableItem(7, 10))
	apply(m, start, TableEntry{Value: []byte("noise"), Position: rev(11)})
	if m.table.Version != 7 || len(m.rejected) != 1 {
		t.Errorf("current version is %d, %d rejected; want 7 and 1", m.table.Version, len(m.rejected))
	}
}

func TestRemovalAppliesImmediatelyWhileStoreIsReachable(t *testing.T) {
	m := New(testDecoder{})
	read(m, start, rev(3), serverItem("a", 2, "ready", 1), serverItem("b", 3, "ready", 1))
	apply(m, at(time.Second), removedItem("a", 4))
	apply(m, at(time.Second), serverItem("b", 5, "draining", 1))
	want := map[plan.UpstreamID]route.State{"b": route.Draining}
	if diff := cmp.Diff(want, upstreamStates(m)); diff != "" {
		t.Error(diff)
	}
}

// TestLaterEntryDoesNotLiftDraining guards against an upstream that gets requests again because a
// later entry of the same process lists it as ready. Another process starts clean.
func TestLaterEntryDoesNotLiftDraining(t *testing.T) {
	m := New(testDecoder{})
	read(m, start, rev(3), serverItem("a", 2, "draining", 1), serverItem("b", 3, "draining", 1))
	apply(m, at(time.Second), serverItem("a", 4, "ready", 1))
	apply(m, at(time.Second), serverItem("b", 5, "ready", 2))
	want := map[plan.UpstreamID]route.State{"a": route.Draining, "b": route.Ready}
	if diff := cmp.Diff(want, upstreamStates(m)); diff != "" {
		t.Error(diff)
	}
}

// TestMissingUpstreamStaysDuringGracePeriod checks that an upstream stays in
// use if its entry expires while the store is unreachable. The upstream writes
// the entry again about two seconds after the store recovers.
func TestMissingUpstreamStaysDuringGracePeriod(t *testing.T) {
	m := New(testDecoder{})
	both := []any{serverItem("a", 2, "ready", 1), serverItem("b", 3, "ready", 1)}
	read(m, start, rev(3), both...)
	m.RecordFailure(at(time.Second))
	m.RecordRecovery(at(5 * time.Second))
	read(m, at(5*time.Second), rev(8), both[:1]...)
	if len(upstreamStates(m)) != 2 {
		t.Fatalf("in use right after the store recovered: %v", upstreamStates(m))
	}
	apply(m, at(6*time.Second), serverItem("b", 9, "ready", 1))
	m.Expire(at(8 * time.Second))
	if len(upstreamStates(m)) != 2 {
		t.Errorf("b reappeared but is not in use: %v", upstreamStates(m))
	}
}

func TestMissingUpstreamIsRemovedAfterGracePeriod(t *testing.T) {
	m := New(testDecoder{})
	read(m, start, rev(3), serverItem("a", 2, "ready", 1), serverItem("b", 3, "ready", 1))
	m.RecordFailure(at(time.Second))
	m.RecordRecovery(at(5 * time.Second))
	read(m, at(5*time.Second), rev(8), serverItem("a", 2, "ready", 1))
	if !m.Expire(at(5*time.Second+MissingGracePeriod)) || len(upstreamStates(m)) != 1 {
		t.Errorf("in use after the grace period: %v", upstreamStates(m))
	}
}

// TestRemovalMergedFromHostAppliesImmediately guards against a late removal,
// observed on enlarged test deployments: a host that had lost the store and then
// relied on other hosts' reads treated a removal reported by them as an expiry
// during the failure, and sent requests to the upstream for several more
// seconds.
func TestRemovalMergedFromHostAppliesImmediately(t *testing.T) {
	reader, follower := New(testDecoder{}), New(testDecoder{})
	both := []any{serverItem("a", 2, "ready", 1), serverItem("b", 3, "ready", 1)}
	read(reader, start, rev(3), both...)
	read(follower, start, rev(3), both...)
	follower.RecordFailure(at(time.Second))
	apply(reader, at(20*time.Second), removedItem("b", 7))
	reader.Advance(7)
	if c := follower.Merge(at(20*time.Second), reader.SnapshotSince(start, rev(3), 0)); !c.Upstreams {
		t.Error("the follower's view did not change")
	}
	if diff := cmp.Diff(map[plan.UpstreamID]route.State{"a": route.Ready}, upstreamStates(follower)); diff != "" {
		t.Error(diff)
	}
}

func TestSnapshotSinceContainsAllNewerChanges(t *testing.T) {
	reader, follower := New(testDecoder{}), New(testDecoder{})
	read(reader, start, rev(3), tableItem(1, 1), serverItem("a", 2, "ready", 1), serverItem("b", 3, "ready", 1))
	follower.Merge(start, reader.SnapshotSince(start, rev(0), 0))
	apply(reader, start, serverItem("a", 4, "draining", 1))
	apply(reader, start, removedItem("b", 5))
	apply(reader, start, serverItem("c", 6, "ready", 1))
	reader.Advance(6)
	follower.Merge(start, reader.SnapshotSince(start, rev(3), 0))
	if diff := cmp.Diff(upstreamStates(reader), upstreamStates(follower)); diff != "" {
		t.Error(diff)
	}
	if follower.position.Revision != 6 || follower.table == nil {
		t.Errorf("merged up to revision %d with table %v", follower.position.Revision, follower.table)
	}
}

// TestMergeIgnoresSnapshotWithGap checks that a snapshot that starts after the
// local revision, and so would leave a gap, is ignored.
func TestMergeIgnoresSnapshotWithGap(t *testing.T) {
	reader, follower := New(testDecoder{}), New(testDecoder{})
	read(reader, start, rev(5), serverItem("a", 2, "ready", 1))
	reader.Advance(9)
	follower.Merge(start, reader.SnapshotSince(start, rev(5), 0))
	if follower.position.Revision != 0 {
		t.Errorf("merged up to revision %d from a snapshot that starts at 5", follower.position.Revision)
	}
}

func TestRestartWithSameIDChangesView(t *testing.T) {
	m := New(testDecoder{})
	apply(m, start, serverItem("a", 2, "ready", 1000))
	if c := apply(m, start, serverItem("a", 3, "ready", 2000)); !c.Upstreams {
		t.Error("a restart did not change the view")
	}
	if got := m.Upstreams().ByID["a"].StartedAt; !got.Equal(time.UnixMilli(2000)) {
		t.Errorf("started at %v", got)
	}
}

// TestInvalidUpstreamEntryNamesNoUpstream guards against an entry that can't be decoded and
// hides others, or stays in use in its older form.
func TestInvalidUpstreamEntryNamesNoUpstream(t *testing.T) {
	m := New(testDecoder{})
	apply(m, start, serverItem("good", 1, "ready", 1))
	apply(m, start, serverItem("bad", 2, "ready", 1))
	apply(m, start, Entry{ID: "bad", Value: []byte("noise"), Revision: 3})
	if diff := cmp.Diff(map[plan.UpstreamID]route.State{"good": route.Ready}, upstreamStates(m)); diff != "" {
		t.Error(diff)
	}
	if n := len(m.TakeRejected()); n != 1 || len(m.TakeRejected()) != 0 {
		t.Errorf("%d entries rejected, want 1, once", n)
	}
}

// TestMergePreservesTableAge checks that the age of a table survives a merge,
// since the delay from the first host's read of a table until the table is in
// force is measured across hosts.
func TestMergePreservesTableAge(t *testing.T) {
	reader, follower := New(testDecoder{}), New(testDecoder{})
	apply(reader, start, tableItem(1, 1))
	reader.Advance(1)
	s := reader.SnapshotSince(at(300*time.Millisecond), rev(0), 0)
	follower.Merge(at(time.Hour), s)
	if got := at(time.Hour).Sub(follower.tableReadAt); got != 300*time.Millisecond {
		t.Errorf("age after the merge is %v", got)
	}
}

// TestRemovalDuringGracePeriodReachesOtherHosts guards against a lost removal,
// found in fault testing: after the store recovered, it listed an upstream as
// removed within the grace period of the host that read it. Hosts that fetched
// that host's lists received neither the removal of the entry nor the later
// removal of the upstream, and sent requests to it for ten seconds.
func TestRemovalDuringGracePeriodReachesOtherHosts(t *testing.T) {
	reader, follower := New(testDecoder{}), New(testDecoder{})
	both := []any{serverItem("a", 2, "ready", 1), serverItem("b", 3, "ready", 1)}
	read(reader, start, rev(3), both...)
	read(follower, start, rev(3), both...)
	reader.RecordFailure(start)
	reader.RecordRecovery(at(time.Second))
	apply(reader, at(time.Second), removedItem("b", 5))
	reader.Advance(6)
	mergedAt := at(1200 * time.Millisecond)
	follower.Merge(mergedAt, reader.SnapshotSince(mergedAt, rev(3), 0))
	if diff := cmp.Diff(map[plan.UpstreamID]route.State{"a": route.Ready, "b": route.Ready}, upstreamStates(follower)); diff != "" {
		t.Error("within the grace period:", diff)
	}
	deadline := at(time.Second + MissingGracePeriod)
	if !reader.Expire(deadline) || !follower.Expire(deadline) {
		t.Error("not removed at the end of the grace period")
	}
	if diff := cmp.Diff(map[plan.UpstreamID]route.State{"a": route.Ready}, upstreamStates(follower)); diff != "" {
		t.Error("after the grace period:", diff)
	}
}

// TestReappearedEntryIsMerged checks that an upstream whose entry reappears
// stays in use on every host that merges the entry.
func TestReappearedEntryIsMerged(t *testing.T) {
	reader, follower := New(testDecoder{}), New(testDecoder{})
	read(follower, start, rev(3), serverItem("b", 3, "ready", 1))
	follower.mergeMissing(start, MissingUpstream{ID: "b", Revision: 5, Remaining: time.Second})
	read(reader, start, rev(7), serverItem("b", 7, "ready", 1))
	follower.Merge(start, reader.SnapshotSince(start, rev(3), 0))
	follower.mergeMissing(start, MissingUpstream{ID: "b", Revision: 5, Remaining: time.Second})
	if follower.Expire(at(time.Hour)) {
		t.Error("removed though its entry reappeared")
	}
}
