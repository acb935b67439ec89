package gossip

import (
	"fmt"
	"testing"
	"time"

	"mulberrydyke/ratelimit"
	"mulberrydyke/route"
)

// faultCase is a trouble of a fleet that keeps to a rate.
type faultCase struct {
	name string
	loss float64
	// trouble is called each second, with its number.
	trouble func(f *simFleet, second int)
	// seconds is how long the trouble is played.
	seconds int
	// minUsed is the share of the rate that has to be used meanwhile.
	minUsed float64
}

// faultCases returns troubles in which the hosts have to keep to a rate. What they use of it
// may fall by the parts whose holders are lost.
func faultCases() []faultCase {
	return []faultCase{
		{name: "5 in 100 datagrams lost", loss: 0.05, minUsed: 0.7},
		{name: "30 in 100 datagrams lost", loss: 0.3, minUsed: 0.4},
		{name: "a host restarts every second", loss: 0.01, trouble: func(f *simFleet, second int) {
			f.restart(second % len(f.hosts))
		}},
		{name: "all hosts restart at once", loss: 0.01, trouble: func(f *simFleet, second int) {
			for i := range f.hosts {
				if second%15 == 7 {
					f.restart(i)
				}
			}
		}},
		{name: "a third of the hosts is frozen for 3 s", loss: 0.01, trouble: func(f *simFleet, second int) {
			for i := range len(f.hosts) / 3 {
				f.hosts[i].down = second%8 >= 5
			}
		}},
		{name: "hosts stop for good, others join", loss: 0.01, trouble: func(f *simFleet, second int) {
			if second%5 == 4 {
				f.hosts[second%len(f.hosts)].down = true
				f.join()
			}
		}},
		{name: "a domain is cut off", loss: 0.01, minUsed: 0.7, trouble: func(f *simFleet, second int) {
			f.cutDomain(second >= 3 && second < 25)
		}},
		{name: "every other host is cut from the rest for 90 s", loss: 0.01, seconds: 110, trouble: func(f *simFleet, second int) {
			f.cutEveryOther(second >= 3 && second < 93)
		}},
		{name: "hosts stop as planned, others join", loss: 0.01, minUsed: 0.7, trouble: func(f *simFleet, second int) {
			switch second % 6 {
			case 2:
				f.hosts[second%len(f.hosts)].Leave()
			case 5:
				f.hosts[(second-3)%len(f.hosts)].down = true
				f.join()
			}
		}},
		{name: "every other host is cut from the rest", loss: 0.01, trouble: func(f *simFleet, second int) {
			f.cutEveryOther(second >= 3 && second < 25)
		}},
	}
}

// join adds a host to the first domain.
func (f *simFleet) join() {
	first := f.hosts[0]
	f.addHost(simAddr(0, len(f.hosts)), first.Domain, first.Seeds, &route.Upstreams{})
}

// cutDomain cuts the first domain from the others, or ends that.
func (f *simFleet) cutDomain(cut bool) {
	f.cut(cut, func(h *simHost) bool { return h.Domain == simDomain(0) })
}

// cutEveryOther cuts hosts of all domains from the other hosts, or ends that.
func (f *simFleet) cutEveryOther(cut bool) {
	f.cut(cut, func(h *simHost) bool { return h.IP.As4()[3]%2 == 1 })
}

// cut cuts the hosts of one side from those of the other, or ends that.
func (f *simFleet) cut(cut bool, side func(*simHost) bool) {
	for _, h := range f.hosts {
		h.cutFrom = nil
		if cut {
			h.cutFrom = func(o *simHost) bool { return side(h) != side(o) }
		}
	}
}

