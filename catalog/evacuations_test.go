package catalog

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// put and lift are the entry that evacuates domain z and its removal.
func put(revision uint64) EvacuationEntry { return EvacuationEntry{Domain: "z", Revision: revision} }

func lift(revision uint64) EvacuationEntry {
	return EvacuationEntry{Domain: "z", Revision: revision, Deleted: true}
}

func readEvacuations(c *Catalog, now time.Time, asOf route.Position, entries ...EvacuationEntry) {
	c.ApplyFullRead(now, FullRead{AsOf: asOf, Evacuations: entries})
}

func mergeFrom(c, from *Catalog, now time.Time) {
	c.Merge(now, from.SnapshotSince(now, c.Position(), 0))
}

// TestEvacuationIsInForceUntilItsEntryIsGone guards against evacuations that are lost, and against
// ones that outlive their entry. Each case tells the second host something that the first merges.
func TestEvacuationIsInForceUntilItsEntryIsGone(t *testing.T) {
	const returned = time.Second
	for name, x := range map[string]struct {
		tell func(c, other *Catalog)
		want int
	}{
		"after the removal of an entry before it": {func(c, other *Catalog) {
			readEvacuations(c, start, rev(10), put(12)) // A later page was read at revision 12.
			c.ApplyEvacuation(start, lift(11))
			readEvacuations(other, start, rev(11))
		}, 1},
		"after a snapshot without evacuations": {func(c, _ *Catalog) {
			readEvacuations(c, start, rev(9), put(9))
			c.Merge(start, Snapshot{AsOf: rev(20), Since: rev(9)})
			if c.Position() != rev(20) || c.WatchPosition() != rev(9) {
				t.Error("the snapshot was refused, or what it lacks is not read again")
			}
		}, 1},
		"in an older copy": {func(c, _ *Catalog) {
			readEvacuations(c, start, pos(1, 9), put(4))
			readEvacuations(c, at(returned), pos(2, 5), put(4))
			c.Expire(at(time.Hour))
		}, 1},
		"at a start after the store came back": {func(_, other *Catalog) {
			readEvacuations(other, start, pos(1, 9), put(9))
			readEvacuations(other, at(returned), pos(2, 5))
			other.Expire(at(returned + evacuationHoldTime - 1))
		}, 1},
		"long after the store came back": {func(c, other *Catalog) {
			readEvacuations(other, start, pos(1, 9), put(9))
			readEvacuations(other, at(returned), pos(2, 5))
			mergeFrom(c, other, at(2*returned))
			c.Expire(at(returned + evacuationHoldTime))
		}, 0},
		"after a pause over its removal and the return of the store": {func(c, other *Catalog) {
			readEvacuations(c, start, pos(1, 9), put(9))
			readEvacuations(other, start, pos(1, 10))
			other.ApplyEvacuation(start, lift(11))
			readEvacuations(other, at(returned), pos(2, 5))
		}, 0},
	} {
		c, other := New(testDecoder{}), New(testDecoder{})
		x.tell(c, other)
		mergeFrom(c, other, at(2*returned))
		if got := c.EvacuatedDomains(); got != x.want {
			t.Errorf("%s: %d domains evacuated, want %d", name, got, x.want)
		}
	}
}

// TestEvacuationShowsInUpstreams guards against upstreams of an evacuated domain that look ready,
// and against cold ones that look warm after it, on the host that read its end and on one that
// was told.
func TestEvacuationShowsInUpstreams(t *testing.T) {
	item := func(id, value string) Entry { return Entry{ID: plan.UpstreamID(id), Value: []byte(value), Revision: 2} }
	c, other := New(testDecoder{}), New(testDecoder{})
	c.ApplyFullRead(start, FullRead{AsOf: rev(3), Table: &TableEntry{Value: []byte("table 1 6")}, Evacuations: []EvacuationEntry{put(3)},
		Upstreams: []Entry{item("warm", "ready 1 1 z 0"), item("cold", "ready 1 1 z 9"), item("draining", "draining 1 1 z 0"), item("elsewhere", "ready 1 1 y 4")}})
	want := map[plan.UpstreamID]route.State{"warm": route.Evacuated, "cold": route.Evacuated, "draining": route.Draining, "elsewhere": route.Ready}
	if diff := cmp.Diff(want, upstreamStates(c)); diff != "" {
		t.Error(diff)
	}
	c.ApplyEvacuation(at(2*time.Second), lift(4))
	c.Advance(4)
	mergeFrom(other, c, at(3*time.Second))
	for _, host := range []*Catalog{c, other} {
		got := map[plan.UpstreamID]float64{}
		for id, u := range host.Upstreams().ByID {
			got[id] = u.ColdUntil.Sub(start).Seconds()
		}
		if diff := cmp.Diff(map[plan.UpstreamID]float64{"warm": 8, "cold": 9, "draining": 8, "elsewhere": 4}, got); diff != "" {
			t.Error(diff)
		}
	}
}

