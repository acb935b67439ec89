package catalog

import (
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

const (
	// departureRetention is how long a removed upstream is remembered in later
	// epochs, whose copy of the store may list it again.
	departureRetention = time.Minute
	// holdTime is how long after the beginning of an epoch entries of removed
	// upstreams are held back. The store removes those that nobody writes again
	// within several heartbeats.
	holdTime = 10 * time.Second
	// maxDepartures bounds the upstreams that are remembered.
	maxDepartures = 4096
)

// departure is an upstream that was removed.
type departure struct {
	// process and sequence are those of its last entry, and draining is set if it
	// was in that state.
	process   route.ProcessKey
	startedAt time.Time
	sequence  int64
	draining  bool
	// epoch and revision are the place in the store's changes at which it was
	// removed. The revision is zero in later epochs.
	epoch    route.Epoch
	revision uint64
	at       time.Time
}

// heldEntry is an entry of a removed upstream in a later epoch.
type heldEntry struct {
	entry Entry
	until time.Time
}

// departures remembers the upstreams that were removed, so that other hosts can be
// told, and so that an older copy of the store does not bring them back.
type departures struct {
	byID map[plan.UpstreamID]departure
	held map[plan.UpstreamID]heldEntry
}

func newDepartures() departures {
	return departures{byID: map[plan.UpstreamID]departure{}, held: map[plan.UpstreamID]heldEntry{}}
}

// add records that an upstream was removed, whose last entry is nil if it was not in
// use. It returns the revision of a removal that it forgot to make room, or zero.
func (d *departures) add(now time.Time, id plan.UpstreamID, last *route.Upstream, epoch route.Epoch, revision uint64) (forgotten uint64) {
	x := d.byID[id]
	x.epoch, x.revision, x.at = epoch, revision, now
	if last != nil {
		x.process, x.startedAt = last.ProcessKey(), last.StartedAt
		x.sequence, x.draining = last.Sequence, last.State == route.Draining
	}
	if _, known := d.byID[id]; !known && len(d.byID) >= maxDepartures {
		forgotten = d.removeOldest()
	}
	d.byID[id] = x
	return forgotten
}

// removeOldest forgets the oldest removal and returns its revision.
func (d *departures) removeOldest() uint64 {
	var oldest plan.UpstreamID
	for id, x := range d.byID {
		if oldest == "" || x.at.Before(d.byID[oldest].at) {
			oldest = id
		}
	}
	revision := d.byID[oldest].revision
	d.remove(oldest)
	return revision
}

// remove forgets an upstream, which is in use again.
func (d *departures) remove(id plan.UpstreamID) {
	delete(d.byID, id)
	delete(d.held, id)
}

// beginEpoch turns to another epoch, in which the revisions of earlier removals
// mean nothing.
func (d *departures) beginEpoch(now time.Time) {
	clear(d.held)
	for id, x := range d.byID {
		if now.Sub(x.at) > departureRetention {
			delete(d.byID, id)
			continue
		}
		x.revision = 0
		d.byID[id] = x
	}
}

// hold reports whether an entry is not to be used yet, because it describes a
// process that was removed in an earlier epoch, or one that ran before that, and may
// only stand in the older copy. An entry that the process wrote later is used at once.
func (d *departures) hold(e Entry, u *route.Upstream, epoch route.Epoch, epochBegan time.Time) bool {
	x, ok := d.byID[u.ID]
	if !ok || x.epoch >= epoch {
		return false
	}
	sameProcess := x.process == u.ProcessKey() && u.Sequence <= x.sequence
	if !sameProcess && !u.StartedAt.Before(x.startedAt) {
		return false
	}
	d.held[u.ID] = heldEntry{entry: e, until: epochBegan.Add(holdTime)}
	return true
}

// release forgets a held entry, which was removed from the store.
func (d *departures) release(id plan.UpstreamID) { delete(d.held, id) }

// takeReleased returns the entries that were held for long enough. They are still
// in the store, so their processes write them.
func (d *departures) takeReleased(now time.Time) []Entry {
	var out []Entry
	for id, h := range d.held {
		if h.until.After(now) {
			continue
		}
		out = append(out, h.entry)
		x := d.byID[id]
		x.sequence, x.startedAt = -1, time.Time{}
		d.byID[id] = x
		delete(d.held, id)
	}
	return out
}

// wasDraining reports whether the process of an upstream was draining when it was
// removed.
func (d *departures) wasDraining(u *route.Upstream) bool {
	x, ok := d.byID[u.ID]
	return ok && x.process == u.ProcessKey() && x.draining
}
