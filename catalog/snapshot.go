package catalog

import (
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// Snapshot is the state that one host sends to another.
type Snapshot struct {
	// Table is the table in force, if the other host may not have it.
	Table *TableEntry `json:"table,omitempty"`
	// TableAge is the time since the first host read the table from the store.
	// It is encoded in nanoseconds.
	TableAge time.Duration `json:"table-age"`
	// Upstreams are entries of upstreams, and removals.
	Upstreams []Entry `json:"upstreams"`
	// AsOf is the position up to which the sender's state is complete.
	AsOf route.Position `json:"as-of"`
	// Since is the position after which Upstreams is complete. Zero means that
	// it holds all existing entries.
	Since route.Position `json:"since"`
	// EpochAge is the time since the first host read from the epoch of AsOf. It is
	// encoded in nanoseconds.
	EpochAge time.Duration `json:"epoch-age"`
	// Missing lists the upstreams whose entries are missing and which will be
	// removed at the end of their grace period.
	Missing []MissingUpstream `json:"missing,omitempty"`
	// Evacuations holds all evacuations. It is nil in snapshots of hosts that know of none
	// because they run an older version or have read nothing yet.
	Evacuations *EvacuationList `json:"evacuations,omitempty"`
}

// MissingUpstream is an upstream whose entry went missing soon after a failure
// of the store.
type MissingUpstream struct {
	ID plan.UpstreamID `json:"id"`
	// Revision is the newest revision seen of the entry.
	Revision uint64 `json:"revision"`
	// Remaining is the rest of the grace period. It is encoded in nanoseconds.
	Remaining time.Duration `json:"remaining"`
	// FailedAge is the time since the store began to fail for the host that found the entry
	// missing. It is encoded in nanoseconds.
	FailedAge time.Duration `json:"failed-age"`
}

// SnapshotSince returns all changes after a position, for a host that has a version
// of the table. The upstreams are all that exist if the position is zero or of an
// earlier epoch, or if this host may not know of all removals since.
func (c *Catalog) SnapshotSince(now time.Time, since route.Position, table plan.Version) Snapshot {
	if since.Epoch < c.position.Epoch {
		since = route.Position{}
	}
	s := Snapshot{AsOf: c.position, TableAge: now.Sub(c.tableReadAt), EpochAge: now.Sub(c.epochBeganAt), Evacuations: c.evacuations.list(now)}
	if c.table != nil && (c.table.Version > table || c.tableEntry.Position.After(since)) {
		s.Table = &c.tableEntry
	}
	if c.completeAfter().After(since) {
		since = route.Position{}
	}
	s.Since = since
	if since.After(c.position) {
		return s
	}
	full := since.IsZero()
	for _, e := range c.entries {
		if full || e.Revision > since.Revision {
			e.Age = c.entryAge(now, e.ID)
			s.Upstreams = append(s.Upstreams, e)
		}
	}
	for id, d := range c.departures.byID {
		if c.upstreams[id] == nil && (full || d.revision > since.Revision) {
			s.Upstreams = append(s.Upstreams, Entry{ID: id, Revision: d.revision, Deleted: true})
		}
	}
	for id, g := range c.missing {
		s.Missing = append(s.Missing, MissingUpstream{
			ID: id, Revision: c.revisions[id], Remaining: max(0, g.deadline.Sub(now)), FailedAge: max(0, now.Sub(g.failedSince)),
		})
	}
	return s
}

// completeAfter returns the first position after which this host knows of all changes.
func (c *Catalog) completeAfter() route.Position {
	return route.Position{Epoch: c.position.Epoch, Revision: c.completeSince}
}

// Merge applies another host's snapshot. A table counts by its version, and evacuations
// by their positions. The rest of a snapshot is ignored if it is not newer than the
// local state, or if it starts after the local position, which would leave a gap.
func (c *Catalog) Merge(now time.Time, s Snapshot) Changes {
	var changed Changes
	if s.Table != nil && c.ApplyTable(now, *s.Table) {
		changed.Table = true
		c.tableReadAt = now.Add(-max(0, s.TableAge))
	}
	evacuated := s.Evacuations != nil && c.evacuations.merge(now, s.Evacuations)
	if !c.continues(s) {
		changed.Upstreams = evacuated
		return changed
	}
	if s.AsOf.Epoch > c.position.Epoch {
		c.beginEpoch(now.Add(-max(0, s.EpochAge)), s.AsOf.Epoch)
	}
	changed.Upstreams = c.mergeUpstreams(now, s) || evacuated
	c.advancePosition(s.AsOf.Revision)
	return changed
}

// continues reports whether a snapshot is newer than the local state and leaves no
// gap.
func (c *Catalog) continues(s Snapshot) bool {
	if !s.AsOf.After(c.position) {
		return false
	}
	return s.Since.IsZero() || s.Since.Epoch == c.position.Epoch && !s.Since.After(c.position)
}

// mergeUpstreams applies the upstreams of a snapshot. An upstream that the other
// host has removed is removed immediately, because that host has already waited
// for the grace period; an upstream that is still in its grace period there is
// removed when that period ends.
func (c *Catalog) mergeUpstreams(now time.Time, s Snapshot) bool {
	var present []Entry
	changed := false
	for _, e := range s.Upstreams {
		if e.Deleted {
			changed = c.mergeRemoval(now, e) || changed
			continue
		}
		present = append(present, e)
	}
	if s.Since.IsZero() {
		changed = c.replace(now, present, s.AsOf.Revision) || changed
	} else {
		for _, e := range present {
			changed = c.ApplyUpstream(now, e) || changed
		}
	}
	for _, u := range s.Missing {
		c.mergeMissing(now, u)
	}
	return changed
}

// mergeRemoval removes an upstream that the other host has removed, unless a newer
// entry has been seen here. It reports whether it did.
func (c *Catalog) mergeRemoval(now time.Time, e Entry) bool {
	if known, ok := c.revisions[e.ID]; ok && e.Revision < known {
		return false
	}
	c.revisions[e.ID] = e.Revision
	c.departures.release(e.ID)
	if c.upstreams[e.ID] == nil {
		c.recordDeparture(now, e.ID)
		return false
	}
	c.removeUpstream(now, e.ID)
	return true
}

// mergeMissing adopts the other host's grace period for a missing upstream,
// unless a newer entry has been seen here. It is shorter if the store is known to have
// served hosts all the while.
func (c *Catalog) mergeMissing(now time.Time, u MissingUpstream) {
	if c.upstreams[u.ID] == nil || c.revisions[u.ID] > u.Revision {
		return
	}
	c.revisions[u.ID] = u.Revision
	g := grace{deadline: now.Add(min(MissingGracePeriod, max(0, u.Remaining))), failedSince: now.Add(-max(0, u.FailedAge))}
	c.keepMissing(now, u.ID, c.limit(now, g))
}
