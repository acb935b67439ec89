package catalog

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/route"
)

// TestColdTimeCountsFromTheFirstRead guards against upstreams that look warm though their entry
// says that they are cold, and against a cold time that begins anew because another host or
// another epoch brings the same entry.
func TestColdTimeCountsFromTheFirstRead(t *testing.T) {
	first, second := New(testDecoder{}), New(testDecoder{})
	read(first, start, pos(1, 9), sequencedItem("cold", 2, "ready", 1, 1), sequencedItem("warm", 3, "ready", 1, 4), sequencedItem("huge", 4, "ready", 1, 1))
	apply(first, start, coldItem("cold", 10, 2, 5))
	apply(first, start, coldItem("huge", 11, 2, 1<<30))
	first.Advance(11)
	second.Merge(at(2*time.Second), first.SnapshotSince(at(2*time.Second), route.Position{}, 0))
	read(second, at(3*time.Second), pos(2, 9), coldItem("cold", 5, 2, 5), coldItem("warm", 3, 3, 5), coldItem("huge", 6, 2, 1<<30))
	for name, c := range map[string]*Catalog{"first": first, "second": second} {
		got := map[string]time.Time{}
		for id, u := range c.Upstreams().ByID {
			got[string(id)] = u.ColdUntil
		}
		want := map[string]time.Time{"cold": at(5 * time.Second), "warm": {}, "huge": at(maxColdTime)}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}
