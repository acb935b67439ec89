package gossip

import (
	"fmt"
	"testing"
	"time"
)

// simStableWindow is how long after the end of a cut all bounds hold again.
const simStableWindow = 3 * time.Second

// cutFromStore cuts the hosts for which match is true off from the store for a time.
func (d *removalDay) cutFromStore(match func(*simHost) bool, length time.Duration) {
	d.failsFor = match
	d.run(length, d.step)
	d.failsFor = nil
}

// cutOff cuts the hosts for which match is true off from the store and from all others for a time.
func (d *removalDay) cutOff(match func(*simHost) bool, length time.Duration) {
	for _, h := range d.hosts {
		h.cutFrom = func(o *simHost) bool { return match(h) != match(o) }
	}
	d.cutFromStore(match, length)
	for _, h := range d.hosts {
		h.cutFrom = nil
	}
}

// TestRemovalIsInForceWhereAReaderWasCutOff guards against hosts that go on using an upstream that
// has left, because one reader of their domain, which was cut off from the store just before, kept
// it for a grace period and handed that on.
func TestRemovalIsInForceWhereAReaderWasCutOff(t *testing.T) {
	for _, size := range append(drainFleets(), drainFleet{3, 4, 0}, drainFleet{1, 3, 0}) {
		t.Run(fmt.Sprintf("%d hosts, %v lost", size.domains*size.hostsPerDomain, size.loss), func(t *testing.T) {
			t.Parallel()
			d := newRemovalDay(t, size)
			first := func(h *simHost) bool { return h == d.hosts[0] }
			var took []time.Duration
			for i, cut := range []time.Duration{100, 120, 300, 700, 1500, 3000} {
				d.cutFromStore(first, cut*time.Millisecond)
				d.run(20*time.Millisecond, d.step)
				d.put(simUpstream(i), true)
				took = append(took, d.untilNoneHas(simUpstream(i), 10*time.Second))
				d.run(time.Second, d.step)
			}
			t.Logf("no host lists the upstream after %v", took)
			for _, x := range took {
				if x > maxDrainDelay {
					t.Errorf("a host lists the upstream for %v after its removal, want at most %v", x, maxDrainDelay)
				}
			}
		})
	}
}

// TestRemovalIsInForceAfterADomainWasCutOff guards against hosts of a domain that was cut off, and is
// back, that keep an upstream which left before, at or after the end of the cut.
func TestRemovalIsInForceAfterADomainWasCutOff(t *testing.T) {
	for _, size := range append(drainFleets(), drainFleet{3, 4, 0}) {
		t.Run(fmt.Sprintf("%d hosts, %v lost", size.domains*size.hostsPerDomain, size.loss), func(t *testing.T) {
			t.Parallel()
			d := newRemovalDay(t, size)
			i := 0
			for _, cut := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 6 * time.Second} {
				for _, after := range []time.Duration{-100, 0, 200, 500, 1000, 1400, 2000} {
					d.removeAfterCut(i, cut, after*time.Millisecond)
					i++
				}
			}
		})
	}
}

// removeAfterCut cuts off one domain after the other and removes an upstream a time after the end of
// the cut, which may be negative.
func (d *removalDay) removeAfterCut(i int, cut, after time.Duration) {
	id, domain := simUpstream(i), d.domains[i%len(d.domains)]
	d.noticeDelay = 1900 * time.Millisecond
	inDomain := func(h *simHost) bool { return h.Domain == domain }
	d.cutOff(inDomain, cut+min(0, after))
	if after < 0 {
		d.put(id, true)
		d.cutOff(inDomain, -after)
		after = 0
	}
	d.run(after, d.step)
	if d.entries[id].ID != "" {
		d.put(id, true)
	}
	bound := max(simStableWindow-after, maxDrainDelay)
	if took := d.untilNoneHas(id, 10*time.Second); took > bound {
		d.t.Errorf("removed %v after a cut of %v: a host lists the upstream for %v, want at most %v", after, cut, took, bound)
	}
	d.run(time.Second, d.step)
}

// TestUpstreamsThatExpiredInAnOutageStayInUse guards against the loss of upstreams whose entries have
// expired because the store was out for all hosts, and which register again within two seconds.
// Hosts that notice its return at different times and tell each other of it must keep them.
func TestUpstreamsThatExpiredInAnOutageStayInUse(t *testing.T) {
	for _, size := range append(drainFleets(), drainFleet{1, 3, 0}) {
		t.Run(fmt.Sprintf("%d hosts, %v lost", size.domains*size.hostsPerDomain, size.loss), func(t *testing.T) {
			t.Parallel()
			d := newRemovalDay(t, size)
			for i, outage := range []time.Duration{time.Second, 4 * time.Second, 7 * time.Second} {
				d.outage(i, outage)
			}
		})
	}
}

// outage lets the store be out for all hosts and an entry expire. While the store returns, one host
// in two is cut off from it for a while longer.
func (d *removalDay) outage(i int, length time.Duration) {
	const back = 1900 * time.Millisecond // a little less than the upstream may take
	lapsing, gone := simUpstream(2*i), simUpstream(2*i+1)
	d.cutFromStore(func(*simHost) bool { return true }, length)
	d.put(lapsing, true)
	d.put(gone, true)
	returned := d.now
	late := map[*simHost]bool{}
	for k, h := range d.hosts {
		late[h] = k%2 == 1
	}
	d.cutFromStore(func(h *simHost) bool { return late[h] }, 500*time.Millisecond)
	for d.now.Sub(returned) < back {
		d.run(simStep, d.step)
		if n := d.lists(lapsing); n < len(d.hosts) {
			d.t.Fatalf("%v after an outage of %v, %d of %d hosts list the upstream", d.now.Sub(returned), length, n, len(d.hosts))
		}
	}
	d.put(lapsing, false)
	took := back + d.untilNoneHas(gone, 10*time.Second)
	if bound := simStableWindow + maxDrainDelay; took > bound {
		d.t.Errorf("after an outage of %v a host lists an upstream that did not return for %v, want at most %v", length, took, bound)
	}
	d.run(2*time.Second, d.step)
	if n := d.lists(lapsing); n < len(d.hosts) {
		d.t.Errorf("%d of %d hosts list the upstream that has returned", n, len(d.hosts))
	}
}
