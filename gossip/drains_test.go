package gossip

import (
	"fmt"
	"testing"
	"time"

	"mulberrydyke/drain"
	"mulberrydyke/plan"
	"mulberrydyke/route"
)

// maxDrainDelay is the time after an upstream has told one host that it is draining until all
// hosts send it nothing more.
const maxDrainDelay = 2 * time.Second

// drainFleet is a size of a fleet and the share of datagrams that it loses.
type drainFleet struct {
	domains, hostsPerDomain int
	loss                    float64
}

// drainFleets returns the fleets that are played. The largest ones take minutes.
func drainFleets() []drainFleet {
	var out []drainFleet
	for _, size := range limitFleets() {
		for _, loss := range []float64{0, 0.05, 0.3} {
			out = append(out, drainFleet{size.domains, size.hostsPerDomain, loss})
		}
	}
	return append(out, drainFleet{5, 20, 0.05})
}

// drainingKey returns the key of an upstream of a simulated fleet.
func drainingKey(i int) route.ProcessKey {
	return (&route.Upstream{ID: simUpstream(i)}).ProcessKey()
}

// untilAllKnow lets time pass until all hosts that are up know that an upstream is draining, or
// until a timeout. It returns the time that passed.
func (f *simFleet) untilAllKnow(k route.ProcessKey, timeout time.Duration) time.Duration {
	began := f.now
	for f.now.Sub(began) < timeout {
		f.run(simStep, nil)
		missing := 0
		for _, h := range f.hosts {
			if !h.down && !h.Drains.Draining(k) {
				missing++
			}
		}
		if missing == 0 {
			break
		}
	}
	return f.now.Sub(began)
}

// TestAllHostsAreToldOfDrainingUpstreams guards against hosts that send requests to an upstream
// which has told only others that it is draining, also when datagrams are lost and hosts restart
// with an empty memory.
func TestAllHostsAreToldOfDrainingUpstreams(t *testing.T) {
	for _, size := range drainFleets() {
		t.Run(fmt.Sprintf("%d hosts, %v lost", size.domains*size.hostsPerDomain, size.loss), func(t *testing.T) {
			t.Parallel()
			f := newSimFleet(t, size.domains, size.hostsPerDomain, 20, size.loss)
			f.run(3*time.Second, nil)
			atStart := f.sentBytes()
			f.run(2*time.Second, nil)
			before := f.sentBytes()
			quiet := (before - atStart) / 2 / len(f.hosts)
			f.hosts[f.random.IntN(len(f.hosts))].Drains.Record(f.now, drainingKey(0))
			told := f.untilAllKnow(drainingKey(0), 10*time.Second)
			f.run(2*time.Second, nil)
			for range max(1, len(f.hosts)/6) {
				h := f.hosts[f.random.IntN(len(f.hosts))]
				h.Drains = drain.NewTable(func() {})
				h.news = newsOf(h.Options)
			}
			restarted := f.untilAllKnow(drainingKey(0), 10*time.Second)
			t.Logf("all hosts were told after %v, restarted ones after %v, %d bytes/s of a host meanwhile, %d before", told, restarted,
				int(float64(f.sentBytes()-before)/(told+restarted+2*time.Second).Seconds())/len(f.hosts), quiet)
			if told > maxDrainDelay || restarted > maxDrainDelay {
				t.Errorf("all hosts were told after %v, restarted ones after %v, want at most %v", told, restarted, maxDrainDelay)
			}
		})
	}
}

// TestDrainsOfAReleaseCostLittle guards against control traffic that grows too much while all
// upstreams of a large fleet are replaced one after the other.
func TestDrainsOfAReleaseCostLittle(t *testing.T) {
	t.Parallel()
	const upstreams, gap = 268, 100 * time.Millisecond
	hostsPerDomain, span := 8, 5*time.Second
	if *allFleets {
		hostsPerDomain, span = 20, 10*time.Second
	}
	traffic := func(draining bool) int {
		f := newSimFleet(t, 5, hostsPerDomain, upstreams, 0)
		f.run(4*time.Second, nil)
		f.acquire(4)
		f.run(2*time.Second, nil)
		list := &route.Upstreams{ByID: map[plan.UpstreamID]*route.Upstream{}}
		for i := range upstreams {
			list.ByID[simUpstream(i)] = &route.Upstream{ID: simUpstream(i)}
		}
		for _, h := range f.hosts {
			h.Drains.SetListed(f.now, list)
		}
		before := f.sentBytes()
		for i := range int(span / gap) {
			if draining {
				f.hosts[f.random.IntN(len(f.hosts))].Drains.Record(f.now, drainingKey(i))
			}
			f.run(gap, nil)
		}
		return (f.sentBytes() - before) / len(f.hosts) / int(span.Seconds())
	}
	quiet, release := traffic(false), traffic(true)
	t.Logf("%d bytes/s of a host without draining upstreams, %d with ten more a second", quiet, release)
	if release > quiet+maxControlTraffic/2 {
		t.Errorf("%d bytes/s of a host, %d without draining upstreams", release, quiet)
	}
}
