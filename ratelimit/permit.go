package ratelimit

import (
	"time"

	"mulberrydyke/route"
)

const (
	// maxPermitAge is how long after it was asked for a permit to send to a cold upstream may be
	// used at the most. A host that is paused in between asks anew.
	maxPermitAge = 250 * time.Millisecond
	// lateFraction of the reserve of a cold limit is for permits that are used late. The rest is
	// for what holders give out that have just taken over a part.
	lateFraction = 0.5
)

// Permit allows one request to be sent to an upstream.
type Permit struct {
	// ValidUntil is when the permit expires. It is zero if the upstream was not cold.
	ValidUntil time.Time
}

// NewPermit returns a permit that was asked for at a time under a limit. What may be sent late
// stays within a fraction of the limit's reserve, which is as large as its burst.
func NewPermit(askedAt time.Time, l Limit) Permit {
	if l.Cold.Rate == NoLimit {
		return Permit{}
	}
	age := lateFraction * l.Cold.Burst / float64(l.Cold.Rate)
	return Permit{ValidUntil: askedAt.Add(min(maxPermitAge, time.Duration(age*float64(time.Second))))}
}

// MaySend reports whether a permit still allows a request to be sent to an upstream. It is
// asked right before the request is sent. A permit from a time when the upstream was not cold
// doesn't count if it is cold now.
func (l *Limiter) MaySend(now time.Time, k route.ProcessKey, p Permit) bool {
	if p.ValidUntil.IsZero() {
		return l.cold.limit(now, k).Rate == NoLimit
	}
	return now.Before(p.ValidUntil)
}
