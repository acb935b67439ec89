package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// limitSettles is the time after an upstream first named its rate from which hosts
	// without disturbances keep to it, and limitSpan the span in which they may send 1.5
	// times what the rate allows, and limitExtra requests.
	limitSettles = 3 * time.Second
	limitSpan    = 4 * time.Second
	limitExtra   = 5
	// limitSeeds is the number of seeds of which one has an upstream with a limit.
	limitSeeds = 3
)

// namedLimit is the rate that an upstream names in its answers, and the requests that it got.
type namedLimit struct {
	// perSecond is zero while it names none.
	perSecond float64
	namedAt   time.Time
	endedAt   time.Time
	arrivals  []arrival
}

// arrival is a request that reached an upstream.
type arrival struct {
	requestID string
	at        time.Time
}

// setLimit lets the upstream name a rate in its answers from now on, or none if it is zero.
func (u *fakeUpstream) setLimit(perSecond float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	if u.limit.perSecond > 0 {
		u.limit.endedAt = now
	}
	if perSecond > 0 {
		u.limit.namedAt, u.limit.endedAt = now, time.Time{}
	}
	u.limit.perSecond = perSecond
}

// termsHeader returns the header fields in which the upstream names its rate and says that it is
// draining, or "".
func (u *fakeUpstream) termsHeader() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	fields := ""
	if u.limit.perSecond > 0 {
		fields = fmt.Sprintf("Server-Limit: %v\r\n", u.limit.perSecond)
	}
	if u.saysDraining {
		fields += drainingHeader + ": 1\r\n"
	}
	return fields
}

// recordArrival records a request, also one that will be turned away.
func (u *fakeUpstream) recordArrival(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit.arrivals = append(u.limit.arrivals, arrival{id, time.Now()})
}

// limitUpstream lets one upstream of the pool name a low rate until ctx is done.
func (f *fleet) limitUpstream(ctx context.Context, rng *rand.Rand) {
	f.mu.Lock()
	f.limited = f.upstreams[rng.IntN(2)]
	f.mu.Unlock()
	f.limitedRate = []float64{0.5, 1, 4}[rng.IntN(3)]
	f.limited.setLimit(f.limitedRate)
	f.logf("%s: names a limit of %v", f.limited.id, f.limitedRate)
	<-ctx.Done()
	f.limited.setLimit(0)
	f.logf("%s: ends its limit", f.limited.id)
}

// hostUndisturbed reports whether no disturbance of the host or of the machine overlaps the
// time span. The store has no part in keeping to a limit.
func (f *fleet) hostUndisturbed(hostIndex int, from, to time.Time) bool {
	for _, d := range f.disturbances {
		relevant := d.component == hostComponent(hostIndex) || d.component == machineComponent
		if relevant && d.from.Before(to) && d.to.After(from) {
			return false
		}
	}
	return true
}

// checkLimit checks that hosts without disturbances together keep to the rate that an
// upstream has named.
func (f *fleet) checkLimit() []string {
	if f.limited == nil {
		return nil
	}
	records := map[string]*requestRecord{}
	for _, r := range f.generator.records {
		records[r.id] = r
	}
	limit := &f.limited.limit
	var counted []time.Time
	most, inAll := 0, 0
	for _, a := range limit.arrivals {
		r := records[a.requestID]
		from := limit.namedAt.Add(limitSettles)
		if r == nil || a.at.Before(from) || a.at.After(limit.endedAt) || !f.hostUndisturbed(r.hostIndex, a.at.Add(-limitSettles), a.at) {
			continue
		}
		counted = append(counted, a.at)
		inAll++
		for a.at.Sub(counted[0]) > limitSpan {
			counted = counted[1:]
		}
		most = max(most, len(counted))
	}
	allowed := int(1.5*f.limitedRate*limitSpan.Seconds()) + limitExtra
	f.limitSummary = fmt.Sprintf(", at most %d of %d requests in %v at a limit of %v, %d in all", most, allowed, limitSpan, f.limitedRate, inAll)
	if most > allowed {
		return []string{fmt.Sprintf("%s got %d requests in %v from hosts without disturbances, allowed %d", f.limited.id, most, limitSpan, allowed)}
	}
	return nil
}
