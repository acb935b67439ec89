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

// What the operators allow, on all hosts.
const (
	retryRatio = 0.2
	retryExtra = 40
	// applyTime is how soon a change of the lists is in force at calm hosts.
	applyTime = 2 * time.Second
)

// shape is the size of a run.
type shape struct{ domains, hostsEach, pools, apps, callers int }

// world is one run: hosts as processes, and stand-ins of all that they meet.
type world struct {
	hosts   []*host
	store   *store
	ledger  *ledger
	callers *callers

	mu        sync.Mutex
	upstreams []*upstream
	version   int
	keys      map[string]*keyLife
	// leaving is when the store acknowledged that an upstream leaves.
	leaving map[string]time.Time
	// serial counts the upstreams that were ever there.
	serial  int
	trouble []trouble
	// notes is the story of the run.
	notes []string
	began time.Time
}

// keyLife is when the store acknowledged a key, and its removal.
type keyLife struct{ added, revoked time.Time }

// trouble is a span in which something was not as it should be.
type trouble struct {
	what     string
	from, to time.Time
	// planned says that nothing may be lost by it.
	planned bool
}

func hostTrouble(i int) string { return fmt.Sprintf("host %d", i) }

// Troubles that are nobody's own.
const (
	storeTrouble   = "store"
	machineTrouble = "machine"
)

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes = append(w.notes, fmt.Sprintf("%6.2f ", time.Since(w.began).Seconds())+fmt.Sprintf(format, args...))
}

// begin notes the beginning of trouble. The returned function ends it.
func (w *world) begin(what string, planned bool) func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.trouble = append(w.trouble, trouble{what: what, from: time.Now(), to: time.Now().Add(time.Hour), planned: planned})
	i := len(w.trouble) - 1
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.trouble[i].to = time.Now()
	}
}

// newWorld starts everything and waits until all hosts are ready. Octet keeps the
// addresses of runs apart that go on side by side.
func newWorld(t *testing.T, s shape, octet int) *world {
	t.Helper()
	w := &world{
		store: newStore(), ledger: &ledger{}, keys: map[string]*keyLife{}, leaving: map[string]time.Time{}, began: time.Now(),
	}
	w.callers = &callers{w: w}
	t.Cleanup(w.store.server.Close)
	for range 4 {
		w.addKey()
	}
	w.publish()
	domains := []string{"a", "b", "c"}[:s.domains]
	for i := range s.pools + s.apps {
		service := "pool"
		if i >= s.pools {
			service = "app"
		}
		w.addUpstream(t, service, domains[i%len(domains)])
	}
	dir := t.TempDir()
	seeds := []string{fmt.Sprintf("127.%d.0.1:%d", octet, peerPort), fmt.Sprintf("127.%d.1.1:%d", octet, peerPort)}
	for d, domain := range domains {
		for n := range s.hostsEach {
			h, err := newHost(fmt.Sprintf("h-%s-%d", domain, n), fmt.Sprintf("127.%d.%d.%d", octet, d, n+1), domain, dir, w.store.address(), seeds)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(h.cleanup)
			if err := h.writeSettings(retryExtra); err != nil {
				t.Fatal(err)
			}
			if err := h.start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { h.end(0) })
			w.hosts = append(w.hosts, h)
		}
	}
	return w
}

// addKey gives an account one more key, in the next list.
func (w *world) addKey() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := fmt.Sprintf("key-%d", len(w.keys)+1)
	w.keys[key] = &keyLife{}
	return key
}

