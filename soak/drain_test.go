package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// drainingHeader is the header in which an upstream says that it is draining.
	drainingHeader = "Server-Leaving"
	// drainSeeds is the number of seeds of which one has upstreams that say so in their answers,
	// before the store does, and restoreSeeds of which one has a store that comes back from an
	// older copy.
	drainSeeds, restoreSeeds = 2, 4
	// rewriteTime is the time within which what a store has lost is written again.
	rewriteTime = 2 * time.Second
)

// drainByAnswers replaces upstreams one after the other until ctx is done. Each says in its
// answers that it is draining, and the store lists it as ready for seconds after that.
func (f *fleet) drainByAnswers(ctx context.Context, t *testing.T, rng *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(500+rng.IntN(2000))*time.Millisecond)
		f.mu.Lock()
		u := f.upstreams[rng.IntN(len(f.upstreams))]
		f.mu.Unlock()
		if u == f.limited {
			continue
		}
		f.addUpstream(t, u.service, u.domain)
		u.mu.Lock()
		u.saysDraining = true
		u.mu.Unlock()
		f.logf("%s: says that it is draining", u.id)
		sleep(ctx, time.Duration(2000+rng.IntN(2500))*time.Millisecond)
		f.drain(u)
		f.logf("%s: the store lists it as draining", u.id)
	}
}

// sleep waits for a duration, or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// restoreStore puts the store back to an older copy from time to time, until ctx is done. What it
// has lost is written again within rewriteTime.
func (f *fleet) restoreStore(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(1500+rng.IntN(3000))*time.Millisecond)
		away, age := time.Duration(rng.IntN(1500))*time.Millisecond, time.Duration(500+rng.IntN(4000))*time.Millisecond
		end := f.beginDisturbance(storeComponent, true)
		f.logf("store away for %v, back from a copy that is %v old", away, age)
		f.store.setFaults(false, true)
		sleep(ctx, away)
		f.mu.Lock()
		lost := f.store.restore(age)
		f.mu.Unlock()
		f.store.setFaults(false, false)
		for key, value := range lost {
			time.Sleep(time.Duration(rng.Int64N(int64(rewriteTime)/int64(len(lost)) + 1)))
			f.rewrite(key, value)
		}
		end()
	}
}

// rewrite writes what the store has lost, unless the key was written anew meanwhile.
func (f *fleet) rewrite(key string, value json.RawMessage) {
	if f.rewriteEvacuation(key) {
		return
	}
	f.store.mu.Lock()
	current, listed := f.store.entries[key]
	f.store.mu.Unlock()
	if key == "op/config" && listed && versionOf(current.Value) >= versionOf(value) {
		return
	}
	if value == nil {
		f.store.put(key, nil)
		return
	}
	f.store.put(key, value)
}

// versionOf returns the version of a configuration.
func versionOf(raw []byte) int {
	var config struct {
		Version int `json:"version"`
	}
	_ = json.Unmarshal(raw, &config) // everything in the store comes from this package
	return config.Version
}

// checkDrains checks that no request reaches an upstream that was sent over applyTime after its
// host had passed on an answer in which the upstream said that it is draining. A restart or a
// pause of the host since then excuses it.
func (f *fleet) checkDrains(runs map[string][]*upstreamRun) []string {
	type process struct {
		hostIndex, startNumber int
		upstream               string
	}
	passedOn := map[process]time.Time{}
	for _, r := range f.generator.records {
		p := process{r.hostIndex, r.startNumber, r.drainingUpstream}
		if at, ok := passedOn[p]; r.drainingUpstream != "" && (!ok || r.endedAt.Before(at)) {
			passedOn[p] = r.endedAt
		}
	}
	var violations []string
	for _, r := range f.generator.records {
		for _, run := range runs[r.id] {
			at, ok := passedOn[process{r.hostIndex, r.startNumber, run.upstream}]
			if ok && r.sentAt.After(at.Add(applyTime)) && f.onlyLosslessSince(r.hostIndex, at, r.sentAt) {
				violations = append(violations, fmt.Sprintf("%s reached %s through host %d, which had passed on %v earlier that it is draining", r.id, run.upstream, r.hostIndex, r.sentAt.Sub(at)))
			}
		}
	}
	f.drainSummary = fmt.Sprintf(", %d processes of hosts passed on that an upstream is draining", len(passedOn))
	return violations
}

// onlyLosslessSince reports whether no disturbance that may lose requests overlaps a time span at
// a host.
func (f *fleet) onlyLosslessSince(hostIndex int, from, to time.Time) bool {
	for _, d := range f.disturbances {
		relevant := d.component == hostComponent(hostIndex) && !d.lossless || d.component == machineComponent
		if relevant && d.from.Before(to) && d.to.After(from) {
			return false
		}
	}
	return true
}