// simEvacuations is a store of evacuations that may come back from an older copy.
type simEvacuations struct {
	at     route.Position
	oldest uint64
	// events are the changes of this epoch, and states holds what was in force at each position.
	events []EvacuationEntry
	states map[route.Position]map[plan.DomainID]uint64
}

func (s *simEvacuations) change(random *rand.Rand) {
	next := maps.Clone(s.states[s.at])
	if random.IntN(12) == 0 {
		back := s.at
		back.Revision -= uint64(random.IntN(int(s.at.Revision-s.oldest) + 1))
		next = maps.Clone(s.states[back])
		s.at, s.oldest, s.events = route.Position{Epoch: back.Epoch + 1, Revision: back.Revision}, back.Revision, nil
		s.states[s.at] = next
		return
	}
	s.at.Revision++
	e := EvacuationEntry{Domain: plan.DomainID(fmt.Sprint(random.IntN(3))), Revision: s.at.Revision}
	if _, e.Deleted = next[e.Domain]; e.Deleted {
		delete(next, e.Domain)
	} else {
		next[e.Domain] = e.Revision
	}
	s.events, s.states[s.at] = append(s.events, e), next
}

// call returns the application of an answer of the store, which may come late.
func (s *simEvacuations) call(random *rand.Rand, c *Catalog) func(now time.Time) {
	asOf, after := s.at, c.WatchPosition()
	if random.IntN(2) == 0 && !c.Position().IsZero() && after.Epoch == asOf.Epoch && after.Revision >= s.oldest {
		events := slices.Clone(s.events)
		return func(now time.Time) {
			if c.Position().Epoch != asOf.Epoch {
				return
			}
			for _, e := range events {
				if e.Revision > after.Revision {
					c.ApplyEvacuation(now, e)
				}
			}
			c.Advance(asOf.Revision)
		}
	}
	r := FullRead{AsOf: asOf}
	for domain, revision := range s.states[asOf] {
		r.Evacuations = append(r.Evacuations, EvacuationEntry{Domain: domain, Revision: revision})
	}
	return func(now time.Time) { c.ApplyFullRead(now, r) }
}

// check returns how the evacuations of a host differ from those of the store at its position, which
// is that from which the host watches. Further ones may only be held for evacuationHoldTime.
func (s *simEvacuations) check(now time.Time, c *Catalog) string {
	got, want := map[plan.DomainID]uint64{}, s.states[c.Position()]
	for domain, x := range c.evacuations.byDomain {
		held := x.position.Epoch < c.Position().Epoch && now.Before(c.evacuations.holdDeadline())
		if !x.ended && !held {
			got[domain] = x.position.Revision
		}
	}
	return cmp.Diff(want, got) + cmp.Diff(c.Position(), c.WatchPosition())
}

// TestHostsKnowTheEvacuationsOfTheirPosition guards against evacuations and removals that are lost
// between hosts which start, read and fetch from each other in any order, with answers that come
// late, while the store comes back from older copies.
func TestHostsKnowTheEvacuationsOfTheirPosition(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 2))
		s := &simEvacuations{at: pos(1, 1), oldest: 1, states: map[route.Position]map[plan.DomainID]uint64{{}: {}, pos(1, 1): {}}}
		hosts := []*Catalog{New(testDecoder{}), New(testDecoder{}), New(testDecoder{})}
		// Each host has a call of the store and a fetch from another host under way.
		pending := make([]func(time.Time), 2*len(hosts))
		for step := range 300 {
			now := at(time.Duration(step) * 400 * time.Millisecond)
			if random.IntN(3) == 0 {
				s.change(random)
			}
			k := random.IntN(len(pending))
			i := k / 2
			switch {
			case random.IntN(25) == 0:
				hosts[i], pending[2*i], pending[2*i+1] = New(testDecoder{}), nil, nil
			case pending[k] != nil:
				pending[k](now)
				pending[k] = nil
			case k%2 == 0:
				pending[k] = s.call(random, hosts[i])
			default:
				snapshot := hosts[random.IntN(len(hosts))].SnapshotSince(now, hosts[i].Position(), 0)
				pending[k] = func(now time.Time) { hosts[i].Merge(now, snapshot) }
			}
			for i, c := range hosts {
				c.Expire(now)
				if diff := s.check(now, c); diff != "" {
					t.Fatalf("seed %d, step %d, host %d at %v: %s", seed, step, i, c.Position(), diff)
				}
			}
		}
	}
}
