package gossip

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"mulberrydyke/ratelimit"
	"mulberrydyke/route"
)

const (
	// coldSpan is the span in which a cold upstream may get coldOvershoot times what its rate
	// allows, plus coldSlack requests.
	coldSpan      = time.Second
	coldOvershoot = 1.5
	coldSlack     = 5
	// maxSendDelay bounds the time from a permit to the moment at which the request is sent.
	maxSendDelay = 40 * time.Millisecond
)

// coldSimulation sends requests to random hosts of a fleet, which send as many as they may to an
// upstream that is cold.
type coldSimulation struct {
	*simFleet
	upstream *route.Upstream
	service  *route.Service
	until    time.Time
	sends    []pendingSend
	arrivals []time.Time
	// paused is set while all hosts are paused between permit and send until the next second.
	// idle is set while no callers come.
	paused, idle bool
}

// pendingSend is a request that has a permit and is about to be sent.
type pendingSend struct {
	host   *simHost
	permit ratelimit.Permit
	at     time.Time
}

func newColdSimulation(t *testing.T, size limitFleet, loss, rate float64) *coldSimulation {
	return &coldSimulation{
		simFleet: newSimFleet(t, size.domains, size.hostsPerDomain, 10, loss),
		upstream: &route.Upstream{ID: "cold", Service: "pool", StartedAt: start}, until: start.Add(time.Hour),
		service: &route.Service{ID: "pool", ColdRate: rate},
	}
}

// step sends what is due, then lets callers ask for eight times the rate of the upstream.
func (d *coldSimulation) step() {
	d.sends = slices.DeleteFunc(d.sends, func(s pendingSend) bool {
		if s.host.down || d.now.Before(s.at) {
			return false
		}
		if s.host.Limiter.MaySend(d.now, d.upstream.ProcessKey(), s.permit) {
			d.arrivals = append(d.arrivals, d.now)
		}
		return true
	})
	for n := 8 * d.service.ColdRate * simStep.Seconds(); n > 0; n-- {
		if h := d.hosts[d.random.IntN(len(d.hosts))]; d.random.Float64() < n && !h.down && !d.idle {
			d.request(h, d.random.IntN(5))
		}
	}
}

// request lets a host serve one request. Some hosts know that the upstream is cold from the
// list, some since they lost a connection, and those that serve nothing do not know.
func (d *coldSimulation) request(h *simHost, urgency int) {
	c, _ := ratelimit.NewCold(d.upstream, d.service, d.until, coldOvershoot, coldSlack)
	if h.IP.As4()[3]%2 == 0 {
		h.Limiter.RecordLost(d.now, c)
	} else {
		h.Limiter.SetCold(d.now, []ratelimit.Cold{c})
	}
	at, ok := h.Limiter.AvailableAt(d.now, d.upstream, urgency)
	if !ok || at.After(d.now) {
		return
	}
	if permit, ok := h.RequestPermit(context.Background(), d.upstream, urgency); ok {
		sendAt := d.now.Add(time.Duration(d.random.Int64N(int64(maxSendDelay))))
		if d.paused {
			sendAt = d.now.Truncate(time.Second).Add(time.Second)
		}
		d.sends = append(d.sends, pendingSend{host: h, permit: permit, at: sendAt})
	}
}

// check checks that no second before the end of the limit has more requests than allowed, and
// that a share of the rate was used since a time.
func (d *coldSimulation) check(t *testing.T, from time.Time, minUsed float64) {
	t.Helper()
	most, first, allowed := 0, 0, int(coldOvershoot*d.service.ColdRate+coldSlack)
	for i, at := range d.arrivals {
		for at.Sub(d.arrivals[first]) > coldSpan {
			first++
		}
		if !at.After(d.until) {
			most = max(most, i-first+1)
		}
	}
	used := float64(d.countBetween(from, d.now)) / (d.service.ColdRate * d.now.Sub(from).Seconds())
	if most > allowed || used < minUsed {
		t.Errorf("%d requests in %v, want at most %d; %.2f of the rate is used, want %v", most, coldSpan, allowed, used, minUsed)
	}
	t.Logf("most %d of %d, used %.2f", most, allowed, used)
}

