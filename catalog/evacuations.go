package catalog

import (
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

const (
	// endedRetention is how long the end of an evacuation is remembered. It is longer if
	// upstreams take longer to warm up.
	endedRetention = time.Minute
	// evacuationHoldTime is how long after the beginning of an epoch an evacuation of an earlier
	// one stays in force that the older copy of the store lacks.
	evacuationHoldTime = 10 * time.Second
)

// EvacuationEntry is the entry by which the operators evacuate a failure domain, or its
// removal.
type EvacuationEntry struct {
	Domain   plan.DomainID
	Revision uint64
	Deleted  bool
}

// Evacuation is the last known change of the evacuation of a failure domain.
type Evacuation struct {
	Domain plan.DomainID `json:"domain"`
	// Position is the place of the change, or a later one at which it was found. If Ended is
	// not set, it is the place of the entry.
	Position route.Position `json:"position"`
	// Ended is set if the domain has been taken back, and Age is then the time since the first
	// host read of that. It is encoded in nanoseconds.
	Ended bool          `json:"ended,omitempty"`
	Age   time.Duration `json:"age,omitempty"`
}

// EvacuationList holds all evacuations that are in force at a position, and those that ended
// lately.
type EvacuationList struct {
	AsOf route.Position `json:"as-of"`
	// EpochAge is the time since the first host read from the epoch of AsOf. It is encoded in
	// nanoseconds.
	EpochAge time.Duration `json:"epoch-age"`
	All      []Evacuation  `json:"all,omitempty"`
}

// EvacuationChange is a failure domain that was evacuated or taken back.
type EvacuationChange struct {
	Domain    plan.DomainID
	Evacuated bool
	Position  route.Position
	// Lost is set if the domain was taken back because the store came back from an older copy
	// without the entry.
	Lost bool
}

// ApplyEvacuation applies a change of an evacuation of the present epoch. It ignores those up to
// the position to which it knows all. It reports whether the upstreams may have changed.
func (c *Catalog) ApplyEvacuation(now time.Time, e EvacuationEntry) bool {
	return c.evacuations.apply(now, e, c.position.Epoch)
}

// WatchPosition returns the position from which on changes have to be read. It is before Position
// if a snapshot without evacuations was merged.
func (c *Catalog) WatchPosition() route.Position {
	if c.position.After(c.evacuations.asOf) {
		return c.evacuations.asOf
	}
	return c.position
}

// EvacuatedDomains returns the number of failure domains that are evacuated.
func (c *Catalog) EvacuatedDomains() int {
	n := 0
	for _, x := range c.evacuations.byDomain {
		if !x.ended {
			n++
		}
	}
	return n
}

// TakeEvacuationChanges returns the domains that were evacuated or taken back since the last call.
func (c *Catalog) TakeEvacuationChanges() []EvacuationChange {
	changes := c.evacuations.changes
	c.evacuations.changes = nil
	return changes
}

// evacuation is the last known change of the evacuation of a domain.
type evacuation struct {
	position route.Position
	ended    bool
	// endedAt is when the first host read that the evacuation has ended, as far as this host
	// knows.
	endedAt time.Time
}

// evacuations holds the evacuated failure domains and those that were taken back lately. For
// each domain the change with the highest position counts.
type evacuations struct {
	byDomain map[plan.DomainID]evacuation
	// asOf is the position up to which all changes are known. It may be before or after that of
	// the catalog, since lists of evacuations are always complete.
	asOf route.Position
	// epochBeganAt is when the first host of the fleet read from the epoch of asOf, as far as
	// this host knows.
	epochBeganAt time.Time
	changes      []EvacuationChange
}

func newEvacuations() evacuations {
	return evacuations{byDomain: map[plan.DomainID]evacuation{}}
}

// put records that a domain is evacuated as of a position. It reports whether that is a change.
func (e *evacuations) put(domain plan.DomainID, position route.Position) bool {
	x, known := e.byDomain[domain]
	if known && !position.After(x.position) {
		return false
	}
	e.byDomain[domain] = evacuation{position: position}
	if known && !x.ended {
		return false
	}
	e.changes = append(e.changes, EvacuationChange{Domain: domain, Evacuated: true, Position: position})
	return true
}

// end records that a domain is not evacuated as of a position, which the first host read at the
// given time. It reports whether that is a change. The end of an unknown evacuation is one too:
// the upstreams of the domain are cold.
func (e *evacuations) end(at time.Time, domain plan.DomainID, position route.Position) bool {
	x, known := e.byDomain[domain]
	if known && !position.After(x.position) {
		return false
	}
	if known && x.ended && x.endedAt.After(at) {
		at = x.endedAt
	}
	e.byDomain[domain] = evacuation{position: position, ended: true, endedAt: at}
	if known && !x.ended {
		e.changes = append(e.changes, EvacuationChange{Domain: domain, Position: position})
	}
	return true
}

// apply applies a change of the store, unless it is one that is already known.
func (e *evacuations) apply(now time.Time, entry EvacuationEntry, epoch route.Epoch) bool {
	position := route.Position{Epoch: epoch, Revision: entry.Revision}
	if !position.After(e.asOf) {
		return false
	}
	if !entry.Deleted {
		return e.put(entry.Domain, position)
	}
	// The removal of an entry that has ended already does not begin the cold time anew.
	if x := e.byDomain[entry.Domain]; x.ended && position.After(x.position) {
		x.position = position
		e.byDomain[entry.Domain] = x
		return false
	}
	return e.end(now, entry.Domain, position)
}

// advance records that all changes up to a position are known, if that is of the present epoch.
func (e *evacuations) advance(position route.Position) {
	if position.Epoch == e.asOf.Epoch && position.After(e.asOf) {
		e.asOf = position
	}
}

// merge applies a complete list from the store or another host. It reports whether anything
// changed.
func (e *evacuations) merge(now time.Time, list *EvacuationList) bool {
	if list.AsOf.Epoch > e.asOf.Epoch || e.asOf.IsZero() {
		e.asOf, e.epochBeganAt = route.Position{Epoch: list.AsOf.Epoch}, now.Add(-max(0, list.EpochAge))
	}
	inForce := make(map[plan.DomainID]bool, len(list.All))
	changed := false
	for _, x := range list.All {
		if x.Ended {
			changed = e.end(now.Add(-max(0, x.Age)), x.Domain, x.Position) || changed
			continue
		}
		// One that another host holds from an earlier epoch may have been removed in this one.
		inForce[x.Domain] = x.Position.Epoch == list.AsOf.Epoch
		if e.mayPut(now, x.Position) {
			changed = e.put(x.Domain, x.Position) || changed
		}
	}
	if !list.AsOf.After(e.asOf) {
		return changed
	}
	e.asOf = list.AsOf
	return e.endMissing(now, inForce) || changed
}

// mayPut reports whether an evacuation that another host knows may be in force here. One that was
// in force up to the present position would be known. One of an earlier epoch may be held.
func (e *evacuations) mayPut(now time.Time, position route.Position) bool {
	return position.After(e.asOf) || position.Epoch < e.asOf.Epoch && now.Before(e.holdDeadline())
}

// endMissing ends the evacuations of the present epoch that a complete list as of the present
// position lacks. Those of earlier epochs are held until holdDeadline.
func (e *evacuations) endMissing(now time.Time, inForce map[plan.DomainID]bool) bool {
	changed := false
	for domain, x := range e.byDomain {
		if x.ended || inForce[domain] || x.position.Epoch != e.asOf.Epoch || x.position.After(e.asOf) {
			continue
		}
		e.byDomain[domain] = evacuation{position: e.asOf, ended: true, endedAt: now}
		e.changes = append(e.changes, EvacuationChange{Domain: domain, Position: e.asOf})
		changed = true
	}
	return changed
}

// holdDeadline returns when evacuations of earlier epochs end.
func (e *evacuations) holdDeadline() time.Time { return e.epochBeganAt.Add(evacuationHoldTime) }

// expire ends the evacuations of earlier epochs that were held for long enough, and forgets those
// that ended longer than retention ago. It reports whether any ended.
func (e *evacuations) expire(now time.Time, retention time.Duration) bool {
	changed := false
	for domain, x := range e.byDomain {
		switch {
		case x.ended && now.Sub(x.endedAt) >= retention:
			delete(e.byDomain, domain)
		case !x.ended && x.position.Epoch < e.asOf.Epoch && !now.Before(e.holdDeadline()):
			position := route.Position{Epoch: e.asOf.Epoch}
			e.byDomain[domain] = evacuation{position: position, ended: true, endedAt: e.holdDeadline()}
			e.changes = append(e.changes, EvacuationChange{Domain: domain, Position: position, Lost: true})
			changed = true
		}
	}
	return changed
}

// list returns all evacuations for another host, or nil if nothing was read yet.
func (e *evacuations) list(now time.Time) *EvacuationList {
	if e.asOf.IsZero() {
		return nil
	}
	out := &EvacuationList{AsOf: e.asOf, EpochAge: max(0, now.Sub(e.epochBeganAt))}
	for domain, x := range e.byDomain {
		s := Evacuation{Domain: domain, Position: x.position, Ended: x.ended}
		if x.ended {
			s.Age = max(0, now.Sub(x.endedAt))
		}
		out.All = append(out.All, s)
	}
	return out
}
