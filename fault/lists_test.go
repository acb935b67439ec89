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

// forceBound is how long an accepted list may take to be in force everywhere.
const forceBound = 4 * time.Second

func wideOptions() fleetOptions {
	o := defaultOptions()
	o.domains, o.hosts, o.engines = 3, 3, 1
	return o
}

// watchVersions samples the versions under which every host serves until stop
// is called, and fails the test where one goes back, also across restarts.
func (f *fleet) watchVersions() (stop func()) {
	quit := make(chan struct{})
	var wait sync.WaitGroup
	for _, h := range f.hosts {
		wait.Go(func() {
			var before plan.Versions
			for {
				if s, ok := f.status(h); ok && s.Ready {
					for _, kind := range plan.Kinds() {
						if s.Versions.Of(kind) < before.Of(kind) {
							f.t.Errorf("%s went back from %s %d to %d", h.id, kind, before.Of(kind), s.Versions.Of(kind))
						}
					}
					before = s.Versions
				}
				select {
				case <-quit:
					return
				case <-time.After(20 * time.Millisecond):
				}
			}
		})
	}
	return func() {
		close(quit)
		wait.Wait()
	}
}

// publishPlans publishes a version of the plans in some domains' platforms.
func (f *fleet) publishPlans(version plan.Version, domains ...int) {
	list := *f.plans
	list.Version = version
	for _, d := range domains {
		f.platforms[d].PublishList(plan.KindPlans, list)
	}
}

// inForce says whether all given hosts have a version of the plans.
func (f *fleet) inForce(version plan.Version, hosts []*process) func() bool {
	return func() bool {
		for _, h := range hosts {
			if s, ok := f.status(h); !ok || s.Versions.Plans != version {
				return false
			}
		}
		return true
	}
}

// TestListsInForceEverywhere changes lists on nine processes: in the normal
// way, two versions in quick succession that domains see in different orders,
// bad lists, and old versions after newer ones.
func TestListsInForceEverywhere(t *testing.T) {
	f := newFleet(t, wideOptions())
	defer f.watchVersions()()
	f.publishPlans(2, 0, 1, 2)
	f.eventually(forceBound, "version 2 in force on all hosts", f.inForce(2, f.hosts))

	f.publishPlans(3, 0)
	f.publishPlans(4, 1)
	f.publishPlans(4, 0)
	f.publishPlans(3, 1, 2)
	f.eventually(forceBound, "version 4 in force on all hosts", f.inForce(4, f.hosts))

	for _, p := range f.platforms {
		p.Publish(plan.KindPlans, []byte(`{"version": 5, "plans": [{"id": "x", "tier": 99}]}`))
	}
	f.eventually(forceBound, "the bad list is reported", func() bool {
		s, ok := f.status(f.hosts[0])
		return ok && (s.Rejected[plan.KindPlans] != "" || !s.Reader) && s.Versions.Plans == 4
	})
	f.publishPlans(1, 0, 1, 2)
	time.Sleep(time.Second)
	f.publishPlans(6, 2)
	f.eventually(forceBound, "version 6 in force on all hosts", f.inForce(6, f.hosts))
	checkWhole(t, f.send(f.hosts[0], draft(1, 10)), draft(1, 10))
}

// TestPlatformOutage takes the platform away. Hosts go on serving under the
// lists in force, a host that starts meanwhile gets them from its peers, and a
// stale platform that comes back reverts nothing.
func TestPlatformOutage(t *testing.T) {
	f := newFleet(t, defaultOptions())
	defer f.watchVersions()()
	f.publishPlans(2, 0)
	f.eventually(forceBound, "version 2 in force", f.inForce(2, f.hosts))
	f.platforms[0].SetFaults(standin.PlatformFaults{Down: true})
	checkWhole(t, f.send(f.hosts[0], draft(1, 10)), draft(1, 10))
	f.kill(f.hosts[1])
	f.start(f.hosts[1])
	f.awaitReady()
	if !f.inForce(2, f.hosts)() {
		t.Error("the restarted host has other lists")
	}
	checkWhole(t, f.send(f.hosts[1], draft(2, 10)), draft(2, 10))
	f.publishPlans(1, 0)
	f.platforms[0].SetFaults(standin.PlatformFaults{})
	f.kill(f.hosts[2])
	f.start(f.hosts[2])
	f.awaitReady()
	f.eventually(forceBound, "the host that started from a stale platform catches up", f.inForce(2, f.hosts))
}

