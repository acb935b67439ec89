package gossip

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"mulberrydyke/ratelimit"
	"mulberrydyke/route"
)

const (
	// limitSettles is the time after an upstream first named its rate from which all hosts
	// together have to keep to it, and limitSpan the span in which they may send 1.5 times
	// what the rate allows, and 5 requests.
	limitSettles = 3 * time.Second
	limitSpan    = 4 * time.Second
	// answerTime is the time from a request to the head of its response.
	answerTime = 60 * time.Millisecond
)

// allowedIn returns the largest number of requests that may arrive in limitSpan.
func allowedIn(rate ratelimit.Rate) int { return int(1.5*float64(rate)*limitSpan.Seconds()) + 5 }

// limitedUpstream is an upstream of a simulated fleet with a rate limit.
type limitedUpstream struct {
	upstream *route.Upstream
	rate     ratelimit.Rate
	arrivals []time.Time
	answers  []pendingAnswer
	// namedAt is when it first named its rate.
	namedAt time.Time
}

// pendingAnswer is an answer on its way to a host.
type pendingAnswer struct {
	host   *simHost
	rate   ratelimit.Rate
	sentAt time.Time
	at     time.Time
}

// limitDay sends requests to random hosts of a fleet, which send as many as they may to an
// upstream with a rate limit. They send the others elsewhere.
type limitDay struct {
	*simFleet
	*limitedUpstream
	// demand is the number of requests per second for the upstream, and perUrgency counts
	// those of each urgency that it got.
	demand     float64
	wanted     int
	perUrgency [5]int
	// mayUse decides in place of the hosts, if it is set.
	mayUse func(*simHost) bool
	// answerDelay returns by how much an answer is late, if it is set.
	answerDelay func() time.Duration
}

func newLimitDay(t *testing.T, domains, hostsPerDomain int, loss float64, rate ratelimit.Rate) *limitDay {
	d := &limitDay{simFleet: newSimFleet(t, domains, hostsPerDomain, 10, loss)}
	d.limitedUpstream = &limitedUpstream{upstream: &route.Upstream{ID: "limited", StartedAt: start}, rate: rate}
	d.demand = max(4*float64(rate), 4)
	d.run(5*time.Second, nil)
	return d
}

// step sends the requests of one step and delivers answers.
func (d *limitDay) step() {
	d.answers = slices.DeleteFunc(d.answers, func(a pendingAnswer) bool {
		if d.now.Before(a.at) {
			return false
		}
		a.host.Limiter.Record(d.now, ratelimit.Statement{Key: d.upstream.ProcessKey(), Rate: a.rate, SentAt: a.sentAt, ReceivedAt: d.now})
		return true
	})
	for n := d.demand * simStep.Seconds(); n > 0; n-- {
		if d.random.Float64() < n {
			d.request(d.hosts[d.random.IntN(len(d.hosts))], d.random.IntN(len(d.perUrgency)))
		}
	}
}

// request lets a host serve one request.
func (d *limitDay) request(h *simHost, urgency int) {
	if h.down {
		return
	}
	d.wanted++
	if !d.allowed(h, urgency) {
		return
	}
	d.perUrgency[urgency]++
	d.arrivals = append(d.arrivals, d.now)
	if d.namedAt.IsZero() && d.rate != ratelimit.NoLimit {
		d.namedAt = d.now
	}
	a := pendingAnswer{host: h, rate: d.rate, sentAt: d.now, at: d.now.Add(answerTime)}
	if d.answerDelay != nil {
		a.at = a.at.Add(d.answerDelay())
	}
	d.answers = append(d.answers, a)
}

func (d *limitDay) allowed(h *simHost, urgency int) bool {
	if d.mayUse != nil {
		return d.mayUse(h)
	}
	at, ok := h.Limiter.AvailableAt(d.now, d.upstream, urgency)
	if !ok || at.After(d.now) {
		return false
	}
	_, granted := h.RequestPermit(context.Background(), d.upstream, urgency)
	return granted
}

// mostFrom returns the largest number of requests that arrived in any limitSpan from a time
// on.
func (d *limitDay) mostFrom(from time.Time) int {
	most, first := 0, 0
	for i, at := range d.arrivals {
		for first < i && (d.arrivals[first].Before(from) || at.Sub(d.arrivals[first]) > limitSpan) {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// usedSince returns the share of the rate that was used since a time.
func (d *limitDay) usedSince(from time.Time) float64 {
	n := 0
	for _, at := range d.arrivals {
		if !at.Before(from) {
			n++
		}
	}
	return float64(n) / (float64(d.rate) * d.now.Sub(from).Seconds())
}

// check checks what may arrive from limitSettles after the rate was first named.
func (d *limitDay) check(t *testing.T) {
	t.Helper()
	if most := d.mostFrom(d.namedAt.Add(limitSettles)); most > allowedIn(d.rate) {
		t.Errorf("%d requests in %v, want at most %d", most, limitSpan, allowedIn(d.rate))
	}
}

var allFleets = flag.Bool("all-fleets", false, "play rate limits in large fleets too, which takes minutes")

// limitFleet is the size of a fleet, and the share of a rate that has to be used there.
type limitFleet struct {
	domains, hostsPerDomain int
	minUsed                 float64
}

// limitFleets returns the fleets in which rate limits are played.
func limitFleets() []limitFleet {
	fleets := []limitFleet{{3, 2, 0.7}, {3, 3, 0.7}}
	if *allFleets {
		fleets = append(fleets, limitFleet{5, 10, 0.7}, limitFleet{3, 23, 0.7}, limitFleet{5, 60, 0.4})
	}
	return fleets
}

// limitRates are the rates of upstreams that are played.
var limitRates = []ratelimit.Rate{0.5, 1, 4, 20}

// TestFleetKeepsToTheRateOfAnUpstream guards against hosts that together send an upstream
// more requests than it takes, and against hosts that leave much of its rate unused.
func TestFleetKeepsToTheRateOfAnUpstream(t *testing.T) {
	for _, size := range limitFleets() {
		for _, rate := range limitRates {
			t.Run(fmt.Sprintf("%d hosts, rate %v", size.domains*size.hostsPerDomain, rate), func(t *testing.T) {
				t.Parallel()
				d := newLimitDay(t, size.domains, size.hostsPerDomain, 0.01, rate)
				d.run(5*time.Second, d.step)
				from, sent := d.now, d.sentBytes()
				d.run(30*time.Second, d.step)
				d.check(t)
				if used := d.usedSince(from); used < size.minUsed {
					t.Errorf("%.2f of the rate is used, want %v", used, size.minUsed)
				}
				t.Logf("most in %v %d of %d, used %.2f, by urgency %v, %d bytes/s of a host", limitSpan, d.mostFrom(d.namedAt.Add(limitSettles)),
					allowedIn(rate), d.usedSince(from), d.perUrgency, (d.sentBytes()-sent)/30/len(d.hosts))
			})
		}
	}
}

// sentBytes returns how much all hosts have sent each other.
func (f *simFleet) sentBytes() int {
	n := 0
	for _, h := range f.hosts {
		n += h.sentBytes
	}
	return n
}
