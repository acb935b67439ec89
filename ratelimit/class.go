package ratelimit

import "time"

const (
	// urgencies is the number of urgencies of requests.
	urgencies = 10
	// turnInterval is the number of permits of which one goes to the class that has waited
	// longest, whatever its urgency, so that none starves.
	turnInterval = 8
	// minWaiting is the time for which a class counts as waiting at least, after an ask that
	// was denied.
	minWaiting = 500 * time.Millisecond
)

// classes orders the asks for one bucket: more urgent ones first, and from time to time the
// class that has waited longest.
type classes struct {
	byUrgency [urgencies]class
	// sinceTurn counts the permits that went to the most urgent class while others waited.
	sinceTurn int
}

// class is what is known of the asks of one urgency.
type class struct {
	// since is when the first ask was denied after the last grant, or zero.
	since time.Time
	// until is when the class counts as waiting no longer.
	until time.Time
}

func (c *class) waiting(now time.Time) bool { return !c.since.IsZero() && now.Before(c.until) }

// mayGo reports whether an ask is not to leave a permit to another class.
func (c *classes) mayGo(now time.Time, urgency int) bool {
	if oldest := c.oldest(now); c.sinceTurn >= turnInterval-1 && oldest >= 0 {
		return urgency == oldest
	}
	for u := range urgency {
		if c.byUrgency[u].waiting(now) {
			return false
		}
	}
	return true
}

// oldest returns the urgency of the class that has waited longest, or -1.
func (c *classes) oldest(now time.Time) int {
	oldest := -1
	for u := range c.byUrgency {
		x := &c.byUrgency[u]
		if x.waiting(now) && (oldest < 0 || x.since.Before(c.byUrgency[oldest].since)) {
			oldest = u
		}
	}
	return oldest
}

// recordGrant records that a class was granted a permit.
func (c *classes) recordGrant(now time.Time, urgency int) {
	oldest := c.oldest(now)
	c.byUrgency[urgency].since = time.Time{}
	switch {
	case oldest < 0 || oldest == urgency:
		c.sinceTurn = 0
	default:
		c.sinceTurn++
	}
}

// recordDenial records that an ask was denied and comes again within a time.
func (c *classes) recordDenial(now time.Time, urgency int, again time.Duration) {
	x := &c.byUrgency[urgency]
	if !x.waiting(now) {
		x.since = now
	}
	x.until = now.Add(max(minWaiting, 2*again))
}
