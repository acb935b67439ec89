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

// clusterSize is the number of hosts, upstreams and callers in a run.
type clusterSize struct{ domains, hostsPerDomain, poolUpstreams, appUpstreams, callers int }

// cluster is the system under test in one run: hosts as real processes, and stand-ins
// for the store, the upstreams and the callers.
type cluster struct {
	hosts     []*host
	store     *fakeStore
	runLog    *runLog
	generator *loadGenerator

	mu            sync.Mutex
	upstreams     []*fakeUpstream
	configVersion int
	keys          map[string]*keyLifetime
	// drainingSince holds, by upstream ID, when the store acknowledged the draining state.
	drainingSince map[string]time.Time
	// upstreamCount counts all upstreams ever added.
	upstreamCount int
	disturbances  []disturbance
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
	// planned marks a disturbance during which no request may be lost.
	planned bool
}

// hostComponent returns the component name of a host.
func hostComponent(hostIndex int) string { return fmt.Sprintf("host %d", hostIndex) }

// Components other than hosts and upstreams.
const (
	storeComponent   = "store"
	machineComponent = "machine"
)

// logf adds a line to the event log.
func (c *cluster) logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.eventLog = append(c.eventLog, fmt.Sprintf("%6.2f ", time.Since(c.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// beginDisturbance records the start of a disturbance. The returned function records
// its end.
func (c *cluster) beginDisturbance(component string, planned bool) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbances = append(c.disturbances, disturbance{component: component, from: time.Now(), to: time.Now().Add(time.Hour), planned: planned})
	i := len(c.disturbances) - 1
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.disturbances[i].to = time.Now()
	}
}

// newCluster starts the store, the upstreams and all hosts. The hosts listen on
// 127.secondOctet.0.0/16, which keeps the addresses of parallel runs apart.
func newCluster(t *testing.T, size clusterSize, secondOctet int) *cluster {
	t.Helper()
	c := &cluster{
		store: newFakeStore(), runLog: &runLog{}, keys: map[string]*keyLifetime{}, drainingSince: map[string]time.Time{}, startedAt: time.Now(),
	}
	c.generator = &loadGenerator{cluster: c}
	t.Cleanup(c.store.server.Close)
	for range 4 {
		c.addKey()
	}
	c.publishConfig()
	domains := []string{"a", "b", "c"}[:size.domains]
	for i := range size.poolUpstreams + size.appUpstreams {
		service := "pool"
		if i >= size.poolUpstreams {
			service = "app"
		}
		c.addUpstream(t, service, domains[i%len(domains)])
	}
	dir := t.TempDir()
	seedAddresses := []string{fmt.Sprintf("127.%d.0.1:%d", secondOctet, peerPort), fmt.Sprintf("127.%d.1.1:%d", secondOctet, peerPort)}
	for d, domain := range domains {
		for hostNumber := range size.hostsPerDomain {
			h, err := newHost(fmt.Sprintf("h-%s-%d", domain, hostNumber), fmt.Sprintf("127.%d.%d.%d", secondOctet, d, hostNumber+1), domain, dir, c.store.address(), seedAddresses)
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
			c.hosts = append(c.hosts, h)
		}
	}
	return c
}

// addKey adds an API key, which hosts learn from the next publishConfig.
func (c *cluster) addKey() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := fmt.Sprintf("key-%d", len(c.keys)+1)
	c.keys[key] = &keyLifetime{}
	return key
}

