package ratelimit

import (
	"net/netip"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// Limiter is all that one host needs to take part in keeping to the rates of upstreams.
type Limiter struct {
	*Table
	Holders *Holders
	Grantor *Grantor
	Asker   *Asker
}

// NewLimiter returns the Limiter of a host that has just started. The list of failure
// domains is the same on all hosts.
func NewLimiter(now time.Time, self netip.Addr, domain plan.DomainID, domains []plan.DomainID) *Limiter {
	holders := NewHolders(self, domain, domains)
	return &Limiter{Table: NewTable(), Holders: holders, Grantor: NewGrantor(now, holders), Asker: NewAsker(holders)}
}

// AvailableAt returns when a request of the given urgency may be sent to an upstream at the
// earliest, as far as this host knows. It returns false if no host is known that could give
// a permit.
func (l *Limiter) AvailableAt(now time.Time, u *route.Upstream, urgency int) (time.Time, bool) {
	k := u.ProcessKey()
	if at := l.ReturnsAt(k); at.After(now) {
		return at, true
	}
	rate := l.Rate(now, k)
	if rate == NoLimit {
		return now, true
	}
	return l.Asker.AvailableAt(now, k, rate, urgency)
}

// Decide answers an ask of a host for a permit.
func (l *Limiter) Decide(now time.Time, id AskID, a Ask) Decision {
	rate := l.Rate(now, a.Key)
	if rate == NoLimit {
		rate = a.Rate
	}
	return l.Grantor.Decide(now, id, a, rate)
}
