package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

// Limits that hold for all hosts.
const (
	// retryRatio is the number of retries allowed per request.
	retryRatio = 0.2
	// retryExtra is the number of retries allowed in a window beyond that ratio.
	retryExtra = 40
	// applyTime is the time within which a host without disturbances must apply a
	// change of the lists.
	applyTime = 2 * time.Second
)

// fleetSize is the number of hosts, upstreams and callers in a run. The upstreams
// belong to two services, pool and app.
type fleetSize struct {
	domains, hostsPerDomain, poolUpstreams, appUpstreams, callers int
	// cold reports whether upstreams of the pool are cold after they start.
	cold bool
}

// fleet is the system under test in one run: hosts as real processes, and stand-ins
// for the store, the upstreams and the callers.
type fleet struct {
	hosts     []*host
	store     *fakeStore
	runLog    *runLog
	generator *loadGenerator

	mu sync.Mutex
	// upstreams holds the upstreams that are not draining.
	upstreams []*fakeUpstream
	// allUpstreams holds all upstreams ever added.
	allUpstreams  []*fakeUpstream
	configVersion int
	keys          map[string]*keyLifetime
	// drainingSince holds, by upstream ID, when the store acknowledged the draining state.
	drainingSince map[string]time.Time
	// upstreamCount counts all upstreams ever added.
	upstreamCount int
	disturbances  []disturbance
	// poisonCrashes holds when requests with poisonPart crashed upstreams.
	poisonCrashes []time.Time
	// poisonSummary is the result of checkPoison in words.
	poisonSummary string
	// limited is the upstream that names limitedRate, or nil, and limitSummary the result of
	// checkLimit in words.
	limited      *fakeUpstream
	limitedRate  float64
	limitSummary string
	// drainSummary is the result of checkDrains in words.
	drainSummary string
	// evacuation is the evacuation of this run, or nil, and evacuationSummary the result of
	// checkEvacuation in words.
	evacuation        *evacuation
	evacuationSummary string
	// cold is fleetSize.cold, and coldSummary the result of checkCold in words.
	cold        bool
	coldSummary string
	// eventLog holds timestamped lines that are printed if the run fails.
	eventLog  []string
	startedAt time.Time
}

// keyLifetime holds when the store acknowledged the addition and the removal of an API
// key.
type keyLifetime struct{ addedAt, revokedAt time.Time }

// disturbance is a time span in which a component was subject to a fault or a planned
// stop.
type disturbance struct {
	// component is a host, the store, the machine or the ID of an upstream.
	component string
	from, to  time.Time
	// lossless marks a disturbance during which no request may be lost.
	lossless bool
}

// hostComponent returns the component name of a host.
func hostComponent(hostIndex int) string { return fmt.Sprintf("host %d", hostIndex) }

// Components other than hosts and upstreams.
const (
	storeComponent   = "store"
	machineComponent = "machine"
)

// logf adds a line to the event log.
func (f *fleet) logf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.eventLog = append(f.eventLog, fmt.Sprintf("%6.2f ", time.Since(f.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// beginDisturbance records the start of a disturbance. The returned function records
// its end.
func (f *fleet) beginDisturbance(component string, lossless bool) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disturbances = append(f.disturbances, disturbance{component: component, from: time.Now(), to: time.Now().Add(time.Hour), lossless: lossless})
	i := len(f.disturbances) - 1
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.disturbances[i].to = time.Now()
	}
}

// newFleet starts the store, the upstreams and all hosts. The hosts listen on
// 127.secondOctet.0.0/16, which keeps the addresses of parallel runs apart.
func newFleet(t *testing.T, size fleetSize, secondOctet int) *fleet {
	t.Helper()
	f := &fleet{
		store: newFakeStore(), runLog: &runLog{}, keys: map[string]*keyLifetime{}, drainingSince: map[string]time.Time{}, startedAt: time.Now(),
		cold: size.cold,
	}
	f.generator = &loadGenerator{fleet: f}
	t.Cleanup(f.store.server.Close)
	for range 4 {
		f.addKey()
	}
	f.publishConfig()
	domains := []string{"a", "b", "c"}[:size.domains]
	for i := range size.poolUpstreams + size.appUpstreams {
		service := "pool"
		if i >= size.poolUpstreams {
			service = "app"
		}
		f.addUpstream(t, service, domains[i%len(domains)])
	}
	dir := t.TempDir()
	seedAddresses := []string{fmt.Sprintf("127.%d.0.1:%d", secondOctet, peerPort), fmt.Sprintf("127.%d.1.1:%d", secondOctet, peerPort)}
	for d, domain := range domains {
		for hostNumber := range size.hostsPerDomain {
			h, err := newHost(fmt.Sprintf("h-%s-%d", domain, hostNumber), fmt.Sprintf("127.%d.%d.%d", secondOctet, d, hostNumber+1), domain, dir, f.store.address(), seedAddresses)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(h.closeProxy)
			if err := h.writeSettings(retryExtra); err != nil {
				t.Fatal(err)
			}
			if err := h.start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { h.awaitExit(0) })
			f.hosts = append(f.hosts, h)
		}
	}
	return f
}

// addKey adds an API key, which hosts learn from the next publishConfig.
func (f *fleet) addKey() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := fmt.Sprintf("key-%d", len(f.keys)+1)
	f.keys[key] = &keyLifetime{}
	return key
}

