// Package catalog keeps one host's copy of what the platform's store holds: the routing table
// and the upstreams. It decides whether an upstream whose entry is missing has left, and what
// still counts after the store has come back from an older copy. Hosts send each other its
// content as snapshots.
//
// Nothing here has a clock or does I/O: the current time is an argument. How entries are read
// and encoded is up to package platform.
package catalog

import (
	"bytes"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// MissingGracePeriod is how long after an outage of the store an upstream whose entry is
// missing stays in use. Upstreams whose entries expired during the outage write them again
// within two seconds.
const MissingGracePeriod = 2 * time.Second

// Entry is an upstream's entry in the store, or its removal.
type Entry struct {
	ID plan.UpstreamID `json:"id"`
	// Value is the entry as it was written.
	Value []byte `json:"value,omitempty"`
	// Revision is that of its last change. It is zero if the entry was read only in
	// an earlier epoch.
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
	// Age is the time since the first host read an entry that says that its upstream is cold. It
	// is encoded in nanoseconds, and zero in other entries.
	Age time.Duration `json:"age,omitempty"`
}

// TableEntry is the entry of the routing table in the store.
type TableEntry struct {
	// Value is the entry as it was written.
	Value []byte `json:"value"`
	// Position is where the entry was read. It may be of an earlier epoch than the
	// catalog, if the store has come back with an older table.
	Position route.Position `json:"position"`
}

// Decoder decodes the values of entries.
type Decoder interface {
	DecodeTable(raw []byte) (*route.Table, error)
	DecodeUpstream(id plan.UpstreamID, position route.Position, raw []byte) (*route.Upstream, error)
}

// Catalog is one host's copy of the store. It is not safe for concurrent use.
type Catalog struct {
	decoder Decoder
	table   *route.Table
	// tableEntry is the entry behind table, to be sent to other hosts.
	tableEntry TableEntry
	// tableReadAt is when the first host of the fleet read the current table
	// from the store, as far as this host knows.
	tableReadAt time.Time
	// tableRevision is the newest revision of this epoch seen of the table's entry.
	tableRevision uint64
	// entries holds the entries behind upstreams, to be sent to other hosts.
	entries map[plan.UpstreamID]Entry
	// revisions holds the newest revision of this epoch seen of each upstream.
	revisions map[plan.UpstreamID]uint64
	upstreams map[plan.UpstreamID]*route.Upstream
	// departures holds the upstreams that were removed.
	departures departures
	// evacuations holds the failure domains that are or were evacuated.
	evacuations evacuations
	// missing holds the upstreams that are in use though their entries are missing.
	missing map[plan.UpstreamID]grace
	// failedAt is when the store last failed; recoveredAt is when it then served
	// again. While failedAt is after recoveredAt, the store is unreachable.
	// failedSince is when the first of the failures came since it last served.
	failedAt, recoveredAt, failedSince time.Time
	// served is the time in which the store has served this host without a failure, and
	// servedElsewhere the same for other hosts. They are empty if there is none.
	served, servedElsewhere ServedSpan
	// missingChanges holds the begins and ends of grace periods until they are logged.
	missingChanges []MissingChange
	// position is the place in the store's changes up to which the catalog is
	// complete, and epochBeganAt when the first host of the fleet read from its
	// epoch, as far as this host knows.
	position     route.Position
	epochBeganAt time.Time
	// completeSince is the revision of this epoch from which on the catalog knows of
	// all removals. Of earlier ones it knows only that the upstreams are not there,
	// as after a full read. It is not after position.
	completeSince uint64
	// rejected holds the errors of entries that could not be decoded, until
	// they are logged.
	rejected []error
}

// New returns an empty catalog.
func New(d Decoder) *Catalog {
	return &Catalog{
		decoder: d, entries: map[plan.UpstreamID]Entry{}, revisions: map[plan.UpstreamID]uint64{}, upstreams: map[plan.UpstreamID]*route.Upstream{},
		missing: map[plan.UpstreamID]grace{}, departures: newDepartures(), evacuations: newEvacuations(),
	}
}

// Position returns the position in the store's changes up to which the catalog is
// complete.
func (c *Catalog) Position() route.Position { return c.position }

// Table returns the table in force, or nil, and when the first host read it.
func (c *Catalog) Table() (t *route.Table, readAt time.Time) { return c.table, c.tableReadAt }

// TakeRejected returns the errors of entries that could not be decoded since the
// last call.
func (c *Catalog) TakeRejected() []error {
	rejected := c.rejected
	c.rejected = nil
	return rejected
}

// Changes reports which views an update changed.
type Changes struct{ Table, Upstreams bool }

// RecordFailure records that a call to the store failed.
func (c *Catalog) RecordFailure(now time.Time) {
	if !c.Failed() {
		c.failedSince = now
	}
	c.failedAt, c.served = now, ServedSpan{}
}

// BeginReading records that this host reads the store from now on. If the store fails for those
// that read it so far, it counts as failed.
func (c *Catalog) BeginReading(now time.Time, d ReadDuty) {
	if d.FailingSince.IsZero() {
		return
	}
	c.RecordFailure(now)
	if d.FailingSince.Before(c.failedSince) {
		c.failedSince = d.FailingSince
	}
}

// RecordRecovery records that the store serves this host again after a failure, or the
// hosts that read for it.
func (c *Catalog) RecordRecovery(now time.Time) {
	if !c.recoveredAt.After(c.failedAt) && !c.failedAt.IsZero() {
		c.recoveredAt = now
	}
}

// Failed reports whether the store has failed and not served again since.
func (c *Catalog) Failed() bool { return c.failedAt.After(c.recoveredAt) }

// graceFor returns the grace period of an upstream that is found missing now. Unless the store
// has failed recently, for all hosts that are known to call it, its deadline is not after now.
func (c *Catalog) graceFor(now time.Time) grace {
	switch {
	case c.failedAt.IsZero():
		return grace{deadline: now}
	case c.Failed():
		return c.limit(now, grace{deadline: now.Add(MissingGracePeriod), failedSince: c.failedSince})
	}
	return c.limit(now, grace{deadline: c.recoveredAt.Add(MissingGracePeriod), failedSince: c.failedSince})
}

// beginEpoch turns to an epoch of the store, from which the first host read at
// the given time. Revisions of earlier ones say nothing about it. Upstreams that
// are missing in it are treated as after a failure of the store.
func (c *Catalog) beginEpoch(began time.Time, epoch route.Epoch) {
	if !c.position.IsZero() {
		c.failedAt, c.recoveredAt, c.failedSince = began, began, began
	}
	c.position, c.epochBeganAt = route.Position{Epoch: epoch}, began
	c.tableRevision, c.completeSince = 0, 0
	clear(c.revisions)
	for id, e := range c.entries {
		e.Revision = 0
		c.entries[id] = e
	}
	c.departures.beginEpoch(began)
}

// Advance records that all changes of the present epoch up to a revision were applied.
func (c *Catalog) Advance(revision uint64) {
	c.advancePosition(revision)
	c.evacuations.advance(route.Position{Epoch: c.position.Epoch, Revision: revision})
}

func (c *Catalog) advancePosition(revision uint64) {
	c.position.Revision = max(c.position.Revision, revision)
}

// ApplyUpstream applies an upstream's entry of the present epoch, or its removal.
// It ignores revisions older than the newest one seen of the upstream. It reports
// whether the upstreams changed.
func (c *Catalog) ApplyUpstream(now time.Time, e Entry) bool {
	known, ok := c.revisions[e.ID]
	if ok && e.Revision < known {
		return false
	}
	c.revisions[e.ID] = e.Revision
	if e.Deleted {
		return c.handleMissing(now, e.ID)
	}
	_, wasMissing := c.missing[e.ID]
	delete(c.missing, e.ID)
	if known == e.Revision && c.upstreams[e.ID] != nil && !wasMissing {
		return false
	}
	return c.adopt(now, e)
}

// adopt takes the entry of an upstream into use. It reports whether the upstreams
// changed.
func (c *Catalog) adopt(now time.Time, e Entry) bool {
	u, err := c.decoder.DecodeUpstream(e.ID, route.Position{Epoch: c.position.Epoch, Revision: e.Revision}, e.Value)
	if err != nil {
		c.rejected = append(c.rejected, err)
		_, known := c.upstreams[e.ID]
		c.removeUpstream(now, e.ID)
		return known
	}
	if c.departures.hold(e, u, c.position.Epoch, c.epochBeganAt) || c.isEarlierProcess(u) {
		return false
	}
	if c.wasDraining(u) {
		u.State = route.Draining
	}
	u.ColdUntil = c.coldUntil(now, e, u)
	e.Age = 0
	c.upstreams[e.ID] = u
	c.departures.remove(e.ID)
	c.entries[e.ID] = e
	return true
}

// isEarlierProcess reports whether an entry describes a process that ran before the one that is known
// from an earlier epoch. It stands only in the older copy from which the store has come back.
func (c *Catalog) isEarlierProcess(u *route.Upstream) bool {
	known := c.upstreams[u.ID]
	return known != nil && known.Position.Epoch < c.position.Epoch && u.StartedAt.Before(known.StartedAt)
}

// wasDraining reports whether the process of an upstream was draining before. It
// does not return from that.
func (c *Catalog) wasDraining(u *route.Upstream) bool {
	if known := c.upstreams[u.ID]; known != nil && known.ProcessKey() == u.ProcessKey() {
		return known.State == route.Draining
	}
	return c.departures.wasDraining(u)
}

// ApplyTable adopts a table if its version is higher than the current one. Of two
// tables with the same version the one of the later epoch counts, since it was
// written after the store had lost the other. It ignores revisions older than the
// newest one seen in the present epoch. It reports whether the table changed.
func (c *Catalog) ApplyTable(now time.Time, e TableEntry) bool {
	if e.Position.Epoch == c.position.Epoch {
		if e.Position.Revision < c.tableRevision {
			return false
		}
		c.tableRevision = e.Position.Revision
	}
	t, err := c.decoder.DecodeTable(e.Value)
	if err != nil {
		c.rejected = append(c.rejected, err)
		return false
	}
	if c.table != nil && (t.Version < c.table.Version || t.Version == c.table.Version && e.Position.Epoch <= c.tableEntry.Position.Epoch) {
		return false
	}
	changed := !bytes.Equal(e.Value, c.tableEntry.Value)
	c.tableEntry = e
	if changed {
		c.table, c.tableReadAt = t, now
	}
	return changed
}

// handleMissing handles an upstream without an entry. Soon after an outage of
// the store the upstream stays in use for the grace period, because its entry
// may have expired only because the store was unreachable. It reports whether it
// removed the upstream.
func (c *Catalog) handleMissing(now time.Time, id plan.UpstreamID) bool {
	c.departures.release(id)
	if c.upstreams[id] == nil {
		c.recordDeparture(now, id)
		return false
	}
	g := c.graceFor(now)
	if !g.deadline.After(now) {
		c.removeUpstream(now, id)
		return true
	}
	if g.deadline.After(c.missing[id].deadline) {
		c.keepMissing(now, id, g)
	}
	return false
}

// recordDeparture remembers that an upstream is not there as of the newest revision
// seen of it, also one that was not in use here: other hosts may have it.
func (c *Catalog) recordDeparture(now time.Time, id plan.UpstreamID) {
	forgotten := c.departures.add(now, id, c.upstreams[id], c.position.Epoch, max(c.position.Revision, c.revisions[id]))
	c.completeSince = max(c.completeSince, forgotten)
}

// removeUpstream removes an upstream.
func (c *Catalog) removeUpstream(now time.Time, id plan.UpstreamID) {
	c.recordDeparture(now, id)
	delete(c.upstreams, id)
	delete(c.missing, id)
	delete(c.entries, id)
}

// Expire removes the upstreams whose grace period has ended, takes those into use
// whose entries were held back for long enough, and ends evacuations that were held
// for long enough. It reports whether there were any.
func (c *Catalog) Expire(now time.Time) bool {
	changed := false
	for id, g := range c.missing {
		if g.deadline.After(now) {
			continue
		}
		c.removeUpstream(now, id)
		c.missingChanges = append(c.missingChanges, MissingChange{ID: id})
		changed = true
	}
	for _, e := range c.departures.takeReleased(now) {
		changed = c.adopt(now, e) || changed
	}
	return c.evacuations.expire(now, c.endedRetention()) || changed
}
