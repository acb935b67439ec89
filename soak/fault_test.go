package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"mulberrydyke/fault"
)

// faultInjector injects faults into a fleet. Each fault runs in its own goroutine,
// so that faults overlap as well as follow one another.
type faultInjector struct {
	t     *testing.T
	fleet *fleet
	wg    sync.WaitGroup
	// processLocks holds one mutex per host, so that only one fault at a time stops,
	// starts or pauses its process.
	processLocks []sync.Mutex
}

// faultFunc injects one kind of fault. The fault is over when the function has returned
// and the goroutines that it added to inj.wg have ended.
type faultFunc func(inj *faultInjector, rng *rand.Rand, duration time.Duration)

// faultKinds lists the kinds of fault that a seed draws from. A seed selects by index,
// so a change of order changes the runs of known seeds: add new kinds at the end.
var faultKinds = []struct {
	name   string
	inject faultFunc
}{
	{"kill", (*faultInjector).killHost},
	{"stop", (*faultInjector).stopHost},
	{"pause", (*faultInjector).pauseHost},
	{"settings", (*faultInjector).changeSettings},
	{"store link", (*faultInjector).disturbStoreLinks},
	{"store fault", (*faultInjector).injectStoreFault},
	{"upstream link", (*faultInjector).disturbUpstreamLink},
	{"upstream degraded", (*faultInjector).degradeUpstream},
	{"upstream replaced", (*faultInjector).replaceUpstream},
	{"upstream crashes", (*faultInjector).crashUpstream},
	{"key revoked", (*faultInjector).revokeKey},
	{"rolling stops", (*faultInjector).stopTwoHosts},
}

// The range from which the duration of a fault is drawn.
const (
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 2200 * time.Millisecond
)

// run schedules count random faults to start within the duration, and returns when
// the last one is over.
func (inj *faultInjector) run(ctx context.Context, rng *rand.Rand, duration time.Duration, count int) {
	type scheduledFault struct {
		startAfter, duration time.Duration
		kind                 int
		seed                 uint64
	}
	var schedule []scheduledFault
	for range count {
		schedule = append(schedule, scheduledFault{
			startAfter: time.Duration(rng.Int64N(int64(duration))),
			duration:   minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration))),
			kind:       rng.IntN(len(faultKinds)), seed: rng.Uint64(),
		})
	}
	for _, f := range schedule {
		inj.wg.Go(func() {
			select {
			case <-time.After(f.startAfter):
			case <-ctx.Done():
				return
			}
			faultKinds[f.kind].inject(inj, rand.New(rand.NewPCG(f.seed, 1)), f.duration)
		})
	}
	inj.wg.Wait()
}

// pickHost returns the index of a random host.
func (inj *faultInjector) pickHost(rng *rand.Rand) int { return rng.IntN(len(inj.fleet.hosts)) }

// restartHost waits until a host's process has exited and starts a new one. It kills
// a process that has not exited one second after the grace period.
func (inj *faultInjector) restartHost(hostIndex int) {
	h := inj.fleet.hosts[hostIndex]
	h.awaitExit(gracePeriod + time.Second)
	if err := h.start(); err != nil {
		inj.t.Error(err)
	}
}

// lockHost picks a random host for a fault of its process that may lose requests. It
// records the disturbance and keeps other process faults away until release is called.
func (inj *faultInjector) lockHost(rng *rand.Rand) (hostIndex int, release func()) {
	hostIndex = inj.pickHost(rng)
	inj.processLocks[hostIndex].Lock()
	endDisturbance := inj.fleet.beginDisturbance(hostComponent(hostIndex), false)
	return hostIndex, func() {
		endDisturbance()
		inj.processLocks[hostIndex].Unlock()
	}
}

// killHost kills a host's process and starts it again after the duration.
func (inj *faultInjector) killHost(rng *rand.Rand, duration time.Duration) {
	hostIndex, release := inj.lockHost(rng)
	defer release()
	inj.fleet.logf("host %d killed for %v", hostIndex, duration)
	inj.fleet.hosts[hostIndex].signal(syscall.SIGKILL)
	time.Sleep(duration)
	inj.restartHost(hostIndex)
}

// stopHost stops a random host with SIGTERM and starts it again.
func (inj *faultInjector) stopHost(rng *rand.Rand, _ time.Duration) {
	hostIndex := inj.pickHost(rng)
	inj.processLocks[hostIndex].Lock()
	defer inj.processLocks[hostIndex].Unlock()
	inj.stopLockedHost(rng, hostIndex)
}

// stopLockedHost stops and restarts a host whose process lock the caller holds. In one
// of three cases it sends SIGHUP before SIGTERM. In one of three, independently, it
// sends another SIGTERM and a SIGHUP 50 ms after it.
func (inj *faultInjector) stopLockedHost(rng *rand.Rand, hostIndex int) {
	h := inj.fleet.hosts[hostIndex]
	defer inj.fleet.beginDisturbance(hostComponent(hostIndex), true)()
	inj.fleet.logf("host %d stopped", hostIndex)
	if rng.IntN(3) == 0 {
		h.signal(syscall.SIGHUP)
	}
	h.signal(syscall.SIGTERM)
	if rng.IntN(3) == 0 {
		time.Sleep(50 * time.Millisecond)
		h.signal(syscall.SIGTERM)
		h.signal(syscall.SIGHUP)
	}
	inj.restartHost(hostIndex)
	inj.fleet.logf("host %d started", hostIndex)
}

// stopTwoHosts stops and restarts two random hosts in sequence.
func (inj *faultInjector) stopTwoHosts(rng *rand.Rand, _ time.Duration) {
	for range 2 {
		inj.stopHost(rng, 0)
	}
}

