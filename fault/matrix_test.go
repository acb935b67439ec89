package fault

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"mulberrydyke/plan"
	"mulberrydyke/standin"
	"mulberrydyke/ticket"
)

// scenario is a fleet with two requests in flight, into which faults are injected: a
// commission, which runs at most once and needs a ticket, and an idempotent draft.
type scenario struct {
	*fleet
	t          *testing.T
	commission call
	draft      call
	mu         sync.Mutex
	// results holds what the callers of the commission got.
	results []callResult
}

// stage is a point in the processing of a request at which faults are injected.
type stage struct {
	name string
	// prepare is called before the requests are sent.
	prepare func(*scenario)
	// awaitReached waits until the requests have reached the stage.
	awaitReached func(*scenario)
	// release lets requests continue that prepare holds at the stage.
	release func(*scenario)
}

// faultInjection injects one kind of fault. Its inject function returns a function that
// ends the fault, or nil.
type faultInjection struct {
	name   string
	inject func(*scenario) (undo func())
}

const (
	// stageWaitTime is the pause for requests to reach a stage, and between faults.
	stageWaitTime = 150 * time.Millisecond
	// settleTime is the time within which late effects of a fault must show.
	settleTime = 500 * time.Millisecond
)

// stages returns the stages at which faults are injected. At the stage "intent", calls to
// all hosts but the home stall, among them the call by which the home has the backup
// record the intent to dispatch the commission.
func stages() []stage {
	noop := func(*scenario) {}
	pause := func(*scenario) { time.Sleep(stageWaitTime) }
	return []stage{
		{"queued", (*scenario).saturateEngines, pause, noop},
		{"intent", func(sc *scenario) { sc.setPeerLinks(Stall) }, pause, func(sc *scenario) { sc.setPeerLinks(Pass) }},
		{"dispatched", func(sc *scenario) { sc.setEngineFaults(standin.EngineFaults{Hang: true}) }, func(sc *scenario) { sc.awaitRun(sc.draft.prompt) },
			func(sc *scenario) { sc.setEngineFaults(standin.EngineFaults{}) }},
		{"mid-stream", noop, func(sc *scenario) {
			sc.awaitRun(sc.commission.prompt)
			time.Sleep(stageWaitTime)
		}, noop},
	}
}

// faultInjections returns all kinds of fault. In each scenario, hosts[0] is the home of
// the ticket of the commission.
func faultInjections() []faultInjection {
	return []faultInjection{
		{"engines crash", func(sc *scenario) func() { return sc.forEachEngine((*standin.Engine).Crash) }},
		{"engines refuse", func(sc *scenario) func() {
			sc.setEngineFaults(standin.EngineFaults{Refuse: true})
			return func() { sc.setEngineFaults(standin.EngineFaults{}) }
		}},
		{"engines slow", func(sc *scenario) func() {
			sc.setEngineFaults(standin.EngineFaults{SlowFactor: 3})
			return func() { sc.setEngineFaults(standin.EngineFaults{}) }
		}},
		{"engine links closed", func(sc *scenario) func() { return sc.forEachEngineLink((*Proxy).CloseConnections) }},
		{"engine links stalled", func(sc *scenario) func() { return sc.forEachEngineLink(func(p *Proxy) { p.SetMode(StallExisting) }) }},
		{"home killed", func(sc *scenario) func() { sc.kill(sc.hosts[0]); return nil }},
		{"home paused", func(sc *scenario) func() {
			sc.hosts[0].signal(syscall.SIGSTOP)
			return func() { sc.hosts[0].signal(syscall.SIGCONT) }
		}},
		{"planned stop of home", func(sc *scenario) func() { sc.hosts[0].signal(syscall.SIGTERM); return nil }},
		{"home restarts", func(sc *scenario) func() {
			sc.kill(sc.hosts[0])
			sc.start(sc.hosts[0])
			return nil
		}},
		{"backup killed", func(sc *scenario) func() { sc.kill(sc.backupHost()); return nil }},
		{"planned stop of backup", func(sc *scenario) func() { sc.backupHost().signal(syscall.SIGTERM); return nil }},
		{"link to home disconnected", func(sc *scenario) func() { return sc.setHomeLink(Disconnect) }},
		{"link to home stalled", func(sc *scenario) func() { return sc.setHomeLink(Stall) }},
		{"platform down", func(sc *scenario) func() {
			sc.platforms[0].SetFaults(standin.PlatformFaults{Down: true})
			return func() { sc.platforms[0].SetFaults(standin.PlatformFaults{}) }
		}},
		{"invalid list", func(sc *scenario) func() { sc.platforms[0].Publish(plan.KindPlans, []byte("{")); return nil }},
		{"engines leave", func(sc *scenario) func() {
			for i := range sc.upstreams {
				sc.upstreams[i].State = plan.Leaving
			}
			sc.publishUpstreams()
			return nil
		}},
		{"plan withdrawn", func(sc *scenario) func() {
			list := *sc.entitlements
			list.Version = 2
			list.Entitlements = nil
			sc.platforms[0].PublishList(plan.KindEntitlements, list)
			return nil
		}},
		{"burst", func(sc *scenario) func() {
			for i := range 40 {
				go sc.send(sc.hosts[1+i%2], draftCall(1000+i, 5))
			}
			return nil
		}},
	}
}

// backupHost returns the host that is the backup of the ticket of the commission.
func (sc *scenario) backupHost() *host {
	name, err := ticket.Parse(ticket.Token(sc.commission.ticket))
	if err != nil {
		sc.t.Fatal(err)
	}
	for _, h := range sc.hosts {
		if h.id == name.Backup.Host {
			return h
		}
	}
	sc.t.Fatalf("no host matches the backup in %+v", name)
	return nil
}

