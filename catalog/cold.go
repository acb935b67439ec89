package catalog

import (
	"bytes"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// maxColdTime bounds how long an upstream counts as cold by its entry or the table, either of
// which may be wrong.
const maxColdTime = 10 * time.Minute

// coldUntil returns until when an upstream is cold by its entry. What the process wrote before,
// as an older copy of the store lists it, does not count again.
func (c *Catalog) coldUntil(now time.Time, e Entry, u *route.Upstream) time.Time {
	known := c.upstreams[u.ID]
	if known != nil && known.ProcessKey() == u.ProcessKey() &&
		(u.Sequence < known.Sequence || bytes.Equal(e.Value, c.entries[u.ID].Value)) {
		return known.ColdUntil
	}
	if u.ColdRemaining <= 0 {
		return time.Time{}
	}
	return now.Add(min(u.ColdRemaining, maxColdTime) - max(0, e.Age))
}

// entryAge returns how long ago an entry was read that says that its upstream is cold, and zero
// for others.
func (c *Catalog) entryAge(now time.Time, id plan.UpstreamID) time.Duration {
	u := c.upstreams[id]
	if u == nil || u.ColdUntil.IsZero() {
		return 0
	}
	return max(0, now.Sub(u.ColdUntil.Add(-min(u.ColdRemaining, maxColdTime))))
}
