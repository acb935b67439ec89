package catalog

import (
	"cmp"
	"slices"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// MaxServiceGap is the longest time between two responses of the store to one host in which the
// store still counts as available. It is longer than the first reader of a domain lets the store be
// silent, and shorter than it takes entries to expire that nobody writes.
const MaxServiceGap = 3200 * time.Millisecond

// ServedSpan is a time in which the store served one host without a failure. Entries that are
// missing after it began, and after MissingGracePeriod, did not expire in an outage of the store.
type ServedSpan struct {
	// From is when the first of the calls began, and Until when the last of them was answered.
	// They are zero if no call succeeded since the last failure. Until is not before From.
	From, Until time.Time
	// Epoch is the epoch of the store that served the host.
	Epoch route.Epoch
}

// IsZero reports whether the span is empty.
func (s ServedSpan) IsZero() bool { return s.From.IsZero() }

// Recent reports whether the span still says something of the store at the given time.
func (s ServedSpan) Recent(now time.Time) bool {
	return !s.IsZero() && now.Sub(s.Until) <= MaxServiceGap
}

// compare orders spans by how much they tell: first those of the latest epoch, of these first the one
// that began first.
func (s ServedSpan) compare(o ServedSpan) int {
	return cmp.Or(cmp.Compare(o.Epoch, s.Epoch), s.From.Compare(o.From))
}

// Longest returns the span of a list that tells most, with those that continue it. It sorts the
// list, in which no span may be empty.
func Longest(spans []ServedSpan) ServedSpan {
	slices.SortFunc(spans, ServedSpan.compare)
	var longest ServedSpan
	for i, s := range spans {
		if i == 0 {
			longest = s
		}
		longest = longest.bridge(s)
	}
	return longest
}

// bridge returns the span with the time in which the store has served other hosts as well, if that
// goes on where the span ends.
func (s ServedSpan) bridge(elsewhere ServedSpan) ServedSpan {
	continues := !s.IsZero() && !elsewhere.IsZero() && s.Epoch == elsewhere.Epoch && !elsewhere.From.After(s.Until)
	if continues && elsewhere.Until.After(s.Until) {
		s.Until = elsewhere.Until
	}
	return s
}

// extend adds a call that began and ended at the given times. After a gap the span begins anew. A
// call that took longer than a gap may have been held through an outage, so its begin says nothing.
func (s ServedSpan) extend(began, ended time.Time, epoch route.Epoch) ServedSpan {
	if !s.IsZero() && s.Epoch == epoch && ended.Sub(s.Until) <= MaxServiceGap {
		return ServedSpan{From: s.From, Until: ended, Epoch: epoch}
	}
	if ended.Sub(began) > MaxServiceGap {
		began = ended
	}
	return ServedSpan{From: began, Until: ended, Epoch: epoch}
}

// RecordServed records that the store answered a call of this host in an epoch.
func (c *Catalog) RecordServed(began, now time.Time, epoch route.Epoch) {
	c.served = c.served.bridge(c.servedElsewhere).extend(began, now, epoch)
	c.shortenGrace(now)
}

// StoreState is what a host tells others of the store.
type StoreState struct {
	// Served is the time in which the store has served this host without a failure.
	Served ServedSpan
	// Failing is set while the store fails for this host.
	Failing bool
}

// StoreState returns what this host tells others of the store.
func (c *Catalog) StoreState() StoreState { return StoreState{Served: c.served, Failing: c.Failed()} }

// RecordServedElsewhere records in which time the store has served other hosts: the span that
// exceeds all others, or an empty one if none is known.
func (c *Catalog) RecordServedElsewhere(now time.Time, s ServedSpan) {
	c.servedElsewhere = s
	c.shortenGrace(now)
}

// grace is the time for which an upstream without an entry stays in use.
type grace struct {
	deadline time.Time
	// failedSince is when the store began to fail for the host that found the entry missing, as
	// far as that host knows. It is before deadline.
	failedSince time.Time
}

// shortenGrace applies limit to all missing upstreams.
func (c *Catalog) shortenGrace(now time.Time) {
	for id, g := range c.missing {
		c.missing[id] = c.limit(now, g)
	}
}

// limit ends a grace period earlier if the store is known to have served any host since the failure
// and for long enough. A host that fails to reach the store can't tell an outage of the store from
// one of its own.
func (c *Catalog) limit(now time.Time, g grace) grace {
	for _, s := range []ServedSpan{c.served, c.servedElsewhere} {
		applies := s.Epoch == c.position.Epoch && s.Recent(now) && !s.Until.Before(g.failedSince)
		if end := s.From.Add(MissingGracePeriod); applies && end.Before(g.deadline) {
			g.deadline = end
		}
	}
	return g
}

// MissingChange tells that an upstream without an entry is kept for a while, or no longer.
type MissingChange struct {
	ID plan.UpstreamID
	// Kept is set when the grace period begins. It lasts for Grace, unless it is shortened.
	Kept  bool
	Grace time.Duration
}

// TakeMissingChanges returns the upstreams whose grace period has begun or ended since the last
// call.
func (c *Catalog) TakeMissingChanges() []MissingChange {
	changes := c.missingChanges
	c.missingChanges = nil
	return changes
}

// keepMissing keeps an upstream without an entry in use for a grace period.
func (c *Catalog) keepMissing(now time.Time, id plan.UpstreamID, g grace) {
	if _, kept := c.missing[id]; !kept {
		c.missingChanges = append(c.missingChanges, MissingChange{ID: id, Kept: true, Grace: max(0, g.deadline.Sub(now))})
	}
	c.missing[id] = g
}
