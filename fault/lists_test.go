package fault

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"mulberrydyke/load"
	"mulberrydyke/plan"
	"mulberrydyke/standin"
)

// listPropagationTimeout is the time within which an accepted list must be in force on
// all hosts.
const listPropagationTimeout = 4 * time.Second

// threeDomainOptions returns three domains with three hosts and one engine each.
func threeDomainOptions() fleetOptions {
	o := defaultOptions()
	o.domainCount, o.hostsPerDomain, o.enginesPerDomain = 3, 3, 1
	return o
}

// watchVersions polls the list versions of every host until stop is called. It fails the
// test if a version decreases, including across restarts.
func (f *fleet) watchVersions() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for _, h := range f.hosts {
		wg.Go(func() {
			var last plan.Versions
			for {
				if s, ok := f.status(h); ok && s.Ready {
					for _, kind := range plan.ListKinds() {
						if s.Versions.Of(kind) < last.Of(kind) {
							f.t.Errorf("%s went back from %s %d to %d", h.id, kind, last.Of(kind), s.Versions.Of(kind))
						}
					}
					last = s.Versions
				}
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
				}
			}
		})
	}
	return func() {
		close(done)
		wg.Wait()
	}
}

// publishPlans publishes a version of the plans on the platforms of the given domains.
func (f *fleet) publishPlans(version plan.Version, domains ...int) {
	list := *f.plans
	list.Version = version
	for _, d := range domains {
		f.platforms[d].PublishList(plan.KindPlans, list)
	}
}

// plansInForce returns a condition that holds if a version of the plans is in force on
// all given hosts.
func (f *fleet) plansInForce(version plan.Version, hosts []*host) func() bool {
	return func() bool {
		for _, h := range hosts {
			if s, ok := f.status(h); !ok || s.Versions.Plans != version {
				return false
			}
		}
		return true
	}
}

// TestListsTakeEffectOnAllHosts checks that nine host processes agree on the newest
// valid list. It publishes one new version, two versions in quick succession in a
// different order per domain, invalid lists, and an old version after a newer one.
func TestListsTakeEffectOnAllHosts(t *testing.T) {
	f := newFleet(t, threeDomainOptions())
	defer f.watchVersions()()
	f.publishPlans(2, 0, 1, 2)
	f.eventually(listPropagationTimeout, "version 2 in force on all hosts", f.plansInForce(2, f.hosts))

	f.publishPlans(3, 0)
	f.publishPlans(4, 1)
	f.publishPlans(4, 0)
	f.publishPlans(3, 1, 2)
	f.eventually(listPropagationTimeout, "version 4 in force on all hosts", f.plansInForce(4, f.hosts))

	for _, p := range f.platforms {
		p.Publish(plan.KindPlans, []byte(`{"version": 5, "plans": [{"id": "x", "tier": 99}]}`))
	}
	f.eventually(listPropagationTimeout, "the invalid list is reported", func() bool {
		s, ok := f.status(f.hosts[0])
		return ok && (s.Rejected[plan.KindPlans] != "" || !s.PlatformReader) && s.Versions.Plans == 4
	})
	f.publishPlans(1, 0, 1, 2)
	time.Sleep(time.Second)
	f.publishPlans(6, 2)
	f.eventually(listPropagationTimeout, "version 6 in force on all hosts", f.plansInForce(6, f.hosts))
	checkComplete(t, f.send(f.hosts[0], draftCall(1, 10)), draftCall(1, 10))
}

// TestPlatformOutage makes the platform unavailable. Hosts must keep serving under the
// lists in force, and a host that starts meanwhile must get them from its peers. A
// platform that comes back with older lists must not revert them.
func TestPlatformOutage(t *testing.T) {
	f := newFleet(t, defaultOptions())
	defer f.watchVersions()()
	f.publishPlans(2, 0)
	f.eventually(listPropagationTimeout, "version 2 in force", f.plansInForce(2, f.hosts))
	f.platforms[0].SetFaults(standin.PlatformFaults{Down: true})
	checkComplete(t, f.send(f.hosts[0], draftCall(1, 10)), draftCall(1, 10))
	f.kill(f.hosts[1])
	f.start(f.hosts[1])
	f.awaitReady()
	if !f.plansInForce(2, f.hosts)() {
		t.Error("the restarted host has other lists")
	}
	checkComplete(t, f.send(f.hosts[1], draftCall(2, 10)), draftCall(2, 10))
	f.publishPlans(1, 0)
	f.platforms[0].SetFaults(standin.PlatformFaults{})
	f.kill(f.hosts[2])
	f.start(f.hosts[2])
	f.awaitReady()
	f.eventually(listPropagationTimeout, "the host that started from a stale platform catches up", f.plansInForce(2, f.hosts))
}