// publishConfig writes the current routes, services and API keys to the store and
// records when new keys were acknowledged.
func (c *cluster) publishConfig() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.configVersion += 3
	var keys []string
	for key, lifetime := range c.keys {
		if lifetime.revokedAt.IsZero() {
			keys = append(keys, key)
		}
	}
	route := func(k requestKind, class, service string, maxAttempts int) map[string]any {
		return map[string]any{
			"name": string(k), "host": "soak", "prefix": "/" + string(k) + "/", "kind": class, "service": service,
			"timeoutMs": 4000, "targetLatencyMs": 500, "maxAttempts": maxAttempts, "priority": 1, "streamResume": k == resumableStream,
		}
	}
	acknowledgedAt := c.store.put("op/config", map[string]any{
		"version": c.configVersion,
		"routes": []any{
			route(idempotentRequest, "idempotent", "app", 3), route(nonIdempotentRequest, "non_idempotent", "app", 1),
			route(resumableStream, "streaming", "pool", 3), route(nonResumableStream, "streaming", "pool", 1),
		},
		"services": []any{
			map[string]any{"name": "app", "healthPath": "/health", "maxConnections": 200},
			map[string]any{"name": "pool", "healthPath": "/health", "maxConnections": 200,
				"engine": map[string]any{"slots": upstreamSlots, "kvCapacityTokens": 100000, "stride": 4}},
		},
		"limits":  map[string]any{"maxBodyBytes": 1 << 20, "maxHeaderBytes": 1 << 14, "idleTimeoutMs": 10000},
		"tenants": []any{map[string]any{"name": "acme", "priority": 1, "apiKeys": keys}},
	})
	for _, lifetime := range c.keys {
		if lifetime.addedAt.IsZero() {
			lifetime.addedAt = acknowledgedAt
		}
	}
}

// revokeOldestKey adds an API key and revokes the oldest one, which it returns.
func (c *cluster) revokeOldestKey() string {
	added := c.addKey()
	c.mu.Lock()
	var oldest string
	for key, lifetime := range c.keys {
		if key != added && lifetime.revokedAt.IsZero() && (oldest == "" || lifetime.addedAt.Before(c.keys[oldest].addedAt)) {
			oldest = key
		}
	}
	// Until the change is acknowledged and applied, requests with the key may be
	// either refused or served. A time in the future marks the key as revoked
	// meanwhile.
	c.keys[oldest].revokedAt = time.Now().Add(time.Hour)
	c.mu.Unlock()
	c.publishConfig()
	c.mu.Lock()
	c.keys[oldest].revokedAt = time.Now()
	c.mu.Unlock()
	return oldest
}

// pickKey returns a random valid key or, in one of ten calls, a revoked one if any.
func (c *cluster) pickKey(rng *rand.Rand) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var valid, revoked []string
	for i := range len(c.keys) {
		key := fmt.Sprintf("key-%d", i+1)
		if c.keys[key].revokedAt.IsZero() {
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
func (c *cluster) addUpstream(t *testing.T, service, domain string) *fakeUpstream {
	c.mu.Lock()
	c.upstreamCount++
	id := fmt.Sprintf("%s-%d", service, c.upstreamCount)
	c.mu.Unlock()
	u, err := newFakeUpstream(id, service, domain, c.runLog)
	if err != nil {
		t.Error(err)
		return nil
	}
	t.Cleanup(u.close)
	c.store.put("servers/"+id, u.storeValue("ready"))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upstreams = append(c.upstreams, u)
	return u
}

// drain marks an upstream as draining in the store and stops picking it for faults.
func (c *cluster) drain(u *fakeUpstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upstreams = slices.DeleteFunc(c.upstreams, func(x *fakeUpstream) bool { return x == u })
	c.drainingSince[u.id] = c.store.put("servers/"+u.id, u.storeValue("draining"))
}

// relist registers a restarted upstream again unless it has been drained meanwhile.
func (c *cluster) relist(u *fakeUpstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, left := c.drainingSince[u.id]; !left {
		c.store.put("servers/"+u.id, u.storeValue("ready"))
	}
}

// pollReadiness polls the readiness of all hosts until ctx is done, as a load balancer
// does.
func (c *cluster) pollReadiness(ctx context.Context) {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	var wg sync.WaitGroup
	for _, h := range c.hosts {
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
func (c *cluster) detectStalls(ctx context.Context) {
	const interval, stallThreshold = 20 * time.Millisecond, 300 * time.Millisecond
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(interval)
		now := time.Now()
		if now.Sub(last) > stallThreshold {
			c.logf("the test process stalled for %v", now.Sub(last))
			c.mu.Lock()
			c.disturbances = append(c.disturbances, disturbance{component: machineComponent, from: last, to: now})
			c.mu.Unlock()
		}
		last = now
	}
}

// awaitReady waits until all hosts are ready. It returns false after the timeout.
func (c *cluster) awaitReady(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		readyHosts := 0
		for _, h := range c.hosts {
			if ready, _ := h.balancerState(); ready {
				readyHosts++
			}
		}
		if readyHosts == len(c.hosts) {
			return true
		}
	}
	return false
}
