package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// coldStart and coldRate are the cold start time of the pool and the requests per second
	// that its cold upstreams accept; maxColdArrivals is the most in any one second.
	coldStart       = 2 * time.Second
	coldRate        = 6
	maxColdArrivals = coldRate*3/2 + 5
	// coldCallers is the number of callers that send only short streams, so that cold upstreams
	// could get more than maxColdArrivals.
	coldCallers = 10
	// deliveryTime is how long a link takes at most to deliver what it has held up.
	deliveryTime = 200 * time.Millisecond
	// coldSeeds is the number of seeds of which one has cold upstreams.
	coldSeeds = 2
)

// coldArrival is a request that reached a process of an upstream while it was cold.
type coldArrival struct{ at, processStartedAt time.Time }

// sendShortStreams sends short streams one after another until ctx is done.
func (g *loadGenerator) sendShortStreams(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
		cc := g.dial(rng)
		if cc == nil {
			continue
		}
		g.send(cc, g.newRecord(nonResumableStream, g.fleet.newestKey(), 1), 0)
		_ = cc.conn.Close()
	}
}

// crashRepeatedly lets random upstreams crash for a short time, one after the other.
func (inj *faultInjector) crashRepeatedly(ctx context.Context, rng *rand.Rand, span time.Duration) {
	for begun := time.Now(); time.Since(begun) < span && ctx.Err() == nil; {
		sleep(ctx, time.Duration(rng.IntN(1000))*time.Millisecond)
		inj.crashUpstream(rng, minFaultDuration)
	}
}

// linkComponent returns the component name of the link to an upstream.
func linkComponent(upstream string) string { return "link to " + upstream }

// setColdStart sets how long each process of the upstream is cold.
func (u *fakeUpstream) setColdStart(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.coldStart = d
}

// recordColdArrival records a request if the upstream is cold.
func (u *fakeUpstream) recordColdArrival() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now := time.Now(); now.Sub(u.startedAt) < u.coldStart {
		u.coldArrivals = append(u.coldArrivals, coldArrival{now, u.startedAt})
	}
}

// sentWithin reports whether what arrived in a time span was also sent in about that time: a
// link that was held up delivers at once what was sent over a longer time.
func (f *fleet) sentWithin(upstream string, from, to time.Time) bool {
	for _, d := range f.disturbances {
		relevant := d.component == linkComponent(upstream) || d.component == machineComponent
		if relevant && d.from.Before(to) && d.to.After(from.Add(-deliveryTime)) {
			return false
		}
	}
	return true
}

// checkCold checks that cold upstreams get at most maxColdArrivals in any one second, from
// all hosts together, whatever disturbs these.
func (f *fleet) checkCold() []string {
	most, inAll, worst := 0, 0, ""
	for _, u := range f.allUpstreams {
		first := 0
		inAll += len(u.coldArrivals)
		for i, a := range u.coldArrivals {
			for a.at.Sub(u.coldArrivals[first].at) >= time.Second || u.coldArrivals[first].processStartedAt != a.processStartedAt {
				first++
			}
			n := i - first + 1
			if n > most && f.sentWithin(u.id, u.coldArrivals[first].at, a.at) {
				most, worst = n, fmt.Sprintf("%6.2f %s", a.at.Sub(f.startedAt).Seconds(), u.id)
			}
		}
	}
	if inAll > 0 {
		f.coldSummary = fmt.Sprintf(", at most %d of %d requests in a second at a cold upstream, %d in all", most, maxColdArrivals, inAll)
	}
	if most > maxColdArrivals {
		return []string{fmt.Sprintf("%s got %d requests in a second while cold, allowed %d", worst, most, maxColdArrivals)}
	}
	return nil
}