// countBetween returns the number of requests that were sent from a time until another one.
func (d *coldSimulation) countBetween(from, to time.Time) int {
	n := 0
	for _, at := range d.arrivals {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// holder returns the host that gives out one part of the upstream's rate.
func (d *coldSimulation) holder(part int) int {
	a := d.hosts[0].Limiter.Holders.Of(d.upstream.ProcessKey())[part%3]
	return slices.IndexFunc(d.hosts, func(h *simHost) bool { return h.IP == a })
}

// coldCase is a trouble of a fleet that sends to a cold upstream.
type coldCase struct {
	faultCase
	// coldTrouble is called each second, with its number.
	coldTrouble func(d *coldSimulation, second int)
}

// coldCases returns the troubles of faultCases, and others of cold upstreams and their holders.
func coldCases() []coldCase {
	out := []coldCase{
		{faultCase: faultCase{name: "no datagram lost", minUsed: 0.7}},
		{faultCase{name: "one holder, then another dies", minUsed: 0.3}, func(d *coldSimulation, second int) {
			if second == 3 || second == 16 {
				d.hosts[d.holder(second)].down = true
			}
		}},
		{faultCase{name: "a holder restarts every second", minUsed: 0.4}, func(d *coldSimulation, second int) { d.restart(d.holder(second)) }},
		{faultCase{name: "two domains are cut from each other", minUsed: 0.5}, func(d *coldSimulation, _ int) {
			for _, h := range d.hosts {
				h.cutFrom = func(o *simHost) bool { return h.Domain != o.Domain && max(h.Domain, o.Domain) == simDomain(1) }
			}
		}},
		{faultCase{name: "hosts are paused, callers come in waves"}, func(d *coldSimulation, second int) {
			for i, h := range d.hosts {
				h.down = i%3 == 0 && second%8 >= 5
			}
			d.idle = second%2 == 0
		}},
		{faultCase{name: "hosts are paused between permit and send"}, func(d *coldSimulation, second int) {
			d.paused, d.idle = second%3 > 0, second%9 == 0
		}},
	}
	for _, c := range faultCases() {
		out = append(out, coldCase{faultCase: c, coldTrouble: func(d *coldSimulation, second int) {
			if c.trouble != nil {
				c.trouble(d.simFleet, second)
			}
		}})
	}
	return out
}

// TestFleetKeepsToTheColdRate guards against hosts that together send a cold upstream more
// requests in a second than it survives, while hosts restart, pause or die, while domains are cut
// from each other and datagrams are lost, and against hosts that leave most of its rate unused.
func TestFleetKeepsToTheColdRate(t *testing.T) {
	for _, c := range coldCases() {
		for _, size := range limitFleets() {
			for _, rate := range []float64{13, 16} {
				t.Run(fmt.Sprintf("%s, %d hosts, rate %v", c.name, size.domains*size.hostsPerDomain, rate), func(t *testing.T) {
					t.Parallel()
					d := newColdSimulation(t, size, c.loss, rate)
					d.run(5*time.Second, d.step)
					from := d.now
					for second := range max(30, c.seconds) {
						if c.coldTrouble != nil {
							c.coldTrouble(d, second)
						}
						d.run(time.Second, d.step)
					}
					d.check(t, from, c.minUsed)
				})
			}
		}
	}
}

// TestNewFleetServesColdUpstreamsSoon guards against fleets that refuse everything for seconds
// after all their hosts have started, at once or one after the other, and against hosts that give
// out permits twice while they don't know each other.
func TestNewFleetServesColdUpstreamsSoon(t *testing.T) {
	// Small fleets know each other before a host that gives out permits too early has one.
	fleets := append(limitFleets(), limitFleet{3, 23, 0.7})
	for _, size := range fleets {
		for _, spread := range []int{1, 150} {
			for _, loss := range []float64{0, 0.05, 0.3} {
				t.Run(fmt.Sprintf("%d hosts in %v, loss %v", size.domains*size.hostsPerDomain, time.Duration(spread)*simStep, loss), func(t *testing.T) {
					t.Parallel()
					d := newColdSimulation(t, size, loss, 16)
					starts := map[*simHost]time.Time{}
					for _, h := range d.hosts {
						h.down, starts[h] = true, d.now.Add(time.Duration(d.random.IntN(spread))*simStep)
					}
					d.run(4*time.Second, func() {
						for i, h := range d.hosts {
							if d.now.Equal(starts[h]) {
								d.restart(i)
							}
						}
						d.step()
					})
					d.check(t, start.Add(time.Duration(spread)*simStep+time.Second), size.minUsed/2)
				})
			}
		}
	}
}

// TestShareOfAnUpstreamRisesAfterItWasCold guards against fleets that send all their load at once
// to an upstream that has just warmed up, and against limits that don't end.
func TestShareOfAnUpstreamRisesAfterItWasCold(t *testing.T) {
	for _, size := range limitFleets() {
		d := newColdSimulation(t, size, 0.05, 16)
		d.until = start.Add(6 * time.Second)
		d.run(10*time.Second, d.step)
		d.check(t, d.until, 1)
		during, after := d.countBetween(d.until, d.until.Add(500*time.Millisecond)), d.countBetween(d.until.Add(3*time.Second), d.now)
		if during > 32 || after < 100 {
			t.Errorf("%d requests within 0.5 s after the end, %d in the fourth second, of 128 a second", during, after)
		}
	}
}