// publishConfig writes the current routes, services and API keys to the store and
// records when new keys were acknowledged.
func (f *fleet) publishConfig() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configVersion += 3 // a host adopts any higher version, not only the next one
	var keys []string
	for key, lifetime := range f.keys {
		if lifetime.revokedAt.IsZero() {
			keys = append(keys, key)
		}
	}
	route := func(k requestKind, routeKind, service string, attemptLimit int) map[string]any {
		return map[string]any{
			"name": string(k), "host": "soak", "prefix": "/" + string(k) + "/", "kind": routeKind, "service": service,
			"timeoutMs": 4000, "targetLatencyMs": 500, "maxAttempts": attemptLimit, "priority": 1, "streamResume": k == resumableStream,
		}
	}
	pool := map[string]any{
		"name": "pool", "healthPath": "/health", "maxConnections": 200,
		"engine": map[string]any{"slots": upstreamSlots, "kvCapacityTokens": 100000, "stride": 4},
	}
	if f.cold {
		pool["coldStartS"], pool["coldPerS"] = coldStart.Seconds(), coldRate
	}
	acknowledgedAt := f.store.put("op/config", map[string]any{
		"version": f.configVersion,
		"routes": []any{
			route(idempotentRequest, "idempotent", "app", 3), route(nonIdempotentRequest, "non_idempotent", "app", 1),
			route(resumableStream, "streaming", "pool", 3), route(nonResumableStream, "streaming", "pool", 1),
		},
		"services": []any{
			map[string]any{"name": "app", "healthPath": "/health", "maxConnections": 200},
			pool,
		},
		"limits":  map[string]any{"maxBodyBytes": 1 << 20, "maxHeaderBytes": 1 << 14, "idleTimeoutMs": 10000},
		"tenants": []any{map[string]any{"name": "acme", "priority": 1, "apiKeys": keys}},
	})
	for _, lifetime := range f.keys {
		if lifetime.addedAt.IsZero() {
			lifetime.addedAt = acknowledgedAt
		}
	}
}

// revokeOldestKey adds an API key and revokes the oldest one, which it returns.
func (f *fleet) revokeOldestKey() string {
	added := f.addKey()
	f.mu.Lock()
	var oldest string
	for key, lifetime := range f.keys {
		if key != added && lifetime.revokedAt.IsZero() && (oldest == "" || lifetime.addedAt.Before(f.keys[oldest].addedAt)) {
			oldest = key
		}
	}
	// Until the change is acknowledged and applied, requests with the key may be
	// either refused or served. A time in the future marks the key as revoked
	// meanwhile.
	f.keys[oldest].revokedAt = time.Now().Add(time.Hour)
	f.mu.Unlock()
	f.publishConfig()
	f.mu.Lock()
	f.keys[oldest].revokedAt = time.Now()
	f.mu.Unlock()
	return oldest
}

// pickKey returns a random valid key or, in one of ten calls, a revoked one if any.
func (f *fleet) pickKey(rng *rand.Rand) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var valid, revoked []string
	for i := range len(f.keys) {
		key := fmt.Sprintf("key-%d", i+1)
		if f.keys[key].revokedAt.IsZero() {
			valid = append(valid, key)
		} else {
			revoked = append(revoked, key)
		}
	}
	if len(revoked) > 0 && rng.IntN(10) == 0 {
		return revoked[rng.IntN(len(revoked))]
	}
	return valid[rng.IntN(len(valid))]
}

// addUpstream starts an upstream and registers it in the store.
func (f *fleet) addUpstream(t *testing.T, service, domain string) *fakeUpstream {
	f.mu.Lock()
	f.upstreamCount++
	id := fmt.Sprintf("%s-%d", service, f.upstreamCount)
	f.mu.Unlock()
	u, err := newFakeUpstream(id, service, domain, f.runLog, f.crashPoisoned)
	if err != nil {
		t.Error(err)
		return nil
	}
	t.Cleanup(u.close)
	if f.cold && service == "pool" {
		u.setColdStart(coldStart)
	}
	f.store.put("servers/"+id, u.storeValue("ready"))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstreams = append(f.upstreams, u)
	f.allUpstreams = append(f.allUpstreams, u)
	return u
}

// drain marks an upstream as draining in the store and stops picking it for faults.
func (f *fleet) drain(u *fakeUpstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstreams = slices.DeleteFunc(f.upstreams, func(x *fakeUpstream) bool { return x == u })
	f.drainingSince[u.id] = f.store.put("servers/"+u.id, u.storeValue("draining"))
}

// relist registers a restarted upstream again unless it is draining by now.
func (f *fleet) relist(u *fakeUpstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, draining := f.drainingSince[u.id]; !draining {
		f.store.put("servers/"+u.id, u.storeValue("ready"))
	}
}

// pollReadiness polls the readiness of all hosts until ctx is done, as a load balancer
// does.
func (f *fleet) pollReadiness(ctx context.Context) {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	var wg sync.WaitGroup
	for _, h := range f.hosts {
		wg.Go(func() {
			for ctx.Err() == nil {
				h.pollReadiness(client)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
}

// detectStalls records a disturbance of the machine whenever the test process itself
// was not scheduled for longer than stallThreshold, until ctx is done.
func (f *fleet) detectStalls(ctx context.Context) {
	const interval, stallThreshold = 20 * time.Millisecond, 300 * time.Millisecond
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(interval)
		now := time.Now()
		if now.Sub(last) > stallThreshold {
			f.logf("the test process stalled for %v", now.Sub(last))
			f.mu.Lock()
			f.disturbances = append(f.disturbances, disturbance{component: machineComponent, from: last, to: now})
			f.mu.Unlock()
		}
		last = now
	}
}

// awaitReady waits until all hosts are ready. It returns false after the timeout.
func (f *fleet) awaitReady(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		readyHosts := 0
		for _, h := range f.hosts {
			if ready, _ := h.balancerState(); ready {
				readyHosts++
			}
		}
		if readyHosts == len(f.hosts) {
			return true
		}
	}
	return false
}
