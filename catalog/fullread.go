package catalog

import (
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// FullRead is all that the store held at one position.
type FullRead struct {
	AsOf route.Position
	// Table is nil if the store holds none.
	Table       *TableEntry
	Upstreams   []Entry
	Evacuations []EvacuationEntry
}

// ApplyFullRead applies a full read of the store. It ignores one of an earlier
// epoch, and reports whether it did.
func (c *Catalog) ApplyFullRead(now time.Time, r FullRead) (changed Changes, stale bool) {
	if r.AsOf.Epoch < c.position.Epoch {
		return changed, true
	}
	if r.AsOf.Epoch > c.position.Epoch {
		c.beginEpoch(now, r.AsOf.Epoch)
	}
	if r.Table != nil {
		changed.Table = c.ApplyTable(now, *r.Table)
	}
	changed.Upstreams = c.replace(now, r.Upstreams, r.AsOf.Revision)
	changed.Upstreams = c.evacuations.merge(now, r.evacuationList()) || changed.Upstreams
	return changed, false
}

// replace applies the entries of all upstreams as of a revision of the present
// epoch. It reports whether the upstreams changed. What came and left between the
// last position and that revision remains unknown.
func (c *Catalog) replace(now time.Time, entries []Entry, revision uint64) bool {
	changed := false
	if revision > c.position.Revision {
		c.completeSince = revision
	}
	seen := make(map[plan.UpstreamID]bool, len(entries))
	for _, e := range entries {
		seen[e.ID] = true
		changed = c.ApplyUpstream(now, e) || changed
	}
	for id := range c.upstreams {
		if !seen[id] && c.revisions[id] <= revision {
			c.revisions[id] = revision
			changed = c.handleMissing(now, id) || changed
		}
	}
	c.advancePosition(revision)
	return changed
}

// evacuationList returns the evacuations of a full read.
func (r *FullRead) evacuationList() *EvacuationList {
	out := &EvacuationList{AsOf: r.AsOf}
	for _, e := range r.Evacuations {
		out.All = append(out.All, Evacuation{Domain: e.Domain, Position: route.Position{Epoch: r.AsOf.Epoch, Revision: e.Revision}})
	}
	return out
}