// cutDomain sets the mode of all links between a domain and the rest, and of
// its link to the platform.
func (f *fleet) cutDomain(domain int, mode Mode) {
	for key, proxy := range f.links {
		target := f.domainOf(key.to)
		if key.to == "platform" && key.from == domain || target >= 0 && (key.from == domain) != (target == domain) {
			proxy.SetMode(mode)
		}
	}
}

// domainOf returns the domain of a host or an upstream, or -1.
func (f *fleet) domainOf(name string) int {
	for _, h := range f.hosts {
		if string(h.id) == name {
			return h.domain
		}
	}
	for _, u := range f.upstreams {
		if string(u.ID) == name {
			for d := range f.domains {
				if u.Domain == load.DomainOf(d) {
					return d
				}
			}
		}
	}
	return -1
}

// TestDomainCut cuts one failure domain off from the others and the platform,
// by closed and by silent links. Both sides go on serving their callers, and
// tickets of the other side are never run. After the cut heals, the domain
// catches up.
func TestDomainCut(t *testing.T) {
	for name, mode := range map[string]Mode{"closed": Disconnect, "silent": Stall} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, wideOptions())
			defer f.watchVersions()()
			inside, outside := f.hosts[3:6], append(append([]*process{}, f.hosts[:3]...), f.hosts[6:]...)
			c := commission(1)
			c.ticket = f.ticket(inside[0], c)
			f.cutDomain(1, mode)
			f.publishPlans(2, 0, 1, 2)
			f.eventually(forceBound, "the new version in force outside", f.inForce(2, outside))
			var wait sync.WaitGroup
			for i := range 12 {
				d := draft(i, 20)
				wait.Go(func() { checkWhole(t, f.send(inside[i%3], d), d) })
				e := draft(100+i, 20)
				wait.Go(func() { checkWhole(t, f.send(outside[i%6], e), e) })
			}
			wait.Wait()
			if a := f.send(outside[0], c); a.Outcome != "unknown" || f.runs(c.prompt) != 0 {
				t.Errorf("a ticket of the other side: %+v, %d runs", a, f.runs(c.prompt))
			}
			if got := content(t, f.send(inside[1], c)); got != text(c.prompt, c.output) || f.runs(c.prompt) != 1 {
				t.Errorf("the ticket on its own side: %q, %d runs", got, f.runs(c.prompt))
			}
			f.cutDomain(1, Pass)
			f.eventually(forceBound, "the domain catches up", f.inForce(2, f.hosts))
		})
	}
}

// TestPeerLinksGoSilent silences the way to one host, while its own calls get
// through. Requests at all hosts must be answered whole.
func TestPeerLinksGoSilent(t *testing.T) {
	f := newFleet(t, defaultOptions())
	for round, h := range f.hosts {
		f.links[link{0, string(h.id)}].SetMode(Stall)
		var wait sync.WaitGroup
		for i := range 9 {
			c := draft(round*100+i, 20)
			wait.Go(func() { checkWhole(t, f.send(f.hosts[i%3], c), c) })
		}
		wait.Wait()
		f.links[link{0, string(h.id)}].SetMode(Pass)
		f.awaitReady()
	}
}