// setDomainLinks sets the mode of all links between a domain and the other domains, and
// of its link to the platform.
func (f *fleet) setDomainLinks(domain int, mode Mode) {
	for key, proxy := range f.proxies {
		targetDomain := f.domainOf(key.target)
		if key.target == "platform" && key.fromDomain == domain || targetDomain >= 0 && (key.fromDomain == domain) != (targetDomain == domain) {
			proxy.SetMode(mode)
		}
	}
}

// domainOf returns the domain of a host or an upstream, or -1.
func (f *fleet) domainOf(id string) int {
	for _, h := range f.hosts {
		if string(h.id) == id {
			return h.domain
		}
	}
	for _, u := range f.upstreams {
		if string(u.ID) == id {
			for d := range f.domainCount {
				if u.Domain == load.DomainID(d) {
					return d
				}
			}
		}
	}
	return -1
}

// TestDomainPartition partitions one failure domain from the others and the platform, by
// disconnected and by stalled links. Both sides must keep serving their callers, and
// must not run requests with tickets of the other side. After the partition, the domain
// must catch up with the lists.
func TestDomainPartition(t *testing.T) {
	for name, mode := range map[string]Mode{"disconnected": Disconnect, "stalled": Stall} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, threeDomainOptions())
			defer f.watchVersions()()
			inside, outside := f.hosts[3:6], append(append([]*host{}, f.hosts[:3]...), f.hosts[6:]...)
			ticketed := commissionCall(1)
			ticketed.ticket = f.takeTicket(inside[0], ticketed)
			f.setDomainLinks(1, mode)
			f.publishPlans(2, 0, 1, 2)
			f.eventually(listPropagationTimeout, "the new version in force in the other domains", f.plansInForce(2, outside))
			var wg sync.WaitGroup
			for i := range 12 {
				insideCall := draftCall(i, 20)
				wg.Go(func() { checkComplete(t, f.send(inside[i%3], insideCall), insideCall) })
				outsideCall := draftCall(100+i, 20)
				wg.Go(func() { checkComplete(t, f.send(outside[i%6], outsideCall), outsideCall) })
			}
			wg.Wait()
			if r := f.send(outside[0], ticketed); r.Outcome != "unknown" || f.runCount(ticketed.prompt) != 0 {
				t.Errorf("ticket of the other side: %+v, %d runs", r, f.runCount(ticketed.prompt))
			}
			if got := messageContent(t, f.send(inside[1], ticketed)); got != expectedText(ticketed.prompt, ticketed.outputTokens) || f.runCount(ticketed.prompt) != 1 {
				t.Errorf("ticket on its own side: %q, %d runs", got, f.runCount(ticketed.prompt))
			}
			f.setDomainLinks(1, Pass)
			f.eventually(listPropagationTimeout, "the domain catches up", f.plansInForce(2, f.hosts))
		})
	}
}

// TestPeerLinkStalls stalls the link to one host at a time, while that host's own calls
// to the others still work. Requests to all hosts must get complete responses.
func TestPeerLinkStalls(t *testing.T) {
	f := newFleet(t, defaultOptions())
	for round, h := range f.hosts {
		f.proxies[proxyKey{0, string(h.id)}].SetMode(Stall)
		var wg sync.WaitGroup
		for i := range 9 {
			c := draftCall(round*100+i, 20)
			wg.Go(func() { checkComplete(t, f.send(f.hosts[i%3], c), c) })
		}
		wg.Wait()
		f.proxies[proxyKey{0, string(h.id)}].SetMode(Pass)
		f.awaitReady()
	}
}