// forEachEngine calls f for each engine. It returns nil, for use in a faultInjection.
func (sc *scenario) forEachEngine(f func(*standin.Engine)) func() {
	for _, e := range sc.engines {
		f(e)
	}
	return nil
}

// setEngineFaults sets the faults of all engines.
func (sc *scenario) setEngineFaults(f standin.EngineFaults) {
	sc.forEachEngine(func(e *standin.Engine) { e.SetFaults(f) })
}

// forEachEngineLink calls f for the proxy of each engine and of the plain service, which
// gets no requests in a scenario. It returns nil, for use in a faultInjection.
func (sc *scenario) forEachEngineLink(f func(*Proxy)) func() {
	for _, u := range sc.upstreams {
		f(sc.proxies[proxyKey{0, string(u.ID)}])
	}
	return nil
}

// setHomeLink sets the mode of the link to the home of the ticket. The returned
// function restores it.
func (sc *scenario) setHomeLink(m Mode) func() {
	p := sc.proxies[proxyKey{0, string(sc.hosts[0].id)}]
	p.SetMode(m)
	return func() { p.SetMode(Pass) }
}

// setPeerLinks sets the mode of the links to all hosts except the home.
func (sc *scenario) setPeerLinks(m Mode) {
	for _, h := range sc.hosts[1:] {
		sc.proxies[proxyKey{0, string(h.id)}].SetMode(m)
	}
}

// saturateEngines sends requests that occupy all batch slots for a while.
func (sc *scenario) saturateEngines() {
	const requests = 8
	for i := range requests {
		go sc.send(sc.hosts[i%3], draftCall(2000+i, 60))
	}
	sc.eventually(10*time.Second, "the engines are busy", func() bool { return sc.runningCount() >= len(sc.engines) })
}

// sendAndRecord sends a request to a host and checks a successful response. It records
// the results of requests with a ticket.
func (sc *scenario) sendAndRecord(h *host, c call) {
	r := sc.send(h, c)
	if r.status == 200 && r.err == nil {
		checkComplete(sc.t, r, c)
	}
	if c.ticket == "" {
		return
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.results = append(sc.results, r)
}

// resendToAllHosts sends the commission to all hosts in parallel.
func (sc *scenario) resendToAllHosts() {
	var wg sync.WaitGroup
	for _, h := range sc.hosts {
		wg.Go(func() { sc.sendAndRecord(h, sc.commission) })
	}
	wg.Wait()
}

// checkOutcomes compares the outcomes reported to callers with the run ledgers of the
// engines.
func (sc *scenario) checkOutcomes() {
	runs := sc.runCount(sc.commission.prompt)
	if runs > 1 {
		sc.t.Errorf("the commission ran %d times", runs)
	}
	for _, r := range sc.results {
		if r.Outcome == "not-run" && runs > 0 {
			sc.t.Errorf("a caller got outcome not-run (%s), but the commission ran", r.Code)
		}
		if (r.Outcome == "ran" || r.status == 200 && r.err == nil) && runs != 1 {
			sc.t.Errorf("a caller got status %d %s, which means one run, but the commission ran %d times", r.status, r.Code, runs)
		}
	}
}

// runScenario brings the requests to a stage, injects the faults in order, and resends
// the commission to all hosts during and after the faults.
func runScenario(t *testing.T, st stage, faults ...faultInjection) {
	o := defaultOptions()
	o.engineOptions.MaxBatchSize, o.engineOptions.StepTime, o.streamIdleTimeout = 2, 25*time.Millisecond, time.Second
	sc := &scenario{fleet: newFleet(t, o), t: t}
	sc.commission, sc.draft = commissionCall(1), draftCall(1, 40)
	sc.commission.outputTokens = 40
	sc.commission.ticket = sc.takeTicket(sc.hosts[0], sc.commission)
	st.prepare(sc)
	var wg sync.WaitGroup
	wg.Go(func() { sc.sendAndRecord(sc.hosts[1], sc.commission) })
	wg.Go(func() { sc.sendAndRecord(sc.hosts[2], sc.draft) })
	st.awaitReached(sc)
	var undos []func()
	for _, f := range faults {
		if undo := f.inject(sc); undo != nil {
			undos = append(undos, undo)
		}
		time.Sleep(stageWaitTime)
	}
	st.release(sc)
	sc.resendToAllHosts()
	for _, undo := range undos {
		undo()
	}
	wg.Wait()
	time.Sleep(settleTime)
	sc.resendToAllHosts()
	sc.checkOutcomes()
}

// TestFaultAtEveryStage injects every fault at every stage of a commission, resends it to
// all hosts during and after the fault, and checks the outcomes reported to callers
// against the run ledgers of the engines.
func TestFaultAtEveryStage(t *testing.T) {
	for _, st := range stages() {
		for _, f := range faultInjections() {
			t.Run(fmt.Sprintf("%s at %s", f.name, st.name), func(t *testing.T) {
				t.Parallel()
				runScenario(t, st, f)
			})
		}
	}
}

// TestFaultPairs injects two faults at a stage. A fixed seed selects the faults and the
// stage.
func TestFaultPairs(t *testing.T) {
	const pairs, seed = 24, 20261204
	rng := rand.New(rand.NewPCG(seed, seed))
	for i := range pairs {
		st, injections := stages()[rng.IntN(len(stages()))], faultInjections()
		first := rng.IntN(len(injections))
		second := (first + 1 + rng.IntN(len(injections)-1)) % len(injections)
		t.Run(fmt.Sprintf("%d %s, then %s at %s", i, injections[first].name, injections[second].name, st.name), func(t *testing.T) {
			t.Parallel()
			runScenario(t, st, injections[first], injections[second])
		})
	}
}
