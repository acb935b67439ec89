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

// faultInjector injects faults into a cluster. Each fault runs in its own goroutine,
// so that faults overlap as well as follow one another.
type faultInjector struct {
	t       *testing.T
	cluster *cluster
	wg      sync.WaitGroup
	// processLocks holds one mutex per host, so that only one fault at a time stops,
	// starts or pauses its process.
	processLocks []sync.Mutex
}

// faultFunc injects one kind of fault and returns when the fault is over.
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
func (inj *faultInjector) pickHost(rng *rand.Rand) int { return rng.IntN(len(inj.cluster.hosts)) }

// restartHost waits until a host's process has exited and starts a new one. It kills
// a process that has not exited one second after the grace period.
func (inj *faultInjector) restartHost(hostIndex int) {
	h := inj.cluster.hosts[hostIndex]
	h.awaitExit(gracePeriod + time.Second)
	if err := h.start(); err != nil {
		inj.t.Error(err)
	}
}

// lockHost picks a random host for an unplanned fault of its process. It records the
// disturbance and keeps other process faults away until release is called.
func (inj *faultInjector) lockHost(rng *rand.Rand) (hostIndex int, release func()) {
	hostIndex = inj.pickHost(rng)
	inj.processLocks[hostIndex].Lock()
	endDisturbance := inj.cluster.beginDisturbance(hostComponent(hostIndex), false)
	return hostIndex, func() {
		endDisturbance()
		inj.processLocks[hostIndex].Unlock()
	}
}

// killHost kills a host's process and starts it again after the duration.
func (inj *faultInjector) killHost(rng *rand.Rand, duration time.Duration) {
	hostIndex, release := inj.lockHost(rng)
	defer release()
	inj.cluster.logf("host %d killed for %v", hostIndex, duration)
	inj.cluster.hosts[hostIndex].signal(syscall.SIGKILL)
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

// stopLockedHost stops and restarts a host whose process lock the caller holds. At
// random it also sends SIGHUP before SIGTERM, or SIGTERM and SIGHUP again after it.
func (inj *faultInjector) stopLockedHost(rng *rand.Rand, hostIndex int) {
	h := inj.cluster.hosts[hostIndex]
	defer inj.cluster.beginDisturbance(hostComponent(hostIndex), true)()
	inj.cluster.logf("host %d stopped", hostIndex)
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
	inj.cluster.logf("host %d started", hostIndex)
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
	inj.cluster.logf("host %d paused for %v", hostIndex, duration)
	inj.cluster.hosts[hostIndex].signal(syscall.SIGSTOP)
	time.Sleep(duration)
	inj.cluster.hosts[hostIndex].signal(syscall.SIGCONT)
}

// changeSettings rewrites a host's settings file, and sends SIGHUP in half of the cases.
func (inj *faultInjector) changeSettings(rng *rand.Rand, _ time.Duration) {
	hostIndex := inj.pickHost(rng)
	inj.cluster.logf("settings of host %d changed", hostIndex)
	if err := inj.cluster.hosts[hostIndex].writeSettings(retryExtra - rng.IntN(10)); err != nil {
		inj.t.Error(err)
	}
	if rng.IntN(2) == 0 {
		inj.cluster.hosts[hostIndex].signal(syscall.SIGHUP)
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
	for range 1 + rng.IntN(len(inj.cluster.hosts)) {
		hostIndex := inj.pickHost(rng)
		seed := rng.Uint64()
		inj.wg.Go(func() {
			defer inj.cluster.beginDisturbance(hostComponent(hostIndex), true)()
			inj.cluster.logf("host %d: link to the store disturbed for %v", hostIndex, duration)
			disturbLink(inj.cluster.hosts[hostIndex].storeProxy, rand.New(rand.NewPCG(seed, 2)), duration)
		})
	}
}

// injectStoreFault stalls the store's watches or makes the store unavailable for the
// duration, or compacts its history.
func (inj *faultInjector) injectStoreFault(rng *rand.Rand, duration time.Duration) {
	defer inj.cluster.beginDisturbance(storeComponent, true)()
	variant := rng.IntN(3)
	inj.cluster.logf("store fault %d for %v", variant, duration)
	switch variant {
	case 0:
		inj.cluster.store.setFaults(true, false)
	case 1:
		inj.cluster.store.setFaults(false, true)
	case 2:
		inj.cluster.store.compact()
		return
	}
	time.Sleep(duration)
	inj.cluster.store.setFaults(false, false)
}

// pickUpstream returns a random listed upstream.
func (inj *faultInjector) pickUpstream(rng *rand.Rand) *fakeUpstream {
	inj.cluster.mu.Lock()
	defer inj.cluster.mu.Unlock()
	return inj.cluster.upstreams[rng.IntN(len(inj.cluster.upstreams))]
}

// disturbUpstreamLink disturbs the link to a random upstream.
func (inj *faultInjector) disturbUpstreamLink(rng *rand.Rand, duration time.Duration) {
	u := inj.pickUpstream(rng)
	defer inj.cluster.beginDisturbance(u.id, false)()
	inj.cluster.logf("%s: link disturbed for %v", u.id, duration)
	disturbLink(u.proxy, rng, duration)
}

// degradeUpstream puts a random upstream into a faulty mode for the duration.
func (inj *faultInjector) degradeUpstream(rng *rand.Rand, duration time.Duration) {
	u := inj.pickUpstream(rng)
	defer inj.cluster.beginDisturbance(u.id, false)()
	mode := []upstreamMode{modeFailing, modeUnresponsive, modeOverloaded, modeTruncating}[rng.IntN(4)]
	inj.cluster.logf("%s: mode %d for %v", u.id, mode, duration)
	u.setMode(mode)
	time.Sleep(duration)
	u.setMode(modeNormal)
}

// replaceUpstream adds an upstream of the same service and domain as a random existing
// one, drains the existing one, and removes it from the store after the duration.
func (inj *faultInjector) replaceUpstream(rng *rand.Rand, duration time.Duration) {
	u := inj.pickUpstream(rng)
	inj.cluster.addUpstream(inj.t, u.service, u.domain)
	inj.cluster.drain(u)
	inj.cluster.logf("%s is draining", u.id)
	time.Sleep(duration)
	inj.cluster.store.put("servers/"+u.id, nil)
}

// crashUpstream simulates a crash of a random upstream, which comes back under the same
// ID with a new start time.
func (inj *faultInjector) crashUpstream(rng *rand.Rand, duration time.Duration) {
	u := inj.pickUpstream(rng)
	defer inj.cluster.beginDisturbance(u.id, false)()
	inj.cluster.logf("%s crashed for %v", u.id, duration)
	u.proxy.SetMode(fault.Disconnect)
	time.Sleep(duration)
	u.mu.Lock()
	u.startedAt = time.Now()
	u.mu.Unlock()
	u.proxy.SetMode(fault.Pass)
	inj.cluster.relist(u)
}

// revokeKey revokes the oldest API key and adds a new one.
func (inj *faultInjector) revokeKey(*rand.Rand, time.Duration) {
	inj.cluster.logf("%s revoked", inj.cluster.revokeOldestKey())
}
