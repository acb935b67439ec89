package ratelimit

import (
	"net/netip"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// Limiter is all that one host needs to take part in keeping to the rates of upstreams, those
// that they announce and those of cold upstreams.
type Limiter struct {
	*Table
	Holders *Holders
	Grantor *Grantor
	Asker   *Asker
	cold    coldSet
}

// NewLimiter returns the Limiter of a host that has just started. The list of failure
// domains is the same on all hosts.
func NewLimiter(now time.Time, self netip.Addr, domain plan.DomainID, domains []plan.DomainID) *Limiter {
	holders := NewHolders(self, domain, domains)
	return &Limiter{
		Table: NewTable(), Holders: holders, Grantor: NewGrantor(now, holders), Asker: NewAsker(holders),
		cold: coldSet{listed: map[route.ProcessKey]Cold{}, lost: map[route.ProcessKey]Cold{}},
	}
}

// Empty reports whether no upstream has announced a limit lately and none is cold.
func (l *Limiter) Empty() bool { return l.Table.Empty() && l.cold.size.Load() == 0 }

// Limit returns what limits the requests to an upstream, as far as this host knows.
func (l *Limiter) Limit(now time.Time, k route.ProcessKey) Limit {
	return Limit{Announced: l.Table.Rate(now, k), Cold: l.cold.limit(now, k)}
}

// Rate returns the rate at which an upstream may be sent requests, or NoLimit.
func (l *Limiter) Rate(now time.Time, k route.ProcessKey) Rate { return l.Limit(now, k).Rate() }

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

// Decide answers an ask of a host for a permit. Of an announced rate the one that this host
// knows counts, since it may be newer, and of cold limits the stricter one.
func (l *Limiter) Decide(now time.Time, id AskID, a Ask) Decision {
	limit := l.Limit(now, a.Key)
	if limit.Announced == NoLimit {
		limit.Announced = a.Rate
	}
	limit.Cold = limit.Cold.stricter(a.Cold)
	return l.Grantor.Decide(now, id, a, limit)
}