// publish writes the list of routes and keys as it should be now, and notes when
// it was acknowledged.
func (w *world) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 3
	var keys []string
	for key, life := range w.keys {
		if life.revoked.IsZero() {
			keys = append(keys, key)
		}
	}
	route := func(k kind, class, service string, attempts int) map[string]any {
		return map[string]any{
			"name": string(k), "host": "soak", "prefix": "/" + string(k) + "/", "kind": class, "service": service,
			"timeoutMs": 4000, "targetLatencyMs": 500, "maxAttempts": attempts, "priority": 1, "streamResume": k == letter,
		}
	}
	at := w.store.put("op/config", map[string]any{
		"version": w.version,
		"routes": []any{
			route(status, "idempotent", "app", 3), route(place, "non_idempotent", "app", 1),
			route(letter, "streaming", "pool", 3), route(draft, "streaming", "pool", 1),
		},
		"services": []any{
			map[string]any{"name": "app", "healthPath": "/health", "maxConnections": 200},
			map[string]any{"name": "pool", "healthPath": "/health", "maxConnections": 200,
				"engine": map[string]any{"slots": slots, "kvCapacityTokens": 100000, "stride": 4}},
		},
		"limits":  map[string]any{"maxBodyBytes": 1 << 20, "maxHeaderBytes": 1 << 14, "idleTimeoutMs": 10000},
		"tenants": []any{map[string]any{"name": "acme", "priority": 1, "apiKeys": keys}},
	})
	for _, life := range w.keys {
		if life.added.IsZero() {
			life.added = at
		}
	}
}

// revoke takes the oldest key away and adds another.
func (w *world) revoke() string {
	added := w.addKey()
	w.mu.Lock()
	var oldest string
	for key, life := range w.keys {
		if key != added && life.revoked.IsZero() && (oldest == "" || life.added.Before(w.keys[oldest].added)) {
			oldest = key
		}
	}
	// Requests that are sent from now on may be refused or not, until the change
	// is acknowledged and in force.
	w.keys[oldest].revoked = time.Now().Add(time.Hour)
	w.mu.Unlock()
	w.publish()
	w.mu.Lock()
	w.keys[oldest].revoked = time.Now()
	w.mu.Unlock()
	return oldest
}

// pickKey returns a key, now and then one that was revoked.
func (w *world) pickKey(random *rand.Rand) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var valid, revoked []string
	for i := range len(w.keys) {
		key := fmt.Sprintf("key-%d", i+1)
		if w.keys[key].revoked.IsZero() {
			valid = append(valid, key)
		} else {
			revoked = append(revoked, key)
		}
	}
	if len(revoked) > 0 && random.IntN(10) == 0 {
		return revoked[random.IntN(len(revoked))]
	}
	return valid[random.IntN(len(valid))]
}

// addUpstream starts an upstream and lists it.
func (w *world) addUpstream(t *testing.T, service, domain string) *upstream {
	w.mu.Lock()
	w.serial++
	id := fmt.Sprintf("%s-%d", service, w.serial)
	w.mu.Unlock()
	u, err := newUpstream(id, service, domain, w.ledger)
	if err != nil {
		t.Error(err)
		return nil
	}
	t.Cleanup(u.close)
	w.store.put("servers/"+id, u.entry("ready"))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.upstreams = append(w.upstreams, u)
	return u
}

// drain has an upstream leave.
func (w *world) drain(u *upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.upstreams = slices.DeleteFunc(w.upstreams, func(x *upstream) bool { return x == u })
	w.leaving[u.id] = w.store.put("servers/"+u.id, u.entry("draining"))
}

// relist lists an upstream that started again, unless it was to leave meanwhile.
func (w *world) relist(u *upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, left := w.leaving[u.id]; !left {
		w.store.put("servers/"+u.id, u.entry("ready"))
	}
}

// poll asks all hosts whether they are ready, until ctx ends, as a balancer does.
func (w *world) poll(ctx context.Context) {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	var wait sync.WaitGroup
	for _, h := range w.hosts {
		wait.Go(func() {
			for ctx.Err() == nil {
				h.poll(client)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wait.Wait()
}

// watchMachine notes spans in which the soak itself was held up, until ctx ends.
func (w *world) watchMachine(ctx context.Context) {
	const tick, late = 20 * time.Millisecond, 300 * time.Millisecond
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(tick)
		now := time.Now()
		if now.Sub(last) > late {
			w.note("the soak was held up for %v", now.Sub(last))
			w.mu.Lock()
			w.trouble = append(w.trouble, trouble{what: machineTrouble, from: last, to: now})
			w.mu.Unlock()
		}
		last = now
	}
}

// awaitReady waits until all hosts are ready. It returns false after a span.
func (w *world) awaitReady(span time.Duration) bool {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		n := 0
		for _, h := range w.hosts {
			if ready, _ := h.state(); ready {
				n++
			}
		}
		if n == len(w.hosts) {
			return true
		}
	}
	return false
}