// TestLeavingUpstream marks an upstream as leaving. It must get no new work
// after three seconds, and what it runs must end whole.
func TestLeavingUpstream(t *testing.T) {
	const leaveBound = 3 * time.Second
	o := wideOptions()
	o.engine.Step = 50 * time.Millisecond
	f := newFleet(t, o)
	long := draft(1000, 100)
	done := make(chan answer, 1)
	go func() { done <- f.send(f.hosts[0], long) }()
	f.awaitRun(long.prompt)
	f.upstreams[0].State = plan.Leaving
	f.publishUpstreams()
	published := time.Now()
	var wait sync.WaitGroup
	for i := 0; time.Since(published) < leaveBound+2*time.Second; i++ {
		c := draft(i, 5)
		wait.Go(func() { checkWhole(t, f.send(f.hosts[i%len(f.hosts)], c), c) })
		time.Sleep(50 * time.Millisecond)
	}
	wait.Wait()
	for _, e := range f.engines[0].Ledger().Entries() {
		if late := e.Begun.Sub(published); late > leaveBound {
			t.Errorf("new work %s after the upstream was listed as leaving", late)
		}
	}
	checkWhole(t, <-done, long)
}

// TestPlanWithdrawn takes a plan's model away while its requests run and wait.
// What runs must end whole; what waits must be refused as not run, and be so.
func TestPlanWithdrawn(t *testing.T) {
	o := defaultOptions()
	o.engines, o.engine.Batch, o.engine.Step = 1, 3, 50*time.Millisecond
	f := newFleet(t, o)
	answers := make([]answer, 6)
	var wait sync.WaitGroup
	for i := range answers {
		wait.Go(func() { answers[i] = f.send(f.hosts[i%3], draft(i, 30)) })
	}
	f.eventually(5*time.Second, "two run", func() bool { return f.running() >= 2 })
	list := *f.entitled
	list.Version = 2
	list.Entitlements = append([]plan.Entitlement{}, list.Entitlements...)
	list.Entitlements[0].Models = nil
	f.platforms[0].PublishList(plan.KindEntitlements, list)
	wait.Wait()
	refused := 0
	for i, a := range answers {
		c := draft(i, 30)
		if a.status == 200 {
			checkWhole(t, a, c)
			continue
		}
		refused++
		if a.Code != "model-not-allowed" || a.Outcome != "not-run" || f.runs(c.prompt) != 0 {
			t.Errorf("request %d: %+v, %d runs", i, a, f.runs(c.prompt))
		}
	}
	if refused == 0 {
		t.Error("nothing was queued, so nothing was refused")
	}
}

func (f *fleet) running() int {
	n := 0
	for _, e := range f.engines {
		for _, entry := range e.Ledger().Entries() {
			if !entry.Whole {
				n++
			}
		}
	}
	return n
}

// scheduler returns the host that decides for the models' pool of the first
// domain.
func (f *fleet) scheduler() *process {
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

// TestPausedHostWakesAfterAnUpstreamLeft pauses a host whose requests wait, lets
// them be granted and the upstream leave meanwhile, and wakes the host. It still
// believes what it knew, but must not send new work to the upstream.
func TestPausedHostWakesAfterAnUpstreamLeft(t *testing.T) {
	t.Parallel()
	const leaveBound = 3 * time.Second
	o := defaultOptions()
	o.engines, o.engine.Batch, o.engine.Step = 1, 2, 50*time.Millisecond
	f := newFleet(t, o)
	var wait sync.WaitGroup
	send := func(h *process, c call) { wait.Go(func() { f.send(h, c) }) }
	send(f.hosts[0], draft(1000, 30))
	f.awaitRun("draft 1000")
	scheduler := f.scheduler()
	paused := f.hosts[0]
	if paused == scheduler {
		paused = f.hosts[1]
	}
	send(scheduler, draft(1001, 30))
	f.awaitRun("draft 1001")
	for i := range 2 {
		send(paused, draft(i, 10))
	}
	time.Sleep(200 * time.Millisecond)
	paused.signal(syscall.SIGSTOP)
	time.Sleep(1500 * time.Millisecond)
	f.upstreams[0].State = plan.Leaving
	f.publishUpstreams()
	published := time.Now()
	time.Sleep(leaveBound + time.Second)
	paused.signal(syscall.SIGCONT)
	wait.Wait()
	for _, e := range f.engines[0].Ledger().Entries() {
		if late := e.Begun.Sub(published); late > leaveBound {
			t.Errorf("new work %s after the upstream was listed as leaving", late)
		}
	}
}