// TestUpstreamLeaves marks an upstream as leaving. It must get no new requests after
// three seconds, and its running requests must complete.
func TestUpstreamLeaves(t *testing.T) {
	const leaveTimeout = 3 * time.Second
	o := threeDomainOptions()
	o.engineOptions.StepTime = 50 * time.Millisecond
	f := newFleet(t, o)
	longCall := draftCall(1000, 100)
	done := make(chan callResult, 1)
	go func() { done <- f.send(f.hosts[0], longCall) }()
	f.awaitRun(longCall.prompt)
	f.upstreams[0].State = plan.Leaving
	f.publishUpstreams()
	publishedAt := time.Now()
	var wg sync.WaitGroup
	for i := 0; time.Since(publishedAt) < leaveTimeout+2*time.Second; i++ {
		c := draftCall(i, 5)
		wg.Go(func() { checkComplete(t, f.send(f.hosts[i%len(f.hosts)], c), c) })
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	for _, e := range f.engines[0].Ledger().Entries() {
		if delay := e.StartedAt.Sub(publishedAt); delay > leaveTimeout {
			t.Errorf("new run %s after the upstream was listed as leaving", delay)
		}
	}
	checkComplete(t, <-done, longCall)
}

// TestPlanWithdrawn removes the models from a plan's entitlement while requests run and
// wait in the queue. Running requests must complete. Waiting requests must be refused
// with the outcome not-run, and must not have run.
func TestPlanWithdrawn(t *testing.T) {
	o := defaultOptions()
	o.enginesPerDomain, o.engineOptions.MaxBatchSize, o.engineOptions.StepTime = 1, 3, 50*time.Millisecond
	f := newFleet(t, o)
	results := make([]callResult, 6)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() { results[i] = f.send(f.hosts[i%3], draftCall(i, 30)) })
	}
	f.eventually(5*time.Second, "two requests run", func() bool { return f.runningCount() >= 2 })
	list := *f.entitlements
	list.Version = 2
	list.Entitlements = append([]plan.Entitlement{}, list.Entitlements...)
	list.Entitlements[0].Models = nil
	f.platforms[0].PublishList(plan.KindEntitlements, list)
	wg.Wait()
	refused := 0
	for i, r := range results {
		c := draftCall(i, 30)
		if r.status == 200 {
			checkComplete(t, r, c)
			continue
		}
		refused++
		if r.Code != "model-not-allowed" || r.Outcome != "not-run" || f.runCount(c.prompt) != 0 {
			t.Errorf("request %d: %+v, %d runs", i, r, f.runCount(c.prompt))
		}
	}
	if refused == 0 {
		t.Error("no request was queued and refused")
	}
}

// runningCount returns the number of unfinished runs at all engines.
func (f *fleet) runningCount() int {
	n := 0
	for _, e := range f.engines {
		for _, entry := range e.Ledger().Entries() {
			if !entry.Completed {
				n++
			}
		}
	}
	return n
}

// schedulerHost returns the host that runs the scheduler of the first domain's engine
// pool.
func (f *fleet) schedulerHost() *host {
	for _, h := range f.hosts {
		if s, ok := f.status(h); ok {
			for _, p := range s.Pools {
				if p.Pool.Kind == plan.Engine {
					return h
				}
			}
		}
	}
	f.t.Fatal("no host runs the pool's scheduler")
	return nil
}

// TestPausedHostResumesAfterUpstreamLeft pauses a host with waiting requests, which the
// scheduler grants before the upstream leaves. The host resumes with outdated state, but
// must not send the requests to the upstream.
func TestPausedHostResumesAfterUpstreamLeft(t *testing.T) {
	t.Parallel()
	const leaveTimeout = 3 * time.Second
	o := defaultOptions()
	o.enginesPerDomain, o.engineOptions.MaxBatchSize, o.engineOptions.StepTime = 1, 2, 50*time.Millisecond
	f := newFleet(t, o)
	var wg sync.WaitGroup
	send := func(h *host, c call) { wg.Go(func() { f.send(h, c) }) }
	send(f.hosts[0], draftCall(1000, 30))
	f.awaitRun("draft 1000")
	scheduler := f.schedulerHost()
	paused := f.hosts[0]
	if paused == scheduler {
		paused = f.hosts[1]
	}
	send(scheduler, draftCall(1001, 30))
	f.awaitRun("draft 1001")
	for i := range 2 {
		send(paused, draftCall(i, 10))
	}
	time.Sleep(200 * time.Millisecond)
	paused.signal(syscall.SIGSTOP)
	time.Sleep(1500 * time.Millisecond)
	f.upstreams[0].State = plan.Leaving
	f.publishUpstreams()
	publishedAt := time.Now()
	time.Sleep(leaveTimeout + time.Second)
	paused.signal(syscall.SIGCONT)
	wg.Wait()
	for _, e := range f.engines[0].Ledger().Entries() {
		if delay := e.StartedAt.Sub(publishedAt); delay > leaveTimeout {
			t.Errorf("new run %s after the upstream was listed as leaving", delay)
		}
	}
}
