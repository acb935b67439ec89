package gossip

import (
	"fmt"
	"testing"
	"time"

	"mulberrydyke/call"
	"mulberrydyke/plan"
	"mulberrydyke/quarantine"
	"mulberrydyke/route"
)

// knowsWithin is the time in which all hosts in touch must refuse a request after its
// third crash.
const knowsWithin = 3 * time.Second

// recordCrashes records crashes under requests with the given traits, each seen by another host.
func (f *simFleet) recordCrashes(traits []quarantine.Trait, firstUpstream int, seenBy ...*simHost) {
	for i, h := range seenBy {
		u := &route.Upstream{ID: simUpstream(firstUpstream + i), StartedAt: start}
		h.Quarantine.RecordCrash(f.now, traits, u)
	}
}

// contentTraits returns the traits of a request without a prompt.
func contentTraits(body string) []quarantine.Trait {
	return quarantine.TraitsOf(&call.Request{Body: []byte(body)})
}

// crashManyBystanders lets upstreams crash while requests of all hosts run there. Half of
// the requests are retried at an upstream that crashes too.
func (f *simFleet) crashManyBystanders(requests int) {
	for i := range requests {
		h := f.hosts[i%len(f.hosts)]
		bystander := contentTraits(fmt.Sprintf("bystander %d", i))
		f.recordCrashes(bystander, i, h)
		if i%2 == 0 {
			f.recordCrashes(bystander, i+1, h)
		}
	}
}

// hostsServing returns the hosts that are up and do not refuse requests with the given traits.
func (f *simFleet) hostsServing(traits []quarantine.Trait) []plan.HostID {
	var out []plan.HostID
	for _, h := range f.hosts {
		if !h.down && h.Quarantine.QuarantineLeft(f.now, traits) == 0 {
			out = append(out, h.Host)
		}
	}
	return out
}

// restart replaces a host by one that knows nothing.
func (f *simFleet) restart(i int) {
	old := f.hosts[i]
	f.addHost(old.IP, old.Domain, old.Seeds, &route.Upstreams{})
	f.hosts[i] = f.hosts[len(f.hosts)-1]
	f.hosts = f.hosts[:len(f.hosts)-1]
}

// TestNewCrashesAreToldBesideManyOlderOnes guards against hosts that go on sending a
// request that has crashed three upstreams, because the news of it does not get out
// beside the suspects of an earlier crash of many upstreams.
func TestNewCrashesAreToldBesideManyOlderOnes(t *testing.T) {
	for _, size := range []struct{ domains, hostsPerDomain, requests int }{{3, 2, 66}, {3, 3, 72}, {5, 60, 90}} {
		t.Run(fmt.Sprintf("%d hosts", size.domains*size.hostsPerDomain), func(t *testing.T) {
			t.Parallel()
			f := newSimFleet(t, size.domains, size.hostsPerDomain, 60, 0.05)
			f.run(3*time.Second, nil)
			f.crashManyBystanders(size.requests)
			f.run(2*time.Second, nil)

			deadly := contentTraits("deadly")
			last := len(f.hosts) - 1
			f.recordCrashes(deadly, 50, f.hosts[0], f.hosts[last], f.hosts[last/2])
			f.restart(1)
			f.run(knowsWithin, nil)
			if serving := f.hostsServing(deadly); len(serving) > 0 {
				t.Errorf("%d of %d hosts still send a request that crashed three upstreams: %v", len(serving), len(f.hosts), serving[:min(5, len(serving))])
			}
		})
	}
}