// pauseHost suspends a host's process for the duration.
func (inj *faultInjector) pauseHost(rng *rand.Rand, duration time.Duration) {
	hostIndex, release := inj.lockHost(rng)
	defer release()
	inj.fleet.logf("host %d paused for %v", hostIndex, duration)
	inj.fleet.hosts[hostIndex].signal(syscall.SIGSTOP)
	time.Sleep(duration)
	inj.fleet.hosts[hostIndex].signal(syscall.SIGCONT)
}

// changeSettings rewrites a host's settings file, and sends SIGHUP in half of the cases.
func (inj *faultInjector) changeSettings(rng *rand.Rand, _ time.Duration) {
	hostIndex := inj.pickHost(rng)
	inj.fleet.logf("settings of host %d changed", hostIndex)
	if err := inj.fleet.hosts[hostIndex].writeSettings(retryExtra - rng.IntN(10)); err != nil {
		inj.t.Error(err)
	}
	if rng.IntN(2) == 0 {
		inj.fleet.hosts[hostIndex].signal(syscall.SIGHUP)
	}
}

// disturbLink closes the connections of a proxy once, or delays, stalls or disconnects
// them for the duration.
func disturbLink(p *fault.Proxy, rng *rand.Rand, duration time.Duration) {
	switch rng.IntN(6) {
	case 0:
		p.CloseConnections()
		return
	case 1:
		p.SetDelay(time.Duration(rng.IntN(150)) * time.Millisecond)
	default:
		p.SetMode([]fault.Mode{fault.Disconnect, fault.Stall, fault.StallExisting, fault.StallReplies}[rng.IntN(4)])
	}
	time.Sleep(duration)
	p.SetDelay(0)
	p.SetMode(fault.Pass)
}

// disturbStoreLinks disturbs the links between random hosts and the store.
func (inj *faultInjector) disturbStoreLinks(rng *rand.Rand, duration time.Duration) {
	for range 1 + rng.IntN(len(inj.fleet.hosts)) {
		hostIndex := inj.pickHost(rng)
		seed := rng.Uint64()
		inj.wg.Go(func() {
			defer inj.fleet.beginDisturbance(hostComponent(hostIndex), true)()
			inj.fleet.logf("host %d: link to the store disturbed for %v", hostIndex, duration)
			disturbLink(inj.fleet.hosts[hostIndex].storeProxy, rand.New(rand.NewPCG(seed, 2)), duration)
		})
	}
}

// injectStoreFault stalls the store's watches or makes the store unavailable for the
// duration, or compacts its history.
func (inj *faultInjector) injectStoreFault(rng *rand.Rand, duration time.Duration) {
	defer inj.fleet.beginDisturbance(storeComponent, true)()
	variant := rng.IntN(3)
	inj.fleet.logf("store fault %d for %v", variant, duration)
	switch variant {
	case 0:
		inj.fleet.store.setFaults(true, false)
	case 1:
		inj.fleet.store.setFaults(false, true)
	case 2:
		inj.fleet.store.compact()
		return
	}
	time.Sleep(duration)
	inj.fleet.store.setFaults(false, false)
}

// pickUpstream returns a random upstream that is not draining.
func (inj *faultInjector) pickUpstream(rng *rand.Rand) *fakeUpstream {
	inj.fleet.mu.Lock()
	defer inj.fleet.mu.Unlock()
	return inj.fleet.upstreams[rng.IntN(len(inj.fleet.upstreams))]
}

// disturbUpstreamLink disturbs the link to a random upstream.
func (inj *faultInjector) disturbUpstreamLink(rng *rand.Rand, duration time.Duration) {
	u := inj.pickUpstream(rng)
	defer inj.fleet.beginDisturbance(linkComponent(u.id), false)()
	inj.fleet.logf("%s: link disturbed for %v", u.id, duration)
	disturbLink(u.proxy, rng, duration)
}

// degradeUpstream puts a random upstream into a faulty mode for the duration.
func (inj *faultInjector) degradeUpstream(rng *rand.Rand, duration time.Duration) {
	u := inj.pickUpstream(rng)
	defer inj.fleet.beginDisturbance(u.id, false)()
	mode := []upstreamMode{modeFailing, modeUnresponsive, modeOverloaded, modeTruncating}[rng.IntN(4)]
	inj.fleet.logf("%s: mode %d for %v", u.id, mode, duration)
	u.setMode(mode)
	time.Sleep(duration)
	u.setMode(modeNormal)
}

// replaceUpstream adds an upstream of the same service and domain as a random existing
// one, drains the existing one, and removes it from the store after the duration.
func (inj *faultInjector) replaceUpstream(rng *rand.Rand, duration time.Duration) {
	u := inj.pickUpstream(rng)
	inj.fleet.addUpstream(inj.t, u.service, u.domain)
	inj.fleet.drain(u)
	inj.fleet.logf("%s is draining", u.id)
	time.Sleep(duration)
	inj.fleet.store.put("servers/"+u.id, nil)
}

// crashUpstream simulates a crash of a random upstream, which comes back under the same
// ID with a new start time.
func (inj *faultInjector) crashUpstream(rng *rand.Rand, duration time.Duration) {
	u := inj.pickUpstream(rng)
	defer inj.fleet.beginDisturbance(u.id, false)()
	inj.fleet.logf("%s crashed for %v", u.id, duration)
	u.proxy.SetMode(fault.Disconnect)
	time.Sleep(duration)
	u.mu.Lock()
	u.startedAt = time.Now()
	u.mu.Unlock()
	u.proxy.SetMode(fault.Pass)
	inj.fleet.relist(u)
}

// revokeKey revokes the oldest API key and adds a new one.
func (inj *faultInjector) revokeKey(*rand.Rand, time.Duration) {
	inj.fleet.logf("%s revoked", inj.fleet.revokeOldestKey())
}
