package catalog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// checkMergedStates checks which upstreams a follower has after it has merged what
// another host knows since the follower's position.
func checkMergedStates(t *testing.T, follower, from *Catalog, want map[plan.UpstreamID]route.State) {
	t.Helper()
	follower.Merge(start, from.SnapshotSince(start, follower.Position(), 0))
	if diff := cmp.Diff(from.Position(), follower.Position()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(want, upstreamStates(follower)); diff != "" {
		t.Error(diff)
	}
}

var (
	onlyA = map[plan.UpstreamID]route.State{"a": route.Ready}
	itemA = serverItem("a", 2, "ready", 1)
	itemB = serverItem("b", 3, "ready", 1)
)

// TestRemovalBeforeAStartIsNotLost guards against a lost removal: a host that was
// restarted after an upstream had left answered for the changes since a position
// before that, of which it knew nothing. The hosts that fetched from it kept sending
// requests to the upstream.
func TestRemovalBeforeAStartIsNotLost(t *testing.T) {
	follower, restarted := New(testDecoder{}), New(testDecoder{})
	read(follower, start, rev(3), itemA, itemB)
	read(restarted, start, rev(5), itemA)
	checkMergedStates(t, follower, restarted, onlyA)
}

// TestRemovalIsNotLostByWayOfASecondHost guards against the same loss where the
// restarted host has its state from another one.
func TestRemovalIsNotLostByWayOfASecondHost(t *testing.T) {
	follower, first, second := New(testDecoder{}), New(testDecoder{}), New(testDecoder{})
	read(follower, start, rev(3), itemA, itemB)
	read(first, start, rev(5), itemA)
	second.Merge(start, first.SnapshotSince(start, route.Position{}, 0))
	checkMergedStates(t, follower, second, onlyA)
}

// TestRemovalFoundByAFullReadIsNotLost guards against the loss of a removal that a
// host did not hear of but found by reading the store again: it recorded it as of its
// own last position, which the asking host had too.
func TestRemovalFoundByAFullReadIsNotLost(t *testing.T) {
	follower, reader := New(testDecoder{}), New(testDecoder{})
	read(follower, start, rev(3), itemA, itemB)
	read(reader, start, rev(3), itemA, itemB)
	read(reader, start, rev(5), itemA)
	checkMergedStates(t, follower, reader, onlyA)
}

// TestRemovalBetweenTwoFullReadsIsNotLost guards against the loss of the removal of
// an upstream that was added and removed between two full reads of a host.
func TestRemovalBetweenTwoFullReadsIsNotLost(t *testing.T) {
	follower, reader := New(testDecoder{}), New(testDecoder{})
	read(reader, start, rev(2), itemA)
	read(follower, start, rev(3), itemA, itemB)
	read(reader, start, rev(5), itemA)
	checkMergedStates(t, follower, reader, onlyA)
}

// TestRemovalOfAnUnknownUpstreamIsPassedOn guards against the loss of a removal on a
// host that never had the upstream.
func TestRemovalOfAnUnknownUpstreamIsPassedOn(t *testing.T) {
	for _, tell := range []func(c *Catalog){
		func(c *Catalog) { apply(c, start, removedItem("b", 5)); c.Advance(5) },
		func(c *Catalog) {
			c.Merge(start, Snapshot{AsOf: rev(5), Since: rev(2), Upstreams: []Entry{removedItem("b", 5)}})
		},
	} {
		follower, host := New(testDecoder{}), New(testDecoder{})
		read(follower, start, rev(3), itemA, itemB)
		read(host, start, rev(2), itemA)
		tell(host)
		checkMergedStates(t, follower, host, onlyA)
	}
}

// TestForgottenRemovalIsNotLost guards against the loss of a removal that a host has
// forgotten because of many later ones.
func TestForgottenRemovalIsNotLost(t *testing.T) {
	follower, host := New(testDecoder{}), New(testDecoder{})
	read(follower, start, rev(3), itemA, itemB)
	read(host, start, rev(3), itemA, itemB)
	apply(host, start, removedItem("b", 4))
	host.Advance(4)
	for i := range maxDepartures {
		id, revision := fmt.Sprintf("x%d", i), uint64(5+2*i)
		now := at(time.Duration(1+i) * time.Millisecond)
		apply(host, now, serverItem(id, revision, "ready", 1))
		apply(host, now, removedItem(id, revision+1))
		host.Advance(revision + 1)
	}
	checkMergedStates(t, follower, host, onlyA)
}

// TestChangesSinceTheStartTakeNoWholeList checks that hosts which follow the store
// without a gap send each other only what has changed.
func TestChangesSinceTheStartTakeNoWholeList(t *testing.T) {
	reader, follower := New(testDecoder{}), New(testDecoder{})
	read(reader, start, rev(3), itemA, itemB)
	follower.Merge(start, reader.SnapshotSince(start, route.Position{}, 0))
	apply(reader, start, removedItem("b", 4))
	reader.Advance(4)
	for _, since := range []route.Position{rev(3), rev(4)} {
		s := reader.SnapshotSince(start, since, 0)
		if diff := cmp.Diff(since, s.Since); diff != "" {
			t.Error(diff)
		}
	}
	follower.Merge(start, reader.SnapshotSince(start, rev(3), 0))
	apply(follower, start, serverItem("c", 5, "ready", 1))
	follower.Advance(5)
	want := Snapshot{AsOf: rev(5), Since: rev(3), TableAge: start.Sub(time.Time{}), EpochAge: start.Sub(time.Time{}),
		Upstreams: []Entry{serverItem("c", 5, "ready", 1), removedItem("b", 4)}, Evacuations: &EvacuationList{AsOf: rev(5)}}
	if diff := cmp.Diff(want, follower.SnapshotSince(start, rev(3), 0)); diff != "" {
		t.Error(diff)
	}
}

// simStore is a store with a history, for hosts that follow it in random ways.
type simStore struct {
	revision uint64
	items    map[plan.UpstreamID]Entry
	history  []Entry
}

func (s *simStore) change(random *rand.Rand) {
	id := plan.UpstreamID(fmt.Sprintf("u%d", random.IntN(6)))
	s.revision++
	e := Entry{ID: id, Revision: s.revision, Deleted: true}
	if _, ok := s.items[id]; ok && random.IntN(2) == 0 {
		delete(s.items, id)
	} else {
		e = serverItem(string(id), s.revision, "ready", int64(s.revision))
		s.items[id] = e
	}
	s.history = append(s.history, e)
}

func (s *simStore) fullRead() FullRead {
	r := FullRead{AsOf: rev(s.revision)}
	for _, e := range s.items {
		r.Upstreams = append(r.Upstreams, e)
	}
	return r
}

// statesAt returns the upstreams that exist at a revision.
func (s *simStore) statesAt(revision uint64) map[plan.UpstreamID]route.State {
	out := map[plan.UpstreamID]route.State{}
	for _, e := range s.history[:revision] {
		if e.Deleted {
			delete(out, e.ID)
			continue
		}
		out[e.ID] = route.Ready
	}
	return out
}

// step lets one host start anew, read the store, follow its changes or fetch from
// another host.
func (s *simStore) step(random *rand.Rand, hosts []*Catalog) {
	i := random.IntN(len(hosts))
	switch c := hosts[i]; random.IntN(8) {
	case 0:
		hosts[i] = New(testDecoder{})
	case 1:
		c.ApplyFullRead(start, s.fullRead())
	case 2, 3:
		if c.Position().IsZero() {
			return
		}
		for _, e := range s.history[c.Position().Revision:] {
			c.ApplyUpstream(start, e)
		}
		c.Advance(s.revision)
	default:
		from := hosts[random.IntN(len(hosts))]
		c.Merge(start, from.SnapshotSince(start, c.Position(), 0))
	}
}

// TestHostsKnowWhatTheirPositionSays guards against all removals that are lost between
// hosts which start, read and fetch from each other in any order: a host's upstreams
// are those of the store at the host's position.
func TestHostsKnowWhatTheirPositionSays(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		s := &simStore{items: map[plan.UpstreamID]Entry{}}
		hosts := []*Catalog{New(testDecoder{}), New(testDecoder{}), New(testDecoder{}), New(testDecoder{})}
		for step := range 200 {
			if random.IntN(3) == 0 {
				s.change(random)
			}
			s.step(random, hosts)
			if i := slices.IndexFunc(hosts, func(c *Catalog) bool {
				return !cmp.Equal(s.statesAt(c.Position().Revision), upstreamStates(c))
			}); i >= 0 {
				revision := hosts[i].Position().Revision
				t.Fatalf("seed %d, step %d, host %d at revision %d: %s", seed, step, i, revision, cmp.Diff(s.statesAt(revision), upstreamStates(hosts[i])))
			}
		}
	}
}

// TestWholeListRemovesAtOnceLongAfterAFailure guards against hosts that lost the store once
// and left reading it to others: long after that, they kept an upstream for a grace period
// that was missing in another host's whole list.
func TestWholeListRemovesAtOnceLongAfterAFailure(t *testing.T) {
	follower, restarted := New(testDecoder{}), New(testDecoder{})
	read(follower, start, rev(3), itemA, itemB)
	follower.RecordFailure(at(time.Second))
	follower.RecordRecovery(at(2 * time.Second))
	read(restarted, at(20*time.Second), rev(5), itemA)
	follower.Merge(at(20*time.Second), restarted.SnapshotSince(at(20*time.Second), rev(3), 0))
	if diff := cmp.Diff(onlyA, upstreamStates(follower)); diff != "" {
		t.Error(diff)
	}
}