// TestFleetInTroubleKeepsToTheRateOfAnUpstream guards against hosts that together send an
// upstream more requests than it takes, while hosts restart, freeze, join or leave, while
// parts of the fleet don't hear each other, and while datagrams are lost.
func TestFleetInTroubleKeepsToTheRateOfAnUpstream(t *testing.T) {
	for _, c := range faultCases() {
		for _, size := range limitFleets() {
			for _, rate := range limitRates {
				t.Run(fmt.Sprintf("%s, %d hosts, rate %v", c.name, size.domains*size.hostsPerDomain, rate), func(t *testing.T) {
					t.Parallel()
					d := newLimitDay(t, size.domains, size.hostsPerDomain, c.loss, rate)
					d.run(5*time.Second, d.step)
					from := d.now
					for second := range max(30, c.seconds) {
						if c.trouble != nil {
							c.trouble(d.simFleet, second)
						}
						d.run(time.Second, d.step)
					}
					d.check(t)
					if used := d.usedSince(from); used < c.minUsed {
						t.Errorf("%.2f of the rate is used, want %v", used, c.minUsed)
					}
					t.Logf("most in %v %d of %d, used %.2f", limitSpan, d.mostFrom(d.namedAt.Add(limitSettles)), allowedIn(rate), d.usedSince(from))
				})
			}
		}
	}
}

// TestRateThatChangesHoldsAtOnce guards against fleets that go on at an older, higher rate,
// though some answers that name it are long under way, and against fleets that are slow to
// use a rate that has risen or ended.
func TestRateThatChangesHoldsAtOnce(t *testing.T) {
	for _, size := range limitFleets() {
		t.Run(fmt.Sprintf("%d hosts", size.domains*size.hostsPerDomain), func(t *testing.T) {
			t.Parallel()
			d := newLimitDay(t, size.domains, size.hostsPerDomain, 0.05, 20)
			d.answerDelay = func() time.Duration {
				if d.random.IntN(10) > 0 {
					return 0
				}
				return time.Duration(d.random.Int64N(int64(2 * time.Second)))
			}
			d.run(8*time.Second, d.step)
			d.rate, d.namedAt = 1, d.now
			d.run(10*time.Second, d.step)
			d.check(t)
			t.Logf("fallen: most %d of %d", d.mostFrom(d.namedAt.Add(limitSettles)), allowedIn(d.rate))
			d.rate, d.demand = 4, 80
			d.run(4*time.Second, d.step)
			from := d.now
			d.run(10*time.Second, d.step)
			if used := d.usedSince(from); used < size.minUsed {
				t.Errorf("%.2f of a rate that has risen is used, want %v", used, size.minUsed)
			}
			t.Logf("risen: used %.2f", d.usedSince(from))
			d.checkEnd(t)
		})
	}
}

// endTime is the time after the end of a limit in which the upstream has to be used again
// like any other.
const endTime = 3 * time.Second

// checkEnd ends the limit and checks that all hosts know so within endTime.
func (d *limitDay) checkEnd(t *testing.T) {
	t.Helper()
	d.rate = ratelimit.NoLimit
	took := time.Duration(0)
	for ended := d.now; d.limitedHosts() > 0 && took <= 2*endTime; took = d.now.Sub(ended) {
		d.run(simStep, d.step)
	}
	if took > endTime {
		t.Errorf("%d hosts keep to a limit that ended %v ago", d.limitedHosts(), took)
	}
	t.Logf("ended: known everywhere after %v", took)
}

// limitedHosts returns the number of hosts that keep to the limit.
func (d *limitDay) limitedHosts() int {
	n := 0
	for _, h := range d.hosts {
		if !h.down && h.Limiter.Rate(d.now, d.upstream.ProcessKey()) != ratelimit.NoLimit {
			n++
		}
	}
	return n
}

// TestEndOfLimitIsKnownEverywhere guards against hosts that keep to a limit for long after
// the upstream has ended it.
func TestEndOfLimitIsKnownEverywhere(t *testing.T) {
	for _, size := range limitFleets() {
		for _, rate := range limitRates {
			t.Run(fmt.Sprintf("%d hosts, rate %v", size.domains*size.hostsPerDomain, rate), func(t *testing.T) {
				t.Parallel()
				d := newLimitDay(t, size.domains, size.hostsPerDomain, 0.05, rate)
				d.run(8*time.Second, d.step)
				d.checkEnd(t)
			})
		}
	}
}
